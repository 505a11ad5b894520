//! Takes upstreams that fail out of the choice, for a time.

use crate::UpstreamTracker;
use std::time::{Duration, Instant};

/// Limits of an [`OutlierDetector`].
#[derive(Clone, Copy, Debug)]
pub struct EjectionLimits {
    /// Share of failed calls above which an upstream is ejected.
    pub max_failure_share: f32,
    /// Calls that must have ended before that share counts.
    pub min_calls: u32,
    /// Token interval, relative to the median of all, above which an upstream
    /// counts as failing.
    pub max_interval_ratio: f32,
    /// Largest share of the upstreams that may be ejected at once.
    pub max_ejected_share: f32,
    /// Time of a first ejection.
    pub base_ejection_time: Duration,
    /// Longest time of an ejection.
    pub max_ejection_time: Duration,
    /// Time over which an upstream returns to its full share of work.
    pub slow_start_window: Duration,
    /// Time between two looks at the upstreams.
    pub check_interval: Duration,
}

impl Default for EjectionLimits {
    fn default() -> Self {
        Self {
            max_failure_share: 0.5,
            min_calls: 4,
            max_interval_ratio: 2.0,
            max_ejected_share: 0.3,
            base_ejection_time: Duration::from_secs(5),
            max_ejection_time: Duration::from_mins(1),
            slow_start_window: Duration::from_secs(10),
            check_interval: Duration::from_millis(250),
        }
    }
}

/// Upstreams with a known token interval that make a median worth comparing
/// with.
const MIN_INTERVALS: usize = 3;

/// Ejects upstreams of one service whose calls fail or whose tokens straggle.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    limits: EjectionLimits,
    next_check: Option<Instant>,
}

impl OutlierDetector {
    /// Creates a detector.
    #[must_use]
    pub fn new(limits: EjectionLimits) -> Self {
        Self {
            limits,
            next_check: None,
        }
    }

    /// Returns the limits.
    #[must_use]
    pub fn limits(&self) -> &EjectionLimits {
        &self.limits
    }

    /// Tells whether a look is due, and notes that it is taken.
    #[must_use]
    pub fn begin_check_if_due(&mut self, now: Instant) -> bool {
        let due = self.next_check.is_none_or(|at| at <= now);
        if due {
            self.next_check = Some(now + self.limits.check_interval);
        }
        due
    }

    /// Looks at all upstreams of the service; the worst are ejected first.
    pub fn check(&self, now: Instant, members: &mut [&mut UpstreamTracker]) {
        let limits = &self.limits;
        for member in members.iter_mut() {
            member.health.settle(now, limits);
        }
        let median = median_interval(members);
        let ejected = members.iter().filter(|m| m.health.is_ejected(now)).count();
        let places = max_ejected(members.len(), limits.max_ejected_share).saturating_sub(ejected);
        let mut outliers: Vec<(f32, usize)> = members
            .iter()
            .enumerate()
            .filter(|(_, member)| !member.health.is_ejected(now))
            .filter_map(|(index, member)| Some((badness(member, median, limits)?, index)))
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, index) in outliers.into_iter().take(places) {
            members[index].health.eject(now, limits);
        }
    }
}

/// Returns how many of so many upstreams may be ejected at once: the share, at
/// least one, never all.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of upstreams are small"
)]
pub fn max_ejected(members: usize, share: f32) -> usize {
    let places = (members as f32 * share) as usize;
    places.max(1).min(members.saturating_sub(1))
}

fn median_interval(members: &[&mut UpstreamTracker]) -> Option<f32> {
    let known = members.iter().map(|m| m.report().token_interval_ms);
    let mut known: Vec<f32> = known.filter(|interval| *interval > 0.0).collect();
    if known.len() < MIN_INTERVALS {
        return None;
    }
    known.sort_by(f32::total_cmp);
    Some(known[known.len() / 2])
}

/// Returns how far an upstream is above a limit, or nothing if it is within.
fn badness(member: &UpstreamTracker, median: Option<f32>, limits: &EjectionLimits) -> Option<f32> {
    let failing = member
        .health
        .failure_share(limits.min_calls)
        .map(|share| share / limits.max_failure_share);
    let straggling =
        median.map(|median| member.report().token_interval_ms / median / limits.max_interval_ratio);
    let worst = failing.unwrap_or(0.0).max(straggling.unwrap_or(0.0));
    (worst > 1.0).then_some(worst)
}
