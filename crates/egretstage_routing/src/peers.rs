//! Figures of an upstream that isn't measured yet.

use crate::Candidate;
use egretstage_wire::LoadReport;

/// Gives candidates whose pace isn't known the mean pace of those where it is,
/// so that a fresh upstream looks like its peers and not infinitely fast.
pub fn fill_unknown(candidates: &mut [Candidate]) {
    fill(candidates, |load| &mut load.prefill_tokens_per_s);
    fill(candidates, |load| &mut load.token_interval_ms);
    fill(candidates, |load| &mut load.service_ms);
}

fn fill(candidates: &mut [Candidate], figure: impl Fn(&mut LoadReport) -> &mut f32) {
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
        let value = figure(&mut candidate.load);
        if *value <= 0.0 {
            *value = sum / known;
        }
    }
}
