//! Finds requests that end the upstreams which begin to run them.
//!
//! Load pattern: a request ends each upstream that begins to run it, and comes again with the
//! same path, caller and body, at any entry. Each end takes an upstream, or a whole model
//! group, out of service for seconds, so the entries must find the request together, after
//! few ends. Sound calls run at the same upstreams, and sound callers come again too.
//!
//! A request is suspect if an upstream's process ended while it ran the request and before it
//! went on after the first event, unless some upstream has answered the request before. An end
//! counts against it if that run began after the previous end that counts: a caller who sends
//! a request several times while upstreams end at one moment is no evidence. After
//! [`MIN_ENDS`] ends the request is harmful for [`END_LIFETIME`].

pub use crate::evidence::END_LIFETIME;
use crate::evidence::{Evidence, UpstreamEnd, age_ms};
use crate::{RequestHash, UpstreamStart};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::{Duration, Instant};

/// Minimum number of ends, each under a run that began after the end before it, for a
/// request to be harmful.
pub const MIN_ENDS: usize = 2;

/// An end under a suspect request, as an entry reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ReportedEnd {
    #[serde(rename = "r")]
    request: RequestHash,
    /// The upstream that ended.
    #[serde(rename = "u")]
    upstream: UpstreamStart,
    /// Age of the end, in milliseconds.
    #[serde(rename = "a")]
    age_ms: u32,
    /// Time from the beginning of the run to the end, in milliseconds.
    #[serde(rename = "d")]
    run_ms: u32,
}

/// What an entry reports of suspect requests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestReport {
    /// Ends under suspect requests.
    #[serde(rename = "s", default, skip_serializing_if = "SmallVec::is_empty")]
    ends: SmallVec<[ReportedEnd; 0]>,
    /// Requests that another entry suspects and that are cleared.
    #[serde(rename = "c", default, skip_serializing_if = "SmallVec::is_empty")]
    cleared: SmallVec<[RequestHash; 0]>,
}

impl RequestReport {
    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.cleared.is_empty()
    }
}

/// An upstream's end while it ran a request.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// The upstream.
    pub upstream: UpstreamStart,
    /// When the request was sent to it.
    pub began: Instant,
    /// When it ended.
    pub at: Instant,
}

impl UpstreamEnd for RunEnd {
    fn upstream(&self) -> UpstreamStart {
        self.upstream
    }

    fn at(&self) -> Instant {
        self.at
    }

    fn are_enough(ends: &[Self]) -> bool {
        let mut last: Option<Instant> = None;
        let one_after_the_other = ends.iter().filter(|end| {
            let counts = last.is_none_or(|last| end.began >= last);
            if counts {
                last = Some(end.at);
            }
            counts
        });
        one_after_the_other.count() >= MIN_ENDS
    }
}

/// Suspect, harmful and cleared requests, as far as an entry knows.
#[derive(Clone, Debug)]
pub struct HarmfulRequests(Evidence<RequestHash, RunEnd>);

impl Default for HarmfulRequests {
    fn default() -> Self {
        Self(Evidence::new())
    }
}

impl HarmfulRequests {
    /// Records that an upstream ended while it ran a request; returns whether the request has
    /// become harmful.
    pub fn record_end(&mut self, request: RequestHash, end: RunEnd) -> bool {
        self.0.add(end.at, request, end)
    }

    /// Clears a request that an upstream has answered, or whose stream went on after its first
    /// event.
    pub fn clear(&mut self, request: RequestHash) {
        self.0.clear(request);
    }

    /// Returns whether an upstream is known to have answered a request.
    #[must_use]
    pub fn is_cleared(&self, request: RequestHash) -> bool {
        self.0.is_cleared(request)
    }

    /// Returns how long a request counts as harmful, `None` if it doesn't.
    #[must_use]
    pub fn harmful_for(&self, now: Instant, request: RequestHash) -> Option<Duration> {
        let until = self.0.harmful_until(request)?;
        let time = until.saturating_duration_since(now);
        Some(time).filter(|time| !time.is_zero())
    }

    /// Applies another entry's report; returns the requests that have become harmful.
    pub fn apply_report(
        &mut self,
        now: Instant,
        report: &RequestReport,
    ) -> SmallVec<[RequestHash; 1]> {
        for request in &report.cleared {
            self.0.clear(*request);
        }
        let ends = report.ends.iter().filter(|end| {
            let run = Duration::from_millis(u64::from(end.run_ms));
            let upstream = end.upstream;
            self.0.add_reported(now, end.request, end.age_ms, |at| {
                let began = at.checked_sub(run)?;
                Some(RunEnd {
                    upstream,
                    began,
                    at,
                })
            })
        });
        ends.map(|end| end.request).collect()
    }

    /// Removes the ends that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.remove_expired(now);
    }

    /// Returns the report that is due.
    pub fn take_report(&mut self, now: Instant) -> RequestReport {
        let (ends, cleared) = self.0.take_report(now);
        let ends = ends.into_iter().map(|(request, end)| ReportedEnd {
            request,
            upstream: end.upstream,
            age_ms: age_ms(now, end.at),
            run_ms: age_ms(end.at, end.began),
        });
        RequestReport {
            ends: ends.collect(),
            cleared: cleared.into_iter().collect(),
        }
    }

    /// Returns whether ends have been added since the last report, or are to be repeated.
    #[must_use]
    pub fn is_report_due(&self, now: Instant) -> bool {
        self.0.is_report_due(now)
    }
}
