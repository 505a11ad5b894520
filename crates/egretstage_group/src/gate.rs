//! The rank's side: lets through to the engine what the decider may ask.
//!
//! The gate is the sole sender to its engine. One call is in flight at a
//! time; a call whose answer is lost is repeated. Right before a call is sent,
//! its fencing number is compared with the latest that the gate has promised.

use crate::{EngineCall, EngineReply, GroupDecision, NoEngineReply, Output, Peer};
use egretstage_wire::{
    EngineOrder, Fence, Generation, GroupFrame, MapVersion, RankIndex, RankState, VersionedMap,
};
use smallvec::SmallVec;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Pause before a call without an answer is repeated.
const CALL_RETRY: Duration = Duration::from_millis(100);

/// Silence of the engine after which another may take the rank's place.
const ENGINE_LOST: Duration = Duration::from_secs(2);

/// Rank that reports its steps over a link too: one is enough, since all ranks
/// step together, and this one exists in every group.
const REPORTING_RANK: RankIndex = RankIndex(0);

/// Maps that a gate remembers, so that it can take over as decider.
const REMEMBERED_MAPS: usize = 2;

/// A call with the peer that gets the answer.
#[derive(Clone, Debug)]
struct Queued {
    call: EngineCall,
    peer: Peer,
}

/// Lets through to the engine what the decider may ask.
#[derive(Debug)]
pub struct RankGate {
    rank: RankIndex,
    /// Silence of the decider after which the rank attaches again.
    attach_after: Duration,
    promised: Option<Generation>,
    ordered: Fence,
    state: Option<RankState>,
    maps: SmallVec<[VersionedMap; REMEMBERED_MAPS]>,
    decider: Option<Peer>,
    heard: Option<Instant>,
    queue: VecDeque<Queued>,
    in_flight: Option<Queued>,
    retry_at: Option<Instant>,
    /// When the engine's present silence began.
    silent_since: Option<Instant>,
    detached: bool,
}

impl RankGate {
    /// Starts the gate of a rank, before its engine has been asked anything.
    ///
    /// The rank attaches again after that much silence of the decider.
    #[must_use]
    pub fn new(rank: RankIndex, attach_after: Duration) -> Self {
        Self {
            rank,
            attach_after,
            promised: None,
            ordered: Fence::default(),
            state: None,
            maps: SmallVec::new(),
            decider: None,
            heard: None,
            queue: VecDeque::new(),
            in_flight: None,
            retry_at: None,
            silent_since: None,
            detached: false,
        }
    }

    /// Returns what the engine reported last.
    #[must_use]
    pub fn state(&self) -> Option<&RankState> {
        self.state.as_ref()
    }

    /// Returns the map of the last step that the engine has begun.
    #[must_use]
    pub fn active_map(&self) -> Option<VersionedMap> {
        let active = self.state.as_ref()?.active?;
        self.maps.iter().find(|map| map.version == active).cloned()
    }

    /// Attaches to a decider, or to none.
    pub fn set_decider(&mut self, now: Instant, decider: Option<Peer>, out: &mut Vec<Output>) {
        self.decider = decider;
        self.probe(now);
        self.pump(now, out);
    }

