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
//!
//! Each entry repeats all ends that it knows in its load reports. An end is identified by its
//! upstream, so it counts once, whoever reports it and however often.

use crate::peers::hash32;
use crate::recent_set::RecentSet;
use crate::{PromptPart, PromptParts, UpstreamStart};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::collections::{HashMap, HashSet};
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

/// Age from which an end no longer counts; a wrong verdict ends then.
pub const END_LIFETIME: Duration = Duration::from_mins(10);

/// Longest time between ends that count as one moment.
const MOMENT: Duration = Duration::from_secs(1);

/// Maximum number of ends that are kept for a part.
const MAX_ENDS_PER_PART: usize = 8;

/// Maximum number of suspect parts.
const MAX_SUSPECTS: usize = 128;

/// Maximum number of cleared parts; the oldest are forgotten first.
const MAX_CLEARED: usize = 4096;

/// Maximum number of ends, and of contested parts, in one report.
const MAX_REPORTED: usize = 64;

/// Time between two reports of the same ends.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

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

#[derive(Clone, Copy, Debug)]
struct End {
    upstream: UpstreamStart,
    /// Hash of the prompt's last part.
    prompt: u32,
    at: Instant,
}

/// The ends under one suspect part.
#[derive(Clone, Debug, Default)]
struct Suspect(SmallVec<[End; MIN_ENDS]>);

impl Suspect {
    /// Adds an end that isn't known yet; returns whether it did.
    fn add(&mut self, end: End) -> bool {
        let is_known = self.0.iter().any(|known| known.upstream == end.upstream);
        if is_known || self.0.len() >= MAX_ENDS_PER_PART {
            return false;
        }
        let position = self.0.partition_point(|known| known.at <= end.at);
        self.0.insert(position, end);
        true
    }

    fn is_harmful(&self) -> bool {
        are_harmful(&self.0)
    }

    /// Returns until when the part is harmful: as its ends expire, too few are left at
    /// some point.
    fn harmful_until(&self) -> Option<Instant> {
        let mut oldest_first = self.0.iter().enumerate();
        let last_needed = oldest_first.find(|(index, _)| !are_harmful(&self.0[index + 1..]));
        let (_, end) = last_needed.filter(|_| self.is_harmful())?;
        Some(end.at + END_LIFETIME)
    }

    fn newest(&self) -> Option<Instant> {
        self.0.last().map(|end| end.at)
    }
}

