//! The executor's decisions.

use super::event::{
    DropReason, ExecutorEffect, ExecutorEvent, GroupPlan, LayerMove, MapVersion, TransferId,
    TransferResult,
};
use super::pacing::{ExecutorLimits, Pace};
use crate::{ExpertMap, InvalidMap, LayerMap, Move, RankId, Sharing};
use crate::{level_shares, skew, with_added_replicas, without_overwritten_replicas};
use egretstage_runtime::Reducer;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

type Effects = Vec<ExecutorEffect>;

/// Applies moves to a layer's map.
type Remap = fn(&LayerMap, &[Move], &[f64], Sharing) -> Result<LayerMap, InvalidMap>;

/// A transfer of the present batch.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    target: LayerMove,
    attempts: u8,
    in_flight: bool,
}

/// The part of a plan that is under way.
#[derive(Debug)]
enum Phase {
    /// No batch is under way.
    Idle,
    /// The map without the replicas to overwrite waits for its commit.
    Vacating { batch: Vec<LayerMove> },
    /// Weights are being copied.
    Copying {
        left: BTreeMap<TransferId, Transfer>,
        done: Vec<LayerMove>,
    },
    /// The map with the new replicas waits for its commit.
    Publishing,
}

/// A map that was sent for its commit.
#[derive(Debug)]
struct PendingMap {
    version: MapVersion,
    map: ExpertMap,
}

/// Carries out one plan at a time.
///
/// A plan that comes while another is under way drops that one and isn't
/// started itself: it was made for a map that is about to change.
///
/// A map that it asks to commit holds only replicas whose weights are in
/// place. A plan that is given up leaves the map committed last in force.
#[derive(Debug)]
pub struct MoveExecutor {
    limits: ExecutorLimits,
    sharing: Sharing,
    pace: Pace,
    plan: Option<GroupPlan>,
    queue: VecDeque<LayerMove>,
    phase: Phase,
    pending: Option<PendingMap>,
    version: MapVersion,
    last_transfer: TransferId,
    dropped: bool,
}

impl MoveExecutor {
    /// Starts an executor without a plan.
    ///
    /// Versions continue after `version`, the one in force.
    #[must_use]
    pub fn new(limits: ExecutorLimits, sharing: Sharing, version: MapVersion) -> Self {
        Self {
            pace: Pace::new(&limits),
            limits,
            sharing,
            plan: None,
            queue: VecDeque::new(),
            phase: Phase::Idle,
            pending: None,
            version,
            last_transfer: TransferId(0),
            dropped: false,
        }
    }

    /// Tells whether a plan is under way.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns the map in force, while a plan is under way.
    #[must_use]
    pub fn map(&self) -> Option<&ExpertMap> {
        self.plan.as_ref().map(|plan| &plan.map)
    }

    fn start(&mut self, now: Instant, plan: GroupPlan, fx: &mut Effects) {
        if self.is_busy() {
            return self.drop_plan(DropReason::Superseded, fx);
        }
        self.queue = plan.moves.iter().copied().collect();
        self.plan = Some(plan);
        self.dropped = false;
        self.advance(now, fx);
    }

    /// Starts the next batch, or ends the plan.
    fn advance(&mut self, now: Instant, fx: &mut Effects) {
        let Phase::Idle = self.phase else {
            return;
        };
        if self.plan.is_none() {
            return;
        }
        if self.queue.is_empty() {
            self.plan = None;
            if !self.dropped {
                fx.push(ExecutorEffect::Finished);
            }
            return;
        }
        if !self.pace.open(now) {
            return;
        }
        let size = self.pace.batch().min(self.queue.len());
        let batch: Vec<LayerMove> = self.queue.drain(..size).collect();
        match self.remap(&batch, without_overwritten_replicas) {
            Ok(map) => {
                self.phase = Phase::Vacating { batch };
                self.commit(map, fx);
            }
            Err(_) => self.give_up(DropReason::CommitRefused, fx),
        }
    }

