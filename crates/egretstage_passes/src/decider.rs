//! Decides which expert map a group switches to, and when.

mod inputs;
mod orders;
mod pacing;
mod pass_clock;
mod phases;
mod rank_view;
mod roll_back;
mod survey;

use crate::member::state_interval;
use crate::{
    EngineReport, ExpertsByRank, FencedChanges, FencedOrder, GroupDemand, GroupShape, MapChanges,
    PassLogEntry, RankAddress, RankAddresses,
};
use egretstage_wire::{InstanceId, Slowdown};
use pacing::Pacer;
use pass_clock::PassClock;
use rank_view::RankView;
use roll_back::Predecessor;
use smallvec::SmallVec;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeouts and bounds of a decider.
#[derive(Clone, Copy, Debug)]
pub struct DeciderLimits {
    /// Age of a rank's state beyond which nothing is started: a few states of
    /// the rank were lost, or the decider itself was suspended. Raised for
    /// large groups, whose ranks report less often.
    pub max_state_age: Duration,
    /// Time after a takeover in which orders of the predecessor may still reach
    /// engines whose companions are silent, and in which the reports of those
    /// engines are out of date.
    pub settle_time: Duration,
    /// Time after which an unanswered order to an engine is repeated. The
    /// engine's report lags behind.
    pub engine_order_timeout: Duration,
    /// Time after which an unanswered order to a companion is repeated: several
    /// round trips between availability zones plus the engine's own answer. The
    /// group may be held meanwhile, so it is short.
    pub companion_order_timeout: Duration,
    /// Time after which a hold is abandoned if its rank doesn't answer.
    pub hold_timeout: Duration,
    /// Time, beyond that of transfer and copies, after which a map whose copies
    /// aren't complete is abandoned.
    pub prepare_slack: Duration,
    /// Rate at which maps are sent to companions. Heartbeats and orders for a
    /// held group share the decider's link and must not queue behind maps.
    pub map_bytes_per_s: u32,
    /// Time from the last known pass to the pass that is held. The ranks are armed
    /// within it, so that the group hardly waits.
    pub hold_lead_time: Duration,
    /// Maximum number of passes from the last known pass to the pass that is held.
    pub max_hold_lead: u64,
    /// Shortest time between two plans. Raised for large groups, whose plans
    /// take longer.
    pub plan_interval: Duration,
    /// Age beyond which the counts of a rank are ignored.
    pub max_demand_age: Duration,
    /// Time that a rank spends on the copies for one map: a fraction of the
    /// time for which demand stays the same. A rank makes at least one copy.
    pub copy_budget: Duration,
    /// Smallest reduction of the load of the hottest ranks that justifies a
    /// copy, as a share of the mean rank load.
    pub min_copy_gain: f64,
    /// Smallest reduction of the mean skew that justifies a new map.
    pub min_skew_gain: f64,
}

impl Default for DeciderLimits {
    fn default() -> Self {
        Self {
            max_state_age: Duration::from_millis(500),
            settle_time: Duration::from_millis(500),
            engine_order_timeout: Duration::from_millis(250),
            companion_order_timeout: Duration::from_millis(80),
            hold_timeout: Duration::from_secs(1),
            prepare_slack: Duration::from_secs(1),
            map_bytes_per_s: 400_000,
            hold_lead_time: Duration::from_millis(200),
            max_hold_lead: 2,
            plan_interval: Duration::from_millis(50),
            max_demand_age: Duration::from_millis(400),
            copy_budget: Duration::from_millis(160),
            min_copy_gain: 0.04,
            min_skew_gain: 0.2,
        }
    }
}

/// How an order reaches the engine of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRoute {
    /// Through the companion beside the engine, at this address.
    Companion(SocketAddr),
    /// Directly to the engine, at this address: its companion is silent.
    Engine(SocketAddr),
}

