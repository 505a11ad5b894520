//! In which order calls wait, and when waiting is hopeless.
//!
//! Load pattern: for seconds more calls arrive than places come free. The more
//! urgent goes first. Among equals, one that was refused and came back as told
//! goes before new ones: it has no third try. A call that still can be in time
//! goes before one that can't, which fills the places that nobody else could
//! use; then the one that arrived first.

use crate::{CallKey, FirstAnswerTime};
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

/// How far a waiting call is from its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Freshness {
    /// It came back after a refusal, as it was told.
    Returned,
    /// It can still be answered in time.
    InTime,
    /// It waited until it could no longer be in time.
    Overdue,
}

/// Share of the longest budget below which a call has less time than others.
const LESS_TIME_SHARE: f32 = 0.97;

/// The budgets that callers of a route bring.
///
/// Where all first calls bring the same budget, one with less has been refused
/// before. Where budgets differ anyway, nothing can be told from them.
#[derive(Clone, Copy, Debug, Default)]
pub struct Budgets {
    longest: Duration,
    longest_seen: u32,
    seen: u32,
}

impl Budgets {
    /// Notes a call's budget; tells whether the call has come back.
    ///
    /// ```
    /// # use egretstage_dispatch::waiting::Budgets;
    /// # use std::time::Duration;
    /// let mut budgets = Budgets::default();
    /// assert!(!budgets.is_returned(Duration::from_secs(8)));
    /// assert!(!budgets.is_returned(Duration::from_secs(8)));
    /// assert!(budgets.is_returned(Duration::from_secs(6)));
    /// ```
    #[must_use]
    pub fn is_returned(&mut self, budget: Duration) -> bool {
        self.seen = self.seen.saturating_add(1);
        if budget > self.longest {
            self.longest = budget;
            self.longest_seen = 0;
        }
        self.longest_seen += u32::from(budget == self.longest);
        let alike = self.longest_seen > self.seen / 2;
        alike && budget < self.longest.mul_f32(LESS_TIME_SHARE)
    }
}

/// Place in the order; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    priority: u8,
    freshness: Freshness,
    arrived: Instant,
    call: CallKey,
}

/// When an answer must begin to be in time.
#[derive(Clone, Copy, Debug)]
pub struct Objective {
    /// The instant.
    pub at: Instant,
    /// The time from the call's arrival to it.
    pub time: Duration,
}

/// The waiting calls of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitingCalls {
    /// With each call, the instant until which its answer must begin, and the
    /// time that it has for that at most.
    order: BTreeMap<Rank, Objective>,
    ranks: HashMap<CallKey, Rank>,
}

impl WaitingCalls {
    /// Adds a call with its objective.
    pub fn push(
        &mut self,
        call: CallKey,
        priority: u8,
        freshness: Freshness,
        arrived: Instant,
        objective: Objective,
    ) {
        let rank = Rank {
            priority,
            freshness,
            arrived,
            call,
        };
        self.order.insert(rank, objective);
        self.ranks.insert(call, rank);
    }

    /// Removes a call; returns whether it waited.
    pub fn remove(&mut self, call: CallKey) -> bool {
        let rank = self.ranks.remove(&call);
        rank.is_some_and(|rank| self.order.remove(&rank).is_some())
    }

    /// Returns the call that goes next.
    #[must_use]
    pub fn first(&self) -> Option<CallKey> {
        self.order.keys().next().map(|rank| rank.call)
    }

    /// Returns how many calls wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Tells whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Returns how many calls go before a new one.
    #[must_use]
    pub fn ahead_of(&self, priority: u8, freshness: Freshness) -> usize {
        let before = |rank: &&Rank| (rank.priority, rank.freshness) <= (priority, freshness);
        self.order.keys().filter(before).count()
    }

    /// Moves the calls that can no longer be in time behind the others.
    pub fn settle(&mut self, now: Instant, first_answer: &FirstAnswerTime) {
        let overdue = |(rank, objective): (&Rank, &Objective)| {
            let begins = now + first_answer.of(objective.time);
            let late = rank.freshness == Freshness::InTime && begins > objective.at;
            late.then_some((*rank, *objective))
        };
        let overdue: Vec<_> = self.order.iter().filter_map(overdue).collect();
        for (rank, objective) in overdue {
            self.remove(rank.call);
            let freshness = Freshness::Overdue;
            self.push(rank.call, rank.priority, freshness, rank.arrived, objective);
        }
    }
}

/// Estimates how fast waiting calls are started.
#[derive(Clone, Debug)]
pub struct StartRate {
    window: Duration,
    starts: std::collections::VecDeque<Instant>,
}

impl StartRate {
    /// Counts starts over a window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            starts: std::collections::VecDeque::new(),
        }
    }

    /// Notes a start.
    pub fn started(&mut self, now: Instant) {
        self.starts.push_back(now);
        self.forget(now);
    }

    fn forget(&mut self, now: Instant) {
        while self
            .starts
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > self.window)
        {
            self.starts.pop_front();
        }
    }

    /// Returns the time in which so many calls are started, if any were of late.
    #[must_use]
    pub fn time_for(&mut self, now: Instant, calls: usize) -> Option<Duration> {
        self.forget(now);
        let starts = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        (starts > 0).then(|| self.window.saturating_mul(calls) / starts)
    }
}
