//! Measures what each further stream, link, key or other unit costs in bytes on the
//! wire, memory and processor time.
//!
//! `docs/CAPACITY.md` derives from these slopes what each role needs at the
//! target's size. Sizes are the same in every run; times are those of one thread on
//! the machine that runs the benchmark.

mod slopes {
    pub(super) mod configuration;
    pub(super) mod entry;
    pub(super) mod fleet;
    pub(super) mod frames;
    pub(super) mod idle_link;
    pub(super) mod keys;
    pub(super) mod measure;
    pub(super) mod planner;
}

use stats_alloc::{INSTRUMENTED_SYSTEM, StatsAlloc};
use std::alloc::System;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

fn main() {
    println!("| slope | value | unit |");
    println!("|---|---|---|");
    slopes::frames::print();
    slopes::configuration::print();
    slopes::entry::print();
    slopes::keys::print();
    slopes::idle_link::print();
    slopes::fleet::print();
    slopes::planner::print();
}
