//! How the switch of a decider is taken back that isn't reached.
//!
//! Load pattern: the instance of a decider stands still for seconds while its
//! group is held. Neither its companion nor its engine answers, so whether its
//! rank is armed can't be read; without a conclusion from the others the group
//! stands as long as that instance.

use super::rank_view::RankView;
use super::{DeciderEffect, MapDecider, Phase, VERSIONS_PER_FENCE};
use crate::{EngineReport, ExpertsByRank, PassLogEntry, PassOrder, RankAddress};
use std::net::SocketAddr;
use std::time::Instant;

/// The companion that decided before.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    /// Where it is reached.
    pub(super) address: SocketAddr,
    /// Its fencing number.
    pub(super) fence: u64,
    /// A map that ranks may be ordered to prepare, best one that they hold.
    pub(super) map: ExpertsByRank,
}

/// The switch of a predecessor, as far as it is known.
struct Leftover {
    version: u64,
    /// What all ranks but the predecessor's report, and whether each may be
    /// armed by an order that the report doesn't show.
    reports: Vec<(EngineReport, bool)>,
}

impl MapDecider {
    /// Takes back the switch of a decider whose instance stands still, if its
    /// own rank can't be armed, and lifts its hold.
    ///
    /// That rank isn't reached, so what it reports is unknown. But a decider arms
    /// its own rank only once each other one is, and the rank that holds the
    /// group by its companion alone. So if that companion, which follows this
    /// decider now, vouches that its rank isn't armed and can't be any more, the
    /// rank that isn't reached isn't armed either.
    ///
    /// The holder is ordered to prepare another version first: from then on no
    /// decider can complete the switch, whatever else is forgotten.
    pub(super) fn take_back(&mut self, now: Instant, out: &mut Vec<DeciderEffect>) {
        if !matches!(self.phase, Phase::Surveying) {
            return;
        }
        let Some(Leftover { version, reports }) = self.leftover(now) else {
            return;
        };
        let holders = reports.iter().filter(|(report, _)| report.held.is_some());
        let holders: Vec<&(EngineReport, bool)> = holders.collect();
        let may_be_armed =
            |(report, pending): &(EngineReport, bool)| report.armed.is_some() || *pending;
        if holders.is_empty() || holders.iter().any(|holder| may_be_armed(holder)) {
            return;
        }
        self.taken_back = Some(version);
        let mut can_complete = holders.iter().filter(|(r, _)| r.prepared == Some(version));
        if let Some((holder, _)) = can_complete.next() {
            return self.forbid(now, holder.rank, out);
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
    /// the one that it holds.
    fn forbid(&mut self, now: Instant, rank: u16, out: &mut Vec<DeciderEffect>) {
        if let Some(predecessor) = &self.predecessor {
            let layers = predecessor.map.clone();
            let version = self.fence * VERSIONS_PER_FENCE + 1;
            self.versions = self.versions.max(1);
            self.order(now, rank, PassOrder::Prepare { version, layers }, out);
        }
    }

    /// Returns what the predecessor left; nothing unless all other ranks follow
    /// this decider, and the switch under way was begun by the predecessor.
    fn leftover(&self, now: Instant) -> Option<Leftover> {
        let predecessor = self.predecessor.as_ref()?;
        let at = |address: &Option<RankAddress>| {
            address.is_some_and(|address| address.companion == predecessor.address)
        };
        let unreached = self.addresses.iter().position(at)?;
        let others = self.ranks.iter().enumerate();
        let others = others.filter(|(rank, _)| *rank != unreached);
        let views: Option<Vec<&RankView>> = others.map(|(_, view)| view.as_ref()).collect();
        let views = views?;
        let first = &views.first()?.state.report;
        let under_way = |view: &&RankView| {
            let report = &view.state.report;
            let version = report.armed.or(report.prepared)?;
            (version / VERSIONS_PER_FENCE == predecessor.fence).then_some(version)
        };
        let version = views.iter().find_map(under_way)?;
        let fits = |view: &&RankView| {
            let report = &view.state.report;
            view.state.follows == self.fence
                && view.told.is_some()
                && self.is_fresh(now, view.received)
                && report.open
                && report.epoch == first.epoch
                && (report.prepared == Some(version) || report.held.is_some())
        };
        let reports = views.iter().map(|view| {
            let state = &view.state;
            (state.report.clone(), state.may_be_armed)
        });
        views.iter().all(fits).then(|| Leftover {
            version,
            reports: reports.collect(),
        })
    }
}