    /// Handles a frame of a decider.
    pub fn frame(&mut self, now: Instant, peer: Peer, frame: GroupFrame, out: &mut Vec<Output>) {
        if self.decider != Some(peer) {
            return;
        }
        self.heard = Some(now);
        match frame {
            GroupFrame::Join { generation, have } => self.join(peer, generation, have, out),
            GroupFrame::Stage { generation, map } if self.promised == Some(generation) => {
                self.remember(&map);
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
        self.pump(now, out);
    }

    fn join(
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

    fn remember(&mut self, map: &VersionedMap) {
        if self.maps.iter().any(|held| held.version == map.version) {
            return;
        }
        if self.maps.len() == REMEMBERED_MAPS {
            self.maps.remove(0);
        }
        self.maps.push(map.clone());
    }

    fn refuse_older(&self, peer: Peer, generation: Generation, out: &mut Vec<Output>) {
        if let Some(promised) = self.promised.filter(|promised| *promised > generation) {
            out.push(Output::ToDecider(peer, GroupFrame::Refused { promised }));
        }
    }

    fn enqueue(&mut self, peer: Peer, call: EngineCall) {
        let waits = self.queue.iter().chain(&self.in_flight);
        if waits.into_iter().all(|queued| queued.call != call) {
            self.queue.push_back(Queued { call, peer });
        }
    }

    fn probe(&mut self, now: Instant) {
        if let Some(peer) = self.decider {
            self.heard = Some(now);
            self.enqueue(peer, EngineCall::Probe);
        }
    }

    /// Returns the lowest fencing number that is still accepted.
    fn lowest_fence(&self) -> Fence {
        let promised = self.promised.map_or(Fence::default(), |p| p.fence);
        promised.max(self.ordered)
    }

    fn is_stale(&self, call: &EngineCall) -> bool {
        let lowest = self.lowest_fence();
        let older = call.generation() < self.promised && call.generation().is_some();
        older || call.fence().is_some_and(|fence| fence < lowest)
    }

    /// Sends the next call, if none is in flight.
    fn pump(&mut self, now: Instant, out: &mut Vec<Output>) {
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
                self.ordered = order.fence;
            }
            out.push(Output::CallEngine(queued.call.clone()));
            self.in_flight = Some(queued);
            return;
        }
    }

    /// Handles the end of the call in flight.
    pub fn engine_done(
        &mut self,
        now: Instant,
        result: Result<EngineReply, NoEngineReply>,
        out: &mut Vec<Output>,
    ) {
        let Some(done) = self.in_flight.take() else {
            return;
        };
        if let Ok(reply) = result {
            self.silent_since = None;
            self.answered(done, reply, out);
            if std::mem::take(&mut self.detached) {
                self.attach(out);
            }
        } else {
            self.retry_at = Some(now + CALL_RETRY);
            self.queue.push_front(done);
            self.detach_if_lost(now, out);
        }
        self.pump(now, out);
    }

    fn detach_if_lost(&mut self, now: Instant, out: &mut Vec<Output>) {
        let since = *self.silent_since.get_or_insert(now);
        if let Some(peer) = self.decider.filter(|_| now - since >= ENGINE_LOST) {
            self.detached = true;
            let rank = self.rank;
            out.push(Output::ToDecider(peer, GroupFrame::Detach { rank }));
        }
    }

    fn answered(&mut self, done: Queued, reply: EngineReply, out: &mut Vec<Output>) {
        let state = reply.state;
        let before = self.state.replace(state.clone());
        let replaced = before.is_some_and(|before| before.boot != state.boot);
        let peer = done.peer;
        self.promised = self.promised.max(state.generation);
        match done.call {
            EngineCall::Probe => self.attach(out),
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
            EngineCall::Stage { .. } | EngineCall::Grant(_) if !replaced => self.attach(out),
            EngineCall::Stage { .. } | EngineCall::Grant(_) => {}
        }
        if replaced {
            self.attach(out);
        }
    }

    fn attach(&self, out: &mut Vec<Output>) {
        if let (Some(peer), Some(state)) = (self.decider, self.state.clone()) {
            let rank = self.rank;
            let attach = GroupFrame::Attach { rank, state };
            out.push(Output::ToDecider(peer, attach));
        }
    }

    /// Handles the passing of time.
    pub fn wake(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.retry_at.is_some_and(|at| at <= now) {
            self.retry_at = None;
        }
        if self.attach_at().is_some_and(|at| at <= now) {
            self.probe(now);
        }
        self.pump(now, out);
    }

    /// Returns the next instant at which [`wake`](Self::wake) has work.
    #[must_use]
    pub fn next_wake(&self) -> Option<Instant> {
        [self.attach_at(), self.retry_at]
            .into_iter()
            .flatten()
            .min()
    }

    fn attach_at(&self) -> Option<Instant> {
        self.decider
            .and(self.heard)
            .map(|heard| heard + self.attach_after)
    }
}
