//! The companion's metrics, recorded when its effects are executed.

use crate::CompanionEffect;
use egretstage_observe::Metrics;
use egretstage_wire::{Frame, Outcome};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge};

/// Instruments for a companion's calls: starts, ends, cancellations and load.
#[derive(Debug)]
pub(crate) struct CompanionMetrics {
    starts: Counter<u64>,
    cancels: Counter<u64>,
    ends: Counter<u64>,
    running: Gauge<u64>,
    waiting: Gauge<u64>,
}

impl CompanionMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name: &'static str, description: &'static str| {
            meter.u64_gauge(name).with_description(description).build()
        };
        Self {
            starts: counter("egret_upstream_starts", "Calls handed to the upstream"),
            cancels: counter("egret_upstream_cancels", "Calls broken off at the upstream"),
            ends: counter("egret_ends", "Calls ended, by outcome and reason"),
            running: gauge("egret_running", "Calls that run, at the last report"),
            waiting: gauge("egret_waiting", "Calls that wait, at the last report"),
        }
    }

    /// Updates the metrics for an effect.
    pub(crate) fn count(&self, effect: &CompanionEffect) {
        match effect {
            CompanionEffect::StartUpstream { .. } => self.starts.add(1, &[]),
            CompanionEffect::CancelUpstream(_) => self.cancels.add(1, &[]),
            CompanionEffect::Send { frame, .. } => self.count_frame(frame),
            _ => {}
        }
    }

    fn count_frame(&self, frame: &Frame) {
        match frame {
            Frame::End(end) => {
                let (outcome, reason) = match &end.outcome {
                    Outcome::Completed => ("completed", "whole"),
                    Outcome::NotRun { reason, .. } => ("not-run", (*reason).into()),
                    Outcome::Unknown { reason } => ("unknown", (*reason).into()),
                };
                let labels = [
                    KeyValue::new("outcome", outcome),
                    KeyValue::new("reason", reason),
                ];
                self.ends.add(1, &labels);
            }
            Frame::Load(load) => {
                self.running.record(u64::from(load.running), &[]);
                self.waiting.record(u64::from(load.waiting), &[]);
            }
            _ => {}
        }
    }
}
