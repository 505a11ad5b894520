//! The entry's metrics, recorded when its effects are executed.

use crate::{AnswerPart, EntryEffect, Refusal, RefusalKind};
use egretstage_observe::Metrics;
use egretstage_wire::Frame;
use opentelemetry::KeyValue;
use opentelemetry::metrics::Counter;

/// Counters for an entry's answers, starts, cancellations and dials.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    answers: Counter<u64>,
    starts: Counter<u64>,
    cancels: Counter<u64>,
    dials: Counter<u64>,
}

impl EntryMetrics {
    pub(crate) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str, description: &'static str| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        Self {
            answers: counter("egret_answers", "Answers ended, by outcome and reason"),
            starts: counter("egret_starts", "Calls sent to companions, retries included"),
            cancels: counter("egret_cancels", "Calls cancelled at companions"),
            dials: counter("egret_dials", "Links dialled"),
        }
    }

    /// Updates the counters for an effect.
    pub(crate) fn count(&self, effect: &EntryEffect) {
        match effect {
            EntryEffect::Answer { part, .. } => self.count_answer(part),
            EntryEffect::Send { frame, .. } => match frame {
                Frame::Start(_) => self.starts.add(1, &[]),
                Frame::Cancel(_) => self.cancels.add(1, &[]),
                _ => {}
            },
            EntryEffect::Dial { .. } => self.dials.add(1, &[]),
            _ => {}
        }
    }

    fn count_answer(&self, part: &AnswerPart) {
        let (outcome, reason) = match part {
            AnswerPart::Head { .. } | AnswerPart::Bytes(_) => return,
            AnswerPart::End => ("completed", "whole"),
            AnswerPart::Cut => ("cut", "cut"),
            AnswerPart::Refused(refusal) => refusal_labels(refusal),
        };
        let labels = [
            KeyValue::new("outcome", outcome),
            KeyValue::new("reason", reason),
        ];
        self.answers.add(1, &labels);
    }
}

fn refusal_labels(refusal: &Refusal) -> (&'static str, &'static str) {
    match refusal.kind {
        RefusalKind::UnknownToken => ("not-run", "unknown-token"),
        RefusalKind::UnknownService => ("not-run", "unknown-service"),
        RefusalKind::NotRun(reason) => ("not-run", reason.into()),
        RefusalKind::Unknown(reason) => ("unknown", reason.into()),
    }
}
