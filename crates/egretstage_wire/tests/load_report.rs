//! Size of an encoded load report.

use egretstage_wire::{Frame, LoadReport, decode, encode};

/// Largest encoded report: a node with 40 links that sends four reports a second
/// on each stays within half of 25 KB per second.
const MAX_REPORT_BYTES: usize = 78;

#[test]
fn load_report_is_small_and_unchanged_after_decoding() {
    let load = LoadReport {
        running: 128,
        waiting: 300,
        slots: 128,
        waiting_prompt_tokens: 123_456,
        prefill_tokens_per_s: 20_013.0,
        token_interval_ms: 33.25,
        age_ms: 70_000,
        service_ms: 9801.0,
        received_from_peer: 123_456_789,
        held_from_peer: 900,
    };
    let bytes = encode(&Frame::Load(load)).expect("a report is below the frame limit");
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{}", bytes.len());
    assert_eq!(
        decode(&bytes).expect("an encoded frame can be decoded"),
        Frame::Load(load)
    );
}
