//! Collects the ends of upstreams under what they ran, for all entries together.
//!
//! Each entry repeats all ends that it knows in its load reports. An end is identified by its
//! upstream, so it counts once, whoever reports it and however often. What an upstream has
//! answered at any entry is cleared at all of them.

use crate::UpstreamStart;
use crate::recent_set::RecentSet;
use smallvec::SmallVec;
use std::cmp::Reverse;
use std::collections::HashMap;
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Age from which an end no longer counts; a wrong verdict ends then.
pub const END_LIFETIME: Duration = Duration::from_mins(10);

/// Maximum number of ends that are kept for a suspect.
const MAX_ENDS: usize = 8;

/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 128;

/// Maximum number of cleared keys; the oldest are forgotten first.
const MAX_CLEARED: usize = 4096;

/// Maximum number of ends, and of contested keys, in one report.
const MAX_REPORTED: usize = 64;

/// Time between two reports of the same ends.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// An upstream's end under a suspect.
pub(crate) trait UpstreamEnd: Copy {
    /// Returns the upstream.
    fn upstream(&self) -> UpstreamStart;

    /// Returns when it ended.
    fn at(&self) -> Instant;

    /// Returns whether these ends, the oldest first, are enough for a verdict.
    fn are_enough(ends: &[Self]) -> bool;
}

/// The ends under one suspect, the oldest first.
#[derive(Clone, Debug)]
struct Suspect<E>(SmallVec<[E; 2]>);

impl<E: UpstreamEnd> Suspect<E> {
    /// Adds an end that isn't known yet; returns whether it did.
    fn add(&mut self, end: E) -> bool {
        let is_known = |known: &E| known.upstream() == end.upstream();
        if self.0.iter().any(is_known) || self.0.len() >= MAX_ENDS {
            return false;
        }
        let position = self.0.partition_point(|known| known.at() <= end.at());
        self.0.insert(position, end);
        true
    }

    fn is_harmful(&self) -> bool {
        E::are_enough(&self.0)
    }

    /// Returns until when the suspect is harmful: as its ends expire, too few are left at
    /// some point.
    fn harmful_until(&self) -> Option<Instant> {
        let mut oldest_first = self.0.iter().enumerate();
        let last_needed = oldest_first.find(|(index, _)| !E::are_enough(&self.0[index + 1..]));
        let (_, end) = last_needed.filter(|_| self.is_harmful())?;
        Some(end.at() + END_LIFETIME)
    }

    fn newest(&self) -> Option<Instant> {
        self.0.last().map(UpstreamEnd::at)
    }
}

/// Suspect, harmful and cleared keys, as far as an entry knows.
#[derive(Clone, Debug)]
pub(crate) struct Evidence<K, E> {
    suspects: HashMap<K, Suspect<E>>,
    cleared: RecentSet<K>,
    /// Cleared keys that another entry has reported as suspect.
    contested: SmallVec<[K; 4]>,
    /// When the ends are reported next.
    next_report: Option<Instant>,
}

impl<K: Copy + Eq + Hash + Ord, E: UpstreamEnd> Evidence<K, E> {
    pub(crate) fn new() -> Self {
        Self {
            suspects: HashMap::new(),
            cleared: RecentSet::new(MAX_CLEARED),
            contested: SmallVec::new(),
            next_report: None,
        }
    }

    /// Adds an end under a key that isn't cleared; returns whether the key has become
    /// harmful.
    pub(crate) fn add(&mut self, now: Instant, key: K, end: E) -> bool {
        if self.is_cleared(key) {
            return false;
        }
        if !self.suspects.contains_key(&key) {
            self.make_room();
        }
        let suspect = self.suspects.entry(key);
        let suspect = suspect.or_insert_with(|| Suspect(SmallVec::new()));
        let was_harmful = suspect.is_harmful();
        if suspect.add(end) {
            self.next_report = Some(now);
        }
        !was_harmful && suspect.is_harmful()
    }

    /// Adds an end that another entry reports with its age; returns whether the key has
    /// become harmful.
    ///
    /// The other entries learn in return that a key is cleared.
    pub(crate) fn add_reported(
        &mut self,
        now: Instant,
        key: K,
        age_ms: u32,
        end_at: impl FnOnce(Instant) -> Option<E>,
    ) -> bool {
        if self.is_cleared(key) {
            self.contest(now, key);
            return false;
        }
        let age = Duration::from_millis(u64::from(age_ms));
        let at = now.checked_sub(age).filter(|_| age < END_LIFETIME);
        let end = at.and_then(end_at);
        end.is_some_and(|end| self.add(now, key, end))
    }

    /// Forgets the suspect with the fewest ends, the oldest of them, if there are too many.
    fn make_room(&mut self) {
        if self.suspects.len() < MAX_SUSPECTS {
            return;
        }
        let least = self.suspects.iter().min_by_key(|(key, suspect)| {
            let ends = suspect.0.len();
            (suspect.is_harmful(), ends, suspect.newest(), **key)
        });
        if let Some(key) = least.map(|(key, _)| *key) {
            self.suspects.remove(&key);
        }
    }

    /// Clears a key.
    pub(crate) fn clear(&mut self, key: K) {
        self.suspects.remove(&key);
        self.cleared.insert(key);
    }

    /// Returns whether a key is cleared.
    pub(crate) fn is_cleared(&self, key: K) -> bool {
        self.cleared.contains(key)
    }

    /// Returns until when a key is harmful, `None` if it isn't.
    pub(crate) fn harmful_until(&self, key: K) -> Option<Instant> {
        self.suspects.get(&key)?.harmful_until()
    }

    /// Lets the other entries know that a key is cleared.
    fn contest(&mut self, now: Instant, key: K) {
        if self.contested.len() < MAX_REPORTED && !self.contested.contains(&key) {
            self.contested.push(key);
            self.next_report.get_or_insert(now);
        }
    }

    /// Removes the ends that no longer count.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        self.suspects.retain(|_, suspect| {
            let is_valid = |end: &E| now.saturating_duration_since(end.at()) < END_LIFETIME;
            suspect.0.retain(|end| is_valid(end));
            !suspect.0.is_empty()
        });
    }

    /// Returns the ends and the contested keys to report, if a report is due: of many, the
    /// ends of the suspects with most ends, the newest of them first.
    pub(crate) fn take_report(&mut self, now: Instant) -> (Vec<(K, E)>, SmallVec<[K; 4]>) {
        if !self.is_report_due(now) {
            return (Vec::new(), SmallVec::new());
        }
        let mut suspects: Vec<_> = self.suspects.iter().collect();
        suspects.sort_by_key(|(key, suspect)| {
            (Reverse(suspect.0.len()), Reverse(suspect.newest()), **key)
        });
        let ends = suspects
            .into_iter()
            .flat_map(|(key, suspect)| suspect.0.iter().map(|end| (*key, *end)));
        let ends: Vec<_> = ends.take(MAX_REPORTED).collect();
        let contested = std::mem::take(&mut self.contested);
        let is_empty = ends.is_empty() && contested.is_empty();
        self.next_report = (!is_empty).then_some(now + REPORT_INTERVAL);
        (ends, contested)
    }

    /// Returns whether ends have been added since the last report, or are to be repeated.
    pub(crate) fn is_report_due(&self, now: Instant) -> bool {
        self.next_report.is_some_and(|at| at <= now)
    }
}

/// Returns the age of a moment in milliseconds, as reports state it.
pub(crate) fn age_ms(now: Instant, at: Instant) -> u32 {
    let age = now.saturating_duration_since(at).as_millis();
    u32::try_from(age).unwrap_or(u32::MAX)
}
