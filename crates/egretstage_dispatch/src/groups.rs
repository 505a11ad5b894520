//! The model groups of a service, each with a bound of its own on running calls.
//!
//! Load pattern: a service has several groups. The ranks of a group step in
//! lockstep, so a slow rank or an unbalanced map slows only its own group. A
//! bound over the whole service would fill the slow group and leave the others
//! idle.

use crate::admission::{PauseControl, StreamLimits, usable_slots};
use crate::circuit_breaker::CircuitBreaker;
use crate::{EngineProfile, GroupCost, GroupTag, PeerSum, Prompt, Upstreams};
use compact_str::CompactString;
use egretstage_wire::{ServiceName, SlowRanks};
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Maximum age of an observed cost that is reported to the other entries.
const MAX_REPORTED_COST_AGE: Duration = Duration::from_secs(2);

/// Passes from the arrival of a prompt at an engine to the first event: one is under
/// way, and one or two read the prompt.
const PASSES_BEFORE_FIRST_EVENT: f32 = 2.0;

/// A group is used evenly up to one such part above the use of all groups together.
const EVEN_USE_PARTS: u128 = 16;

/// Load and bound of a group, over all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupLoad {
    /// The group; empty for upstreams without one.
    pub(crate) group: CompactString,
    /// Calls that it runs.
    pub(crate) running: u32,
    /// Ranks that take new work.
    pub(crate) ranks: u32,
    /// Calls that it may run.
    pub(crate) bound: u32,
    /// Calls that run at ranks in evacuated zones. These step with the others, so they count
    /// in `running` and `ranks`, but not as room.
    pub(crate) emptied_running: u32,
    /// Ranks in evacuated zones.
    pub(crate) emptied_ranks: u32,
    /// Whether its circuit is open.
    pub(crate) circuit_open: bool,
    /// Whether it has stalled.
    pub(crate) stalled: bool,
}

impl GroupLoad {
    /// Returns whether one more call may run.
    pub(crate) fn has_capacity(&self) -> bool {
        self.running < self.bound
    }

    /// Returns whether the bound comes from the pauses of the group's streams.
    pub(crate) fn is_bounded(&self) -> bool {
        self.bound != u32::MAX && !self.circuit_open
    }

    /// Returns the load of several groups together.
    pub(crate) fn sum(loads: &[Self]) -> Self {
        let open = loads.iter().filter(|load| load.bound > 0);
        let none = Self {
            group: CompactString::default(),
            running: 0,
            ranks: 0,
            bound: 0,
            emptied_running: 0,
            emptied_ranks: 0,
            circuit_open: false,
            stalled: false,
        };
        open.fold(none, |sum, load| Self {
            running: sum.running.saturating_add(load.running),
            ranks: sum.ranks.saturating_add(load.ranks),
            bound: sum.bound.saturating_add(load.bound),
            ..sum
        })
    }

    /// Returns whether the group is used hardly more than all groups together.
    pub(crate) fn is_used_evenly(&self, all: &Self) -> bool {
        let cross_product = |a: &Self, b: &Self| u128::from(a.running) * u128::from(b.bound);
        let own = cross_product(self, all) * EVEN_USE_PARTS;
        own <= cross_product(all, self) * (EVEN_USE_PARTS + 1)
    }

    /// Compares by the used share of the bound.
    pub(crate) fn cmp_utilization(&self, other: &Self) -> std::cmp::Ordering {
        let cross_product = |a: &Self, b: &Self| u64::from(a.running) * u64::from(b.bound);
        cross_product(self, other).cmp(&cross_product(other, self))
    }
}

/// The pause controls and circuit breakers of a service's groups.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    /// The engine, with the limits on its streams, if model groups run the service.
    engine: Option<(EngineProfile, StreamLimits)>,
    pause_controls: HashMap<CompactString, PauseControl>,
    circuit_breakers: HashMap<CompactString, CircuitBreaker>,
    stalled: SmallVec<[CompactString; 2]>,
}

impl Groups {
    /// Applies the operator's settings and keeps the cost estimates.
    pub(crate) fn configure(&mut self, engine: Option<EngineProfile>, limits: StreamLimits) {
        self.engine = engine.map(|engine| (engine, limits));
        match engine {
            None => self.pause_controls.clear(),
            Some(engine) => {
                for control in self.pause_controls.values_mut() {
                    control.reconfigure(engine, limits);
                }
            }
        }
    }

