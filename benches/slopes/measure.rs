//! Measures time and memory and prints the results.

use stats_alloc::{INSTRUMENTED_SYSTEM, Region};
use std::time::Instant;

/// Prints one slope as a table row.
pub(crate) fn print_slope(slope: &str, value: f64, unit: &str) {
    println!("| {slope} | {value:.2} | {unit} |");
}

/// Returns the mean time of a call, in microseconds.
#[expect(clippy::cast_precision_loss, reason = "few calls")]
pub(crate) fn mean_micros(calls: usize, mut call: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    for index in 0..calls {
        call(index);
    }
    start.elapsed().as_secs_f64() * 1e6 / calls as f64
}

/// Returns the bytes that stay allocated after a call, divided by `items`.
#[expect(clippy::cast_precision_loss, reason = "small sizes")]
pub(crate) fn bytes_per_item(items: usize, call: impl FnOnce()) -> f64 {
    let region = Region::new(&INSTRUMENTED_SYSTEM);
    call();
    let change = region.change();
    let held = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    held / items as f64
}
