//! Measures an upstream from the answers that it streams.

use crate::Ewma;
use crate::estimate::to_f32;
use std::time::{Duration, Instant};

/// Weight of the newest sample in the prefill rate.
const RATE_WEIGHT: f32 = 0.1;

/// Weight of the newest sample in the token interval.
const INTERVAL_WEIGHT: f32 = 0.05;

/// Weight of the newest call in the time that a call holds a slot.
const SERVICE_WEIGHT: f32 = 0.05;

/// Estimates an upstream's prefill rate, token interval and service time.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeter {
    rate: Ewma,
    interval: Ewma,
    service: Ewma,
    unstarted: u32,
    last_prefill: Option<Instant>,
}

impl Default for UpstreamMeter {
    fn default() -> Self {
        Self {
            rate: Ewma::new(RATE_WEIGHT),
            interval: Ewma::new(INTERVAL_WEIGHT),
            service: Ewma::new(SERVICE_WEIGHT),
            unstarted: 0,
            last_prefill: None,
        }
    }
}

impl UpstreamMeter {
    /// Notes that a call was handed to the upstream.
    pub fn record_start(&mut self, now: Instant) {
        if self.unstarted == 0 {
            self.last_prefill = Some(now);
        }
        self.unstarted += 1;
    }

    /// Notes the first bytes of an answer after the prefill of so many tokens,
    /// or that none will come (0 tokens).
    pub fn record_first_token(&mut self, now: Instant, prefill_tokens: u32) {
        self.unstarted = self.unstarted.saturating_sub(1);
        let busy = self
            .last_prefill
            .map(|since| now.saturating_duration_since(since));
        self.last_prefill = Some(now);
        if let Some(busy) = busy
            && prefill_tokens >= MIN_PREFILL_TOKENS
        {
            let interval = self.interval.get().unwrap_or(0.0) / 1000.0;
            let seconds = (busy.as_secs_f32() - interval).max(MIN_PREFILL.as_secs_f32());
            self.rate.add(to_f32(prefill_tokens) / seconds);
        }
    }

    /// Notes the time between two tokens of an answer.
    pub fn record_token_interval(&mut self, interval: Duration) {
        self.interval.add(interval.as_secs_f32() * 1000.0);
    }

    /// Notes the end of a whole answer.
    pub fn record_service_time(&mut self, service: Duration) {
        self.service.add(service.as_secs_f32() * 1000.0);
    }

    /// Returns the prefill rate in tokens per second, 0 when not known.
    #[must_use]
    pub fn prefill_tokens_per_s(&self) -> f32 {
        self.rate.get().unwrap_or(0.0)
    }

    /// Returns the time between tokens in milliseconds, 0 when not known.
    #[must_use]
    pub fn token_interval_ms(&self) -> f32 {
        self.interval.get().unwrap_or(0.0)
    }

    /// Returns the time that a call holds a slot in milliseconds, 0 when not
    /// known.
    #[must_use]
    pub fn service_ms(&self) -> f32 {
        self.service.get().unwrap_or(0.0)
    }

    /// Returns the expected time that a call holds a slot.
    #[must_use]
    pub fn expected_service_time(&self, prefill_tokens: u32, output_tokens: u32) -> Duration {
        if output_tokens == 0 {
            return Duration::from_secs_f32(self.service_ms() / 1000.0);
        }
        let decode = to_f32(output_tokens) * self.token_interval_ms() / 1000.0;
        let rate = self.prefill_tokens_per_s();
        let prefill = if rate > 0.0 {
            to_f32(prefill_tokens) / rate
        } else {
            0.0
        };
        Duration::from_secs_f32(decode + prefill)
    }
}

/// Shortest prefill that is told apart from none.
const MIN_PREFILL: Duration = Duration::from_millis(1);

/// Fewest tokens whose prefill tells of the rate.
const MIN_PREFILL_TOKENS: u32 = 64;
