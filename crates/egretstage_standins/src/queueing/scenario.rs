//! The sites of the brief and of the target.

use super::options::{OrganisationShape, Site};
use std::time::Duration;

/// Requests of large organisations, of all.
const LARGE_SHARE: f64 = 0.8;

/// Builds organisations of which the first are large.
fn organisations(all: u32, large: u32) -> Vec<OrganisationShape> {
    let shape = |index| {
        let small = index >= large;
        let share = if small {
            (1.0 - LARGE_SHARE) / f64::from(all - large)
        } else {
            LARGE_SHARE / f64::from(large)
        };
        OrganisationShape { share, small }
    };
    (0..all).map(shape).collect()
}

/// Twelve drafting upstreams in three zones, three entries, ten organisations.
#[must_use]
pub fn drafting_site() -> Site {
    Site {
        name: "drafting",
        zones: 3,
        upstreams: 12,
        entries: 3,
        slots: 32,
        idle_interval: Duration::from_millis(26),
        full_interval: Duration::from_millis(33),
        prefill_tokens_per_s: 20_000.0,
        cache_blocks: 400,
        organisations: organisations(10, 3),
        prefixes: 4,
        prefix_blocks: (8, 16),
        own_blocks: (2, 8),
        max_tokens: 80,
        first_token_budget: Duration::from_millis(480),
        token_budget: Duration::from_millis(35),
        repeatable: true,
        near_delay: Duration::from_micros(200),
        far_delay: Duration::from_millis(1),
    }
}

/// Three booking upstreams whose calls may not be repeated.
#[must_use]
pub fn booking_site() -> Site {
    Site {
        name: "booking",
        upstreams: 3,
        slots: 8,
        idle_interval: Duration::from_millis(30),
        full_interval: Duration::from_millis(40),
        prefixes: 1,
        prefix_blocks: (0, 0),
        own_blocks: (0, 0),
        max_tokens: 1,
        first_token_budget: Duration::from_millis(200),
        token_budget: Duration::ZERO,
        repeatable: false,
        ..drafting_site()
    }
}

/// The neighbourhood of one node at the target's size: 40 of 10,000 upstreams
/// before 6 of 1,500 nodes.
#[must_use]
pub fn target_site() -> Site {
    Site {
        name: "target",
        upstreams: 40,
        entries: 6,
        slots: 128,
        cache_blocks: 2000,
        organisations: organisations(58, 6),
        prefixes: 5,
        max_tokens: 366,
        ..drafting_site()
    }
}
