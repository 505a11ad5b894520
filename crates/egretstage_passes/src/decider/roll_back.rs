//! Rolls back the switch of a decider that can't be reached.
//!
//! Load pattern: the instance of a decider is suspended for seconds while its
//! group is held. Neither its companion nor its engine answers, so nobody can
//! read whether its rank is armed. Unless the state of that rank is inferred
//! from the others, the group stalls for as long as the instance is suspended.

use super::rank_view::RankView;
use super::{DeciderEffect, MapDecider, Phase, VERSIONS_PER_FENCE};
use crate::{EngineReport, ExpertsByRank, PassLogEntry, PassOrder, RankAddress};
use std::net::SocketAddr;
use std::time::Instant;

/// The companion that decided before.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    /// Address of the companion.
    pub(super) address: SocketAddr,
    /// Its fencing number.
    pub(super) fence: u64,
    /// A map that ranks may be ordered to prepare, preferably one that they
    /// hold.
    pub(super) map: ExpertsByRank,
}

/// The unfinished switch of a predecessor, as far as known.
struct PendingSwitch {
    version: u64,
    /// The reports of all ranks but the predecessor's, and whether each rank
    /// may be armed by an order that its report doesn't show.
    reports: Vec<(EngineReport, bool)>,
}

impl MapDecider {
    /// Rolls back the switch of a decider whose instance is suspended, if its
    /// own rank can't be armed, and releases the hold.
    ///
    /// The report of that rank is unknown, because it can't be reached. But a
    /// decider arms its own rank only after every other one, and it arms the
    /// rank that holds the group only through that rank's companion. So if that
    /// companion, which now follows this decider, confirms that its rank isn't
    /// armed and can't be armed any more, the unreachable rank isn't armed
    /// either.
    ///
    /// The holder is first ordered to prepare another version. From then on no
    /// decider can complete the switch, whatever other knowledge is lost.
    pub(super) fn roll_back(&mut self, now: Instant, out: &mut Vec<DeciderEffect>) {
        if !matches!(self.phase, Phase::Surveying) {
            return;
        }
        let Some(PendingSwitch { version, reports }) = self.pending_switch(now) else {
            return;
        };
        let holders = reports.iter().filter(|(report, _)| report.held.is_some());
        let holders: Vec<&(EngineReport, bool)> = holders.collect();
        let may_be_armed =
            |(report, pending): &(EngineReport, bool)| report.armed.is_some() || *pending;
        if holders.is_empty() || holders.iter().any(|holder| may_be_armed(holder)) {
            return;
        }
        self.rolled_back = Some(version);
        let mut can_complete = holders.iter().filter(|(r, _)| r.prepared == Some(version));
        if let Some((holder, _)) = can_complete.next() {
            return self.block_completion(now, holder.rank, out);
        }
        for (report, _) in &reports {
            if let Some(version) = report.armed {
                self.order(now, report.rank, PassOrder::Disarm { version }, out);
            }
        }
        if reports.iter().any(may_be_armed) {
            return;
        }
        for (report, _) in holders {
            if let Some(pass) = report.held {
                let (fence, rank) = (self.fence, report.rank);
                out.push(DeciderEffect::Log(PassLogEntry::LiftHold {
                    fence,
                    rank,
                    pass,
                }));
                self.order(now, rank, PassOrder::Release { pass }, out);
            }
        }
    }

    /// Orders a rank to prepare another version, so that it can't be armed with
    /// the one that it has prepared.
    fn block_completion(&mut self, now: Instant, rank: u16, out: &mut Vec<DeciderEffect>) {
        if let Some(predecessor) = &self.predecessor {
            let layers = predecessor.map.clone();
            let version = self.fence * VERSIONS_PER_FENCE + 1;
            self.versions_used = self.versions_used.max(1);
            self.order(now, rank, PassOrder::Prepare { version, layers }, out);
        }
    }

    /// Returns the unfinished switch of the predecessor, or none unless all
    /// other ranks follow this decider and the predecessor began the switch.
    fn pending_switch(&self, now: Instant) -> Option<PendingSwitch> {
        let predecessor = self.predecessor.as_ref()?;
        let is_predecessor = |address: &Option<RankAddress>| {
            address.is_some_and(|address| address.companion == predecessor.address)
        };
        let unreachable = self.addresses.iter().position(is_predecessor)?;
        let others = self.ranks.iter().enumerate();
        let others = others.filter(|(rank, _)| *rank != unreachable);
        let views: Option<Vec<&RankView>> = others.map(|(_, view)| view.as_ref()).collect();
        let views = views?;
        let first = &views.first()?.state.report;
        let unfinished_version = |view: &&RankView| {
            let report = &view.state.report;
            let version = report.armed.or(report.prepared)?;
            (version / VERSIONS_PER_FENCE == predecessor.fence).then_some(version)
        };
        let version = views.iter().find_map(unfinished_version)?;
        let allows_roll_back = |view: &&RankView| {
            let report = &view.state.report;
            view.state.follows == self.fence
                && view.last_reported.is_some()
                && self.is_fresh(now, view.received)
                && report.open
                && report.epoch == first.epoch
                && (report.prepared == Some(version) || report.held.is_some())
        };
        let reports = views.iter().map(|view| {
            let state = &view.state;
            (state.report.clone(), state.may_be_armed)
        });
        views.iter().all(allows_roll_back).then(|| PendingSwitch {
            version,
            reports: reports.collect(),
        })
    }
}
