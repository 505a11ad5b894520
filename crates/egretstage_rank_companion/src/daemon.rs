//! Runs a companion as a process.

use crate::claims::{StoreCall, StoreCalls};
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

/// Time between two checks of the clocks for a suspension.
const CLOCK_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Growth of the clocks' difference between two checks above which the instance
/// counts as suspended. The member then stops following or deciding, because
/// what it knows is out of date.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(300);

/// Runs a companion until it receives a stop signal.
///
/// # Errors
///
/// Returns an error when an address can't be used or a thread can't start.
pub fn run(settings: &RankCompanionSettings, platform: &RankPlatform) -> miette::Result<()> {
    let (events, rx) = EventLoop::channel();
    let socket = Arc::new(UdpSocket::bind(settings.peers.listen).into_diagnostic()?);
    let engine = settings.upstream.address;
    let new_engine = || (platform.new_engine)();
    let mut sink = EffectSink {
        own_engine: engine,
        own_calls: EngineCalls::start("engine", new_engine(), engine, events.clone())
            .into_diagnostic()?,
        other_calls: EngineCalls::start("engines", new_engine(), engine, events.clone())
            .into_diagnostic()?,
        store_calls: StoreCalls::start(
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
        limits: member_limits(settings.link.mbps),
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
    // The send fails only if an earlier signal is still in the channel.
    on_stop_signal(move || {
        let _ = stop.try_send(());
    })
    .into_diagnostic()?;
    log::info!(engine:display = engine; "companion started");
    detect_suspensions(&events, &stopped);
    log::info!("companion stopped");
    Ok(())
}

/// Divisor of the link's rate that gives the rate for maps. The rest is for
/// traffic that maps must not delay.
const MAP_LINK_DIVISOR: u32 = 2;

fn member_limits(rate: LinkRate) -> MemberLimits {
    let defaults = MemberLimits::default();
    MemberLimits {
        link_bytes_per_s: rate.bytes_per_s(),
        decider: DeciderLimits {
            map_bytes_per_s: rate.bytes_per_s() / MAP_LINK_DIVISOR,
            ..defaults.decider
        },
        ..defaults
    }
}

/// Reports suspensions of the instance to the member, until the stop signal.
fn detect_suspensions(
    events: &EventSender<MemberEvent>,
    stopped: &crossbeam_channel::Receiver<()>,
) {
    let mut previous = total_suspended();
    while stopped.recv_timeout(CLOCK_CHECK_INTERVAL).is_err() {
        let current = total_suspended();
        if current.saturating_sub(previous) > SUSPENSION_THRESHOLD {
            log::warn!("the instance was suspended");
            events.send(MemberEvent::Suspended);
        }
        previous = current;
    }
}

/// Returns the total time for which the instance was suspended since its start.
/// The boot-time clock counts that time, the monotonic clock doesn't.
fn total_suspended() -> Duration {
    let elapsed = |clock| {
        let at = clock_gettime(clock);
        Duration::new(
            u64::try_from(at.tv_sec).unwrap_or(0),
            u32::try_from(at.tv_nsec).unwrap_or(0),
        )
    };
    elapsed(ClockId::Boottime).saturating_sub(elapsed(ClockId::Monotonic))
}

/// Carries out the member's effects.
struct EffectSink {
    own_engine: SocketAddr,
    /// Calls to the own engine.
    own_calls: EngineCalls,
    /// Calls to the engines of other ranks.
    other_calls: EngineCalls,
    store_calls: StoreCalls,
    socket: Arc<UdpSocket>,
}

impl EffectSink {
    fn carry_out(&mut self, effect: MemberEffect) {
        match effect {
            MemberEffect::ReadReport(fence) => self.own_calls.call(EngineCall::Report(fence)),
            MemberEffect::ReadLists => self.own_calls.call(EngineCall::ExpertLists),
            MemberEffect::ReadCounts => self.own_calls.call(EngineCall::ExpertCounts),
            MemberEffect::ReadRemoteReport(engine) => {
                self.other_calls.call(EngineCall::RemoteReport(engine));
            }
            MemberEffect::Order {
                engine,
                issuer,
                number,
                order,
            } => {
                let calls = if engine == self.own_engine {
                    &self.own_calls
                } else {
                    &self.other_calls
                };
                calls.call(EngineCall::Order {
                    engine,
                    issuer,
                    number,
                    order,
                });
            }
            MemberEffect::Send(to, message) => datagrams::send(&self.socket, to, &*message),
            MemberEffect::ReadEntries => self.store_calls.call(StoreCall::ReadEntries),
            MemberEffect::TellEntry(to, report) => datagrams::send(&self.socket, to, &*report),
            MemberEffect::ReadClaim(group) => self.store_calls.call(StoreCall::Read(group)),
            MemberEffect::WriteClaim(claim, fence, end) => {
                self.store_calls.call(StoreCall::Write(claim, fence, end));
            }
            MemberEffect::Log(entry) => {
                let message: &'static str = (&entry).into();
                log::info!(target: DECISION_TARGET, decision:serde = entry; "{message}");
            }
        }
    }
}
