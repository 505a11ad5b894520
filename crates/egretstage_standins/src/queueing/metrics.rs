//! What a run is measured by.

use super::options::count;
use std::time::Duration;

/// Parts of a run's timeline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SecondCounts {
    pub(crate) offered: u32,
    pub(crate) on_time: u32,
}

/// The metrics of one run.
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
    pub(crate) good_tokens: u64,
    pub(crate) wasted_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) near_sends: u32,
    pub(crate) first_tokens: Vec<Duration>,
    pub(crate) seconds: Vec<SecondCounts>,
    pub(crate) counted: Duration,
}

impl RunMetrics {
    /// Returns the requests that callers made.
    #[must_use]
    pub fn offered(&self) -> u32 {
        self.offered
    }

    /// Returns the requests whose answer was lost.
    #[must_use]
    pub fn lost(&self) -> u32 {
        self.lost
    }

    /// Returns the requests that ran and ended after their deadline.
    #[must_use]
    pub fn late(&self) -> u32 {
        self.late
    }

    /// Returns the share of requests answered whole within their budget.
    #[must_use]
    pub fn on_time_share(&self) -> f64 {
        ratio(self.on_time, self.offered)
    }

    /// Returns the share of requests refused as not run.
    #[must_use]
    pub fn refused_share(&self) -> f64 {
        ratio(self.refused, self.offered)
    }

    /// Returns the share of the small organisations' requests on time.
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

    /// Returns the share of answered requests whose first token came within a
    /// time.
    #[must_use]
    pub fn first_token_share_within(&self, time: Duration) -> f64 {
        let within = self.first_tokens.partition_point(|first| *first <= time);
        count(within) / count(self.first_tokens.len()).max(1.0)
    }

    /// Returns the tokens of answers on time, per second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        tokens(self.good_tokens) / self.counted.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns the share of prompt tokens found in prefix caches.
    #[must_use]
    pub fn prefix_hit_share(&self) -> f64 {
        tokens(self.cached_tokens) / tokens(self.prompt_tokens).max(1.0)
    }

    /// Returns the share of generated tokens whose answer wasn't on time.
    #[must_use]
    pub fn wasted_token_share(&self) -> f64 {
        let all = self.good_tokens + self.wasted_tokens;
        tokens(self.wasted_tokens) / tokens(all).max(1.0)
    }

    /// Returns the sends to upstreams for each request that ran.
    #[must_use]
    pub fn sends_per_admitted(&self) -> f64 {
        ratio(self.sends, self.admitted)
    }

    /// Returns the share of sends that stayed in the entry's zone.
    #[must_use]
    pub fn same_zone_share(&self) -> f64 {
        ratio(self.near_sends, self.sends)
    }

    /// Returns the time from the end of a fault until the share of requests on
    /// time stays above a level for three seconds.
    #[must_use]
    pub fn recovery_time(&self, end: Duration, level: f64) -> Option<Duration> {
        let first = usize::try_from(end.as_secs()).ok()?;
        let good = |second: &SecondCounts| {
            ratio(second.on_time, second.offered) >= level && second.offered > 0
        };
        let from = self.seconds.get(first..)?;
        let at = from.windows(3).position(|three| three.iter().all(good))?;
        Some(Duration::from_secs(at as u64))
    }

    /// Returns the time from the end of a fault until the answers on time in
    /// a second stay above a count for three seconds.
    #[must_use]
    pub fn throughput_recovery_time(&self, end: Duration, least: f64) -> Option<Duration> {
        let first = usize::try_from(end.as_secs()).ok()?;
        let good = |second: &SecondCounts| f64::from(second.on_time) >= least;
        let from = self.seconds.get(first..)?;
        let at = from.windows(3).position(|three| three.iter().all(good))?;
        Some(Duration::from_secs(at as u64))
    }

    /// Returns the answers on time in a second of those asked for in a span.
    #[must_use]
    pub fn on_time_per_second_between(&self, from: Duration, to: Duration) -> f64 {
        let index = |at: Duration| usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        let end = index(to).min(self.seconds.len());
        let span = self.seconds.get(index(from)..end).unwrap_or_default();
        let on_time: u32 = span.iter().map(|s| s.on_time).sum();
        f64::from(on_time) / count(span.len()).max(1.0)
    }

    /// Returns the share of requests on time of those made in a span.
    #[must_use]
    pub fn on_time_share_between(&self, from: Duration, to: Duration) -> f64 {
        let index = |at: Duration| usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        let end = index(to).min(self.seconds.len());
        let span = self.seconds.get(index(from)..end).unwrap_or_default();
        let offered: u32 = span.iter().map(|s| s.offered).sum();
        let on_time: u32 = span.iter().map(|s| s.on_time).sum();
        ratio(on_time, offered)
    }

    pub(crate) fn seal(&mut self) {
        self.first_tokens.sort_unstable();
    }
}

fn ratio(part: u32, all: u32) -> f64 {
    f64::from(part) / f64::from(all.max(1))
}

/// Converts a count of tokens, far below what would lose precision.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of tokens stay far below 2^52"
)]
fn tokens(n: u64) -> f64 {
    n as f64
}
