//! State that an entry keeps of one upstream.

use crate::estimate::to_f32;
use crate::{CacheIndex, CallResult, Candidate, Demand, Ewma, Health, PrefixFingerprint};
use egretstage_wire::{LoadReport, OrganisationName};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Maximum number of organisations whose refusals are kept.
const MAX_BLOCKED_ORGANISATIONS: usize = 256;

/// Maximum number of sent calls whose times are kept until a report counts them.
const MAX_UNREPORTED_CALLS: usize = 1024;

/// Time over which the number of other entries' calls is averaged when reports have
/// no age.
const MEAN_WINDOW: Duration = Duration::from_millis(2500);

/// Number of report ages by which [`MEAN_WINDOW`] is extended. The longer
/// mean keeps the choices of entries that all follow one late report from
/// oscillating together.
const MEAN_WINDOW_REPORT_AGES: u32 = 4;

/// A call in flight at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightCall {
    /// Prompt tokens to prefill, 0 after the first token.
    prefill_tokens: u32,
}

impl InFlightCall {
    /// Returns the estimated prompt tokens left to prefill.
    #[must_use]
    pub fn prefill_tokens(&self) -> u32 {
        self.prefill_tokens
    }
}

/// State of one upstream as an entry sees it: its load reports, the entry's own
/// calls there, its estimated cache, its failures and its refusals.
#[derive(Clone, Debug)]
pub struct UpstreamTracker {
    report: LoadReport,
    /// Arrival time of the last report.
    reported_at: Option<Instant>,
    /// Mean number of other entries' calls.
    others_mean: Ewma,
    /// Calls sent on the current link.
    sent_count: u64,
    /// Times of the calls that no report counts yet, newest last.
    sent_at: VecDeque<Instant>,
    in_flight: u32,
    /// Prompt tokens of the calls in flight that are left to prefill.
    prefill_tokens: u32,
    cache: CacheIndex,
    /// End of the refusal of each organisation's calls.
    blocked_until: HashMap<OrganisationName, Instant>,
    pub(crate) health: Health,
}

impl Default for UpstreamTracker {
    fn default() -> Self {
        Self {
            report: LoadReport::default(),
            reported_at: None,
            others_mean: Ewma::new(1.0),
            sent_count: 0,
            sent_at: VecDeque::new(),
            in_flight: 0,
            prefill_tokens: 0,
            cache: CacheIndex::default(),
            blocked_until: HashMap::new(),
            health: Health::default(),
        }
    }
}

impl UpstreamTracker {
    /// Returns the last load report.
    #[must_use]
    pub fn report(&self) -> &LoadReport {
        &self.report
    }

    /// Returns the number of the entry's calls in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the upstream's failures and ejections.
    #[must_use]
    pub fn health(&self) -> &Health {
        &self.health
    }

    /// Returns the estimate of the upstream's prefix cache.
    pub fn cache_mut(&mut self) -> &mut CacheIndex {
        &mut self.cache
    }

    /// Resets the state that a new link invalidates: the companion counts received
    /// calls from zero, and the cache may be that of another upstream.
    pub fn reset_link(&mut self) {
        self.report = LoadReport::default();
        self.reported_at = None;
        self.others_mean = Ewma::new(1.0);
        self.sent_count = 0;
        self.sent_at.clear();
        self.cache.clear();
        self.blocked_until.clear();
    }

    /// Records a load report.
    pub fn record_report(&mut self, now: Instant, report: LoadReport) {
        self.report = report;
        let last_reported_at = self.reported_at.replace(now);
        while self.sent_at.len() as u64 > self.unreported_calls() {
            self.sent_at.pop_front();
        }
        let window = MEAN_WINDOW + self.report_age(now) * MEAN_WINDOW_REPORT_AGES;
        let elapsed = last_reported_at.map_or(window, |at| now.saturating_duration_since(at));
        let weight = elapsed.as_secs_f32() / window.as_secs_f32();
        self.others_mean
            .add_weighted(to_f32(report.others()), weight);
    }

    /// Returns the number of sent calls that the last report doesn't count.
    fn unreported_calls(&self) -> u64 {
        self.sent_count
            .saturating_sub(self.report.received_from_peer)
    }

    /// Returns the minimum age of the last report, leaving out network delay: the
    /// oldest call that it doesn't count was sent after the report was made.
    fn report_age(&self, now: Instant) -> Duration {
        let oldest_sent = self.sent_at.front().copied();
        let made_by = match (self.reported_at, oldest_sent) {
            (Some(arrived), Some(sent)) => Some(arrived.min(sent)),
            (arrived, _) => arrived,
        };
        made_by.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Records a call that is sent to the upstream.
    pub fn record_sent(
        &mut self,
        now: Instant,
        demand: &Demand,
        prompt: &PrefixFingerprint,
    ) -> InFlightCall {
        let cached_tokens = self.cache.cached_tokens(prompt);
        let prefill_tokens = demand.prompt_tokens.saturating_sub(cached_tokens);
        self.cache.touch_prompt(prompt);
        self.sent_count += 1;
        if self.sent_at.len() == MAX_UNREPORTED_CALLS {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.in_flight += 1;
        self.prefill_tokens = self.prefill_tokens.saturating_add(prefill_tokens);
        InFlightCall { prefill_tokens }
    }

    /// Records the first bytes of a call's answer.
    pub fn record_first_token(&mut self, call: &mut InFlightCall) {
        let prefilled_tokens = std::mem::take(&mut call.prefill_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(prefilled_tokens);
    }

    /// Records the end of a call.
    pub fn record_end(&mut self, mut call: InFlightCall, result: CallResult) {
        self.record_first_token(&mut call);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.health.record_result(result);
    }

    /// Records that the upstream refuses an organisation's calls for a time.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        organisation: &OrganisationName,
        duration: Duration,
    ) {
        self.blocked_until.retain(|_, until| *until > now);
        if self.blocked_until.len() < MAX_BLOCKED_ORGANISATIONS {
            self.blocked_until
                .insert(organisation.clone(), now + duration);
        }
    }

    /// Returns the upstream as a candidate for a request.
    #[must_use]
    pub fn candidate(
        &self,
        now: Instant,
        same_zone: bool,
        organisation: &OrganisationName,
        prompt: &PrefixFingerprint,
        slow_start_window: Duration,
    ) -> Candidate {
        let blocked_time = self
            .blocked_until
            .get(organisation)
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let report_age_ms = as_millis(self.report_age(now));
        let is_idle = self.in_flight == 0 && self.report.running == 0 && self.report.waiting == 0;
        Candidate {
            same_zone,
            load: self.report,
            report_age_ms,
            idle_ms: if is_idle { report_age_ms } else { 0 },
            others_mean: self.others_mean.get().unwrap_or(0.0),
            sent_since_report: u32::try_from(self.unreported_calls()).unwrap_or(u32::MAX),
            own_in_flight: self.in_flight,
            own_prefill_tokens: self.prefill_tokens,
            cached_tokens: self.cache.cached_tokens(prompt),
            admitted_share: self.health.admitted_share(now, slow_start_window),
            blocked_ms: as_millis(blocked_time),
        }
    }
}

/// Converts to milliseconds, rounded up and saturating at `u32::MAX`.
fn as_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
