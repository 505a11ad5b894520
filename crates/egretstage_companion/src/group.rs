//! The companion as a member of its model group.
//!
//! A [`GroupMember`] runs on its own thread and shares no state with the
//! companion's reducer.

mod balanced_maps;
mod claims_log;
mod engine_client;
mod sender_lock;

use balanced_maps::BalancedMaps;
use claims_log::ClaimsLog;
use egretstage_config::RankSettings;
use egretstage_config::settings::CompanionSettings;
use egretstage_group::{
    ClaimLimits, DeciderLimits, FixedMap, GroupDecision, GroupMember, MapSource, MemberEffect,
    MemberEvent, MemberSettings, PeerLink, PeriodicMaps,
};
use egretstage_link::{LinkIdentity, LinkKey, LinkObserver, LinkTable, dial};
use egretstage_observe::{DECISION_TARGET, FenceStatus, StatusBoard};
use egretstage_runtime::{EventLoop, EventSender};
use egretstage_wire::{Frame, GroupFrame, Hello, ServiceName};
use engine_client::EngineClient;
use miette::IntoDiagnostic;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::runtime::Handle;

pub(crate) use sender_lock::SenderLock;

/// Forwards link events to the running group member.
#[derive(Clone, Debug)]
pub(crate) struct GroupHandle(EventSender<MemberEvent>);

impl GroupHandle {
    /// Starts the group member of a rank.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread can't be started.
    pub(crate) fn start(
        settings: &CompanionSettings,
        rank: &RankSettings,
        identity: &Arc<LinkIdentity>,
        link_table: &LinkTable,
        board: &StatusBoard,
        io_runtime: &Handle,
    ) -> miette::Result<Self> {
        let (events, rx) = EventLoop::channel();
        let log_url = &settings.process.log_url;
        let incarnation = identity.hello.incarnation;
        let mut executor = EffectExecutor {
            engine: EngineClient::start(settings.upstream.address, events.clone())?,
            claims: ClaimsLog::start(log_url, &rank.group, incarnation, &events)?,
            link_table: link_table.clone(),
            board: board.clone(),
            group: rank.group.clone(),
            identity: Arc::clone(identity),
            events: events.clone(),
            io_runtime: io_runtime.clone(),
        };
        let member = member_settings(settings, rank, &identity.hello);
        let maps = MapSettings {
            rank: rank.clone(),
            engine: settings.upstream.address,
        };
        let member_started = EventLoop::spawn("group", rx, move || {
            let make_source = Box::new(move || maps.create_source());
            let member = GroupMember::new(Instant::now(), member, make_source);
            (member, Box::new(move |effect| executor.execute(effect)))
        });
        member_started.into_diagnostic()?;
        Ok(Self(events))
    }

    /// Handles a new link that another companion opened.
    pub(crate) fn link_up(&self, link: LinkKey, hello: &Hello) {
        self.0.send(MemberEvent::LinkUp {
            link: PeerLink(link.0),
            dialed: false,
            incarnation: hello.incarnation,
        });
    }

    /// Handles a frame from another companion.
    pub(crate) fn frame(&self, link: LinkKey, frame: GroupFrame) {
        let link = PeerLink(link.0);
        self.0.send(MemberEvent::Frame { link, frame });
    }

    /// Handles the end of a link.
    pub(crate) fn link_down(&self, link: LinkKey) {
        self.0.send(MemberEvent::LinkDown(PeerLink(link.0)));
    }
}

fn member_settings(
    settings: &CompanionSettings,
    rank: &RankSettings,
    hello: &Hello,
) -> MemberSettings {
    MemberSettings {
        instance: hello.instance.clone(),
        incarnation: hello.incarnation,
        address: rank.advertise.unwrap_or(settings.listen),
        rank: rank.index,
        claims: ClaimLimits {
            suspect_after: rank.suspect_after,
            stagger: rank.claim_stagger,
            renew_after: rank.claim_renewal,
        },
        decider: DeciderLimits {
            ranks: rank.ranks,
            horizon_steps: rank.horizon_steps,
            heartbeat: rank.heartbeat,
        },
        loads_on_takeover: rank.loads.clone(),
    }
}

/// Settings from which a map source is created.
struct MapSettings {
    rank: RankSettings,
    engine: SocketAddr,
}

impl MapSettings {
    fn create_source(&self) -> Box<dyn MapSource> {
        match (&self.rank.balance, self.rank.map_interval) {
            (Some(balance), _) => Box::new(BalancedMaps::new(&self.rank, balance, self.engine)),
            (None, Some(interval)) => Box::new(PeriodicMaps::new(interval)),
            (None, None) => Box::new(FixedMap),
        }
    }
}

/// Forwards the events of the link that the member opened to the decider.
struct DialObserver(GroupHandle);

impl LinkObserver for DialObserver {
    fn link_up(&self, link: LinkKey, hello: Hello) {
        self.0.0.send(MemberEvent::LinkUp {
            link: PeerLink(link.0),
            dialed: true,
            incarnation: hello.incarnation,
        });
    }

    fn frame(&self, link: LinkKey, frame: Frame) {
        if let Frame::Group(frame) = frame {
            self.0.frame(link, *frame);
        }
    }

    fn link_down(&self, link: LinkKey, reason: String) {
        log::info!(link = link.0, reason = reason.as_str(); "link to the decider down");
        self.0.link_down(link);
    }
}

/// Executes the group member's effects.
struct EffectExecutor {
    engine: EngineClient,
    claims: ClaimsLog,
    link_table: LinkTable,
    board: StatusBoard,
    group: ServiceName,
    identity: Arc<LinkIdentity>,
    events: EventSender<MemberEvent>,
    io_runtime: Handle,
}

impl EffectExecutor {
    fn execute(&mut self, effect: MemberEffect) {
        match effect {
            MemberEffect::Send { link, frame } => {
                let frame = Frame::Group(Box::new(frame));
                self.link_table.send(LinkKey(link.0), frame);
            }
            MemberEffect::Close(link) => self.link_table.close(LinkKey(link.0)),
            MemberEffect::Dial(address) => self.dial(address),
            MemberEffect::ReadClaims(from) => self.claims.read(from),
            MemberEffect::AppendClaim(record) => self.claims.append(record),
            MemberEffect::CallEngine(call) => self.engine.call(call),
            MemberEffect::Log(line) => {
                self.publish_holder(&line);
                log_decision(&line);
            }
        }
    }

    /// Publishes a new holder of the group on the status page.
    fn publish_holder(&self, line: &GroupDecision) {
        if let GroupDecision::Holder { fence, instance } = line {
            self.board.set_fence(FenceStatus {
                group: self.group.clone(),
                fence: fence.0,
                holder: instance.clone(),
            });
        }
    }

    fn dial(&self, address: SocketAddr) {
        let identity = Arc::clone(&self.identity);
        let link_table = self.link_table.clone();
        let events = self.events.clone();
        let observer = Arc::new(DialObserver(GroupHandle(events.clone())));
        self.io_runtime.spawn(async move {
            if let Err(e) = dial(address, identity, link_table, observer).await {
                log::debug!(address:display = address, error:display = e; "can't dial the decider");
            }
            events.send(MemberEvent::DialEnded);
        });
    }
}

fn log_decision(line: &GroupDecision) {
    let message = <&str>::from(line);
    log::info!(target: DECISION_TARGET, decision:serde = line; "{message}");
}