/// An action that a decider requests.
#[derive(Clone, Debug, PartialEq)]
pub enum DeciderEffect {
    /// Sends an order to the engine of a rank.
    Order {
        /// The route to the engine.
        route: OrderRoute,
        /// Number of the order, counted by the decider.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Orders a rank's companion to prepare a map, given as changes to a map
    /// that it knows.
    Changes {
        /// The companion.
        to: SocketAddr,
        /// Number of the order, counted by the decider.
        number: u64,
        /// The order.
        order: Box<FencedChanges>,
    },
    /// Requests the state of its rank from a companion.
    RequestState(SocketAddr),
    /// Reads the report of an engine whose companion is silent.
    ReadReport(SocketAddr),
    /// Writes a log entry.
    Log(PassLogEntry),
}

/// The map that the ranks are to prepare.
#[derive(Clone, Debug)]
struct NextMap {
    layers: Rc<ExpertsByRank>,
    /// Packed size of the full map, in bytes.
    full_map_bytes: usize,
    /// The changes to the map in use.
    changes: Option<Rc<MapChanges>>,
}

/// A switch to a map whose copies are complete.
#[derive(Clone, Copy, Debug)]
struct Switch {
    version: u64,
    /// The held pass, which is the first one with the new map.
    pass: u64,
    /// The rank that holds the group.
    holder: u16,
}

/// The progress of a switch.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Phase {
    /// Finding out what an earlier decider left unfinished.
    Surveying,
    /// No switch is in progress.
    Idle,
    /// The ranks copy experts.
    Preparing {
        version: u64,
        map: NextMap,
        since: Instant,
    },
    /// A rank is ordered to hold the group before a pass.
    Holding { switch: Switch, since: Instant },
    /// The group is held; all ranks are ordered to switch at that pass.
    Arming(Switch),
    /// The group is held; no rank is to switch at that pass.
    Disarming,
    /// No rank is to hold the group any longer.
    Releasing,
}

/// A companion's report that nothing but the pass has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnchangedState {
    /// Random for each start of the companion.
    pub incarnation: u64,
    /// Number of this report, in the same sequence as the states of this start.
    pub number: u64,
    /// Number of the state that is still current.
    pub state: u64,
    /// The last pass that began.
    pub pass: u64,
}

/// Decides which expert map a group switches to, and when.
#[derive(Debug)]
pub struct MapDecider {
    fence: u64,
    limits: DeciderLimits,
    shape: GroupShape,
    instance: InstanceId,
    /// The rank beside the deciding companion. It is armed last.
    own_rank: u16,
    /// The version that was rolled back: no rank may be armed with it any more.
    rolled_back: Option<u64>,
    /// The companion that decided before, if known.
    predecessor: Option<Predecessor>,
    ranks: Vec<Option<RankView>>,
    /// The known addresses of the ranks.
    addresses: Vec<Option<RankAddress>>,
    /// The rank whose address is sent next.
    next_address: usize,
    demand: GroupDemand,
    pass_clock: PassClock,
    pacer: Pacer,
    /// When another companion last reported; initially the time of the
    /// takeover.
    last_contact: Instant,
    /// When fresh reports of all ranks were last available; initially the time
    /// of the takeover.
    last_complete: Instant,
    /// From when on a report that was read from another instance shows
    /// everything that an earlier decider ordered.
    settled_at: Instant,
    /// When missing reports may be read again.
    next_report_read: Instant,
    /// Until when a late order of an earlier decider may still take effect.
    late_orders_until: Instant,
    /// From when on engines may be called directly.
    direct_calls_from: Instant,
    phase: Phase,
    /// The last map that all ranks prepared, with its version.
    prepared_map: Option<(u64, Rc<ExpertsByRank>)>,
    /// The version that ranks prepare so that no late order can arm them. It is never armed.
    blocking: Option<u64>,
    /// Number of versions of this fencing number that were used.
    versions_used: u64,
    orders_sent: u64,
    next_plan: Instant,
    /// Whether an engine has seen a higher fencing number.
    superseded: bool,
}

/// Longest delay after which an engine still carries out an unanswered order: a
/// few seconds, with a reserve.
pub(crate) const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// Report intervals without a state after which a rank is considered silent:
/// two states in a row were lost.
const SILENT_AFTER_INTERVALS: u32 = 3;

/// Versions available to one decider before those of the next fencing number
/// begin.
const VERSIONS_PER_FENCE: u64 = 1 << 20;

