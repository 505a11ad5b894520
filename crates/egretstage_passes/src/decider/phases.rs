//! What a decider does in each phase of a change of the map.

use super::{DeciderEffect, MapDecider, NextMap, Phase, Switch, VERSIONS_PER_FENCE};
use crate::{EngineReport, ExpertsByRank, MapChanges, PassLogEntry, PassOrder};
use egretstage_balance::{EvenMap, WaveLimits, plan_wave};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two looks at the demand for each rank: a plan takes time that
/// grows with them, of an instance's small share of a core.
const PLAN_TIME_PER_RANK: Duration = Duration::from_millis(2);

impl NextMap {
    /// Returns the bytes that most ranks are sent.
    pub(super) fn bytes(&self) -> usize {
        let changes = self.changes.as_ref().map(|changes| changes.bytes());
        changes.unwrap_or(self.whole_bytes)
    }
}

impl MapDecider {
    pub(super) fn idle(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        out: &mut Vec<DeciderEffect>,
    ) {
        if reports
            .iter()
            .any(|r| r.held.is_some() || r.armed.is_some())
        {
            // A late order of an earlier decider took effect.
            return self.enter(Phase::Surveying, out);
        }
        if now < self.plan_at {
            return;
        }
        let time_for_ranks = PLAN_TIME_PER_RANK * self.rank_count();
        self.plan_at = now + self.limits.plan_interval.max(time_for_ranks);
        let Some((maps, loads)) = self.maps_and_loads(now, reports) else {
            return;
        };
        let limits = WaveLimits {
            copies_per_rank: self.copies_per_rank(),
            copies_per_layer: self.shape.copies_per_layer,
            slots_per_rank: self.shape.slots_per_rank,
            min_gain: self.limits.min_copy_gain,
        };
        let Some(wave) = plan_wave(&maps, &loads, &limits) else {
            return;
        };
        if wave.skew_before - wave.skew_after < self.limits.min_skew_gain {
            return;
        }
        let newest = reports.iter().map(|r| r.map.max(r.prepared.unwrap_or(0)));
        let newest = newest.max().unwrap_or(0);
        let first = self.fence * VERSIONS_PER_FENCE + self.versions;
        let version = first.max(newest) + 1;
        self.versions = version - self.fence * VERSIONS_PER_FENCE;
        out.push(DeciderEffect::Log(PassLogEntry::Plan {
            fence: self.fence,
            version,
            copies: wave.copies,
            skew_before: wave.skew_before,
            skew_after: wave.skew_after,
        }));
        let by_rank = |maps: &[EvenMap]| maps.iter().map(EvenMap::by_rank).collect();
        let layers: ExpertsByRank = by_rank(&wave.layers);
        let map = NextMap {
            changes: MapChanges::between(&by_rank(&maps), &layers).map(Rc::new),
            whole_bytes: crate::packed::pack(&layers).map_or(0, |packed| packed.len()),
            layers: Rc::new(layers),
        };
        let since = now;
        self.enter(
            Phase::Preparing {
                version,
                map,
                since,
            },
            out,
        );
        self.wake(now, out);
    }

    fn copies_per_rank(&self) -> u16 {
        let copy_time = self.shape.copy_time.as_millis().max(1);
        let copies = self.limits.copy_budget.as_millis() / copy_time;
        u16::try_from(copies).unwrap_or(u16::MAX).max(1)
    }

    /// Returns the map in use and the demand, by layer, once they are known.
    fn maps_and_loads(
        &self,
        now: Instant,
        reports: &[EngineReport],
    ) -> Option<(Vec<EvenMap>, Vec<Vec<f64>>)> {
        let layers = self.own_map(reports).or_else(|| self.listed_map(reports))?;
        let maps: Option<Vec<_>> = layers
            .iter()
            .map(|ranks| EvenMap::from_ranks(self.shape.experts, ranks))
            .collect();
        let loads = self.demand.loads(now, self.limits.max_demand_age);
        Some((maps?, loads))
    }

