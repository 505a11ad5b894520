//! Measures the latency that entry and companion add to a direct call of the engine.
//!
//! Runs real processes on loopback. For each number of streams, one run sends
//! bursts of streamed drafts through entry and companion and the same bursts
//! directly to the engine. The times are wall-clock times of the machine at hand:
//! compare the ratios, not the times.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, DESK_TOKEN, drafting, wait_for_route};
use std::net::SocketAddr;
use std::time::Duration;

/// Numbers of streams that are opened at once.
const STREAM_COUNTS: [usize; 3] = [1, 100, 1_000];
/// Length of each streamed draft.
const TOKENS_PER_STREAM: u32 = 40;
/// Bursts that are measured for each number of streams.
const BURSTS_PER_ROW: usize = 3;

fn main() {
    let fleet = scenario::start_fleet(programs!());
    let options = EngineOptions {
        slots: 4_096,
        prefill_tokens_per_second: 1_000_000,
        ..EngineOptions::default()
    };
    let (_engine, upstream) = fleet.engine(options);
    let companion = fleet.companion_with_slots(&drafting("draft-1", "west", upstream), 4_096);
    let entry = fleet.entry("entry-1", "west");
    wait_for_route(&entry, &CallerRequest::chat("draft-1", "probe", 1, false));

    println!("first token, ms; gap between tokens, ms; all callers connect at once");
    println!(
        "{:>7} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6}",
        "streams", "path", "first50", "first99", "first100", "gap50", "gap99", "whole"
    );
    for streams in STREAM_COUNTS {
        let direct = measure(&fleet, upstream, streams);
        let via_entry = measure(&fleet, entry.address, streams);
        direct.print(streams, "direct");
        via_entry.print(streams, "entry");
        println!(
            "{streams:>7}    added {:>9.2} {:>9.2}   ratio {:.2} and {:.2}",
            via_entry.first_token_ms(0.5) - direct.first_token_ms(0.5),
            via_entry.first_token_ms(0.99) - direct.first_token_ms(0.99),
            via_entry.first_token_ms(0.5) / direct.first_token_ms(0.5),
            via_entry.first_token_ms(0.99) / direct.first_token_ms(0.99),
        );
    }
    print_memory(&fleet, &entry, &companion);
}

/// Times measured by all callers of the bursts of one row, in ascending order.
struct Times {
    streams: usize,
    first_token_times_ms: Vec<f64>,
    gaps_ms: Vec<f64>,
    complete: usize,
}

fn measure(fleet: &Fleet, address: SocketAddr, streams: usize) -> Times {
    let mut times = Times {
        streams: streams * BURSTS_PER_ROW,
        first_token_times_ms: Vec::new(),
        gaps_ms: Vec::new(),
        complete: 0,
    };
    for _ in 0..BURSTS_PER_ROW {
        let burst = Burst {
            address,
            streams,
            tokens: TOKENS_PER_STREAM,
            token: DESK_TOKEN,
        };
        for caller in fleet.runtime_handle().block_on(send_burst(burst)) {
            times.first_token_times_ms.push(millis(caller.first_token));
            times
                .gaps_ms
                .extend(caller.gaps.iter().copied().map(millis));
            times.complete += usize::from(caller.complete);
        }
    }
    times.first_token_times_ms.sort_by(f64::total_cmp);
    times.gaps_ms.sort_by(f64::total_cmp);
    times
}

impl Times {
    fn first_token_ms(&self, quantile: f64) -> f64 {
        quantile_of(&self.first_token_times_ms, quantile)
    }

    fn print(&self, streams: usize, path: &str) {
        println!(
            "{streams:>7} {path:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>6.3}",
            self.first_token_ms(0.5),
            self.first_token_ms(0.99),
            self.first_token_ms(1.0),
            quantile_of(&self.gaps_ms, 0.5),
            quantile_of(&self.gaps_ms, 0.99),
            ratio(self.complete, self.streams),
        );
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}

#[expect(clippy::cast_precision_loss, reason = "small counts")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "an index into a short list"
)]
fn quantile_of(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Prints the memory of each process before a burst and its peak during the burst,
/// in total and per stream.
fn print_memory(fleet: &Fleet, entry: &Program, companion: &Program) {
    const MEMORY_STREAMS: usize = 1_000;
    let before = (entry.resident_kib(), companion.resident_kib());
    let burst = Burst {
        address: entry.address,
        streams: MEMORY_STREAMS,
        tokens: TOKENS_PER_STREAM,
        token: DESK_TOKEN,
    };
    let running = fleet.runtime_handle().spawn(send_burst(burst));
    let mut peak = before;
    while !running.is_finished() {
        peak.0 = peak.0.max(entry.resident_kib());
        peak.1 = peak.1.max(companion.resident_kib());
        std::thread::sleep(Duration::from_millis(20));
    }
    println!("memory at {MEMORY_STREAMS} streams, after the bursts above, KiB");
    for (name, before, peak) in [("entry", before.0, peak.0), ("companion", before.1, peak.1)] {
        println!(
            "{name:>10}: before {before}, peak {peak}, peak per stream {}",
            peak / 1_000
        );
    }
}
