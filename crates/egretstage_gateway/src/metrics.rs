//! The entry's metrics, recorded when its effects are carried out.

use egretstage_dispatch::{DispatchEffect, Refusal};
use egretstage_observe::Metrics;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram};

/// Counts an entry's decisions and records the age of calls at their end.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    sent: Counter<u64>,
    refused: Counter<u64>,
    decisions: Counter<u64>,
    call_age: Histogram<f64>,
}

impl GatewayMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            sent: counter(
                "egret_sent",
                "Calls sent to upstreams, by first or repeated",
            ),
            refused: counter("egret_refused", "Calls refused, by reason"),
            decisions: counter("egret_decisions", "Decisions, by verb"),
            call_age: meter
                .f64_histogram("egret_call_seconds")
                .with_description("Time from a call's arrival to its end")
                .build(),
        }
    }

    /// Updates the metrics for an effect.
    pub(crate) fn count(&self, effect: &DispatchEffect) {
        match effect {
            DispatchEffect::Send { attempt, .. } => {
                let kind = if attempt.number == 1 {
                    "first"
                } else {
                    "repeated"
                };
                self.sent.add(1, &[KeyValue::new("kind", kind)]);
            }
            DispatchEffect::Refuse { refusal, .. } => self.count_refusal(*refusal),
            DispatchEffect::Log(line) => {
                self.decisions.add(1, &[KeyValue::new("verb", line.verb)]);
                if line.verb == "end"
                    && let Some(age) = line.age_ms
                {
                    let seconds = std::time::Duration::from_millis(age).as_secs_f64();
                    self.call_age.record(seconds, &[]);
                }
            }
            _ => {}
        }
    }

    fn count_refusal(&self, refusal: Refusal) {
        let reason: &'static str = refusal.kind.into();
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }
}
