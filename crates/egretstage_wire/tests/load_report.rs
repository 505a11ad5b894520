//! The size of a load report on a link.

use egretstage_wire::{Frame, LoadReport, decode, encode};

/// Bytes of a report that leave a node with 40 links, four reports a second on
/// each, within half of 25 KB a second.
const MAX_REPORT_BYTES: usize = 78;

#[test]
fn a_load_report_is_small_and_arrives_as_it_was() {
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
    let bytes = encode(&Frame::Load(load)).expect("a report is small");
    assert!(bytes.len() <= MAX_REPORT_BYTES, "{}", bytes.len());
    assert_eq!(decode(&bytes).expect("it was encoded"), Frame::Load(load));
}
