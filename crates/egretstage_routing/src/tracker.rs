//! What an entry knows of one upstream.

use crate::estimate::to_f32;
use crate::{CacheIndex, CallResult, Candidate, Demand, Ewma, Health, PrefixFingerprint};
use egretstage_wire::{LoadReport, OrganisationName};
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Most organisations whose refusals are remembered.
const MAX_BLOCKED: usize = 256;

/// Most calls whose sending is remembered until a report counts them.
const MAX_UNREPORTED: usize = 1024;

/// Time over which the other entries' calls are averaged.
const MEAN_SPAN: Duration = Duration::from_millis(2500);

/// Ages of a report by which that time grows, so that entries that all follow
/// one late report don't swing together.
const MEAN_SPAN_AGES: u32 = 4;

/// A call that was sent to an upstream, as long as it is there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InFlightCall {
    /// Prompt tokens to prefill that have no answer yet.
    prefill_tokens: u32,
}

impl InFlightCall {
    /// Returns the prompt tokens that are probably not cached.
    #[must_use]
    pub fn prefill_tokens(&self) -> u32 {
        self.prefill_tokens
    }
}

/// What an entry knows of one upstream: its reports, the entry's own calls
/// there, its probable cache, its failures and its refusals.
#[derive(Clone, Debug)]
pub struct UpstreamTracker {
    report: LoadReport,
    reported_at: Option<Instant>,
    others: Ewma,
    sent: u64,
    /// Times of the newest calls, newest last.
    sent_at: VecDeque<Instant>,
    in_flight: u32,
    prefill_tokens: u32,
    cache: CacheIndex,
    blocked: HashMap<OrganisationName, Instant>,
    pub(crate) health: Health,
}

impl Default for UpstreamTracker {
    fn default() -> Self {
        Self {
            report: LoadReport::default(),
            reported_at: None,
            others: Ewma::new(1.0),
            sent: 0,
            sent_at: VecDeque::new(),
            in_flight: 0,
            prefill_tokens: 0,
            cache: CacheIndex::default(),
            blocked: HashMap::new(),
            health: Health::default(),
        }
    }
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
    pub fn reset_link(&mut self) {
        self.report = LoadReport::default();
        self.reported_at = None;
        self.others = Ewma::new(1.0);
        self.sent = 0;
        self.sent_at.clear();
        self.cache.clear();
        self.blocked.clear();
    }

    /// Notes a load report.
    pub fn record_report(&mut self, now: Instant, report: LoadReport) {
        self.report = report;
        let since = self.reported_at.replace(now);
        while self.sent_at.len() as u64 > self.unreported() {
            self.sent_at.pop_front();
        }
        let span = MEAN_SPAN + self.report_age(now) * MEAN_SPAN_AGES;
        let passed = since.map_or(span, |since| now.saturating_duration_since(since));
        let weight = passed.as_secs_f32() / span.as_secs_f32();
        self.others.add_weighted(to_f32(report.others()), weight);
    }

    /// Returns the calls that the newest report doesn't count.
    fn unreported(&self) -> u64 {
        self.sent.saturating_sub(self.report.received_from_peer)
    }

    /// Returns the least age of the newest report: a call that it doesn't
    /// count was sent after the report was made.
    fn report_age(&self, now: Instant) -> Duration {
        let oldest = self.sent_at.front().copied();
        let made = match (self.reported_at, oldest) {
            (Some(arrived), Some(sent)) => Some(arrived.min(sent)),
            (arrived, _) => arrived,
        };
        made.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// Notes a call that is sent there.
    pub fn record_sent(
        &mut self,
        now: Instant,
        demand: &Demand,
        prompt: &PrefixFingerprint,
    ) -> InFlightCall {
        let cached = self.cache.cached_tokens(prompt);
        let prefill_tokens = demand.prompt_tokens.saturating_sub(cached);
        self.cache.touch_prompt(prompt);
        self.sent += 1;
        if self.sent_at.len() == MAX_UNREPORTED {
            self.sent_at.pop_front();
        }
        self.sent_at.push_back(now);
        self.in_flight += 1;
        self.prefill_tokens = self.prefill_tokens.saturating_add(prefill_tokens);
        InFlightCall { prefill_tokens }
    }

    /// Notes the first part of a call's answer.
    pub fn record_first_token(&mut self, work: &mut InFlightCall) {
        let done = std::mem::take(&mut work.prefill_tokens);
        self.prefill_tokens = self.prefill_tokens.saturating_sub(done);
    }

    /// Notes the end of a call.
    pub fn record_end(&mut self, mut work: InFlightCall, result: CallResult) {
        self.record_first_token(&mut work);
        self.in_flight = self.in_flight.saturating_sub(1);
        self.health.record_result(result);
    }

    /// Notes that it refuses an organisation's calls for a time.
    pub fn record_refusal(
        &mut self,
        now: Instant,
        organisation: &OrganisationName,
        time: Duration,
    ) {
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
        slow_start_window: Duration,
    ) -> Candidate {
        let blocked = self
            .blocked
            .get(organisation)
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let report_age_ms = as_millis(self.report_age(now));
        let idle = self.in_flight == 0 && self.report.running == 0 && self.report.waiting == 0;
        Candidate {
            same_zone,
            load: self.report,
            report_age_ms,
            idle_ms: if idle { report_age_ms } else { 0 },
            others_mean: self.others.get().unwrap_or(0.0),
            sent_since_report: u32::try_from(self.unreported()).unwrap_or(u32::MAX),
            own_in_flight: self.in_flight,
            own_prefill_tokens: self.prefill_tokens,
            cached_tokens: self.cache.cached_tokens(prompt),
            admitted_share: self.health.admitted_share(now, slow_start_window),
            blocked_ms: as_millis(blocked),
        }
    }
}

/// Rounds up to milliseconds.
fn as_millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_micros().div_ceil(1000)).unwrap_or(u32::MAX)
}
