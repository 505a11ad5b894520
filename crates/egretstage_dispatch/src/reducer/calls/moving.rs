//! Moves streams off slow ranks, and silent streams to other upstreams.
//!
//! Load pattern: one rank of a full group becomes many times slower. It runs a few of the
//! group's streams, and all ranks wait for it in each pass as long as it does. So these
//! streams end their attempts there and resume at other ranks after their last event,
//! while the group's decider moves the experts.
//!
//! Load pattern: a stream pauses for seconds, since its upstream is lost, or has put it off
//! and goes on with it later. Its attempt is abandoned only if it can resume elsewhere:
//! otherwise its caller would lose an answer that may still be completed.

use super::{Call, Phase};
use crate::reducer::Dispatcher;
use crate::upstream::Upstream;
use crate::{CallKey, DispatchEffect, UnknownCause, UpstreamKey};
use compact_str::CompactString;
use egretstage_wire::ServiceName;
use std::collections::BTreeMap;
use std::time::Instant;

/// Minimum slowdown of a rank for its streams to move: the pauses of a group at its
/// bound are a tenth below the longest allowed, and a slower rank makes all of them
/// longer.
const MIN_MOVE_FACTOR: f32 = 1.3;

/// Streams that may move, by service and group.
type Movable = BTreeMap<(ServiceName, CompactString), Vec<CallKey>>;

impl Dispatcher {
    /// Moves this entry's streams off slow ranks: no more of them than the group's other
    /// ranks have free slots and the retry budget has retries.
    pub(in crate::reducer) fn move_streams_off_slow_ranks(
        &mut self,
        now: Instant,
        fx: &mut Vec<DispatchEffect>,
    ) {
        for ((service, group), mut streams) in self.movable_streams() {
            let retries = self.service(&service).retry_budget.left();
            let moves = retries.min(self.free_slots_of_sound_ranks(now, &service, &group));
            streams.sort_unstable();
            streams.truncate(usize::try_from(moves).unwrap_or(usize::MAX));
            for key in streams {
                // The stream isn't moved again before its next event.
                if let Some(call) = self.calls.get_mut(&key) {
                    call.last_event = None;
                }
                let cause = UnknownCause::SlowRank;
                fx.push(DispatchEffect::Abandon { call: key, cause });
            }
        }
    }

    /// Handles a stream that has had no event for a long time: abandons the attempt if the
    /// stream is expected to continue at another upstream.
    pub(in crate::reducer) fn stream_silent(
        &mut self,
        now: Instant,
        key: CallKey,
        fx: &mut Vec<DispatchEffect>,
    ) {
        let Some(call) = self.calls.get(&key) else {
            return;
        };
        if let Phase::Running { upstream, .. } = call.phase
            && self.should_move_stream(now, upstream)
            && self.has_place_elsewhere(now, key, call, upstream)
        {
            let cause = UnknownCause::Silent;
            fx.push(DispatchEffect::Abandon { call: key, cause });
        }
    }

    /// Returns whether a stream may resume, and another upstream that it wasn't sent to has
    /// room for it.
    fn has_place_elsewhere(
        &self,
        now: Instant,
        key: CallKey,
        call: &Call,
        upstream: UpstreamKey,
    ) -> bool {
        let has_retry = self
            .services
            .get(&call.service)
            .is_some_and(|state| state.retry_budget.left() > 0);
        if !call.may_resume() || !has_retry || self.harmful_refusal(now, call).is_some() {
            return false;
        }
        let chosen = self.choose_upstream(now, &call.service, key);
        chosen.is_some_and(|chosen| {
            let is_full = self.upstreams.get(chosen).is_some_and(Upstream::is_full);
            chosen != upstream && !call.tried.contains(&chosen) && !is_full
        })
    }

    /// Returns the streams of slow ranks that may resume elsewhere.
    fn movable_streams(&self) -> Movable {
        let mut movable = Movable::new();
        for (key, call) in &self.calls {
            if let Some(group) = self.group_to_move_within(call) {
                movable.entry(group).or_default().push(*key);
            }
        }
        movable
    }

    /// Returns the service and the group of a stream if it runs at a slow rank that the
    /// other ranks relieve, and may resume at one of them.
    fn group_to_move_within(&self, call: &Call) -> Option<(ServiceName, CompactString)> {
        let (upstream, _) = call.last_event()?;
        let upstream = self.upstreams.get(upstream)?;
        let groups = &self.services.get(&call.service)?.groups;
        let is_slow = upstream.slowdown.factor() >= MIN_MOVE_FACTOR;
        (call.may_resume() && is_slow && groups.is_relieved(upstream.group()))
            .then(|| (call.service.clone(), upstream.group().into()))
    }

    fn free_slots_of_sound_ranks(&self, now: Instant, service: &ServiceName, group: &str) -> u64 {
        let ready = self.upstreams.ready(now, service);
        let sound = ready.filter(|(_, u)| u.group() == group && !u.slowdown.is_slow());
        sound
            .map(|(_, u)| {
                let free = u.listed.slots.saturating_sub(u.calls());
                let starts = self.cold_starts.starts_left(now, u.start());
                u64::from(starts.map_or(free, |starts| free.min(starts)))
            })
            .sum()
    }
}
