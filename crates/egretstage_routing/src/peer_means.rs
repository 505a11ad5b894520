//! What an upstream's peers tell of its pace.

use crate::Candidate;
use egretstage_wire::LoadReport;

/// Idle time in which half of what sets an upstream apart from its peers is
/// forgotten, in milliseconds.
const IDLE_HALF_LIFE_MS: f32 = 1_000.0;

/// Settles the paces of candidates by those of their peers.
///
/// One whose pace isn't known gets the mean, so that a fresh upstream looks
/// like its peers and not infinitely fast. One that is idle returns to the
/// mean of the others: its pace is measured by its calls alone, so a bad
/// measurement would keep calls away and never be corrected.
pub fn blend_with_peer_means(candidates: &mut [Candidate]) {
    settle(candidates, |load| &mut load.prefill_tokens_per_s);
    settle(candidates, |load| &mut load.token_interval_ms);
    settle(candidates, |load| &mut load.service_ms);
}

fn settle(candidates: &mut [Candidate], figure: impl Fn(&mut LoadReport) -> &mut f32) {
    let (mut sum, mut known) = (0.0, 0.0);
    for candidate in &mut *candidates {
        let value = *figure(&mut candidate.load);
        if value > 0.0 {
            sum += value;
            known += 1.0;
        }
    }
    if known == 0.0 {
        return;
    }
    for candidate in candidates {
        let idle_ms = candidate.idle_ms;
        let value = figure(&mut candidate.load);
        if *value <= 0.0 {
            *value = sum / known;
        } else if idle_ms > 0 && known > 1.0 {
            let others = (sum - *value) / (known - 1.0);
            let kept = (-crate::estimate::to_f32(idle_ms) / IDLE_HALF_LIFE_MS).exp2();
            *value = others + (*value - others) * kept;
        }
    }
}
