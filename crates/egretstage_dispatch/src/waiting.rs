//! Orders waiting calls and estimates their wait.
//!
//! Load pattern: for seconds, calls arrive faster than slots become free, so that
//! some wait until they are late or refused. Calls start in the order of their
//! urgency. Within an urgency, a call whose answer has begun goes first, and a
//! returning call, which was refused before,
//! starts before new ones: its caller doesn't try a third time. A call that can
//! still be in time starts before an overdue one, which only fills slots that no
//! other call could use. Among equals, the first to arrive starts first.

use crate::{CallKey, FirstByteLatency, Urgency};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Class of a waiting call within its urgency; calls of lower classes start
/// first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum QueueClass {
    /// Its answer has begun and continues at another upstream.
    Resumed,
    /// It was refused before and has returned in its retry slot.
    Returned,
    /// It can still be answered in time.
    InTime,
    /// It waited until it could no longer be in time.
    Overdue,
}

/// Share of the longest budget below which a budget counts as reduced, if callers send
/// equal ones.
const REDUCED_BUDGET_SHARE: f32 = 0.97;

/// Number of budgets of a route from which the usual ones are estimated: many more than
/// those of the callers who return after a gap of a few seconds.
const MAX_BUDGETS: usize = 256;

/// Minimum number of budgets from which the usual ones are estimated: an entry that has
/// just started may receive mostly returning calls at first.
const MIN_BUDGETS: usize = 64;

/// Share of the longest budget below which a budget counts as reduced while fewer are
/// known: callers who return have spent more than a quarter of theirs.
const CLEARLY_REDUCED_BUDGET_SHARE: f32 = 0.75;

/// Margin on the estimated distance from the median to the shortest budget: the median
/// of a few dozen budgets varies.
const SPREAD_MARGIN: f32 = 1.25;

/// Detects returning calls by the time budgets that the callers of a route send.
///
/// Callers send budgets between a shortest and a longest one, and a caller who was
/// refused before has less left. If the first budgets of callers are spread evenly,
/// their median is as far from the shortest as from the longest. Returning calls lower
/// the median and thus the estimated shortest budget, so that fewer calls count as
/// returning, not more.
#[derive(Clone, Debug, Default)]
pub struct RouteBudgets {
    longest: Duration,
    /// The last budgets, the oldest first.
    recent: VecDeque<Duration>,
}

impl RouteBudgets {
    /// Records a call's budget; returns whether the call is a returning one.
    ///
    /// ```
    /// # use egretstage_dispatch::waiting::RouteBudgets;
    /// # use std::time::Duration;
    /// let mut budgets = RouteBudgets::default();
    /// for tenths in (0..100).map(|call| 80 - call * 7 % 10) {
    ///     assert!(!budgets.record(Duration::from_millis(tenths * 100)));
    /// }
    /// assert!(budgets.record(Duration::from_secs(6)));
    /// ```
    #[must_use]
    pub fn record(&mut self, budget: Duration) -> bool {
        self.longest = self.longest.max(budget);
        self.recent.push_back(budget);
        if self.recent.len() > MAX_BUDGETS {
            self.recent.pop_front();
        }
        budget < self.shortest_usual()
    }

    /// Returns the estimated shortest budget of callers who weren't refused before.
    fn shortest_usual(&self) -> Duration {
        if self.recent.len() < MIN_BUDGETS {
            return self.longest.mul_f32(CLEARLY_REDUCED_BUDGET_SHARE);
        }
        let mut budgets: Vec<Duration> = self.recent.iter().copied().collect();
        let middle = budgets.len() / 2;
        let (_, median, _) = budgets.select_nth_unstable(middle);
        let median = *median;
        let spread = self.longest.saturating_sub(median);
        let shortest = median.saturating_sub(spread.mul_f32(SPREAD_MARGIN));
        shortest.min(self.longest.mul_f32(REDUCED_BUDGET_SHARE))
    }
}

/// Position in the queue; the smallest starts first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    urgency: Urgency,
    class: QueueClass,
    arrived: Instant,
    call: CallKey,
}

/// Time by which the answer to a call must begin for the call to be in time.
#[derive(Clone, Copy, Debug)]
pub struct Objective {
    /// The deadline.
    pub deadline: Instant,
    /// The time from the call's arrival to the deadline.
    pub time: Duration,
}

