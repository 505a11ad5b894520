//! What an entry knows of one upstream.

use crate::{CacheIndex, CallResult, Candidate, Demand, Health, PrefixFingerprint};
use egretstage_wire::{LoadReport, OrganisationName};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Most organisations whose refusals are remembered.
const MAX_BLOCKED: usize = 256;

/// A call that was sent to an upstream, as long as it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentWork {
    /// Prompt tokens to prefill that have no answer yet.
    prefill_tokens: u32,
}

impl SentWork {
    /// Returns the prompt tokens that are probably not cached.
    #[must_use]
    pub fn prefill_tokens(&self) -> u32 {
        self.prefill_tokens
    }
}

/// What an entry knows of one upstream: its reports, the entry's own calls
/// there, its probable cache, its failures and its refusals.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTracker {
    report: LoadReport,
    reported_at: Option<Instant>,
    sent: u64,
    in_flight: u32,
    prefill_tokens: u32,
    cache: CacheIndex,
    blocked: HashMap<OrganisationName, Instant>,
    pub(crate) health: Health,
}

impl UpstreamTracker {
    /// Returns the newest load report.
    #[must_use]
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns the entry's calls that are there.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the record of its failures.
    #[must_use]
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Returns the copy of its prefix cache.
    pub fn cache_mut(&mut self) -> &mut CacheIndex {
        &mut self.cache
    }

    /// Notes a new link: the companion counts from zero and the cache may be
    /// another's.
    pub fn relinked(&mut self) {
        self.report = LoadReport::default();
        self.reported_at = None;
        self.sent = 0;
        self.cache.clear();
        self.blocked.clear();
    }

    /// Notes a load report.
    pub fn reported(&mut self, now: Instant, report: LoadReport) {
        self.report = report;
        self.reported_at = Some(now);
    }

    /// Notes a call that is sent there.
    pub fn sent(&mut self, demand: &Demand, prompt: &PrefixFingerprint) -> SentWork {
        let cached = self.cache.cached_tokens(prompt);
        let prefill_tokens = demand.prompt_tokens.saturating_sub(cached);
        self.cache.used(prompt);
        self.sent += 1;
        self.in_flight += 1;
        self.prefill_tokens = self.prefill_tokens.saturating_add(prefill_tokens);
        SentWork { prefill_tokens }
    }

    /// Notes the first part of a call's answer.
    pub fn first_token(&mut self, work: &mut SentWork) {
        let done = std::mem::take(&mut work.prefill_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(done);
    }

    /// Notes the end of a call.
    pub fn ended(&mut self, mut work: SentWork, result: CallResult) {
        self.first_token(&mut work);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.health.ended(result);
    }

    /// Notes that it refuses an organisation's calls for a time.
    pub fn refused(&mut self, now: Instant, organisation: &OrganisationName, time: Duration) {
        self.blocked.retain(|_, until| *until > now);
        if self.blocked.len() < MAX_BLOCKED {
            self.blocked.insert(organisation.clone(), now + time);
        }
    }

    /// Returns the figures that a policy sees.
    #[must_use]
    pub fn candidate(
        &self,
        now: Instant,
        same_zone: bool,
        organisation: &OrganisationName,
        prompt: &PrefixFingerprint,
        return_time: Duration,
    ) -> Candidate {
        let unreported = self.sent.saturating_sub(self.report.received_from_peer);
        let age = self
            .reported_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let blocked = self
            .blocked
            .get(organisation)
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        Candidate {
            same_zone,
            load: self.report,
            report_age_ms: as_millis(age),
            sent_since_report: u32::try_from(unreported).unwrap_or(u32::MAX),
            own_in_flight: self.in_flight,
            own_prefill_tokens: self.prefill_tokens,
            cached_tokens: self.cache.cached_tokens(prompt),
            admitted_share: self.health.admitted_share(now, return_time),
            blocked_ms: as_millis(blocked),
        }
    }
}

/// Rounds up to milliseconds.
fn as_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
