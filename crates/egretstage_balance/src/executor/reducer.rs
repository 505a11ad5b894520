//! The state machine of the move executor.

use super::event::{
    DropReason, ExecutorEffect, ExecutorEvent, GroupPlan, LayerMove, MapVersion, TransferId,
    TransferResult,
};
use super::pacing::{ExecutorLimits, TransferPacing};
use crate::{ExpertMap, InvalidMap, LayerMap, Move, RankId, Sharing};
use crate::{level_shares, skew, with_added_replicas, without_overwritten_replicas};
use egretstage_runtime::Reducer;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

type Effects = Vec<ExecutorEffect>;

/// A function that applies moves to a layer's map.
type RemapLayer = fn(&LayerMap, &[Move], &[f64], Sharing) -> Result<LayerMap, InvalidMap>;

/// A transfer of the current batch.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    target: LayerMove,
    /// Failed attempts; refusals by a busy store don't count.
    attempts: u8,
    in_flight: bool,
}

/// Phase of the current batch.
#[derive(Debug)]
enum Phase {
    /// No batch is in progress.
    Idle,
    /// The commit of the map without the replicas to overwrite is pending.
    FreeingSlots { batch: Vec<LayerMove> },
    /// Weights are being copied.
    Copying {
        remaining: BTreeMap<TransferId, Transfer>,
        completed: Vec<LayerMove>,
    },
    /// The commit of the map with the new replicas is pending.
    Publishing,
}

/// A map whose commit was requested.
#[derive(Debug)]
struct PendingMap {
    version: MapVersion,
    map: ExpertMap,
}

/// Executes one plan at a time.
///
/// If a plan is submitted while another is in progress, both are dropped: the
/// new one was made for a map that is about to change.
///
/// Each map to commit holds only replicas whose weights are in place. When a
/// plan is dropped, its transfers in flight continue and their replicas are
/// still committed.
#[derive(Debug)]
pub struct MoveExecutor {
    limits: ExecutorLimits,
    sharing: Sharing,
    pacing: TransferPacing,
    plan: Option<GroupPlan>,
    queued_moves: VecDeque<LayerMove>,
    phase: Phase,
    pending_map: Option<PendingMap>,
    version: MapVersion,
    last_transfer: TransferId,
    /// Whether the plan was dropped while its batch is still in progress.
    dropped: bool,
}

impl MoveExecutor {
    /// Creates an executor without a plan.
    ///
    /// `version` is the version of the active map; later versions follow it.
    #[must_use]
    pub fn new(limits: ExecutorLimits, sharing: Sharing, version: MapVersion) -> Self {
        Self {
            pacing: TransferPacing::new(&limits),
            limits,
            sharing,
            plan: None,
            queued_moves: VecDeque::new(),
            phase: Phase::Idle,
            pending_map: None,
            version,
            last_transfer: TransferId(0),
            dropped: false,
        }
    }

    /// Returns whether a plan is in progress.
    #[must_use]
    pub fn is_busy(&self) -> bool {
        self.plan.is_some()
    }

    /// Returns the active map while a plan is in progress.
    #[must_use]
    pub fn map(&self) -> Option<&ExpertMap> {
        self.plan.as_ref().map(|plan| &plan.map)
    }

    fn handle_start(&mut self, now: Instant, plan: GroupPlan, fx: &mut Effects) {
        if self.is_busy() {
            return self.drop_plan(DropReason::Superseded, fx);
        }
        self.queued_moves = plan.moves.iter().copied().collect();
        self.plan = Some(plan);
        self.dropped = false;
        self.start_next_batch(now, fx);
    }

    /// Starts the next batch, or ends the plan if no move is left.
    fn start_next_batch(&mut self, now: Instant, fx: &mut Effects) {
        let Phase::Idle = self.phase else {
            return;
        };
        if self.plan.is_none() {
            return;
        }
        if self.queued_moves.is_empty() {
            self.plan = None;
            if !self.dropped {
                fx.push(ExecutorEffect::Finished);
            }
            return;
        }
        if !self.pacing.may_start(now) {
            return;
        }
        let batch_size = self.pacing.batch_size().min(self.queued_moves.len());
        let batch: Vec<LayerMove> = self.queued_moves.drain(..batch_size).collect();
        match self.remap(&batch, without_overwritten_replicas) {
            Ok(map) => {
                self.phase = Phase::FreeingSlots { batch };
                self.commit(map, fx);
            }
            Err(_) => self.abort_batch(DropReason::CommitRefused, fx),
        }
    }

