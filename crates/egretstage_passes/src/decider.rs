//! Decides when a group changes to which expert map.

mod hearing;
mod orders;
mod pacing;
mod phases;
mod rank_view;
mod survey;
mod take_back;

use crate::member::state_interval;
use crate::{
    EngineReport, ExpertsByRank, FencedChanges, FencedOrder, GroupDemand, GroupShape, MapChanges,
    PassLogEntry, RankAddress, RankAddresses,
};
use egretstage_wire::InstanceId;
use pacing::Pacer;
use rank_view::RankView;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use take_back::Predecessor;

/// Limits of a decider.
#[derive(Clone, Copy, Debug)]
pub struct DeciderLimits {
    /// Least age of a rank's state beyond which nothing is begun: a few states
    /// of the rank were lost, or the decider itself stood still.
    pub max_state_age: Duration,
    /// Time after a takeover in which the predecessor may still give orders to
    /// engines whose companions are silent, and their reports lag.
    pub settle_time: Duration,
    /// Time after which an order to an engine, without an answer, is given
    /// again: its report lags behind.
    pub engine_order_timeout: Duration,
    /// Time after which an order to a companion, without an answer, is given
    /// again: several round trips between availability zones and the engine's
    /// own answer. The group may be held meanwhile.
    pub companion_order_timeout: Duration,
    /// Time after which a hold is given up that its rank doesn't answer.
    pub hold_timeout: Duration,
    /// Time beyond that of the copies after which they are given up.
    pub prepare_slack: Duration,
    /// What the maps that are sent to companions may take of the decider's
    /// link: what lives and what is held must not wait behind them.
    pub map_bytes_per_s: u32,
    /// Passes between the last one known and the one that is held.
    pub hold_lead: u64,
    /// Least time between two looks at the demand.
    pub plan_interval: Duration,
    /// Least age up to which what a rank told of its demand counts.
    pub max_demand_age: Duration,
    /// Time that a rank copies for one map: a fraction of the time for which
    /// a demand lasts. A rank makes at least one copy.
    pub copy_budget: Duration,
    /// Least part of the mean rank load that a copy must take off the hottest
    /// ranks.
    pub min_copy_gain: f64,
    /// Least fall of the mean skew for which a map is changed.
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
            hold_lead: 2,
            plan_interval: Duration::from_millis(50),
            max_demand_age: Duration::from_millis(400),
            copy_budget: Duration::from_millis(160),
            min_copy_gain: 0.04,
            min_skew_gain: 0.2,
        }
    }
}

/// The way to the engine of a rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderRoute {
    /// By the companion beside it, at this address.
    Companion(SocketAddr),
    /// Straight to the engine, at this address: its companion is silent.
    Engine(SocketAddr),
}

/// What a decider asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum DeciderEffect {
    /// Gives an order to the engine of a rank.
    Order {
        /// The way there.
        route: OrderRoute,
        /// The decider's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedOrder>,
    },
    /// Orders a rank's companion to prepare a map, told by its changes.
    Changes {
        /// The companion.
        to: SocketAddr,
        /// The decider's count of orders.
        number: u64,
        /// The order.
        order: Box<FencedChanges>,
    },
    /// Asks a companion for the state of its rank.
    RequestState(SocketAddr),
    /// Reads the report of an engine whose companion is silent.
    ReadReport(SocketAddr),
    /// Writes a log line.
    Log(PassLogEntry),
}

/// The map that ranks shall prepare.
#[derive(Clone, Debug)]
struct NextMap {
    layers: Rc<ExpertsByRank>,
    /// Bytes of the whole map in an order.
    whole_bytes: usize,
    /// What it changes of the map in use.
    changes: Option<Rc<MapChanges>>,
}

/// A change of the map whose copies are complete.
#[derive(Clone, Copy, Debug)]
struct Switch {
    version: u64,
    /// The pass that is held, and that begins with the map.
    pass: u64,
    /// The rank that holds the group.
    holder: u16,
}

