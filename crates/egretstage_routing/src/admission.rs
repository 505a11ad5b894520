//! Decides whether a companion accepts a call or refuses it at once.

use crate::{FairQueue, Flow, UpstreamMeter};
use egretstage_wire::{CallWork, NotRunReason};
use std::hash::Hash;
use std::time::Duration;

/// Lower bound of a call's expected cost; also its cost while the meter has no
/// samples.
const MIN_COST_US: u64 = 1000;

/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A call refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Why it was refused.
    pub reason: NotRunReason,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

/// Returns the expected cost of a call: the time that it occupies a slot, in
/// microseconds.
#[must_use]
pub fn expected_cost_us(meter: &UpstreamMeter, work: &CallWork) -> u64 {
    let service_time = meter.expected_service_time(work.prefill_tokens, work.output_tokens);
    u64::try_from(service_time.as_micros())
        .unwrap_or(u64::MAX)
        .max(MIN_COST_US)
}

/// Admits a call if it can finish within its budget, given its flow's share of
/// the slots.
///
/// # Errors
///
/// Returns the reason and the retry time if the call can't finish in time.
pub fn admit<F: Clone + Ord + Hash, K: Copy + Eq + Hash>(
    queue: &FairQueue<F, K>,
    flow: &Flow<F>,
    slots: u32,
    free_slots: u32,
    cost_us: u64,
    budget: Duration,
) -> Result<(), AdmissionRefusal> {
    let must_wait = free_slots == 0 || !queue.is_empty();
    let wait_us = if must_wait {
        (queue.cost_ahead(flow) + cost_us) / u64::from(slots.max(1))
    } else {
        0
    };
    let time_needed = Duration::from_micros(wait_us.saturating_add(cost_us));
    if time_needed <= budget {
        return Ok(());
    }
    let reason = if Duration::from_micros(cost_us) > budget {
        NotRunReason::DeadlineTooClose
    } else {
        NotRunReason::Overloaded
    };
    Err(AdmissionRefusal {
        reason,
        retry_after: time_needed.saturating_sub(budget).max(MIN_RETRY_AFTER),
    })
}
