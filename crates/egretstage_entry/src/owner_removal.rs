//! Removal of key owners that are considered failed.

use crate::EntryEffect;
use crate::reducer::EntryReducer;
use compact_str::format_compact;
use egretstage_once::{OwnersAction, OwnersRecord};
use egretstage_wire::{Epoch, Incarnation, Member, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Number of different removal delays; entries use different ones, so that they
/// don't all append at once.
const SPREAD_STEPS: u64 = 8;

/// Key owners that are neither linked nor live on the instance list.
#[derive(Debug)]
pub(crate) struct SuspectOwners {
    suspected_since: HashMap<(ServiceName, Member), Instant>,
    remove_after: Duration,
    records_issued: u64,
    entry: Incarnation,
}

impl SuspectOwners {
    pub(crate) fn new(entry: Incarnation, remove_after: Duration) -> Self {
        let step = u32::try_from(entry.0 % SPREAD_STEPS).unwrap_or(0);
        Self {
            suspected_since: HashMap::new(),
            remove_after: remove_after + remove_after * step / 8,
            records_issued: 0,
            entry,
        }
    }

    /// Returns whether a suspect is due for removal; each attempt restarts its
    /// delay.
    fn is_due(&mut self, now: Instant, suspect: (ServiceName, Member)) -> bool {
        let since = self.suspected_since.entry(suspect).or_insert(now);
        let due = *since + self.remove_after <= now;
        if due {
            *since = now;
        }
        due
    }

    fn removal_record(&mut self, member: Member, base: Epoch) -> OwnersRecord {
        self.records_issued += 1;
        let (entry, count) = (self.entry.0, self.records_issued);
        OwnersRecord {
            id: format_compact!("{entry:016x}-{count}"),
            member,
            base,
            settled: Epoch(0),
            action: OwnersAction::Remove,
        }
    }
}

impl EntryReducer {
    /// Appends removals of the owners that have been suspects for long enough.
    pub(crate) fn remove_failed_owners(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        let mut suspects = Vec::new();
        for (service, owners) in &self.owners {
            for member in owners.members() {
                let upstream = self.upstreams.find_by_instance(&member.instance);
                if !upstream.is_some_and(|(_, upstream)| upstream.is_considered_alive()) {
                    suspects.push((service.clone(), member.clone(), owners.epoch()));
                }
            }
        }
        let is_suspect = |(service, member): &(ServiceName, Member)| {
            suspects.iter().any(|(s, m, _)| s == service && m == member)
        };
        self.suspects
            .suspected_since
            .retain(|suspect, _| is_suspect(suspect));
        for (service, member, epoch) in suspects {
            if self.suspects.is_due(now, (service.clone(), member.clone())) {
                let record = Box::new(self.suspects.removal_record(member, epoch));
                fx.push(EntryEffect::AppendOwners { service, record });
            }
        }
    }
}