impl MapDecider {
    /// Starts to decide for the group that `own_report`, the local engine's
    /// report, describes.
    #[must_use]
    pub fn new(
        now: Instant,
        fence: u64,
        instance: InstanceId,
        own_report: &EngineReport,
        addresses: &[Option<RankAddress>],
        shape: GroupShape,
        limits: DeciderLimits,
    ) -> Self {
        let ranks = usize::from(own_report.ranks);
        let limits = DeciderLimits {
            max_state_age: limits
                .max_state_age
                .max(state_interval(own_report.ranks) * SILENT_AFTER_INTERVALS),
            ..limits
        };
        let mut addresses = addresses.to_vec();
        addresses.resize(ranks, None);
        Self {
            addresses,
            settled_at: now + limits.settle_time,
            next_report_read: now + limits.settle_time,
            late_orders_until: now + MAX_ORDER_DELAY,
            direct_calls_from: now,
            fence,
            limits,
            shape,
            instance,
            own_rank: own_report.rank,
            rolled_back: None,
            predecessor: None,
            ranks: vec![None; ranks],
            next_address: 0,
            demand: GroupDemand::new(own_report.ranks, shape.layers, shape.experts),
            pass_clock: PassClock::new(now, own_report.pass),
            pacer: Pacer::new(now, limits.map_bytes_per_s),
            last_contact: now,
            last_complete: now,
            phase: Phase::Surveying,
            prepared_map: None,
            blocking: None,
            versions_used: 0,
            orders_sent: 0,
            next_plan: now,
            superseded: false,
        }
    }

    /// Sets the companion that decided before, according to the claim before
    /// this decider's, and a map that ranks may be ordered to prepare in order
    /// to block its switch.
    pub fn set_predecessor(&mut self, address: SocketAddr, fence: u64, map: ExpertsByRank) {
        self.predecessor = Some(Predecessor {
            address,
            fence,
            map,
        });
    }

    /// Delays direct calls after the decider's process was suspended. Others
    /// may have taken over, and companions seem silent until their queued
    /// datagrams have been read.
    pub fn note_suspension(&mut self, now: Instant) {
        self.direct_calls_from = now + self.limits.max_state_age;
    }

