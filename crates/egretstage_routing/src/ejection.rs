//! Outlier detection: ejects failing or slow upstreams for a limited time.

use crate::UpstreamTracker;
use std::time::{Duration, Instant};

/// Limits of an [`OutlierDetector`].
#[derive(Clone, Copy, Debug)]
pub struct EjectionLimits {
    /// Share of failed calls above which an upstream is ejected.
    pub max_failure_share: f32,
    /// Minimum number of ended calls before that share counts.
    pub min_calls: u32,
    /// Ratio of an upstream's token interval to the median of all, above which
    /// it is ejected.
    pub max_interval_ratio: f32,
    /// Maximum share of the upstreams that may be ejected at once.
    pub max_ejected_share: f32,
    /// Duration of a first ejection; it doubles with each further one.
    pub base_ejection_time: Duration,
    /// Maximum duration of an ejection.
    pub max_ejection_time: Duration,
    /// Time after an ejection in which an upstream's share of work grows to
    /// its full size.
    pub slow_start_window: Duration,
    /// Time between two checks of the upstreams.
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

/// Minimum number of upstreams with a known token interval for a median.
const MIN_MEDIAN_SAMPLES: usize = 3;

/// Ejects the upstreams of one service whose calls fail or whose token interval
/// is far above the median.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutlierDetector {
    limits: EjectionLimits,
    next_check: Option<Instant>,
}

impl OutlierDetector {
    /// Creates a detector with the given limits.
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

    /// Returns whether a check is due, and if so schedules the next one.
    #[must_use]
    pub fn begin_check_if_due(&mut self, now: Instant) -> bool {
        let is_due = self.next_check.is_none_or(|at| at <= now);
        if is_due {
            self.next_check = Some(now + self.limits.check_interval);
        }
        is_due
    }

    /// Checks all upstreams of the service and ejects outliers, worst first, as
    /// far as the limits allow.
    pub fn check(&self, now: Instant, members: &mut [&mut UpstreamTracker]) {
        let limits = &self.limits;
        for member in members.iter_mut() {
            member.health.advance(now, limits);
        }
        let median_ms = median_interval_ms(members);
        let ejected = members.iter().filter(|m| m.health.is_ejected(now)).count();
        let max_new = max_ejected(members.len(), limits.max_ejected_share).saturating_sub(ejected);
        let mut outliers: Vec<(f32, usize)> = members
            .iter()
            .enumerate()
            .filter(|(_, member)| !member.health.is_ejected(now))
            .filter_map(|(index, member)| Some((outlier_score(member, median_ms, limits)?, index)))
            .collect();
        outliers.sort_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        for (_, index) in outliers.into_iter().take(max_new) {
            members[index].health.eject(now, limits);
        }
    }
}

/// Returns how many of `members` upstreams may be ejected at once: the share,
/// at least one, never all.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts of upstreams are small"
)]
pub fn max_ejected(members: usize, share: f32) -> usize {
    let max_count = (members as f32 * share) as usize;
    max_count.max(1).min(members.saturating_sub(1))
}

fn median_interval_ms(members: &[&mut UpstreamTracker]) -> Option<f32> {
    let intervals = members.iter().map(|m| m.report().token_interval_ms);
    let mut intervals: Vec<f32> = intervals.filter(|interval| *interval > 0.0).collect();
    if intervals.len() < MIN_MEDIAN_SAMPLES {
        return None;
    }
    intervals.sort_by(f32::total_cmp);
    Some(intervals[intervals.len() / 2])
}

/// Returns the larger ratio of an upstream's failure share and token interval to
/// their limits, or `None` if both are within them.
fn outlier_score(
    member: &UpstreamTracker,
    median_ms: Option<f32>,
    limits: &EjectionLimits,
) -> Option<f32> {
    let failure_score = member
        .health
        .failure_share(limits.min_calls)
        .map(|share| share / limits.max_failure_share);
    let interval_score = median_ms
        .map(|median_ms| member.report().token_interval_ms / median_ms / limits.max_interval_ratio);
    let score = failure_score
        .unwrap_or(0.0)
        .max(interval_score.unwrap_or(0.0));
    (score > 1.0).then_some(score)
}