/// The waiting calls of one service.
#[derive(Clone, Debug, Default)]
pub struct WaitingCalls {
    queue: BTreeMap<QueuePosition, Objective>,
    positions: HashMap<CallKey, QueuePosition>,
}

impl WaitingCalls {
    /// Adds a call.
    pub fn push(
        &mut self,
        call: CallKey,
        urgency: Urgency,
        class: QueueClass,
        arrived: Instant,
        objective: Objective,
    ) {
        let position = QueuePosition {
            urgency,
            class,
            arrived,
            call,
        };
        self.queue.insert(position, objective);
        self.positions.insert(call, position);
    }

    /// Removes a call; returns whether it was waiting.
    pub fn remove(&mut self, call: CallKey) -> bool {
        let position = self.positions.remove(&call);
        position.is_some_and(|position| self.queue.remove(&position).is_some())
    }

    /// Returns the call that starts next.
    #[must_use]
    pub fn first(&self) -> Option<CallKey> {
        self.queue.keys().next().map(|position| position.call)
    }

    /// Returns the call of each urgency that starts next, the most urgent first.
    pub fn first_of_each_urgency(&self) -> impl Iterator<Item = (Urgency, CallKey)> + '_ {
        let mut last = None;
        self.queue.keys().filter_map(move |position| {
            let is_first = last.replace(position.urgency) != Some(position.urgency);
            is_first.then_some((position.urgency, position.call))
        })
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the number of waiting calls that start before a new one.
    #[must_use]
    pub fn ahead_of(&self, urgency: Urgency, class: QueueClass) -> usize {
        let is_ahead =
            |position: &&QueuePosition| (position.urgency, position.class) <= (urgency, class);
        self.queue.keys().filter(is_ahead).count()
    }

    /// Moves calls that can no longer be in time to the overdue class.
    pub fn demote_overdue(&mut self, now: Instant, latency: &FirstByteLatency) {
        let overdue = |(position, objective): (&QueuePosition, &Objective)| {
            let expected_first_byte = now + latency.reserved_time(objective.time);
            let is_late =
                position.class == QueueClass::InTime && expected_first_byte > objective.deadline;
            is_late.then_some((*position, *objective))
        };
        let overdue: Vec<_> = self.queue.iter().filter_map(overdue).collect();
        for (position, objective) in overdue {
            self.remove(position.call);
            let class = QueueClass::Overdue;
            self.push(
                position.call,
                position.urgency,
                class,
                position.arrived,
                objective,
            );
        }
    }
}

/// Estimates the rate at which waiting calls start.
#[derive(Clone, Debug)]
pub struct StartRate {
    window: Duration,
    starts: VecDeque<Instant>,
}

impl StartRate {
    /// Creates an estimate that counts starts over a sliding window.
    #[must_use]
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            starts: VecDeque::new(),
        }
    }

    /// Records a start.
    pub fn record_start(&mut self, now: Instant) {
        self.starts.push_back(now);
        self.drop_expired(now);
    }

    /// Keeps `kept` of each `of` recorded starts: the others would have used room that is
    /// gone.
    pub fn reduce(&mut self, kept: u32, of: u32) {
        let share = |index: u64| index * u64::from(kept.min(of)) / u64::from(of.max(1));
        let mut index = 0;
        self.starts.retain(|_| {
            index += 1;
            share(index) > share(index - 1)
        });
    }

    fn drop_expired(&mut self, now: Instant) {
        while self
            .starts
            .front()
            .is_some_and(|at| now.saturating_duration_since(*at) > self.window)
        {
            self.starts.pop_front();
        }
    }

    /// Returns the estimated time in which `calls` calls start, if any call
    /// started within the window.
    #[must_use]
    pub fn time_for(&mut self, now: Instant, calls: usize) -> Option<Duration> {
        self.drop_expired(now);
        let starts = u32::try_from(self.starts.len()).unwrap_or(u32::MAX);
        let calls = u32::try_from(calls).unwrap_or(u32::MAX);
        (starts > 0).then(|| self.window.saturating_mul(calls) / starts)
    }
}