    /// Returns the active map with the moves of each layer applied by
    /// `remap_layer`.
    fn remap(&self, moves: &[LayerMove], remap_layer: RemapLayer) -> Result<ExpertMap, InvalidMap> {
        let plan = self.plan.as_ref().expect("a batch belongs to a plan");
        let remapped = |(index, (map, loads)): (u16, (&LayerMap, &Vec<f64>))| {
            let of_layer = moves.iter().filter(|m| m.layer == index);
            let layer_moves: Vec<Move> = of_layer.map(|m| m.expert_move).collect();
            remap_layer(map, &layer_moves, loads, self.sharing)
        };
        let layers = (0..).zip(plan.map.layers.iter().zip(&plan.loads));
        layers
            .map(remapped)
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
        self.pending_map = Some(PendingMap { version, map });
    }

    fn handle_committed(&mut self, now: Instant, version: MapVersion, fx: &mut Effects) {
        let Some(pending_map) = self.pending_map.take_if(|p| p.version == version) else {
            return;
        };
        if let Some(plan) = &mut self.plan {
            plan.map = pending_map.map;
        }
        match std::mem::replace(&mut self.phase, Phase::Idle) {
            Phase::FreeingSlots { batch } => self.start_copying(now, batch, fx),
            Phase::Publishing => {
                self.pacing.record_published_batch();
                self.start_next_batch(now, fx);
            }
            other => self.phase = other,
        }
    }

    fn start_copying(&mut self, now: Instant, batch: Vec<LayerMove>, fx: &mut Effects) {
        let mut remaining = BTreeMap::new();
        if !self.dropped {
            for target in batch {
                self.last_transfer.0 += 1;
                let transfer = Transfer {
                    target,
                    attempts: 0,
                    in_flight: false,
                };
                remaining.insert(self.last_transfer, transfer);
            }
        }
        let completed = Vec::new();
        self.phase = Phase::Copying {
            remaining,
            completed,
        };
        self.request_transfers(now, fx);
        self.publish_when_copied(now, fx);
    }

    /// Requests transfers that aren't in flight, as far as the pacing allows.
    fn request_transfers(&mut self, now: Instant, fx: &mut Effects) {
        let may_start = self.pacing.may_start(now);
        let bytes = self.limits.expert_bytes;
        let Phase::Copying { remaining, .. } = &mut self.phase else {
            return;
        };
        let in_flight = remaining.values().filter(|t| t.in_flight).count();
        let capacity = if may_start {
            self.pacing.batch_size().saturating_sub(in_flight)
        } else {
            0
        };
        for (transfer, entry) in remaining
            .iter_mut()
            .filter(|(_, t)| !t.in_flight)
            .take(capacity)
        {
            entry.in_flight = true;
            fx.push(ExecutorEffect::Transfer {
                transfer: *transfer,
                target: entry.target,
                bytes,
            });
        }
    }

    fn handle_transferred(
        &mut self,
        now: Instant,
        transfer: TransferId,
        result: TransferResult,
        fx: &mut Effects,
    ) {
        let Phase::Copying {
            remaining,
            completed,
        } = &mut self.phase
        else {
            return;
        };
        let Some(entry) = remaining.get_mut(&transfer) else {
            return;
        };
        entry.in_flight = false;
        match result {
            TransferResult::Done => {
                completed.push(entry.target);
                remaining.remove(&transfer);
            }
            TransferResult::StoreBusy => self.pacing.record_refusal(now),
            TransferResult::Failed => {
                entry.attempts += 1;
                if entry.attempts >= self.limits.max_attempts {
                    remaining.remove(&transfer);
                }
            }
        }
        if self.dropped {
            self.discard_unsent_transfers();
        }
        self.request_transfers(now, fx);
        self.publish_when_copied(now, fx);
    }

    /// Commits the map with the new replicas once no transfer remains.
    fn publish_when_copied(&mut self, now: Instant, fx: &mut Effects) {
        let Phase::Copying {
            remaining,
            completed,
        } = &self.phase
        else {
            return;
        };
        if !remaining.is_empty() {
            return;
        }
        if completed.is_empty() {
            self.phase = Phase::Idle;
            return self.start_next_batch(now, fx);
        }
        match self.remap(completed, with_added_replicas) {
            Ok(map) => {
                self.phase = Phase::Publishing;
                self.commit(map, fx);
            }
            Err(_) => self.abort_batch(DropReason::CommitRefused, fx),
        }
    }

