//! Fences the calls that a decider makes to the engine of one rank.
//!
//! The gate is the only sender of calls to its engine. One call is in flight at
//! a time, and a call without a reply is repeated. Right before a call is sent,
//! its fencing number is compared with the highest that the gate has promised.

use crate::{EngineCall, EngineReply, GroupDecision, NoEngineReply, Output, Peer};
use egretstage_wire::{
    EngineOrder, Fence, Generation, GroupFrame, MapVersion, RankIndex, RankState, VersionedMap,
};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Delay before a call without a reply is repeated.
const CALL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Silence of the engine after which the gate detaches, so that another engine
/// can attach for the rank.
const ENGINE_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// Rank that reports its progress to a decider in another process too; other
/// ranks report only to one in their own process. One remote rank is enough,
/// because all ranks step together, and rank 0 exists in every group.
const REPORTING_RANK: RankIndex = RankIndex(0);

/// Number of maps that a gate keeps, so that its companion can take over as
/// decider with the active map.
const MAX_REMEMBERED_MAPS: usize = 2;

/// A call and the decider that gets the reply.
#[derive(Clone, Debug)]
struct QueuedCall {
    call: EngineCall,
    peer: Peer,
}

/// Forwards a decider's calls to the engine of one rank, unless they are stale.
#[derive(Debug)]
pub struct RankGate {
    rank: RankIndex,
    /// Silence of the decider after which the rank attaches again.
    reattach_after: Duration,
    /// Latest generation that the gate has promised to join or that its engine has
    /// joined; calls of earlier ones are refused.
    promised: Option<Generation>,
    /// Fencing number of the last order sent to the engine.
    last_order_fence: Fence,
    /// State that the engine reported last.
    state: Option<RankState>,
    /// The maps that the decider sent last.
    remembered_maps: SmallVec<[VersionedMap; MAX_REMEMBERED_MAPS]>,
    /// The decider to attach to.
    decider: Option<Peer>,
    /// When the decider last sent a frame or the rank last began to attach.
    decider_last_seen: Option<Instant>,
    queue: VecDeque<QueuedCall>,
    in_flight: Option<QueuedCall>,
    retry_at: Option<Instant>,
    /// When the first of the current run of calls without a reply ended.
    engine_silent_since: Option<Instant>,
    /// Whether the gate has detached and must attach again at the next reply.
    detached: bool,
}

impl RankGate {
    /// Creates the gate of a rank; it hasn't called its engine yet.
    ///
    /// The rank attaches again after `reattach_after` of silence of the decider.
    #[must_use]
    pub fn new(rank: RankIndex, reattach_after: Duration) -> Self {
        Self {
            rank,
            reattach_after,
            promised: None,
            last_order_fence: Fence::default(),
            state: None,
            remembered_maps: SmallVec::new(),
            decider: None,
            decider_last_seen: None,
            queue: VecDeque::new(),
            in_flight: None,
            retry_at: None,
            engine_silent_since: None,
            detached: false,
        }
    }

    /// Returns the state that the engine reported last.
    #[must_use]
    pub fn state(&self) -> Option<&RankState> {
        self.state.as_ref()
    }

    /// Returns the map of the last step that the engine has begun, if the gate
    /// still keeps it.
    #[must_use]
    pub fn active_map(&self) -> Option<VersionedMap> {
        let active = self.state.as_ref()?.active?;
        self.remembered_maps
            .iter()
            .find(|map| map.version == active)
            .cloned()
    }

    /// Sets the decider to attach to, if there is one.
    pub fn set_decider(&mut self, now: Instant, decider: Option<Peer>, out: &mut Vec<Output>) {
        self.decider = decider;
        self.enqueue_probe(now);
        self.send_next_call(now, out);
    }

