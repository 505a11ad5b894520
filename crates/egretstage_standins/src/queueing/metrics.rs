//! Metrics of a run.

use super::options::count_to_f64;
use std::time::Duration;

/// Requests of one second of a run, by the time of the caller's attempt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SecondCounts {
    pub(crate) offered: u32,
    pub(crate) on_time: u32,
}

/// Metrics of one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunMetrics {
    pub(crate) offered: u32,
    pub(crate) on_time: u32,
    pub(crate) refused: u32,
    pub(crate) late: u32,
    pub(crate) lost: u32,
    pub(crate) small_offered: u32,
    pub(crate) small_on_time: u32,
    pub(crate) admitted: u32,
    pub(crate) sends: u32,
    pub(crate) runs: u32,
    pub(crate) on_time_tokens: u64,
    pub(crate) wasted_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) same_zone_sends: u32,
    pub(crate) first_tokens: Vec<Duration>,
    pub(crate) per_second: Vec<SecondCounts>,
    pub(crate) measured_time: Duration,
}

impl RunMetrics {
    /// Returns the number of requests of callers, counting each attempt.
    #[must_use]
    pub fn offered(&self) -> u32 {
        self.offered
    }

    /// Returns the number of requests whose answer was lost.
    #[must_use]
    pub fn lost(&self) -> u32 {
        self.lost
    }

    /// Returns the number of requests that were sent and not answered by their
    /// deadline.
    #[must_use]
    pub fn late(&self) -> u32 {
        self.late
    }

    /// Returns the share of requests answered completely within their budget.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        ratio(self.on_time, self.offered)
    }

    /// Returns the share of requests refused as not run.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        ratio(self.refused, self.offered)
    }

    /// Returns the share of the small organisations' requests that were answered
    /// on time.
    #[must_use]
    pub fn small_on_time_share(&self) -> f64 {
        ratio(self.small_on_time, self.small_offered)
    }

    /// Returns a percentile of the time to the first token.
    #[must_use]
    pub fn first_token_percentile(&self, percent: usize) -> Duration {
        let last = self.first_tokens.len().saturating_sub(1);
        let rank = (self.first_tokens.len() * percent / 100).min(last);
        self.first_tokens.get(rank).copied().unwrap_or_default()
    }

    /// Returns the share of requests whose first token arrived within a time, of
    /// those that received one.
    #[must_use]
    pub fn first_token_share_within(&self, time: Duration) -> f64 {
        let within = self.first_tokens.partition_point(|first| *first <= time);
        count_to_f64(within) / count_to_f64(self.first_tokens.len()).max(1.0)
    }

    /// Returns the tokens of answers on time per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        tokens_to_f64(self.on_time_tokens) / self.measured_time.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns the share of prompt tokens found in prefix caches.
    #[must_use]
    pub fn prefix_hit_share(&self) -> f64 {
        tokens_to_f64(self.cached_tokens) / tokens_to_f64(self.prompt_tokens).max(1.0)
    }

    /// Returns the share of generated tokens whose answer was not on time.
    #[must_use]
    pub fn wasted_token_share(&self) -> f64 {
        let all = self.on_time_tokens + self.wasted_tokens;
        tokens_to_f64(self.wasted_tokens) / tokens_to_f64(all).max(1.0)
    }

    /// Returns the number of sends per request that an upstream started.
    #[must_use]
    pub fn sends_per_admitted(&self) -> f64 {
        ratio(self.sends, self.admitted)
    }

    /// Returns the share of sends to an upstream in the entry's zone.
    #[must_use]
    pub fn same_zone_share(&self) -> f64 {
        ratio(self.same_zone_sends, self.sends)
    }

    /// Returns the time from the end of a fault until the share of requests on
    /// time stays at or above a level for three seconds.
    #[must_use]
    pub fn recovery_time(&self, end: Duration, min_share: f64) -> Option<Duration> {
        let first = usize::try_from(end.as_secs()).ok()?;
        let is_recovered = |counts: &SecondCounts| {
            ratio(counts.on_time, counts.offered) >= min_share && counts.offered > 0
        };
        let from = self.per_second.get(first..)?;
        let at = from
            .windows(3)
            .position(|window| window.iter().all(is_recovered))?;
        Some(Duration::from_secs(at as u64))
    }

    /// Returns the time from the end of a fault until the answers on time in
    /// a second stay at or above a count for three seconds.
    #[must_use]
    pub fn throughput_recovery_time(&self, end: Duration, min_answers: f64) -> Option<Duration> {
        let first = usize::try_from(end.as_secs()).ok()?;
        let is_recovered = |counts: &SecondCounts| f64::from(counts.on_time) >= min_answers;
        let from = self.per_second.get(first..)?;
        let at = from
            .windows(3)
            .position(|window| window.iter().all(is_recovered))?;
        Some(Duration::from_secs(at as u64))
    }

    /// Returns the answers on time per second to requests made in a span.
    #[must_use]
    pub fn on_time_per_second_between(&self, from: Duration, to: Duration) -> f64 {
        let index = |at: Duration| usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        let end = index(to).min(self.per_second.len());
        let span = self.per_second.get(index(from)..end).unwrap_or_default();
        let on_time: u32 = span.iter().map(|s| s.on_time).sum();
        f64::from(on_time) / count_to_f64(span.len()).max(1.0)
    }

    /// Returns the share of requests made in a span that were answered on time.
    #[must_use]
    pub fn on_time_share_between(&self, from: Duration, to: Duration) -> f64 {
        let index = |at: Duration| usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        let end = index(to).min(self.per_second.len());
        let span = self.per_second.get(index(from)..end).unwrap_or_default();
        let offered: u32 = span.iter().map(|s| s.offered).sum();
        let on_time: u32 = span.iter().map(|s| s.on_time).sum();
        ratio(on_time, offered)
    }

    pub(crate) fn sort_first_tokens(&mut self) {
        self.first_tokens.sort_unstable();
    }
}

fn ratio(part: u32, all: u32) -> f64 {
    f64::from(part) / f64::from(all.max(1))
}

/// Converts a count of tokens; counts of a run are too small to lose precision.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens stay far below 2^52"
)]
fn tokens_to_f64(n: u64) -> f64 {
    n as f64
}
