//! The model groups of a service, each with a bound of its own.
//!
//! Load pattern: a service has several groups. The ranks of one step together,
//! so a slow rank or an unbalanced map slows its own group only: a bound over
//! the whole service would fill the slow group and leave the others idle.

use crate::admission::PauseControl;
use crate::closure::Closure;
use crate::{EngineProfile, GroupCost, GroupTag, PeerSum, Upstreams};
use compact_str::CompactString;
use egretstage_wire::ServiceName;
use smallvec::SmallVec;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Age up to which what streams cost is told to the other entries.
const TELL_COSTS_WITHIN: Duration = Duration::from_secs(2);

/// What a group runs and may run, at all entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct GroupLoad {
    /// The group; empty for upstreams that are in none.
    pub(crate) group: CompactString,
    /// Calls that it runs.
    pub(crate) running: u32,
    /// Ranks that take new work.
    pub(crate) ranks: u32,
    /// Calls that it may run.
    pub(crate) bound: u32,
    /// Whether it is closed.
    pub(crate) closed: bool,
    /// Whether it stands.
    pub(crate) stands: bool,
}

impl GroupLoad {
    /// Tells whether one more call may run.
    pub(crate) fn has_room(&self) -> bool {
        self.running < self.bound
    }

    /// Compares by the share of the bound that is used.
    pub(crate) fn cmp_used(&self, other: &Self) -> std::cmp::Ordering {
        let used = |a: &Self, b: &Self| u64::from(a.running) * u64::from(b.bound);
        used(self, other).cmp(&used(other, self))
    }
}

/// The pause controls and closures of a service's groups.
#[derive(Clone, Debug, Default)]
pub(crate) struct Groups {
    engine: Option<(EngineProfile, Duration)>,
    pauses: HashMap<CompactString, PauseControl>,
    closures: HashMap<CompactString, Closure>,
    /// The groups that stand.
    standing: SmallVec<[CompactString; 2]>,
}

impl Groups {
    /// Takes over what the operator says; what was learnt of pauses stays.
    pub(crate) fn configure(&mut self, engine: Option<EngineProfile>, max_pause: Duration) {
        self.engine = engine.map(|engine| (engine, max_pause));
        match engine {
            None => self.pauses.clear(),
            Some(engine) => {
                for pauses in self.pauses.values_mut() {
                    pauses.reconfigure(engine, max_pause);
                }
            }
        }
    }

    /// Notes a pause in a stream of a group.
    pub(crate) fn observe(&mut self, now: Instant, pause: Duration, load: &GroupLoad) {
        if let Some((engine, max_pause)) = self.engine {
            let pauses = self.pauses.entry(load.group.clone());
            let pauses = pauses.or_insert_with(|| PauseControl::new(engine, max_pause));
            pauses.observe(now, pause, load.running, load.ranks);
        }
    }

    /// Notes how long a stream of a group lasted.
    pub(crate) fn stream_lasted(&mut self, group: &str, time: Duration) {
        if let Some(pauses) = self.pauses.get_mut(group) {
            pauses.stream_lasted(time);
        }
    }

    /// Takes over what the other entries say that a group's streams cost.
    pub(crate) fn hear_others(&mut self, group: CompactString, others: PeerSum) {
        if let Some((engine, max_pause)) = self.engine {
            let pauses = self.pauses.entry(group);
            let pauses = pauses.or_insert_with(|| PauseControl::new(engine, max_pause));
            pauses.hear_others(others);
        }
    }

    /// Returns what streams cost as seen here of late.
    pub(crate) fn costs(&self, now: Instant) -> impl Iterator<Item = GroupCost> + '_ {
        self.pauses.iter().filter_map(move |(group, pauses)| {
            let cost = pauses.cost(now, TELL_COSTS_WITHIN)?;
            Some(GroupCost(GroupTag::from(group.as_str()), cost))
        })
    }

    /// Notes which groups stand; returns those that did not before.
    pub(crate) fn stand(
        &mut self,
        standing: SmallVec<[CompactString; 2]>,
    ) -> SmallVec<[CompactString; 2]> {
        let before = std::mem::replace(&mut self.standing, standing);
        let is_new = |group: &&CompactString| !before.contains(group);
        self.standing.iter().filter(is_new).cloned().collect()
    }

    /// Notes that a group goes on; returns whether it stood.
    pub(crate) fn goes_on(&mut self, group: &str) -> bool {
        let stood = self.standing.len();
        self.standing.retain(|standing| standing != group);
        self.standing.len() < stood
    }

    /// Closes a group whose records say that it is broken; returns whether it
    /// was open.
    pub(crate) fn close(&mut self, now: Instant, group: &str) -> bool {
        self.close_by(group, |closure| closure.close(now))
    }

    /// Notes that a group refused a call, perhaps until a stated time; returns
    /// whether this closed it.
    pub(crate) fn refused(&mut self, now: Instant, group: &str, until: Option<Instant>) -> bool {
        self.close_by(group, |closure| closure.refused(now, until))
    }

    /// Returns the time until which a closed group has said that it takes no
    /// calls.
    pub(crate) fn closed_until(&self, group: &str) -> Option<Instant> {
        self.closures.get(group).and_then(Closure::stated)
    }

    /// Notes that a call is sent to a group.
    pub(crate) fn tried(&mut self, now: Instant, group: &str) {
        if let Some(closure) = self.closures.get_mut(group) {
            closure.tried(now);
        }
    }

    /// Notes that a group runs calls, or that its records say so; returns
    /// whether it was closed.
    pub(crate) fn answered(&mut self, group: &str) -> bool {
        let was_closed = self.closures.remove(group).is_some_and(|c| c.is_closed());
        if was_closed && let Some(pauses) = self.pauses.get_mut(group) {
            pauses.forget();
        }
        was_closed
    }

    /// Changes a group's closure; returns whether this closed the group.
    fn close_by(&mut self, group: &str, change: impl FnOnce(&mut Closure)) -> bool {
        // Plain upstreams that are in no group answer each for itself.
        if self.engine.is_none() || group.is_empty() {
            return false;
        }
        let closure = self.closures.entry(group.into()).or_default();
        let was_closed = closure.is_closed();
        change(closure);
        !was_closed && closure.is_closed()
    }

    fn bound(&self, group: &str, ranks: u32) -> u32 {
        let Some((engine, max_pause)) = self.engine else {
            return u32::MAX;
        };
        match self.pauses.get(group) {
            Some(pauses) => pauses.bound(ranks),
            None => PauseControl::new(engine, max_pause).bound(ranks),
        }
    }

    /// Returns the loads of the groups.
    ///
    /// A closed one has no room, but for a call that tries it.
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
                    closed: false,
                    stands: false,
                });
            }
        }
        for load in &mut loads {
            let closure = self.closures.get(&load.group).copied();
            let closure = closure.unwrap_or_default();
            load.closed = closure.is_closed();
            load.stands = self.standing.contains(&load.group);
            load.bound = match (load.closed, closure.may_try(now)) {
                (false, _) if load.stands => 0,
                (false, _) => self.bound(&load.group, load.ranks),
                (true, true) => load.running + 1,
                (true, false) => 0,
            };
        }
        loads
    }
}
