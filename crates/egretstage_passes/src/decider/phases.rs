//! What a decider does in each phase of a switch.

use super::{DeciderEffect, DeciderLimits, MapDecider, NextMap, Phase, Switch, VERSIONS_PER_FENCE};
use crate::{EngineReport, ExpertsByRank, MapChanges, PassLogEntry, PassOrder};
use egretstage_balance::{CopyRoundLimits, EvenMap, plan_copy_round};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time between two plans for each rank: planning time grows with the ranks,
/// and an instance has only a small share of a core.
const PLAN_INTERVAL_PER_RANK: Duration = Duration::from_millis(2);

impl NextMap {
    /// Returns the orders of a map that follows the one in use.
    pub(super) fn new(in_use: &ExpertsByRank, layers: ExpertsByRank) -> Self {
        Self {
            changes: MapChanges::between(in_use, &layers).map(Rc::new),
            full_map_bytes: crate::packed::pack(&layers).map_or(0, |packed| packed.len()),
            layers: Rc::new(layers),
        }
    }

    /// Returns the bytes sent to most ranks.
    pub(super) fn bytes(&self) -> usize {
        let changes = self.changes.as_ref().map(|changes| changes.bytes());
        changes.unwrap_or(self.full_map_bytes)
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
            // A late order has taken effect, perhaps one of an earlier decider.
            return self.enter_phase(Phase::Surveying, out);
        }
        if now < self.next_plan {
            return;
        }
        let interval_for_ranks = PLAN_INTERVAL_PER_RANK * self.rank_count();
        self.next_plan = now + self.limits.plan_interval.max(interval_for_ranks);
        let Some((maps, loads)) = self.maps_and_loads(now, reports) else {
            return;
        };
        let limits = CopyRoundLimits {
            copies_per_rank: self.copies_per_rank(),
            copies_per_layer: self.shape.copies_per_layer,
            slots_per_rank: self.shape.slots_per_rank,
            min_gain: self.limits.min_copy_gain,
        };
        let slowdowns = reports.iter().map(|r| f64::from(r.slowdown.factor()));
        let slowdowns: Vec<f64> = slowdowns.collect();
        let Some(round) = plan_copy_round(&maps, &loads, &slowdowns, &limits) else {
            return;
        };
        if round.skew_before - round.skew_after < self.limits.min_skew_gain {
            return;
        }
        let version = self.next_version(reports);
        out.push(DeciderEffect::Log(PassLogEntry::Plan {
            fence: self.fence,
            version,
            copies: round.copies,
            skew_before: round.skew_before,
            skew_after: round.skew_after,
        }));
        let by_rank = |maps: &[EvenMap]| maps.iter().map(EvenMap::by_rank).collect();
        let map = NextMap::new(&by_rank(&maps), by_rank(&round.layers));
        let since = now;
        self.enter_phase(
            Phase::Preparing {
                version,
                map,
                since,
            },
            out,
        );
        self.wake(now, out);
    }

    /// Returns a version newer than all that were used, and marks it as used.
    pub(super) fn next_version(&mut self, reports: &[EngineReport]) -> u64 {
        let newest = reports.iter().map(|r| r.map.max(r.prepared.unwrap_or(0)));
        let newest = newest.max().unwrap_or(0);
        let last_used = self.fence * VERSIONS_PER_FENCE + self.versions_used;
        let version = last_used.max(newest) + 1;
        self.versions_used = version - self.fence * VERSIONS_PER_FENCE;
        version
    }

    fn copies_per_rank(&self) -> u16 {
        let copy_time = self.shape.copy_time.as_millis().max(1);
        let copies = self.limits.copy_budget.as_millis() / copy_time;
        u16::try_from(copies).unwrap_or(u16::MAX).max(1)
    }

    /// Returns the map in use and the demand, by layer, if known.
    fn maps_and_loads(
        &self,
        now: Instant,
        reports: &[EngineReport],
    ) -> Option<(Vec<EvenMap>, Vec<Vec<f64>>)> {
        let layers = self.map_in_use(reports)?;
        let maps: Option<Vec<_>> = layers
            .iter()
            .map(|ranks| EvenMap::from_ranks(self.shape.experts, ranks))
            .collect();
        let loads = self.demand.loads(now, self.limits.max_demand_age);
        Some((maps?, loads))
    }

    /// Returns the map in use, if known.
    pub(super) fn map_in_use(&self, reports: &[EngineReport]) -> Option<ExpertsByRank> {
        self.map_of_last_switch(reports)
            .or_else(|| self.reported_map(reports))
    }

    /// Returns the map in use if this decider switched to it.
    fn map_of_last_switch(&self, reports: &[EngineReport]) -> Option<ExpertsByRank> {
        let (version, layers) = self.prepared_map.as_ref()?;
        let in_use = reports.iter().all(|report| report.map == *version);
        in_use.then(|| ExpertsByRank::clone(layers))
    }

    /// Returns the map in use from the lists of the ranks, once all have
    /// reported them.
    fn reported_map(&self, reports: &[EngineReport]) -> Option<ExpertsByRank> {
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
            let pass = self.pass_to_hold(now, reports);
            self.prepared_map = Some((version, Rc::clone(&map.layers)));
            let switch = Switch {
                version,
                pass,
                holder: self.next_holder(now),
            };
            let since = now;
            self.enter_phase(Phase::Holding { switch, since }, out);
            return self.wake(now, out);
        }
        let copies = self.shape.copy_time * u32::from(self.copies_per_rank());
        let transfer = self.transfer_time(map);
        let limit = self.limits.prepare_slack + copies + transfer;
        if now.saturating_duration_since(since) > limit {
            // Copies that no rank switches to change nothing.
            return self.enter_phase(Phase::Idle, out);
        }
        let missing = reports.iter().filter(|r| r.prepared != Some(version));
        let missing = missing.map(|report| report.rank);
        let mut missing: Vec<u16> = missing.filter(|r| !self.is_copying(*r, version)).collect();
        // Ranks that were sent the map already come after those that weren't.
        missing.sort_by_key(|rank| self.was_sent_map(*rank, version));
        for rank in missing {
            self.order_map(now, rank, version, map, out);
        }
    }

    fn was_sent_map(&self, rank: u16, version: u64) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        view.is_some_and(|view| view.map_sent == Some(version))
    }

    /// Returns whether a rank has started the copies of a version.
    fn is_copying(&self, rank: u16, version: u64) -> bool {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        view.is_some_and(|view| view.copying == Some(version))
    }

    fn pass_to_hold(&self, now: Instant, reports: &[EngineReport]) -> u64 {
        let last = reports.iter().map(|report| report.pass).max();
        last.unwrap_or(0) + self.hold_lead(now)
    }

    /// Returns the number of passes from the last known one to the one that is held: a
    /// single one if passes are long, because a rank is slow.
    fn hold_lead(&self, now: Instant) -> u64 {
        let DeciderLimits {
            hold_lead_time,
            max_hold_lead,
            ..
        } = self.limits;
        self.pass_clock
            .passes_within(now, hold_lead_time, max_hold_lead)
    }

    /// Returns the rank that holds the group for the next map: one whose
    /// companion reports, other than the decider's own, and a different one for
    /// each map.
    ///
    /// If the decider's instance is suspended, its successor can still reach
    /// the engine that holds the group.
    fn next_holder(&self, now: Instant) -> u16 {
        let reporting = (0..).zip(&self.ranks).filter_map(|(rank, view)| {
            let at = view.as_ref()?.last_companion_report?;
            (rank != self.own_rank && self.is_fresh(now, at)).then_some(rank)
        });
        let reporting: Vec<u16> = reporting.collect();
        let turn = usize::try_from(self.versions_used).unwrap_or(0);
        let next = reporting.get(turn % reporting.len().max(1));
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
            self.enter_phase(Phase::Arming(switch), out);
            return self.wake(now, out);
        }
        if report.held.is_some() || reports.iter().any(|r| r.prepared != Some(version)) {
            return self.enter_phase(Phase::Surveying, out);
        }
        if now.saturating_duration_since(since) > self.limits.hold_timeout {
            // Another rank will hold the group for the next map. If a late order
            // to this one still takes effect, the reports show the hold.
            return self.enter_phase(Phase::Idle, out);
        }
        // The known passes are out of date: each refusal moves the hold one
        // pass further on.
        let refusals = self.refusals_of(holder);
        let pass = pass.max(report.pass + self.hold_lead(now) + refusals);
        let switch = Switch { pass, ..switch };
        self.phase = Phase::Holding { switch, since };
        self.order_engine(now, holder, PassOrder::Hold { pass }, out);
    }

    fn refusals_of(&self, rank: u16) -> u64 {
        let view = self.ranks.get(usize::from(rank)).and_then(Option::as_ref);
        view.map_or(0, |view| u64::from(view.refusals))
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
            self.enter_phase(Phase::Releasing, out);
            return self.wake(now, out);
        }
        // An order of an earlier decider blocks the switch or releases the
        // hold.
        let is_blocked = |report: &EngineReport| {
            report.rank == holder && report.armed.is_none() && report.prepared != Some(version)
        };
        let has_begun = |report: &EngineReport| report.pass >= pass;
        if reports.iter().any(|r| is_blocked(r) || has_begun(r)) {
            return self.enter_phase(Phase::Surveying, out);
        }
        // The switch can't be rolled back from here: an unanswered order to arm
        // may still be carried out. So the group is released only when all
        // ranks are armed, or when it is formed again.
        for rank in self.ranks_to_arm(now, reports, switch) {
            self.order(now, rank, PassOrder::Arm { version, pass }, out);
        }
    }

    /// Returns the ranks to arm next.
    ///
    /// First come those whose companions report, then the holder, through its
    /// companion only, then those whose companions are silent, and last the
    /// decider's own rank. So as long as the holder's companion reports that
    /// its rank isn't armed, the decider's rank isn't either, and no order is
    /// in flight to an engine without its companion's knowledge.
    fn ranks_to_arm(&self, now: Instant, reports: &[EngineReport], switch: Switch) -> Vec<u16> {
        let Switch {
            version, holder, ..
        } = switch;
        let own = self.own_rank;
        let missing = reports.iter().filter(|r| r.armed != Some(version));
        let missing: Vec<u16> = missing.map(|report| report.rank).collect();
        let is_other = |rank: &&u16| **rank != own && **rank != holder;
        let (reporting, silent): (Vec<u16>, Vec<u16>) = missing
            .iter()
            .filter(is_other)
            .partition(|rank| self.is_companion_reporting(now, **rank));
        let holder_is_missing = holder != own && missing.contains(&holder);
        if !reporting.is_empty() {
            reporting
        } else if holder_is_missing {
            let is_reporting = self.is_companion_reporting(now, holder);
            is_reporting.then_some(holder).into_iter().collect()
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
            return self.block_late_arming(now, reports, out);
        }
        if armed.is_empty() {
            self.enter_phase(Phase::Releasing, out);
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
            return self.enter_phase(Phase::Idle, out);
        }
        for (rank, pass) in held {
            self.order(now, rank, PassOrder::Release { pass }, out);
        }
    }
}