/// Returns whether these ends, the oldest first, are enough for a part to be harmful.
fn are_harmful(ends: &[End]) -> bool {
    let mut moments = 0;
    let mut moment: Option<Instant> = None;
    for End { at, .. } in ends {
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

/// Returns the parts of a prompt that other prompts may share.
fn shared_parts(parts: &PromptParts) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

/// Suspect, harmful and cleared parts, as far as an entry knows.
#[derive(Clone, Debug)]
pub struct HarmfulParts {
    suspects: HashMap<PromptPart, Suspect>,
    cleared: RecentSet<PromptPart>,
    /// Cleared parts that another entry has reported as suspect.
    contested: SmallVec<[PromptPart; 4]>,
    /// When the ends are reported next.
    next_report: Option<Instant>,
}

impl Default for HarmfulParts {
    fn default() -> Self {
        Self {
            suspects: HashMap::new(),
            cleared: RecentSet::new(MAX_CLEARED),
            contested: SmallVec::new(),
            next_report: None,
        }
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
        let end = End {
            upstream,
            prompt,
            at: now,
        };
        let suspects = shared_parts(parts).iter();
        let suspects = suspects.filter(|part| !self.cleared.contains(**part));
        let suspects: PromptParts = suspects.copied().collect();
        suspects
            .into_iter()
            .filter(|part| self.add_end(now, *part, end))
            .collect()
    }

    /// Adds an end under a part; returns whether the part has become harmful.
    fn add_end(&mut self, now: Instant, part: PromptPart, end: End) -> bool {
        if !self.suspects.contains_key(&part) {
            self.make_room();
        }
        let suspect = self.suspects.entry(part).or_default();
        let was_harmful = suspect.is_harmful();
        if suspect.add(end) {
            self.next_report = Some(now);
        }
        !was_harmful && suspect.is_harmful()
    }

    /// Forgets the suspect with the fewest ends, the oldest of them, if there are too many.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(part, suspect)| {
            let ends = suspect.0.len();
            (suspect.is_harmful(), ends, suspect.newest(), **part)
        });
        if let Some(part) = least.map(|(part, _)| *part) {
            self.suspects.remove(&part);
        }
    }

    /// Clears the parts of a prompt on which an upstream has generated and went on.
    pub fn clear(&mut self, parts: &PromptParts) {
        for part in shared_parts(parts) {
            self.clear_part(*part);
        }
    }

    fn clear_part(&mut self, part: PromptPart) {
        self.suspects.remove(&part);
        self.cleared.insert(part);
    }

    /// Returns whether a prompt has a part that isn't cleared and that others may share.
    #[must_use]
    pub fn is_suspect(&self, parts: &PromptParts) -> bool {
        let mut shared = shared_parts(parts).iter();
        shared.any(|part| !self.cleared.contains(*part))
    }

    /// Returns how long a prompt's harmful part counts as harmful, `None` if it has none.
    #[must_use]
    pub fn harmful_for(&self, now: Instant, parts: &PromptParts) -> Option<Duration> {
        if self.suspects.is_empty() {
            return None;
        }
        let suspects = shared_parts(parts).iter();
        let suspects = suspects.filter_map(|part| self.suspects.get(part));
        let until = suspects.filter_map(Suspect::harmful_until).max()?;
        until
            .checked_duration_since(now)
            .filter(|time| !time.is_zero())
    }

    /// Applies another entry's report; returns the parts that have become harmful.
    pub fn apply_report(
        &mut self,
        now: Instant,
        report: &SuspectReport,
    ) -> SmallVec<[PromptPart; 1]> {
        for part in &report.cleared {
            self.clear_part(*part);
        }
        let mut harmful = SmallVec::new();
        for SuspectEnd {
            part,
            upstream,
            prompt,
            age_ms,
        } in &report.ends
        {
            if self.cleared.contains(*part) {
                self.contest(now, *part);
                continue;
            }
            let age = Duration::from_millis(u64::from(*age_ms));
            let Some(at) = now.checked_sub(age).filter(|_| age < END_LIFETIME) else {
                continue;
            };
            let end = End {
                upstream: *upstream,
                prompt: *prompt,
                at,
            };
            if self.add_end(now, *part, end) {
                harmful.push(*part);
            }
        }
        harmful
    }

    /// Lets the other entries know that a part is cleared.
    fn contest(&mut self, now: Instant, part: PromptPart) {
        if self.contested.len() < MAX_REPORTED && !self.contested.contains(&part) {
            self.contested.push(part);
            self.next_report.get_or_insert(now);
        }
    }

    /// Removes the ends that no longer count.
    pub fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| {
            let is_valid = |end: &End| now.saturating_duration_since(end.at) < END_LIFETIME;
            suspect.0.retain(|end| is_valid(end));
            !suspect.0.is_empty()
        });
    }

    /// Returns the report that is due.
    pub fn take_report(&mut self, now: Instant) -> SuspectReport {
        if self.next_report.is_none_or(|at| at > now) {
            return SuspectReport::default();
        }
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(part, suspect)| (std::cmp::Reverse(suspect.0.len()), **part));
        let ends = suspects.into_iter().flat_map(|(part, suspect)| {
            suspect.0.iter().map(|end| {
                let age = now.saturating_duration_since(end.at).as_millis();
                let age_ms = u32::try_from(age).unwrap_or(u32::MAX);
                SuspectEnd {
                    part: *part,
                    upstream: end.upstream,
                    prompt: end.prompt,
                    age_ms,
                }
            })
        });
        let report = SuspectReport {
            ends: ends.take(MAX_REPORTED).collect(),
            cleared: std::mem::take(&mut self.contested).into_iter().collect(),
        };
        self.next_report = (!report.is_empty()).then_some(now + REPORT_INTERVAL);
        report
    }

    /// Returns whether ends have been added since the last report.
    #[must_use]
    pub fn is_report_due(&self, now: Instant) -> bool {
        self.next_report.is_some_and(|at| at <= now)
    }
}