    /// Drops the plan; transfers in flight continue to their end.
    fn drop_plan(&mut self, reason: DropReason, fx: &mut Effects) {
        if self.plan.is_none() || self.dropped {
            return;
        }
        self.dropped = true;
        self.queued_moves.clear();
        fx.push(ExecutorEffect::Dropped(reason));
        self.discard_unsent_transfers();
        if let Phase::Idle = self.phase {
            self.plan = None;
        }
    }

    /// Drops the plan together with its current batch.
    fn abort_batch(&mut self, reason: DropReason, fx: &mut Effects) {
        self.phase = Phase::Idle;
        self.pending_map = None;
        self.drop_plan(reason, fx);
        self.plan = None;
    }

    /// Discards the transfers that aren't in flight.
    fn discard_unsent_transfers(&mut self) {
        if let Phase::Copying { remaining, .. } = &mut self.phase {
            remaining.retain(|_, t| t.in_flight);
        }
    }

    fn handle_rank_lost(&mut self, now: Instant, rank: RankId, fx: &mut Effects) {
        self.drop_plan(DropReason::RankLost, fx);
        if let Phase::Copying {
            remaining,
            completed,
        } = &mut self.phase
        {
            remaining.retain(|_, t| t.target.expert_move.rank != rank);
            completed.retain(|m| m.expert_move.rank != rank);
        }
        self.publish_when_copied(now, fx);
    }

    /// Drops the plan if its remaining moves no longer lower the skew.
    fn handle_demand(&mut self, now: Instant, loads: Vec<Vec<f64>>, fx: &mut Effects) {
        let Some(plan) = &mut self.plan else {
            return;
        };
        if loads.len() != plan.loads.len() {
            return;
        }
        plan.loads = loads;
        if !self.queued_moves.is_empty() && !self.remaining_moves_pay_off() {
            self.drop_plan(DropReason::DemandTurned, fx);
            self.publish_when_copied(now, fx);
        }
    }

    /// Returns whether the queued moves lower the skew of any layer.
    fn remaining_moves_pay_off(&self) -> bool {
        let Some(plan) = &self.plan else {
            return false;
        };
        (0..)
            .zip(plan.map.layers.iter().zip(&plan.loads))
            .any(|(index, (map, loads))| {
                let of_layer = self.queued_moves.iter().filter(|m| m.layer == index);
                let layer_moves: Vec<Move> = of_layer.map(|m| m.expert_move).collect();
                let with_moves =
                    without_overwritten_replicas(map, &layer_moves, loads, self.sharing).and_then(
                        |map| with_added_replicas(&map, &layer_moves, loads, self.sharing),
                    );
                let without_moves = level_shares(map, loads, self.sharing);
                with_moves.is_ok_and(|map| {
                    skew(&map.rank_loads(loads)) < skew(&without_moves.rank_loads(loads))
                })
            })
    }
}

impl Reducer for MoveExecutor {
    type Event = ExecutorEvent;
    type Effect = ExecutorEffect;

    fn reduce(&mut self, now: Instant, event: ExecutorEvent, fx: &mut Effects) {
        match event {
            ExecutorEvent::Start(plan) => self.handle_start(now, *plan, fx),
            ExecutorEvent::Committed(version) => self.handle_committed(now, version, fx),
            ExecutorEvent::CommitRefused(version) => {
                if self
                    .pending_map
                    .as_ref()
                    .is_some_and(|p| p.version == version)
                {
                    self.abort_batch(DropReason::CommitRefused, fx);
                }
            }
            ExecutorEvent::Transferred { transfer, result } => {
                self.handle_transferred(now, transfer, result, fx);
            }
            ExecutorEvent::StepTime { p95, bound } => self.pacing.record_step_time(p95, bound),
            ExecutorEvent::Demand(loads) => self.handle_demand(now, loads, fx),
            ExecutorEvent::RankLost(rank) => self.handle_rank_lost(now, rank, fx),
        }
    }

    fn wake(&mut self, now: Instant, fx: &mut Effects) {
        self.request_transfers(now, fx);
        self.start_next_batch(now, fx);
    }

    fn next_wake(&self) -> Option<Instant> {
        self.plan.as_ref()?;
        self.pacing.not_before()
    }
}
