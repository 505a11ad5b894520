//! The time that the path adds over calling the engine directly.
//!
//! Real processes on loopback; each row compares bursts of streamed drafts
//! through entry and companion with the same bursts at the engine, in one run.
//! Wall-clock figures: read the ratios, not the times.

use egretstage_standins::prelude::*;
use egretstage_standins::programs;
use egretstage_standins::scenario::{self, DESK_TOKEN, drafting, wait_for_route};
use std::net::SocketAddr;
use std::time::Duration;

const STREAMS: [usize; 3] = [1, 100, 1_000];
const TOKENS: u32 = 40;
const BURSTS: usize = 3;

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

    println!("first token, ms; gap between tokens, ms; callers connect at one instant");
    println!(
        "{:>7} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>6}",
        "streams", "path", "first50", "first99", "first100", "gap50", "gap99", "whole"
    );
    for streams in STREAMS {
        let direct = measure(&fleet, upstream, streams);
        let through = measure(&fleet, entry.address, streams);
        direct.print(streams, "direct");
        through.print(streams, "entry");
        println!(
            "{streams:>7}    added {:>9.2} {:>9.2}   ratio {:.2} and {:.2}",
            through.first(0.5) - direct.first(0.5),
            through.first(0.99) - direct.first(0.99),
            through.first(0.5) / direct.first(0.5),
            through.first(0.99) / direct.first(0.99),
        );
    }
    print_memory(&fleet, &entry, &companion);
}

/// The times of all callers of some bursts.
struct Times {
    streams: usize,
    first_ms: Vec<f64>,
    gaps_ms: Vec<f64>,
    whole: usize,
}

fn measure(fleet: &Fleet, address: SocketAddr, streams: usize) -> Times {
    let mut times = Times {
        streams: streams * BURSTS,
        first_ms: Vec::new(),
        gaps_ms: Vec::new(),
        whole: 0,
    };
    for _ in 0..BURSTS {
        let burst = Burst {
            address,
            streams,
            tokens: TOKENS,
            token: DESK_TOKEN,
        };
        for seen in fleet.runtime_handle().block_on(send_burst(burst)) {
            times.first_ms.push(millis(seen.first_token));
            times.gaps_ms.extend(seen.gaps.iter().copied().map(millis));
            times.whole += usize::from(seen.complete);
        }
    }
    times.first_ms.sort_by(f64::total_cmp);
    times.gaps_ms.sort_by(f64::total_cmp);
    times
}

impl Times {
    fn first(&self, quantile: f64) -> f64 {
        at(&self.first_ms, quantile)
    }

    fn print(&self, streams: usize, path: &str) {
        println!(
            "{streams:>7} {path:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>6.3}",
            self.first(0.5),
            self.first(0.99),
            self.first(1.0),
            at(&self.gaps_ms, 0.5),
            at(&self.gaps_ms, 0.99),
            ratio(self.whole, self.streams),
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
fn at(sorted: &[f64], quantile: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    let index = (last as f64 * quantile).round() as usize;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

/// Prints how much memory each process holds for a stream.
fn print_memory(fleet: &Fleet, entry: &Program, companion: &Program) {
    const MEMORY_STREAMS: usize = 1_000;
    let before = (entry.resident_kib(), companion.resident_kib());
    let burst = Burst {
        address: entry.address,
        streams: MEMORY_STREAMS,
        tokens: TOKENS,
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