    /// Returns the map in use if it is the one that this decider changed to.
    fn own_map(&self, reports: &[EngineReport]) -> Option<ExpertsByRank> {
        let (version, layers) = self.switched_to.as_ref()?;
        let in_use = reports.iter().all(|report| report.map == *version);
        in_use.then(|| ExpertsByRank::clone(layers))
    }

    /// Returns the map in use as the ranks list it, once all have.
    fn listed_map(&self, reports: &[EngineReport]) -> Option<ExpertsByRank> {
        let layers = usize::from(self.shape.layers);
        let mut held = vec![Vec::new(); layers];
        for (view, report) in self.ranks.iter().zip(reports) {
            let (version, lists) = view.as_ref()?.state.lists.as_ref()?;
            if *version != report.map || lists.len() != layers {
                return None;
            }
            for (held, list) in held.iter_mut().zip(lists) {
                held.push(list.clone());
            }
        }
        Some(held)
    }

    pub(super) fn prepare(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        version: u64,
        map: &NextMap,
        since: Instant,
        out: &mut Vec<DeciderEffect>,
    ) {
        if reports.iter().all(|r| r.prepared == Some(version)) {
            let pass = self.next_pass(reports);
            self.switched_to = Some((version, Rc::clone(&map.layers)));
            let switch = Switch {
                version,
                pass,
                holder: self.next_holder(now),
            };
            let since = now;
            self.enter(Phase::Holding { switch, since }, out);
            return self.wake(now, out);
        }
        let copies = self.shape.copy_time * u32::from(self.copies_per_rank());
        let on_the_way = self.time_on_the_way(map);
        let limit = self.limits.prepare_slack + copies + on_the_way;
        if now.saturating_duration_since(since) > limit {
            // Copies that nobody switches to change nothing.
            return self.enter(Phase::Idle, out);
        }
        let missing = reports.iter().filter(|r| r.prepared != Some(version));
        let missing = missing.map(|report| report.rank);
        let mut missing: Vec<u16> = missing.filter(|r| !self.is_copying(*r, version)).collect();
        // Those that were sent the map already wait behind those that weren't.
        missing.sort_by_key(|rank| self.was_sent(*rank, version));
        for rank in missing {
            self.order_map(now, rank, version, map, out);
        }
    }