/// How far a change of the map is.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
enum Phase {
    /// What an earlier decider left is unknown.
    Surveying,
    /// The map in use is kept.
    Idle,
    /// The ranks copy experts.
    Preparing {
        version: u64,
        map: NextMap,
        since: Instant,
    },
    /// A rank shall hold the group before a pass.
    Holding { switch: Switch, since: Instant },
    /// The group is held; all ranks shall switch at that pass.
    Arming(Switch),
    /// The group is held; no rank shall switch at that pass.
    Disarming,
    /// No rank shall hold the group any longer.
    Releasing,
}

/// What a companion tells while nothing but the pass changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnchangedState {
    /// The start of the companion.
    pub incarnation: u64,
    /// Counts on from the states of this start.
    pub number: u64,
    /// Number of the state that still holds.
    pub state: u64,
    /// The last pass that was begun.
    pub pass: u64,
}

/// Decides when a group changes to which expert map.
#[derive(Debug)]
pub struct MapDecider {
    fence: u64,
    limits: DeciderLimits,
    shape: GroupShape,
    instance: InstanceId,
    /// The rank beside the deciding companion. It is armed last.
    own_rank: u16,
    /// The version that no rank shall be armed with any more.
    taken_back: Option<u64>,
    /// The companion that decided before, if that is known.
    predecessor: Option<Predecessor>,
    ranks: Vec<Option<RankView>>,
    /// Where the ranks are reached, as far as known.
    addresses: Vec<Option<RankAddress>>,
    /// The rank whose seat is told next.
    next_address: usize,
    demand: GroupDemand,
    pacer: Pacer,
    /// When another companion was last heard; at first the takeover.
    last_contact: Instant,
    /// When all ranks were last heard; at first the takeover.
    last_complete: Instant,
    /// When a report that was read from another instance tells what an earlier
    /// decider left.
    settled_at: Instant,
    look_at: Instant,
    /// From when on no order of an earlier decider takes effect.
    no_order_after: Instant,
    /// From when on engines may be called without their companions.
    direct_from: Instant,
    phase: Phase,
    /// The last map that was prepared at all ranks, with its version.
    switched_to: Option<(u64, Rc<ExpertsByRank>)>,
    versions: u64,
    orders: u64,
    plan_at: Instant,
    /// Whether an engine has seen a higher fencing number.
    superseded: bool,
}

/// Longest time after which an order without an answer is carried out: some
/// seconds, with a reserve.
pub(crate) const LATEST_ORDER: Duration = Duration::from_secs(15);

/// Times between two states of a rank that may pass before it counts as silent:
/// two of them are lost in a row.
const STATES_LOST: u32 = 3;

/// Versions that one decider may use before the next fencing number's begin.
const VERSIONS_PER_FENCE: u64 = 1 << 20;

impl MapDecider {
    /// Starts to decide for a group of so many ranks.
    #[must_use]
    pub fn new(
        now: Instant,
        fence: u64,
        instance: InstanceId,
        own: &EngineReport,
        addresses: &[Option<RankAddress>],
        shape: GroupShape,
        limits: DeciderLimits,
    ) -> Self {
        let ranks = usize::from(own.ranks);
        let limits = DeciderLimits {
            max_state_age: limits
                .max_state_age
                .max(state_interval(own.ranks) * STATES_LOST),
            ..limits
        };
        let mut addresses = addresses.to_vec();
        addresses.resize(ranks, None);
        Self {
            addresses,
            settled_at: now + limits.settle_time,
            look_at: now + limits.settle_time,
            no_order_after: now + LATEST_ORDER,
            direct_from: now,
            fence,
            limits,
            shape,
            instance,
            own_rank: own.rank,
            taken_back: None,
            predecessor: None,
            ranks: vec![None; ranks],
            next_address: 0,
            demand: GroupDemand::new(own.ranks, shape.layers, shape.experts),
            pacer: Pacer::new(now, limits.map_bytes_per_s),
            last_contact: now,
            last_complete: now,
            phase: Phase::Surveying,
            switched_to: None,
            versions: 0,
            orders: 0,
            plan_at: now,
            superseded: false,
        }
    }

