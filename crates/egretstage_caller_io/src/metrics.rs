//! Metrics of the bounds on what callers make a process hold.

use crate::account::CallerLimits;
use crate::bounds::{CallerBounds, Held};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Meter, ObservableGauge};
use std::sync::Arc;

/// Gauges of what callers make a process hold.
#[derive(Debug)]
pub struct CallerGauges {
    /// Kept because their callbacks end with them.
    _observed: [ObservableGauge<u64>; 3],
}

impl CallerBounds {
    /// Creates an empty account with metrics; the gauges end when they are dropped.
    #[must_use]
    pub fn with_metrics(limits: CallerLimits, meter: &Meter) -> (Arc<Self>, CallerGauges) {
        let counter = meter.u64_counter("egret_callers_turned_away");
        let counter = counter.with_description("Callers turned away, by reason");
        let counter = counter.build();
        let count = move |why| {
            let reason: &'static str = <&'static str>::from(why);
            counter.add(1, &[KeyValue::new("reason", reason)]);
        };
        let bounds = Self::new("callers", limits, Box::new(count));
        let observe = |name, description, read: fn(Held) -> usize| {
            let bounds = Arc::clone(&bounds);
            let gauge = meter.u64_observable_gauge(name);
            let gauge = gauge.with_description(description);
            let gauge = gauge.with_callback(move |observer| {
                observer.observe(read(bounds.held()) as u64, &[]);
            });
            gauge.build()
        };
        let connections = observe(
            "egret_caller_connections",
            "Open connections of callers",
            |held| held.connections,
        );
        let body_bytes = observe(
            "egret_caller_body_bytes",
            "Room that the bodies of callers' requests take",
            |held| held.body_bytes,
        );
        let answer_bytes = observe(
            "egret_caller_answer_bytes",
            "Room that answers take until callers have read them",
            |held| held.answer_bytes,
        );
        let gauges = CallerGauges {
            _observed: [connections, body_bytes, answer_bytes],
        };
        (bounds, gauges)
    }
}