    fn was_sent(&self, rank: u16, version: u64) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        view.is_some_and(|view| view.map_sent == Some(version))
    }

    /// Tells whether a rank has begun the copies of a version.
    fn is_copying(&self, rank: u16, version: u64) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        view.is_some_and(|view| view.copying == Some(version))
    }

    fn next_pass(&self, reports: &[EngineReport]) -> u64 {
        let last = reports.iter().map(|report| report.pass).max();
        last.unwrap_or(0) + self.limits.hold_lead
    }

    /// Returns the rank that holds the group for the next map: one with a
    /// companion that is heard, but not the decider's own, and another one for
    /// each map.
    ///
    /// If the decider's instance stands still, the hold is then at an engine
    /// that its successor reaches.
    fn next_holder(&self, now: Instant) -> u16 {
        let heard = (0..).zip(&self.ranks).filter_map(|(rank, view)| {
            let at = view.as_ref()?.companion_heard?;
            (rank != self.own_rank && self.is_fresh(now, at)).then_some(rank)
        });
        let heard: Vec<u16> = heard.collect();
        let turn = usize::try_from(self.versions).unwrap_or(0);
        let next = heard.get(turn % heard.len().max(1));
        next.copied().unwrap_or(self.own_rank)
    }

    pub(super) fn hold(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        switch: Switch,
        since: Instant,
        out: &mut Vec<DeciderEffect>,
    ) {
        let Switch {
            version,
            pass,
            holder,
        } = switch;
        let Some(report) = reports.get(usize::from(holder)) else {
            return;
        };
        if report.held == Some(pass) {
            self.enter(Phase::Arming(switch), out);
            return self.wake(now, out);
        }
        if report.held.is_some() || reports.iter().any(|r| r.prepared != Some(version)) {
            return self.enter(Phase::Surveying, out);
        }
        if now.saturating_duration_since(since) > self.limits.hold_timeout {
            // Another rank holds for the next map. One that is held late by an
            // order of this one is noticed then.
            return self.enter(Phase::Idle, out);
        }
        // What is known of the passes is old: each refusal takes a later one.
        let refusals = self.refusals_of(holder);
        let pass = pass.max(report.pass + self.limits.hold_lead + refusals);
        let switch = Switch { pass, ..switch };
        self.phase = Phase::Holding { switch, since };
        self.order_engine(now, holder, PassOrder::Hold { pass }, out);
    }

    fn refusals_of(&self, rank: u16) -> u64 {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        view.map_or(0, |view| u64::from(view.refused))
    }

    pub(super) fn arm(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        switch: Switch,
        out: &mut Vec<DeciderEffect>,
    ) {
        let Switch {
            version,
            pass,
            holder,
        } = switch;
        if reports.iter().all(|r| r.armed == Some(version)) {
            self.enter(Phase::Releasing, out);
            return self.wake(now, out);
        }
        // An order of a decider before this one takes the switch back, or lifts
        // the hold.
        let is_forbidden = |report: &EngineReport| {
            report.rank == holder && report.armed.is_none() && report.prepared != Some(version)
        };
        let has_begun = |report: &EngineReport| report.pass >= pass;
        if reports.iter().any(|r| is_forbidden(r) || has_begun(r)) {
            return self.enter(Phase::Surveying, out);
        }
        // There is no other way back from here: an order to arm that has no
        // answer may still be carried out, so the group is released only when
        // all are armed, or when it is formed again.
        for rank in self.due_to_arm(now, reports, switch) {
            self.order(now, rank, PassOrder::Arm { version, pass }, out);
        }
    }

    /// Returns the ranks that are armed next.
    ///
    /// First those whose companions are heard, then the holder, by its companion
    /// alone, then those whose companions are silent, and last the decider's own
    /// rank. So as long as the companion of the holder says that its rank isn't
    /// armed, neither is the decider's, and no order is on its way to an engine
    /// of which no companion knows.
    fn due_to_arm(&self, now: Instant, reports: &[EngineReport], switch: Switch) -> Vec<u16> {
        let Switch {
            version, holder, ..
        } = switch;
        let own = self.own_rank;
        let missing = reports.iter().filter(|r| r.armed != Some(version));
        let missing: Vec<u16> = missing.map(|report| report.rank).collect();
        let is_other = |rank: &&u16| **rank != own && **rank != holder;
        let (heard, silent): (Vec<u16>, Vec<u16>) = missing
            .iter()
            .filter(is_other)
            .partition(|rank| self.is_companion_heard(now, **rank));
        let holder_is_missing = holder != own && missing.contains(&holder);
        if !heard.is_empty() {
            heard
        } else if holder_is_missing {
            let is_heard = self.is_companion_heard(now, holder);
            is_heard.then_some(holder).into_iter().collect()
        } else if !silent.is_empty() {
            silent
        } else {
            vec![own]
        }
    }

    pub(super) fn disarm(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        out: &mut Vec<DeciderEffect>,
    ) {
        let armed = reports.iter().filter_map(|r| Some((r.rank, r.armed?)));
        let armed: Vec<(u16, u64)> = armed.collect();
        if armed.is_empty() && !self.is_arming_known(now) {
            return;
        }
        if armed.is_empty() {
            self.enter(Phase::Releasing, out);
            return self.wake(now, out);
        }
        for (rank, version) in armed {
            self.order(now, rank, PassOrder::Disarm { version }, out);
        }
    }

    pub(super) fn release(
        &mut self,
        now: Instant,
        reports: &[EngineReport],
        out: &mut Vec<DeciderEffect>,
    ) {
        let held: Vec<(u16, u64)> = reports
            .iter()
            .filter_map(|r| Some((r.rank, r.held?)))
            .collect();
        if held.is_empty() && reports.iter().all(|r| r.armed.is_none()) {
            out.push(DeciderEffect::Log(PassLogEntry::InUse {
                fence: self.fence,
                version: reports.first().map_or(0, |report| report.map),
            }));
            return self.enter(Phase::Idle, out);
        }
        for (rank, pass) in held {
            self.order(now, rank, PassOrder::Release { pass }, out);
        }
    }
}
