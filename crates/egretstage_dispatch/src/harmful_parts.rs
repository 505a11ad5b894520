//! Finds prompt parts that end the upstreams which generate on them.
//!
//! Load pattern: one part of a prompt ends each upstream that begins to generate on it.
//! Requests with it come at any entry, no two alike, beside sound ones that share their
//! other parts and their callers. An end takes a model group out of service for seconds, so
//! the entries must find the part together, after few ends.
//!
//! The parts of the calls that an upstream ran as its process ended are suspect, but for
//! the last part, which belongs to one request, and for parts that are cleared: some
//! upstream has generated on them and went on. Ends that resets, cuts and planned stops
//! cause don't count, and several ends at one moment may have a common cause. A part that
//! stays suspect over [`MIN_ENDS`] ends at [`MIN_MOMENTS`] moments, or over [`MIN_ENDS_AT_ONE_MOMENT`]
//! ends at any, in [`MIN_PROMPTS`] prompts, is harmful for [`END_LIFETIME`].

pub use crate::evidence::END_LIFETIME;
use crate::evidence::{Evidence, UpstreamEnd, age_ms};
use crate::peers::hash32;
use crate::{PromptPart, PromptParts, UpstreamStart};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::HashSet;
use std::time::{Duration, Instant};

/// Minimum number of ends for a part to be harmful.
pub const MIN_ENDS: usize = 3;

/// Minimum number of moments at which the ends occurred.
pub const MIN_MOMENTS: usize = 2;

/// Number of ends from which a part is harmful even if all occurred at one moment.
pub const MIN_ENDS_AT_ONE_MOMENT: usize = 5;

/// Minimum number of prompts in which the part was suspect: repeats of one request
/// aren't evidence against the parts that it shares.
pub const MIN_PROMPTS: usize = 2;

/// Longest time between ends that count as one moment.
const MOMENT: Duration = Duration::from_secs(1);

/// An end under a suspect part, as an entry reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectEnd {
    /// The part.
    #[serde(rename = "p")]
    pub part: PromptPart,
    /// The upstream that ended.
    #[serde(rename = "u")]
    pub upstream: UpstreamStart,
    /// Hash of the prompt's last part, which no other prompt shares.
    #[serde(rename = "l")]
    pub prompt: u32,
    /// Age of the end, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
}

/// What an entry reports of suspect parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectReport {
    /// Ends under suspect parts.
    #[serde(rename = "s", default, skip_serializing_if = "SmallVec::is_empty")]
    pub ends: SmallVec<[SuspectEnd; 0]>,
    /// Parts that another entry suspects and that are cleared.
    #[serde(rename = "c", default, skip_serializing_if = "SmallVec::is_empty")]
    pub cleared: SmallVec<[PromptPart; 0]>,
}

impl SuspectReport {
    /// Returns whether there is nothing to report.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty() && self.cleared.is_empty()
    }
}

/// An upstream's end under a part.
#[derive(Clone, Copy, Debug)]
struct PartEnd {
    upstream: UpstreamStart,
    /// Hash of the prompt's last part.
    prompt: u32,
    at: Instant,
}

impl UpstreamEnd for PartEnd {
    fn upstream(&self) -> UpstreamStart {
        self.upstream
    }

    fn at(&self) -> Instant {
        self.at
    }

    fn are_enough(ends: &[Self]) -> bool {
        let mut moments = 0;
        let mut moment: Option<Instant> = None;
        for Self { at, .. } in ends {
            if moment.is_none_or(|start| at.saturating_duration_since(start) > MOMENT) {
                moments += 1;
                moment = Some(*at);
            }
        }
        let prompts: HashSet<u32> = ends.iter().map(|end| end.prompt).collect();
        let count = ends.len();
        let are_enough =
            count >= MIN_ENDS_AT_ONE_MOMENT || (count >= MIN_ENDS && moments >= MIN_MOMENTS);
        are_enough && prompts.len() >= MIN_PROMPTS
    }
}

/// Returns the parts of a prompt that other prompts may share.
fn shared_parts(parts: &PromptParts) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Suspect, harmful and cleared parts, as far as an entry knows.
#[derive(Clone, Debug)]
pub struct HarmfulParts(Evidence<PromptPart, PartEnd>);

impl Default for HarmfulParts {
    fn default() -> Self {
        Self(Evidence::new())
    }
}

impl HarmfulParts {
    /// Records that an upstream ended while it ran a prompt; returns the parts that have
    /// become harmful.
    pub fn record_end(
        &mut self,
        now: Instant,
        upstream: UpstreamStart,
        parts: &PromptParts,
    ) -> SmallVec<[PromptPart; 1]> {
        let own = parts.last().map_or(0, |part| part.0);
        let prompt = hash32(&own.to_be_bytes());
        let end = PartEnd {
            upstream,
            prompt,
            at: now,
        };
        let shared = shared_parts(parts).iter().copied();
        shared.filter(|part| self.0.add(now, *part, end)).collect()
    }

    /// Clears the parts of a prompt on which an upstream has generated and went on.
    pub fn clear(&mut self, parts: &PromptParts) {
        for part in shared_parts(parts) {
            self.0.clear(*part);
        }
    }

    /// Returns whether a prompt has a part that isn't cleared and that others may share.
    #[must_use]
    pub fn is_suspect(&self, parts: &PromptParts) -> bool {
        let mut shared = shared_parts(parts).iter();
        shared.any(|part| !self.0.is_cleared(*part))
    }

    /// Returns how long a prompt's harmful part counts as harmful, `None` if it has none.
    #[must_use]
    pub fn harmful_for(&self, now: Instant, parts: &PromptParts) -> Option<Duration> {
        let shared = shared_parts(parts).iter();
        let until = shared.filter_map(|part| self.0.harmful_until(*part));
        let time = until.max()?.saturating_duration_since(now);
        Some(time).filter(|time| !time.is_zero())
    }

    /// Applies another entry's report; returns the parts that have become harmful.
    pub fn apply_report(
        &mut self,
        now: Instant,
        report: &SuspectReport,
    ) -> SmallVec<[PromptPart; 1]> {
        for part in &report.cleared {
            self.0.clear(*part);
        }
        let ends = report.ends.iter().filter(|end| {
            self.0.add_reported(now, end.part, end.age_ms, |at| {
                Some(PartEnd {
                    upstream: end.upstream,
                    prompt: end.prompt,
                    at,
                })
            })
        });
        ends.map(|end| end.part).collect()
    }

    /// Removes the ends that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.0.remove_expired(now);
    }

    /// Returns the report that is due.
    pub fn take_report(&mut self, now: Instant) -> SuspectReport {
        let (ends, cleared) = self.0.take_report(now);
        let ends = ends.into_iter().map(|(part, end)| SuspectEnd {
            part,
            upstream: end.upstream,
            prompt: end.prompt,
            age_ms: age_ms(now, end.at),
        });
        SuspectReport {
            ends: ends.collect(),
            cleared: cleared.into_iter().collect(),
        }
    }

    /// Returns whether ends have been added since the last report.
    #[must_use]
    pub fn is_report_due(&self, now: Instant) -> bool {
        self.0.is_report_due(now)
    }
}
