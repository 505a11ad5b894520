//! Keeps room in model groups for calls that are more urgent.
//!
//! Load pattern: calls of several urgencies share the ranks of a service. The least urgent
//! ones burst first and take all places that the bound allows; each runs for seconds. The
//! more urgent ones that come next find no place, and when demand moves to other experts,
//! the pauses of a group that is full to its bound make all of its streams late, the most
//! urgent ones too.
//!
//! Once a call has had to wait, less urgent calls start only as long as they leave a part
//! of the bound free. The part follows from the measured share of arrivals that are more
//! urgent, so that it grows with what may come. As long as no call has to wait, all places
//! are open to all. Each urgency still gets starts for a minimum share of its arrivals,
//! ahead of more urgent calls if need be.

use crate::Urgency;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time constant with which arrivals and starts stop counting.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Time for which room is kept after the last wait of a more urgent call: bursts come
/// seconds after each other.
const KEPT_AFTER_WAIT: Duration = Duration::from_secs(4);

/// Part of the bound that is kept free if all arrivals are more urgent: bursts add half to
/// two thirds to the arrivals of an urgency.
const LIKELY_BURST: f32 = 0.7;

/// Minimum share of the arrivals of an urgency that are started.
const MIN_STARTED_SHARE: f32 = 0.3;

/// Minimum number of recent arrivals of an urgency from which its minimum share of starts is
/// estimated.
const MIN_ARRIVALS: f32 = 3.0;

/// A count of events that decays with time.
#[derive(Clone, Copy, Debug)]
struct RecentCount {
    count: f32,
    updated_at: Instant,
}

impl RecentCount {
    fn at(self, now: Instant) -> f32 {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.count * (-elapsed.as_secs_f32() / TIME_CONSTANT.as_secs_f32()).exp()
    }

    fn add_one(&mut self, now: Instant) {
        *self = Self {
            count: self.at(now) + 1.0,
            updated_at: now,
        };
    }
}

/// What an entry has seen of the calls of an urgency.
#[derive(Clone, Copy, Debug)]
struct Demand {
    arrivals: RecentCount,
    starts: RecentCount,
    last_wait: Option<Instant>,
}

/// Decides which part of a service's bounds calls may fill, by their urgency.
///
/// ```
/// # use egretstage_dispatch::{Urgency, urgency_room::UrgencyRoom};
/// # use std::time::Instant;
/// let now = Instant::now();
/// let (urgent, batch) = (Urgency::new(None, 0), Urgency::new(None, 2));
/// let mut room = UrgencyRoom::default();
/// for _ in 0..10 {
///     room.record_arrival(now, urgent);
///     room.record_arrival(now, batch);
/// }
/// assert_eq!(room.share(now, batch), 1.0);
/// room.record_wait(now, urgent);
/// assert!(room.share(now, batch) < 1.0);
/// assert_eq!(room.share(now, urgent), 1.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct UrgencyRoom {
    demands: BTreeMap<Urgency, Demand>,
}

impl UrgencyRoom {
    fn demand(&mut self, now: Instant, urgency: Urgency) -> &mut Demand {
        let none = RecentCount {
            count: 0.0,
            updated_at: now,
        };
        self.demands.entry(urgency).or_insert(Demand {
            arrivals: none,
            starts: none,
            last_wait: None,
        })
    }

    /// Records the arrival of a call.
    pub fn record_arrival(&mut self, now: Instant, urgency: Urgency) {
        self.demand(now, urgency).arrivals.add_one(now);
    }

    /// Records the start of a call.
    pub fn record_start(&mut self, now: Instant, urgency: Urgency) {
        self.demand(now, urgency).starts.add_one(now);
    }

    /// Records that the next call of an urgency can't start.
    pub fn record_wait(&mut self, now: Instant, urgency: Urgency) {
        self.demand(now, urgency).last_wait = Some(now);
    }

    /// Returns the share of the bounds that calls of an urgency may fill.
    #[must_use]
    pub fn share(&self, now: Instant, urgency: Urgency) -> f32 {
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= KEPT_AFTER_WAIT;
        let more_urgent = || self.demands.range(..urgency).map(|(_, demand)| demand);
        if !more_urgent().any(|demand| demand.last_wait.is_some_and(is_recent)) {
            return 1.0;
        }
        let arrivals = |demand: &Demand| demand.arrivals.at(now);
        let of_more_urgent: f32 = more_urgent().map(arrivals).sum();
        let of_all: f32 = self.demands.values().map(arrivals).sum();
        1.0 - LIKELY_BURST * of_more_urgent / of_all.max(1.0)
    }

    /// Returns whether room is kept from any calls.
    #[must_use]
    pub fn is_kept(&self, now: Instant) -> bool {
        let least_urgent = self.demands.keys().next_back();
        least_urgent.is_some_and(|urgency| self.share(now, *urgency) < 1.0)
    }

    /// Returns whether fewer calls of an urgency than its minimum share have started.
    #[must_use]
    pub fn is_owed_start(&self, now: Instant, urgency: Urgency) -> bool {
        self.demands.get(&urgency).is_some_and(|demand| {
            let arrivals = demand.arrivals.at(now);
            arrivals >= MIN_ARRIVALS && demand.starts.at(now) < MIN_STARTED_SHARE * arrivals
        })
    }
}