    /// Updates the cost estimates of a group with a pause in one of its streams.
    pub(crate) fn observe_pause(&mut self, now: Instant, pause: Duration, load: &GroupLoad) {
        if let Some((engine, limits)) = self.engine {
            let control = self.pause_controls.entry(load.group.clone());
            let control = control.or_insert_with(|| PauseControl::new(engine, limits));
            control.observe(now, pause, load.running, load.ranks);
        }
    }

    /// Records the duration of a stream that completed, and its number of events.
    pub(crate) fn record_stream(&mut self, group: &str, duration: Duration, events: u32) {
        if let Some(control) = self.pause_controls.get_mut(group) {
            control.record_stream(duration, events);
        }
    }

    /// Returns the expected time that a group with a slow rank takes to generate the
    /// answer to a prompt; `None` if it doesn't wait for slow ranks.
    ///
    /// Without an expected length, the answer is assumed to be as long as the mean.
    pub(crate) fn slow_answer_time(
        &self,
        load: &GroupLoad,
        prompt: Option<Prompt>,
    ) -> Option<Duration> {
        let (engine, _) = self.engine?;
        let control = self.pause_controls.get(&load.group)?;
        if !control.waits_for_slow_ranks() {
            return None;
        }
        let to_events = |tokens: u32| {
            let events = tokens.div_ceil(engine.steps_per_event.max(1));
            f32::from(u16::try_from(events).unwrap_or(u16::MAX))
        };
        let expected = prompt.and_then(|prompt| prompt.expected_output);
        let expected = expected.map_or(control.events_per_stream(), to_events);
        let max = prompt.map_or(f32::INFINITY, |prompt| to_events(prompt.max_output));
        let passes = expected.min(max) + PASSES_BEFORE_FIRST_EVENT;
        let pause_ms = control.expected_pause_ms(load.running, load.ranks);
        Duration::try_from_secs_f32(passes * pause_ms / 1000.0).ok()
    }

    /// Applies a report of slow ranks of a group of `ranks` ranks; returns whether its
    /// slowest rank is faster or slower than before.
    pub(crate) fn set_slow_ranks(&mut self, report: &SlowRanks, ranks: usize) -> bool {
        let Some((engine, limits)) = self.engine else {
            return false;
        };
        let control = self.pause_controls.entry(report.group.clone());
        let control = control.or_insert_with(|| PauseControl::new(engine, limits));
        let is_relieved = engine.can_do_without(report.ranks.len(), ranks);
        control.set_slowdown(report.slowest(), is_relieved)
    }

    /// Returns whether the other ranks of a group take over the work of its slow ranks.
    pub(crate) fn is_relieved(&self, group: &str) -> bool {
        let control = self.pause_controls.get(group);
        control.is_some_and(PauseControl::is_relieved)
    }

    /// Sets the cost of a group's streams that the other entries report.
    pub(crate) fn set_peer_cost(&mut self, group: CompactString, peer_cost: PeerSum) {
        if let Some((engine, limits)) = self.engine {
            let control = self.pause_controls.entry(group);
            let control = control.or_insert_with(|| PauseControl::new(engine, limits));
            control.set_peer_cost(peer_cost);
        }
    }

