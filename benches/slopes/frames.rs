//! Size and processor time of each frame.

use super::measure::{mean_micros, print_slope};
use egretstage_wire::{
    CallKind, CallStart, CallWork, Chunk, ConfigurationFrame, Frame, Incarnation, LoadReport,
    Offset, OrganisationName, Outcome, RequestId, ServiceName, StateDigest, StreamEnd, StreamId,
    StreamIdGenerator, decode, encode,
};

/// Number of encodings and decodings that are timed.
const TIMED_CALLS: usize = 20_000;

/// Length of a request's body.
const BODY_BYTES: usize = 2_048;

/// Length of the event of one token.
const TOKEN_BYTES: usize = 200;

pub(crate) fn print() {
    let stream = StreamIdGenerator::new(Incarnation(u64::MAX / 3)).issue();
    let frames = [
        ("load report", Frame::Load(load_report())),
        ("announcement", Frame::Configuration(announcement())),
        (
            "call start, 2 KiB body",
            Frame::Start(Box::new(call_start(stream))),
        ),
        ("chunk, 200 B", Frame::Chunk(chunk(stream))),
        ("end", Frame::End(stream_end(stream))),
    ];
    for (name, frame) in frames {
        let buf = encode(&frame).expect("the frame is small");
        print_slope(&format!("{name}, encoded"), to_f64(buf.len()), "B");
        let encode_time = mean_micros(TIMED_CALLS, |_| {
            std::hint::black_box(encode(std::hint::black_box(&frame)).is_ok());
        });
        print_slope(&format!("{name}, encode"), encode_time, "µs");
        let decode_time = mean_micros(TIMED_CALLS, |_| {
            std::hint::black_box(decode(std::hint::black_box(&buf)).is_ok());
        });
        print_slope(&format!("{name}, decode"), decode_time, "µs");
    }
}

fn to_f64(bytes: usize) -> f64 {
    f64::from(u32::try_from(bytes).expect("a frame is small"))
}

/// Returns the load report of a busy upstream.
pub(crate) fn load_report() -> LoadReport {
    LoadReport {
        running: 29,
        waiting: 3,
        slots: 32,
        waiting_prompt_tokens: 4_321,
        prefill_tokens_per_s: 12_345.6,
        token_interval_ms: 31.7,
        age_ms: 0,
        service_ms: 4_567.8,
        received_from_peer: 123_456,
        held_from_peer: 2,
    }
}

fn announcement() -> ConfigurationFrame {
    ConfigurationFrame::Announce {
        offset: Offset(10_000_000),
        digest: StateDigest(u64::MAX / 3),
    }
}

fn call_start(stream: StreamId) -> CallStart {
    let service = ServiceName::try_from("drafting").expect("a valid name");
    let organisation = OrganisationName::try_from("organisation-123").expect("a valid name");
    CallStart {
        stream,
        request: RequestId::try_from("0123456789abcdef-1234567").expect("a valid name"),
        organisation,
        service,
        kind: CallKind::Chat,
        key: None,
        claim: None,
        repeatable: true,
        budget_ms: 2_000,
        sent_ms: 86_400_000,
        priority: 0,
        work: CallWork::default(),
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: Some("application/json".into()),
        credit: 64,
        body: vec![b'x'; BODY_BYTES],
    }
}

fn chunk(stream: StreamId) -> Chunk {
    Chunk {
        stream,
        offset: 100_000,
        bytes: vec![b'x'; TOKEN_BYTES],
    }
}

fn stream_end(stream: StreamId) -> StreamEnd {
    StreamEnd {
        stream,
        outcome: Outcome::Completed,
        body_bytes: 100_000,
    }
}