    /// Notes which companion decided before, as the claim tells that came before
    /// this decider's, and a map that ranks may be ordered to prepare.
    pub fn set_predecessor(&mut self, address: SocketAddr, fence: u64, map: ExpertsByRank) {
        self.predecessor = Some(Predecessor {
            address,
            fence,
            map,
        });
    }

    /// Notes that the decider's process stood still: others may have taken over,
    /// and companions only look silent until what they sent was read.
    pub fn note_suspension(&mut self, now: Instant) {
        self.direct_from = now + self.limits.max_state_age;
    }

    /// Returns the fencing number.
    #[must_use]
    pub fn fence(&self) -> u64 {
        self.fence
    }

    /// Tells whether an engine has seen a higher fencing number: the decider
    /// must not order again.
    #[must_use]
    pub fn is_superseded(&self) -> bool {
        self.superseded
    }

    /// Returns where the companions of every n-th rank are reached, beginning
    /// with one, and whether each is known to follow this decider.
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

    /// Returns where the next few ranks are reached: all are told in turn.
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

    /// Returns when another companion was last heard; at first the takeover.
    #[must_use]
    pub fn last_contact(&self) -> Instant {
        self.last_contact
    }

    /// Returns when all ranks were last heard; at first the takeover.
    #[must_use]
    pub fn last_complete(&self) -> Instant {
        self.last_complete
    }

    /// Returns the reports of all ranks if they are fresh and of one epoch in
    /// which the group takes work.
    fn whole_group(&self, now: Instant) -> Option<Vec<EngineReport>> {
        let reports = self.fresh_reports(now);
        let whole = reports.len() == self.ranks.len() && is_one_open_epoch(&reports);
        whole.then_some(reports)
    }

    fn fresh_reports(&self, now: Instant) -> Vec<EngineReport> {
        let views = self.ranks.iter().flatten();
        let fresh = views
            .filter(|v| now.saturating_duration_since(v.received) <= self.limits.max_state_age);
        fresh.map(|view| view.state.report.clone()).collect()
    }

    /// Goes on with what is under way, and looks for a better map.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<DeciderEffect>) {
        if self.superseded {
            return;
        }
        self.ask_for_states(out);
        let Some(reports) = self.whole_group(now) else {
            if self.epoch_is_mixed() && !matches!(self.phase, Phase::Surveying) {
                self.enter(Phase::Surveying, out);
            }
            self.take_back(now, out);
            self.look(now, out);
            return;
        };
        self.last_complete = now;
        match self.phase.clone() {
            Phase::Surveying if !self.is_settled() => self.look(now, out),
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

    /// Reads the reports that are missing, if the group may be held.
    ///
    /// Reading from another instance has its price, so it waits until the
    /// companions have had their time.
    fn look(&mut self, now: Instant, out: &mut Vec<DeciderEffect>) {
        let may_be_held = !matches!(self.phase, Phase::Idle | Phase::Preparing { .. });
        if !may_be_held || now < self.look_at.max(self.direct_from) {
            return;
        }
        self.look_at = now + self.limits.engine_order_timeout;
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

    /// Tells whether no order of an earlier decider comes after what is known.
    fn is_settled(&self) -> bool {
        self.ranks.iter().flatten().all(|view| view.settled)
    }

    fn epoch_is_mixed(&self) -> bool {
        let mut epochs = self.ranks.iter().flatten().map(|v| v.state.report.epoch);
        let first = epochs.next();
        epochs.any(|epoch| Some(epoch) != first)
    }

    fn enter(&mut self, phase: Phase, out: &mut Vec<DeciderEffect>) {
        let name: &'static str = (&phase).into();
        out.push(DeciderEffect::Log(PassLogEntry::Phase {
            fence: self.fence,
            phase: name,
        }));
        for view in self.ranks.iter_mut().flatten() {
            view.refused = 0;
        }
        self.phase = phase;
    }
}

/// Tells whether all reports are of one epoch in which the group takes work.
fn is_one_open_epoch(reports: &[EngineReport]) -> bool {
    let epoch = reports.first().map(|report| report.epoch);
    reports.iter().all(|r| r.open && Some(r.epoch) == epoch)
}