    /// Handles a frame from the current decider and ignores frames from other peers.
    pub fn handle_frame(
        &mut self,
        now: Instant,
        peer: Peer,
        frame: GroupFrame,
        out: &mut Vec<Output>,
    ) {
        if self.decider != Some(peer) {
            return;
        }
        self.decider_last_seen = Some(now);
        match frame {
            GroupFrame::Join { generation, have } => self.handle_join(peer, generation, have, out),
            GroupFrame::Stage { generation, map } if self.promised == Some(generation) => {
                self.remember_map(&map);
                self.enqueue(peer, EngineCall::Stage { generation, map });
            }
            GroupFrame::Grant(grant) if self.promised == Some(grant.generation) => {
                self.queue
                    .retain(|queued| !matches!(queued.call, EngineCall::Grant(_)));
                self.enqueue(peer, EngineCall::Grant(grant));
            }
            GroupFrame::Order(order) if self.state.is_some() => {
                self.enqueue(peer, EngineCall::Order(order));
            }
            GroupFrame::Stage { generation, .. }
            | GroupFrame::Grant(egretstage_wire::Grant { generation, .. }) => {
                self.refuse_older(peer, generation, out);
            }
            _ => {}
        }
        self.send_next_call(now, out);
    }

    /// Promises the generation of a join, unless a later one has been promised.
    fn handle_join(
        &mut self,
        peer: Peer,
        generation: Generation,
        have: Option<MapVersion>,
        out: &mut Vec<Output>,
    ) {
        if self.promised.is_some_and(|promised| promised > generation) {
            self.refuse_older(peer, generation, out);
            return;
        }
        self.promised = Some(generation);
        self.enqueue(peer, EngineCall::Join { generation, have });
    }

    fn remember_map(&mut self, map: &VersionedMap) {
        if self
            .remembered_maps
            .iter()
            .any(|held| held.version == map.version)
        {
            return;
        }
        if self.remembered_maps.len() == MAX_REMEMBERED_MAPS {
            self.remembered_maps.remove(0);
        }
        self.remembered_maps.push(map.clone());
    }

    /// Replies with the promised generation if `generation` is older.
    fn refuse_older(&self, peer: Peer, generation: Generation, out: &mut Vec<Output>) {
        if let Some(promised) = self.promised.filter(|promised| *promised > generation) {
            out.push(Output::ToDecider(peer, GroupFrame::Refused { promised }));
        }
    }

    /// Queues a call, unless the same call is already queued or in flight.
    fn enqueue(&mut self, peer: Peer, call: EngineCall) {
        let pending = self.queue.iter().chain(&self.in_flight);
        if pending.into_iter().all(|queued| queued.call != call) {
            self.queue.push_back(QueuedCall { call, peer });
        }
    }

    /// Queues a probe, whose reply attaches the rank to the decider.
    fn enqueue_probe(&mut self, now: Instant) {
        if let Some(peer) = self.decider {
            self.decider_last_seen = Some(now);
            self.enqueue(peer, EngineCall::Probe);
        }
    }

    /// Returns the lowest fencing number that is still accepted.
    fn lowest_fence(&self) -> Fence {
        let promised = self.promised.map_or(Fence::default(), |p| p.fence);
        promised.max(self.last_order_fence)
    }

    /// Returns whether a call is of an earlier generation or fencing number than
    /// the latest that the gate accepts.
    fn is_stale(&self, call: &EngineCall) -> bool {
        let lowest = self.lowest_fence();
        let older = call.generation() < self.promised && call.generation().is_some();
        older || call.fence().is_some_and(|fence| fence < lowest)
    }

    /// Sends the next call that isn't stale, if none is in flight.
    fn send_next_call(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.in_flight.is_some() || self.retry_at.is_some_and(|at| at > now) {
            return;
        }
        while let Some(queued) = self.queue.pop_front() {
            if self.is_stale(&queued.call) {
                if let EngineCall::Order(EngineOrder { fence, .. }) = queued.call {
                    let lowest = self.lowest_fence();
                    out.push(Output::Log(GroupDecision::DropOrder { fence, lowest }));
                }
                continue;
            }
            if let EngineCall::Order(order) = &queued.call {
                self.last_order_fence = order.fence;
            }
            out.push(Output::CallEngine(queued.call.clone()));
            self.in_flight = Some(queued);
            return;
        }
    }

