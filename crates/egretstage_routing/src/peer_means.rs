//! Corrects an upstream's measured rates by those of its peers.

use crate::Candidate;
use egretstage_wire::LoadReport;

/// Idle time after which an upstream's difference from the mean of its peers
/// counts half, in milliseconds.
const IDLE_HALF_LIFE_MS: f32 = 1_000.0;

/// Blends the prefill rate, token interval and service time of each candidate
/// with the means of the others.
///
/// An unknown value becomes the mean, so that a new upstream looks like its
/// peers and not infinitely fast. A value of an idle upstream returns to the
/// mean of the others over time: it is measured by the upstream's calls alone,
/// so a bad measurement would keep calls away and never be corrected.
pub fn blend_with_peer_means(candidates: &mut [Candidate]) {
    blend_field(candidates, |load| &mut load.prefill_tokens_per_s);
    blend_field(candidates, |load| &mut load.token_interval_ms);
    blend_field(candidates, |load| &mut load.service_ms);
}

fn blend_field(candidates: &mut [Candidate], field: impl Fn(&mut LoadReport) -> &mut f32) {
    let (mut sum, mut known_count) = (0.0, 0.0);
    for candidate in &mut *candidates {
        let value = *field(&mut candidate.load);
        if value > 0.0 {
            sum += value;
            known_count += 1.0;
        }
    }
    if known_count == 0.0 {
        return;
    }
    for candidate in candidates {
        let idle_ms = candidate.idle_ms;
        let value = field(&mut candidate.load);
        if *value <= 0.0 {
            *value = sum / known_count;
        } else if idle_ms > 0 && known_count > 1.0 {
            let others_mean = (sum - *value) / (known_count - 1.0);
            let own_weight = (-crate::estimate::to_f32(idle_ms) / IDLE_HALF_LIFE_MS).exp2();
            *value = others_mean + (*value - others_mean) * own_weight;
        }
    }
}
