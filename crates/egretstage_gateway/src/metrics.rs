//! The entry's metrics, recorded when its effects are carried out.

use crate::record_relay::RecordCache;
use egretstage_dispatch::{DecisionLine, DispatchEffect, Refusal};
use egretstage_observe::Metrics;
use egretstage_platform::KeyedTopic;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, ObservableGauge};

/// Counts an entry's decisions and records the age of calls at their end.
#[derive(Debug)]
pub(crate) struct GatewayMetrics {
    sent: Counter<u64>,
    refused: Counter<u64>,
    decisions: Counter<u64>,
    call_age: Histogram<f64>,
    configuration_version: Gauge<u64>,
    evacuated_zones: Gauge<u64>,
    zone_changes: Counter<u64>,
    zone_share_out: Gauge<f64>,
    passed_over_records: Counter<u64>,
    cold_upstreams: Gauge<u64>,
    held_back: Counter<u64>,
    /// Kept because its callback ends with it.
    _configuration_age: ObservableGauge<f64>,
}

impl GatewayMetrics {
    pub(crate) fn new(metrics: &Metrics, cache: RecordCache) -> Self {
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
            configuration_version: meter
                .u64_gauge("egret_configuration_version")
                .with_description("Version of the active configuration")
                .build(),
            evacuated_zones: meter
                .u64_gauge("egret_evacuated_zones")
                .with_description("Number of evacuated availability zones")
                .build(),
            zone_changes: counter(
                "egret_zone_changes",
                "Zones evacuated or taken back, by reason, which names the source",
            ),
            zone_share_out: meter
                .f64_gauge("egret_zone_share_out")
                .with_description("Share of a service's calls that leaves the zone")
                .build(),
            passed_over_records: counter(
                "egret_store_records_passed_over",
                "Records that a restored store lists and that aren't applied, by topic",
            ),
            cold_upstreams: meter
                .u64_gauge("egret_cold_upstreams")
                .with_description("Upstreams at which calls are bounded because they are cold")
                .build(),
            held_back: counter(
                "egret_held_back",
                "New calls that wait although a cold upstream has a free slot",
            ),
            _configuration_age: meter
                .f64_observable_gauge("egret_configuration_read_age_seconds")
                .with_description("Time since the configuration was last read in the store")
                .with_callback(move |observer| {
                    if let Some(age) = cache.read_age(KeyedTopic::Configuration) {
                        observer.observe(age.as_secs_f64(), &[]);
                    }
                })
                .build(),
        }
    }

    /// Returns the counter of listed records that followers of the store's topics pass
    /// over.
    pub(crate) fn passed_over_records(&self) -> Counter<u64> {
        self.passed_over_records.clone()
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
                self.count_zone_change(line);
                if let Some(cold) = line.cold_upstreams {
                    self.cold_upstreams.record(cold.into(), &[]);
                }
                if line.verb == "wait" {
                    self.held_back.add(1, &[]);
                }
                if let (Some(share), Some(service)) = (line.share_out, &line.service) {
                    let service = KeyValue::new("service", service.to_string());
                    self.zone_share_out.record(f64::from(share), &[service]);
                }
                if line.verb == "end"
                    && let Some(age) = line.age_ms
                {
                    let seconds = std::time::Duration::from_millis(age).as_secs_f64();
                    self.call_age.record(seconds, &[]);
                }
            }
            DispatchEffect::Configured(table) => {
                self.configuration_version.record(table.version(), &[]);
            }
            _ => {}
        }
    }

    fn count_zone_change(&self, line: &DecisionLine) {
        if let (Some(evacuated), Some(reason)) = (line.evacuated, line.reason) {
            self.zone_changes.add(1, &[KeyValue::new("reason", reason)]);
            let evacuated = u64::try_from(evacuated).unwrap_or(u64::MAX);
            self.evacuated_zones.record(evacuated, &[]);
        }
    }

    fn count_refusal(&self, refusal: Refusal) {
        let reason: &'static str = refusal.kind.into();
        self.refused.add(1, &[KeyValue::new("reason", reason)]);
    }
}
