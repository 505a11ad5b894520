//! The companion as a process.

use crate::claims::{ClaimCall, ClaimCalls};
use crate::engine::{EngineCall, EngineCalls};
use crate::{LinkRate, RankCompanionSettings, RankPlatform, datagrams};
use egretstage_observe::{AdminServer, DECISION_TARGET, Health, Metrics};
use egretstage_passes::{
    DeciderLimits, MemberEffect, MemberEvent, MemberLimits, MemberSettings, PassMember,
};
use egretstage_runtime::{EventLoop, EventSender, on_stop_signal};
use miette::IntoDiagnostic;
use rustix::time::{ClockId, clock_gettime};
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Time between two comparisons of the clocks.
const CLOCK_INTERVAL: Duration = Duration::from_millis(100);

/// Difference of the clocks above which the process counts as suspended: no
/// decider acts on what it knew before.
const SUSPENDED: Duration = Duration::from_millis(300);

/// Runs a companion until it is told to stop.
///
/// # Errors
///
/// Returns an error when an address can't be used or a thread can't start.
pub fn run(settings: &RankCompanionSettings, platform: &RankPlatform) -> miette::Result<()> {
    let (events, rx) = EventLoop::channel();
    let socket = Arc::new(UdpSocket::bind(settings.peers.listen).into_diagnostic()?);
    let engine = settings.upstream.address;
    let client = || (platform.new_engine)();
    let mut sink = Sink {
        own: engine,
        calls: EngineCalls::start("engine", client(), engine, events.clone()).into_diagnostic()?,
        others: EngineCalls::start("engines", client(), engine, events.clone())
            .into_diagnostic()?,
        claims: ClaimCalls::start(
            (platform.new_store)(),
            Arc::clone(&platform.decoder),
            settings.upstream.service.clone(),
            events.clone(),
        )
        .into_diagnostic()?,
        socket: Arc::clone(&socket),
    };
    let member = MemberSettings {
        instance: settings.instance.clone(),
        incarnation: rand::random(),
        address: settings.peers.listen,
        engine,
        limits: limits(settings.link.mbps),
    };
    EventLoop::spawn("member", rx, move || {
        let member = PassMember::new(Instant::now(), member);
        (member, Box::new(move |effect| sink.carry_out(effect)))
    })
    .into_diagnostic()?;
    let tx = events.clone();
    let receiver = std::thread::Builder::new().name("datagrams".to_owned());
    receiver
        .spawn(move || datagrams::receive(&socket, &tx))
        .into_diagnostic()?;
    let health = Health::default();
    health.set_ready(true);
    let metrics = Metrics::new().into_diagnostic()?;
    let status = Box::new(|| "{}\n".to_owned());
    AdminServer::start(settings.admin_listen, health, metrics, status).into_diagnostic()?;
    let (stop, stopped) = crossbeam_channel::bounded(1);
    // A second signal finds the first one waiting.
    on_stop_signal(move || {
        let _ = stop.try_send(());
    })
    .into_diagnostic()?;
    log::info!(engine:display = engine; "companion started");
    watch_clocks(&events, &stopped);
    log::info!("companion stopped");
    Ok(())
}

/// Part of the instance's link that maps may take, one in so many: the rest is for what they
/// must not hold up.
const MAP_LINK_PART: u32 = 2;

fn limits(link: LinkRate) -> MemberLimits {
    let defaults = MemberLimits::default();
    MemberLimits {
        link_bytes_per_s: link.bytes_per_s(),
        decider: DeciderLimits {
            map_bytes_per_s: link.bytes_per_s() / MAP_LINK_PART,
            ..defaults.decider
        },
        ..defaults
    }
}

/// Tells the member when the process stood still, until it is told to stop.
fn watch_clocks(events: &EventSender<MemberEvent>, stopped: &crossbeam_channel::Receiver<()>) {
    let mut lag = suspended_time();
    while stopped.recv_timeout(CLOCK_INTERVAL).is_err() {
        let seen = suspended_time();
        if seen.saturating_sub(lag) > SUSPENDED {
            log::warn!("the instance was suspended");
            events.send(MemberEvent::Suspended);
        }
        lag = seen;
    }
}

/// Returns how long the instance was suspended since its start.
fn suspended_time() -> Duration {
    let time = |clock| {
        let at = clock_gettime(clock);
        Duration::new(
            u64::try_from(at.tv_sec).unwrap_or(0),
            u32::try_from(at.tv_nsec).unwrap_or(0),
        )
    };
    time(ClockId::Boottime).saturating_sub(time(ClockId::Monotonic))
}

/// Carries out the member's effects.
struct Sink {
    own: SocketAddr,
    calls: EngineCalls,
    others: EngineCalls,
    claims: ClaimCalls,
    socket: Arc<UdpSocket>,
}

impl Sink {
    fn carry_out(&mut self, effect: MemberEffect) {
        match effect {
            MemberEffect::ReadReport(follows) => self.calls.call(EngineCall::Report(follows)),
            MemberEffect::ReadLists => self.calls.call(EngineCall::Lists),
            MemberEffect::ReadCounts => self.calls.call(EngineCall::Counts),
            MemberEffect::Look(engine) => self.others.call(EngineCall::Look(engine)),
            MemberEffect::Order {
                engine,
                giver,
                number,
                order,
            } => {
                let calls = if engine == self.own {
                    &self.calls
                } else {
                    &self.others
                };
                calls.call(EngineCall::Order {
                    engine,
                    giver,
                    number,
                    order,
                });
            }
            MemberEffect::Send(to, message) => datagrams::send(&self.socket, to, &message),
            MemberEffect::ReadClaim(group) => self.claims.call(ClaimCall::Read(group)),
            MemberEffect::WriteClaim(claim, fence, end) => {
                self.claims.call(ClaimCall::Write(claim, fence, end));
            }
            MemberEffect::Log(line) => {
                let message: &'static str = (&line).into();
                log::info!(target: DECISION_TARGET, decision:serde = line; "{message}");
            }
        }
    }
}