    /// Handles the reply to the call in flight, or its absence.
    pub fn handle_call_result(
        &mut self,
        now: Instant,
        result: Result<EngineReply, NoEngineReply>,
        out: &mut Vec<Output>,
    ) {
        let Some(done) = self.in_flight.take() else {
            return;
        };
        if let Ok(reply) = result {
            self.engine_silent_since = None;
            self.handle_reply(done, reply, out);
            if std::mem::take(&mut self.detached) {
                self.send_attach(out);
            }
        } else {
            self.retry_at = Some(now + CALL_RETRY_DELAY);
            self.queue.push_front(done);
            self.detach_if_engine_silent(now, out);
        }
        self.send_next_call(now, out);
    }

    /// Detaches from the decider if the engine hasn't replied for
    /// [`ENGINE_SILENCE_LIMIT`].
    fn detach_if_engine_silent(&mut self, now: Instant, out: &mut Vec<Output>) {
        let since = *self.engine_silent_since.get_or_insert(now);
        if let Some(peer) = self.decider.filter(|_| now - since >= ENGINE_SILENCE_LIMIT) {
            self.detached = true;
            let rank = self.rank;
            out.push(Output::ToDecider(peer, GroupFrame::Detach { rank }));
        }
    }

    /// Reports the result of a call to the decider that requested it. Attaches
    /// after a probe, and again if the engine was replaced or a map or grant had
    /// no effect.
    fn handle_reply(&mut self, done: QueuedCall, reply: EngineReply, out: &mut Vec<Output>) {
        let state = reply.state;
        let previous = self.state.replace(state.clone());
        let engine_replaced = previous.is_some_and(|previous| previous.boot != state.boot);
        let peer = done.peer;
        self.promised = self.promised.max(state.generation);
        match done.call {
            EngineCall::Probe => self.send_attach(out),
            EngineCall::Join { generation, .. } if state.generation == Some(generation) => {
                let map = reply.map;
                let joined = GroupFrame::Joined {
                    generation,
                    state,
                    map,
                };
                out.push(Output::ToDecider(peer, joined));
            }
            EngineCall::Join { generation, .. } => self.refuse_older(peer, generation, out),
            EngineCall::Stage { generation, map } if reply.effective => {
                let version = map.version;
                let staged = GroupFrame::Staged {
                    generation,
                    version,
                };
                out.push(Output::ToDecider(peer, staged));
            }
            EngineCall::Grant(grant) if reply.effective => {
                if peer == Peer::Local || self.rank == REPORTING_RANK {
                    let progress = GroupFrame::Progress {
                        generation: grant.generation,
                        entered: state.entered,
                    };
                    out.push(Output::ToDecider(peer, progress));
                }
            }
            EngineCall::Order(order) => out.push(Output::ToDecider(
                peer,
                GroupFrame::OrderDone {
                    fence: order.fence,
                    number: order.number,
                    effective: reply.effective,
                },
            )),
            EngineCall::Stage { .. } | EngineCall::Grant(_) if !engine_replaced => {
                self.send_attach(out);
            }
            EngineCall::Stage { .. } | EngineCall::Grant(_) => {}
        }
        if engine_replaced {
            self.send_attach(out);
        }
    }

    fn send_attach(&self, out: &mut Vec<Output>) {
        if let (Some(peer), Some(state)) = (self.decider, self.state.clone()) {
            let rank = self.rank;
            let attach = GroupFrame::Attach { rank, state };
            out.push(Output::ToDecider(peer, attach));
        }
    }

    /// Attaches again if the decider is silent, and retries a call that is due.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
        }
        if self.reattach_at().is_some_and(|at| at <= now) {
            self.enqueue_probe(now);
        }
        self.send_next_call(now, out);
    }

    /// Returns the next instant at which [`wake`](Self::wake) has work to do.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        [self.reattach_at(), self.retry_at]
            .into_iter()
            .flatten()
            .min()
    }

    /// Returns when the rank attaches again unless the decider sends something.
    fn reattach_at(&self) -> Option<Instant> {
        self.decider
            .and(self.decider_last_seen)
            .map(|last_seen| last_seen + self.reattach_after)
    }
}
