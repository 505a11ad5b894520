//! Owners of keys that seem to be dead.

use crate::EntryEffect;
use crate::reducer::EntryReducer;
use compact_str::format_compact;
use egretstage_once::{OwnersAction, OwnersRecord};
use egretstage_wire::{Epoch, Incarnation, Member, ServiceName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Most times that the wait before a removal is stretched, so that entries
/// don't all append at once.
const SPREAD_STEPS: u64 = 8;

/// Owners that are neither linked nor live on the instance list.
#[derive(Debug)]
pub(crate) struct Suspects {
    since: HashMap<(ServiceName, Member), Instant>,
    remove_after: Duration,
    count: u64,
    entry: Incarnation,
}

impl Suspects {
    pub(crate) fn new(entry: Incarnation, remove_after: Duration) -> Self {
        let step = u32::try_from(entry.0 % SPREAD_STEPS).unwrap_or(0);
        Self {
            since: HashMap::new(),
            remove_after: remove_after + remove_after * step / 8,
            count: 0,
            entry,
        }
    }

    /// Tells whether a suspect is due to be removed; each attempt starts the
    /// wait anew.
    fn is_due(&mut self, now: Instant, suspect: (ServiceName, Member)) -> bool {
        let since = self.since.entry(suspect).or_insert(now);
        let due = *since + self.remove_after <= now;
        if due {
            *since = now;
        }
        due
    }

    fn record(&mut self, member: Member, base: Epoch) -> OwnersRecord {
        self.count += 1;
        let (entry, count) = (self.entry.0, self.count);
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
    /// Removes owners that have seemed dead for a while.
    pub(crate) fn check_owners(&mut self, now: Instant, fx: &mut Vec<EntryEffect>) {
        let mut suspects = Vec::new();
        for (service, owners) in &self.owners {
            for member in owners.members() {
                let runner = self.runners.of_instance(&member.instance);
                if !runner.is_some_and(|(_, runner)| runner.seems_alive()) {
                    suspects.push((service.clone(), member.clone(), owners.epoch()));
                }
            }
        }
        let is_suspect = |(service, member): &(ServiceName, Member)| {
            suspects.iter().any(|(s, m, _)| s == service && m == member)
        };
        self.suspects.since.retain(|suspect, _| is_suspect(suspect));
        for (service, member, epoch) in suspects {
            if self.suspects.is_due(now, (service.clone(), member.clone())) {
                let record = Box::new(self.suspects.record(member, epoch));
                fx.push(EntryEffect::AppendOwners { service, record });
            }
        }
    }
}