    /// Returns the fencing number.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Returns whether an engine has seen a higher fencing number, so that this
    /// decider must not send any more orders.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns the known companion addresses among every `step`-th rank from
    /// `first` on, and whether each companion is known to follow this decider.
    pub fn companions(
        &self,
        first: usize,
        step: usize,
    ) -> impl Iterator<Item = (SocketAddr, bool)> + '_ {
        let addresses = self.addresses.iter().zip(&self.ranks);
        addresses
            .skip(first)
            .step_by(step)
            .filter_map(|(address, view)| {
                let follows = view.as_ref().map_or(0, |view| view.state.follows);
                Some((address.as_ref()?.companion, follows == self.fence))
            })
    }

    /// Returns the addresses of the next few ranks, in rotation.
    pub fn next_addresses(&mut self) -> RankAddresses {
        let mut addresses = RankAddresses::new();
        for _ in 0..self.addresses.len() {
            let rank = self.next_address;
            self.next_address = (rank + 1) % self.addresses.len();
            if let (Some(address), Ok(rank)) = (self.addresses[rank], u16::try_from(rank)) {
                addresses.push((rank, address));
            }
            if addresses.len() == addresses.inline_size() {
                break;
            }
        }
        addresses
    }

    /// Returns the slow ranks, each with the address of its engine.
    #[must_use]
    pub fn slow_ranks(&self) -> SmallVec<[(SocketAddr, Slowdown); 4]> {
        let states = self.ranks.iter().flatten().map(|view| &view.state);
        let slow = states.filter(|state| state.report.slowdown.is_slow());
        slow.map(|state| (state.engine, state.report.slowdown))
            .collect()
    }

    /// Returns when another companion last reported; initially the time of the
    /// takeover.
    #[must_use]
    pub fn last_contact(&self) -> Instant {
        self.last_contact
    }

    /// Returns when fresh reports of all ranks were last available; initially
    /// the time of the takeover.
    #[must_use]
    pub fn last_complete(&self) -> Instant {
        self.last_complete
    }

    /// Returns the reports of all ranks if they are fresh and of one epoch in
    /// which the group is open.
    fn complete_reports(&self, now: Instant) -> Option<Vec<EngineReport>> {
        let reports = self.fresh_reports(now);
        let complete = reports.len() == self.ranks.len() && are_in_one_open_epoch(&reports);
        complete.then_some(reports)
    }

    fn fresh_reports(&self, now: Instant) -> Vec<EngineReport> {
        let views = self.ranks.iter().flatten();
        let fresh = views
            .filter(|v| now.saturating_duration_since(v.received) <= self.limits.max_state_age);
        fresh.map(|view| view.state.report.clone()).collect()
    }

    /// Continues the current phase, and plans a new map if there is reason to.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<DeciderEffect>) {
        if self.superseded {
            return;
        }
        self.request_missing_states(out);
        let Some(reports) = self.complete_reports(now) else {
            if self.has_mixed_epochs() && !matches!(self.phase, Phase::Surveying) {
                self.enter_phase(Phase::Surveying, out);
            }
            self.roll_back(now, out);
            self.read_missing_reports(now, out);
            return;
        };
        self.last_complete = now;
        if let Some(pass) = reports.iter().map(|report| report.pass).max() {
            self.pass_clock.observe(now, pass);
        }
        match self.phase.clone() {
            Phase::Surveying if !self.is_settled() => self.read_missing_reports(now, out),
            Phase::Surveying => self.survey(now, &reports, out),
            Phase::Idle => self.idle(now, &reports, out),
            Phase::Preparing {
                version,
                map,
                since,
            } => self.prepare(now, &reports, version, &map, since, out),
            Phase::Holding { switch, since } => self.hold(now, &reports, switch, since, out),
            Phase::Arming(switch) => self.arm(now, &reports, switch, out),
            Phase::Disarming => self.disarm(now, &reports, out),
            Phase::Releasing => self.release(now, &reports, out),
        }
    }

    /// Reads the missing reports directly from the engines, if the group may be
    /// held.
    ///
    /// Reading from another instance is expensive, so it starts only after the
    /// companions have had time to report.
    fn read_missing_reports(&mut self, now: Instant, out: &mut Vec<DeciderEffect>) {
        let may_be_held = !matches!(self.phase, Phase::Idle | Phase::Preparing { .. });
        if !may_be_held || now < self.next_report_read.max(self.direct_calls_from) {
            return;
        }
        self.next_report_read = now + self.limits.engine_order_timeout;
        let max_state_age = self.limits.max_state_age;
        let is_stale = |view: &Option<RankView>| {
            let age = view
                .as_ref()
                .map(|v| now.saturating_duration_since(v.received));
            age.is_none_or(|age| age > max_state_age)
        };
        let stale = self.ranks.iter().zip(&self.addresses);
        let stale = stale.filter(|(view, _)| is_stale(view));
        out.extend(
            stale.filter_map(|(_, address)| {
                Some(DeciderEffect::ReadReport(address.as_ref()?.engine))
            }),
        );
    }

    /// Returns whether no order of an earlier decider can follow the known
    /// reports.
    fn is_settled(&self) -> bool {
        self.ranks.iter().flatten().all(|view| view.settled)
    }

    fn has_mixed_epochs(&self) -> bool {
        let mut epochs = self.ranks.iter().flatten().map(|v| v.state.report.epoch);
        let first = epochs.next();
        epochs.any(|epoch| Some(epoch) != first)
    }

    fn enter_phase(&mut self, phase: Phase, out: &mut Vec<DeciderEffect>) {
        let name: &'static str = (&phase).into();
        out.push(DeciderEffect::Log(PassLogEntry::Phase {
            fence: self.fence,
            phase: name,
        }));
        for view in self.ranks.iter_mut().flatten() {
            view.refusals = 0;
        }
        self.phase = phase;
    }
}

/// Returns whether all reports are of one epoch in which the group is open.
fn are_in_one_open_epoch(reports: &[EngineReport]) -> bool {
    let epoch = reports.first().map(|report| report.epoch);
    reports.iter().all(|r| r.open && Some(r.epoch) == epoch)
}