    /// Returns the map in force with the moves of each layer applied by `f`.
    fn remap(&self, moves: &[LayerMove], f: Remap) -> Result<ExpertMap, InvalidMap> {
        let plan = self.plan.as_ref().expect("a batch belongs to a plan");
        let layer = |(index, (map, loads)): (u16, (&LayerMap, &Vec<f64>))| {
            let of_layer = moves.iter().filter(|m| m.layer == index);
            let steps: Vec<Move> = of_layer.map(|m| m.expert_move).collect();
            f(map, &steps, loads, self.sharing)
        };
        let layers = (0..).zip(plan.map.layers.iter().zip(&plan.loads));
        layers
            .map(layer)
            .collect::<Result<_, _>>()
            .map(|layers| ExpertMap { layers })
    }

    fn commit(&mut self, map: ExpertMap, fx: &mut Effects) {
        self.version.0 += 1;
        let version = self.version;
        fx.push(ExecutorEffect::Commit {
            version,
            map: Box::new(map.clone()),
        });
        self.pending = Some(PendingMap { version, map });
    }

    fn committed(&mut self, now: Instant, version: MapVersion, fx: &mut Effects) {
        let Some(pending) = self.pending.take_if(|p| p.version == version) else {
            return;
        };
        if let Some(plan) = &mut self.plan {
            plan.map = pending.map;
        }
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::Vacating { batch } => self.copy(now, batch, fx),
            Phase::Publishing => {
                self.pace.batch_done();
                self.advance(now, fx);
            }
            other => self.phase = other,
        }
    }

    fn copy(&mut self, now: Instant, batch: Vec<LayerMove>, fx: &mut Effects) {
        let mut left = BTreeMap::new();
        if !self.dropped {
            for target in batch {
                self.last_transfer.0 += 1;
                let transfer = Transfer {
                    target,
                    attempts: 0,
                    in_flight: false,
                };
                left.insert(self.last_transfer, transfer);
            }
        }
        let done = Vec::new();
        self.phase = Phase::Copying { left, done };
        self.ask(now, fx);
        self.publish_when_done(now, fx);
    }

    /// Asks for the transfers that aren't in flight, if the pace allows.
    fn ask(&mut self, now: Instant, fx: &mut Effects) {
        let open = self.pace.open(now);
        let bytes = self.limits.expert_bytes;
        let Phase::Copying { left, .. } = &mut self.phase else {
            return;
        };
        let in_flight = left.values().filter(|t| t.in_flight).count();
        let room = if open {
            self.pace.batch().saturating_sub(in_flight)
        } else {
            0
        };
        for (transfer, state) in left.iter_mut().filter(|(_, t)| !t.in_flight).take(room) {
            state.in_flight = true;
            fx.push(ExecutorEffect::Transfer {
                transfer: *transfer,
                target: state.target,
                bytes,
            });
        }
    }

    fn transferred(
        &mut self,
        now: Instant,
        transfer: TransferId,
        result: TransferResult,
        fx: &mut Effects,
    ) {
        let Phase::Copying { left, done } = &mut self.phase else {
            return;
        };
        let Some(state) = left.get_mut(&transfer) else {
            return;
        };
        state.in_flight = false;
        match result {
            TransferResult::Done => {
                done.push(state.target);
                left.remove(&transfer);
            }
            TransferResult::StoreBusy => self.pace.refused(now),
            TransferResult::Failed => {
                state.attempts += 1;
                if state.attempts >= self.limits.max_attempts {
                    left.remove(&transfer);
                }
            }
        }
        if self.dropped {
            self.forget_waiting();
        }
        self.ask(now, fx);
        self.publish_when_done(now, fx);
    }

    /// Commits the map with the new replicas once no transfer is left.
    fn publish_when_done(&mut self, now: Instant, fx: &mut Effects) {
        let Phase::Copying { left, done } = &self.phase else {
            return;
        };
        if !left.is_empty() {
            return;
        }
        if done.is_empty() {
            self.phase = Phase::Idle;
            return self.advance(now, fx);
        }
        match self.remap(done, with_added_replicas) {
            Ok(map) => {
                self.phase = Phase::Publishing;
                self.commit(map, fx);
            }
            Err(_) => self.give_up(DropReason::CommitRefused, fx),
        }
    }

    /// Gives the plan up; transfers in flight still end.
    fn drop_plan(&mut self, reason: DropReason, fx: &mut Effects) {
        if self.plan.is_none() || self.dropped {
            return;
        }
        self.dropped = true;
        self.queue.clear();
        fx.push(ExecutorEffect::Dropped(reason));
        self.forget_waiting();
        if let Phase::Idle = self.phase {
            self.plan = None;
        }
    }

    /// Gives the plan up with its batch.
    fn give_up(&mut self, reason: DropReason, fx: &mut Effects) {
        self.phase = Phase::Idle;
        self.pending = None;
        self.drop_plan(reason, fx);
        self.plan = None;
    }

    /// Forgets the transfers that were not asked for.
    fn forget_waiting(&mut self) {
        if let Phase::Copying { left, .. } = &mut self.phase {
            left.retain(|_, t| t.in_flight);
        }
    }

    fn rank_lost(&mut self, now: Instant, rank: RankId, fx: &mut Effects) {
        self.drop_plan(DropReason::RankLost, fx);
        if let Phase::Copying { left, done } = &mut self.phase {
            left.retain(|_, t| t.target.expert_move.rank != rank);
            done.retain(|m| m.expert_move.rank != rank);
        }
        self.publish_when_done(now, fx);
    }

    /// Drops the plan if its rest no longer lowers the skew.
    fn demand(&mut self, now: Instant, loads: Vec<Vec<f64>>, fx: &mut Effects) {
        let Some(plan) = &mut self.plan else {
            return;
        };
        if loads.len() != plan.loads.len() {
            return;
        }
        plan.loads = loads;
        if !self.queue.is_empty() && !self.rest_pays() {
            self.drop_plan(DropReason::DemandTurned, fx);
            self.publish_when_done(now, fx);
        }
    }

    /// Tells whether the moves that wait lower the skew of a layer.
    fn rest_pays(&self) -> bool {
        let Some(plan) = &self.plan else {
            return false;
        };
        (0..)
            .zip(plan.map.layers.iter().zip(&plan.loads))
            .any(|(index, (map, loads))| {
                let of_layer = self.queue.iter().filter(|m| m.layer == index);
                let steps: Vec<Move> = of_layer.map(|m| m.expert_move).collect();
                let with_rest = without_overwritten_replicas(map, &steps, loads, self.sharing)
                    .and_then(|map| with_added_replicas(&map, &steps, loads, self.sharing));
                let without = level_shares(map, loads, self.sharing);
                with_rest.is_ok_and(|map| {
                    skew(&map.rank_loads(loads)) < skew(&without.rank_loads(loads))
                })
            })
    }
}

impl Reducer for MoveExecutor {
    type Event = ExecutorEvent;
    type Effect = ExecutorEffect;

    fn reduce(&mut self, now: Instant, event: ExecutorEvent, fx: &mut Effects) {
        match event {
            ExecutorEvent::Start(plan) => self.start(now, *plan, fx),
            ExecutorEvent::Committed(version) => self.committed(now, version, fx),
            ExecutorEvent::CommitRefused(version) => {
                if self.pending.as_ref().is_some_and(|p| p.version == version) {
                    self.give_up(DropReason::CommitRefused, fx);
                }
            }
            ExecutorEvent::Transferred { transfer, result } => {
                self.transferred(now, transfer, result, fx);
            }
            ExecutorEvent::StepTime { p95, bound } => self.pace.step_time(p95, bound),
            ExecutorEvent::Demand(loads) => self.demand(now, loads, fx),
            ExecutorEvent::RankLost(rank) => self.rank_lost(now, rank, fx),
        }
    }

    fn wake(&mut self, now: Instant, fx: &mut Effects) {
        self.ask(now, fx);
        self.advance(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        self.plan.as_ref()?;
        self.pace.not_before()
    }
}