    /// Returns the costs of streams that this entry has recently observed.
    pub(crate) fn recent_costs(&self, now: Instant) -> impl Iterator<Item = GroupCost> + '_ {
        self.pause_controls
            .iter()
            .filter_map(move |(group, control)| {
                let cost = control.recent_cost(now, MAX_REPORTED_COST_AGE)?;
                Some(GroupCost(GroupTag::from(group.as_str()), cost))
            })
    }

    /// Sets the stalled groups; returns those that weren't stalled before.
    pub(crate) fn set_stalled(
        &mut self,
        stalled: SmallVec<[CompactString; 2]>,
    ) -> SmallVec<[CompactString; 2]> {
        let previous = std::mem::replace(&mut self.stalled, stalled);
        let is_new = |group: &&CompactString| !previous.contains(group);
        self.stalled.iter().filter(is_new).cloned().collect()
    }

    /// Records that a group has resumed; returns whether it was stalled.
    pub(crate) fn resume(&mut self, group: &str) -> bool {
        let stalled_before = self.stalled.len();
        self.stalled.retain(|stalled| stalled != group);
        self.stalled.len() < stalled_before
    }

    /// Opens the circuit of a group whose records say that it is broken; returns
    /// whether it was closed.
    pub(crate) fn open_circuit(&mut self, now: Instant, group: &str) -> bool {
        self.update_circuit(group, |circuit| circuit.open(now))
    }

    /// Records that a group refused a call, with the end of its back-off request
    /// if it sent one; returns whether this opened its circuit.
    pub(crate) fn record_refusal(
        &mut self,
        now: Instant,
        group: &str,
        back_off_until: Option<Instant>,
    ) -> bool {
        self.update_circuit(group, |circuit| circuit.record_refusal(now, back_off_until))
    }

    /// Returns until when a group with an open circuit has asked for no calls.
    pub(crate) fn back_off_until(&self, group: &str) -> Option<Instant> {
        self.circuit_breakers
            .get(group)
            .and_then(CircuitBreaker::back_off_until)
    }

    /// Records that a call is sent to a group.
    pub(crate) fn record_sent(&mut self, now: Instant, group: &str) {
        if let Some(circuit) = self.circuit_breakers.get_mut(group) {
            circuit.record_sent(now);
        }
    }

    /// Closes the circuit of a group that answers calls, or whose records say
    /// that it takes them; returns whether it was open.
    ///
    /// The cost estimates of a group whose circuit was open are dropped.
    pub(crate) fn close_circuit(&mut self, group: &str) -> bool {
        let was_open = self
            .circuit_breakers
            .remove(group)
            .is_some_and(|c| c.is_open());
        if was_open && let Some(control) = self.pause_controls.get_mut(group) {
            control.reset();
        }
        was_open
    }

    /// Updates a group's circuit breaker; returns whether this opened the
    /// circuit.
    fn update_circuit(&mut self, group: &str, update: impl FnOnce(&mut CircuitBreaker)) -> bool {
        // Upstreams without a group fail independently of each other.
        if self.engine.is_none() || group.is_empty() {
            return false;
        }
        let circuit = self.circuit_breakers.entry(group.into()).or_default();
        let was_open = circuit.is_open();
        update(circuit);
        !was_open && circuit.is_open()
    }

    /// Returns the maximum number of streams of a group; unlimited if the service
    /// has no engine.
    ///
    /// The pauses of a group follow the streams at all its ranks, but only the slots of ranks
    /// outside evacuated zones are room.
    fn bound(&self, load: &GroupLoad) -> u32 {
        let Some((engine, limits)) = self.engine else {
            return u32::MAX;
        };
        let bound = match self.pause_controls.get(&load.group) {
            Some(control) => control.bound(load.ranks),
            None => PauseControl::new(engine, limits).bound(load.ranks),
        };
        if load.emptied_ranks == 0 {
            return bound;
        }
        let room = usable_slots(engine.slots, load.ranks - load.emptied_ranks);
        bound.min(load.emptied_running.saturating_add(room))
    }

    /// Returns the loads of the groups that have ready upstreams.
    ///
    /// A group with an open circuit has no capacity, except for a trial call.
    pub(crate) fn loads(
        &self,
        now: Instant,
        upstreams: &Upstreams,
        service: &ServiceName,
    ) -> SmallVec<[GroupLoad; 4]> {
        let mut loads: SmallVec<[GroupLoad; 4]> = SmallVec::new();
        for (_, upstream) in upstreams.ready(now, service) {
            let group = upstream.group();
            let calls = upstream.calls();
            if let Some(load) = loads.iter_mut().find(|load| load.group == group) {
                load.running += calls;
                load.ranks += 1;
            } else {
                loads.push(GroupLoad {
                    group: group.into(),
                    running: calls,
                    ranks: 1,
                    bound: 0,
                    emptied_running: 0,
                    emptied_ranks: 0,
                    circuit_open: false,
                    stalled: false,
                });
            }
        }
        for upstream in upstreams.emptied(now, service) {
            let group = upstream.group();
            if !group.is_empty()
                && let Some(load) = loads.iter_mut().find(|load| load.group == group)
            {
                load.running += upstream.calls();
                load.ranks += 1;
                load.emptied_running += upstream.calls();
                load.emptied_ranks += 1;
            }
        }
        for load in &mut loads {
            let circuit = self.circuit_breakers.get(&load.group).copied();
            let circuit = circuit.unwrap_or_default();
            load.circuit_open = circuit.is_open();
            load.stalled = self.stalled.contains(&load.group);
            load.bound = match (load.circuit_open, circuit.allows_call(now)) {
                (false, _) if load.stalled => 0,
                (false, _) => self.bound(load),
                (true, true) => load.running + 1,
                (true, false) => 0,
            };
        }
        loads
    }
}
