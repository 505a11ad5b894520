//! Measures an upstream by the answers that it streams.

use crate::Ewma;
use crate::estimate::to_f32;
use std::time::{Duration, Instant};

/// Weight of the newest sample in the prefill rate.
const PREFILL_RATE_WEIGHT: f32 = 0.1;

/// Weight of the newest sample in the token interval.
const TOKEN_INTERVAL_WEIGHT: f32 = 0.05;

/// Weight of the newest call in the service time.
const SERVICE_TIME_WEIGHT: f32 = 0.05;

/// Estimates the prefill rate, token interval and service time of an upstream.
///
/// The service time is the time that a call occupies a slot.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamMeter {
    prefill_tokens_per_s: Ewma,
    token_interval_ms: Ewma,
    service_ms: Ewma,
    /// Started calls without a first token.
    awaiting_first_token: u32,
    /// Start of the current prefill: prefills are assumed to run one after
    /// another.
    prefill_since: Option<Instant>,
}

impl Default for UpstreamMeter {
    fn default() -> Self {
        Self {
            prefill_tokens_per_s: Ewma::new(PREFILL_RATE_WEIGHT),
            token_interval_ms: Ewma::new(TOKEN_INTERVAL_WEIGHT),
            service_ms: Ewma::new(SERVICE_TIME_WEIGHT),
            awaiting_first_token: 0,
            prefill_since: None,
        }
    }
}

impl UpstreamMeter {
    /// Records that a call was sent to the upstream.
    pub fn record_start(&mut self, now: Instant) {
        if self.awaiting_first_token == 0 {
            self.prefill_since = Some(now);
        }
        self.awaiting_first_token += 1;
    }

    /// Records the first bytes of an answer after the prefill of
    /// `prefill_tokens`, or with 0 that a started call ended without any.
    pub fn record_first_token(&mut self, now: Instant, prefill_tokens: u32) {
        self.awaiting_first_token = self.awaiting_first_token.saturating_sub(1);
        let prefill_time = self
            .prefill_since
            .map(|since| now.saturating_duration_since(since));
        self.prefill_since = Some(now);
        if let Some(prefill_time) = prefill_time
            && prefill_tokens >= MIN_PREFILL_TOKENS
        {
            let interval_s = self.token_interval_ms.get().unwrap_or(0.0) / 1000.0;
            let prefill_s =
                (prefill_time.as_secs_f32() - interval_s).max(MIN_PREFILL_TIME.as_secs_f32());
            self.prefill_tokens_per_s
                .add(to_f32(prefill_tokens) / prefill_s);
        }
    }

    /// Records the time between two tokens of an answer.
    pub fn record_token_interval(&mut self, interval: Duration) {
        self.token_interval_ms.add(interval.as_secs_f32() * 1000.0);
    }

    /// Records the service time of a complete answer.
    pub fn record_service_time(&mut self, service_time: Duration) {
        self.service_ms.add(service_time.as_secs_f32() * 1000.0);
    }

    /// Returns the prefill rate in tokens per second, 0 if unknown.
    #[must_use]
    pub fn prefill_tokens_per_s(&self) -> f32 {
        self.prefill_tokens_per_s.get().unwrap_or(0.0)
    }

    /// Returns the time between tokens in milliseconds, 0 if unknown.
    #[must_use]
    pub fn token_interval_ms(&self) -> f32 {
        self.token_interval_ms.get().unwrap_or(0.0)
    }

    /// Returns the mean service time of a call in milliseconds, 0 if unknown.
    #[must_use]
    pub fn service_ms(&self) -> f32 {
        self.service_ms.get().unwrap_or(0.0)
    }

    /// Returns the expected service time of a call: the mean for a plain call,
    /// which has no output tokens, otherwise prefill and decoding at the measured
    /// rates. What is unknown counts as zero.
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

/// Lower bound of a measured prefill time; a shorter one can't be distinguished
/// from none.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(1);

/// Minimum number of prefill tokens that gives a sample of the rate.
const MIN_PREFILL_TOKENS: u32 = 64;
