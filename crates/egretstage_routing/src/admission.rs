//! Whether a companion takes a call or refuses it at once.

use crate::{FairQueue, Flow, UpstreamMeter};
use egretstage_wire::{CallWork, NotRunReason};
use std::hash::Hash;
use std::time::Duration;

/// Cost of a call of which nothing is known, in microseconds of a slot.
const UNKNOWN_COST: u64 = 1000;

/// Shortest time to come back after.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a call is refused before it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// The reason.
    pub reason: NotRunReason,
    /// When to come back.
    pub retry_after: Duration,
}

/// Returns the expected cost of a call: microseconds of a slot.
#[must_use]
pub fn expected_cost_us(meter: &UpstreamMeter, work: &CallWork) -> u64 {
    let run = meter.expected_service_time(work.prefill_tokens, work.output_tokens);
    u64::try_from(run.as_micros())
        .unwrap_or(u64::MAX)
        .max(UNKNOWN_COST)
}

/// Refuses a call that can't finish within its budget, given its flow's share
/// of the slots.
///
/// # Errors
///
/// Returns why the call is refused and when to come back.
pub fn admit<F: Clone + Ord + Hash, K: Copy + Eq + Hash>(
    queue: &FairQueue<F, K>,
    flow: &Flow<F>,
    slots: u32,
    free_slots: u32,
    cost: u64,
    budget: Duration,
) -> Result<(), AdmissionRefusal> {
    let waits = free_slots == 0 || !queue.is_empty();
    let ahead = if waits {
        (queue.cost_ahead(flow) + cost) / u64::from(slots.max(1))
    } else {
        0
    };
    let needed = Duration::from_micros(ahead.saturating_add(cost));
    if needed <= budget {
        return Ok(());
    }
    let reason = if Duration::from_micros(cost) > budget {
        NotRunReason::DeadlineTooClose
    } else {
        NotRunReason::Overloaded
    };
    Err(AdmissionRefusal {
        reason,
        retry_after: needed.saturating_sub(budget).max(MIN_RETRY_AFTER),
    })
}
