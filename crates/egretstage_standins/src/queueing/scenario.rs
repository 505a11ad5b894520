//! Predefined sites: a small drafting site, a small booking site and one at the
//! target size.

use super::options::{OrganisationShape, Site};
use std::time::Duration;

/// Share of the requests that large organisations make.
const LARGE_SHARE: f64 = 0.8;

/// Returns `total` organisations, of which the first `large` are large.
fn organisations(total: u32, large: u32) -> Vec<OrganisationShape> {
    let shape = |index| {
        let small = index >= large;
        let share = if small {
            (1.0 - LARGE_SHARE) / f64::from(total - large)
        } else {
            LARGE_SHARE / f64::from(large)
        };
        OrganisationShape { share, small }
    };
    (0..total).map(shape).collect()
}

/// Returns a site of 12 drafting upstreams in 3 zones, with 3 entries and 10
/// organisations.
#[must_use]
pub fn drafting_site() -> Site {
    Site {
        name: "drafting",
        zones: 3,
        upstreams: 12,
        entries: 3,
        slots: 32,
        idle_token_interval: Duration::from_millis(26),
        full_token_interval: Duration::from_millis(33),
        prefill_tokens_per_s: 20_000.0,
        cache_blocks: 400,
        organisations: organisations(10, 3),
        prefixes_per_organisation: 4,
        prefix_blocks: (8, 16),
        unique_blocks: (2, 8),
        max_tokens: 80,
        first_token_budget: Duration::from_millis(480),
        token_budget: Duration::from_millis(35),
        repeatable: true,
        same_zone_delay: Duration::from_micros(200),
        cross_zone_delay: Duration::from_millis(1),
    }
}

/// Returns a site of 3 booking upstreams whose calls must not be repeated.
#[must_use]
pub fn booking_site() -> Site {
    Site {
        name: "booking",
        upstreams: 3,
        slots: 8,
        idle_token_interval: Duration::from_millis(30),
        full_token_interval: Duration::from_millis(40),
        prefixes_per_organisation: 1,
        prefix_blocks: (0, 0),
        unique_blocks: (0, 0),
        max_tokens: 1,
        first_token_budget: Duration::from_millis(200),
        token_budget: Duration::ZERO,
        repeatable: false,
        ..drafting_site()
    }
}

/// Returns the neighbourhood of one node at the target size: 40 of 10,000
/// upstreams and 6 of 1,500 nodes.
#[must_use]
pub fn target_site() -> Site {
    Site {
        name: "target",
        upstreams: 40,
        entries: 6,
        slots: 128,
        cache_blocks: 2000,
        organisations: organisations(58, 6),
        prefixes_per_organisation: 5,
        max_tokens: 366,
        ..drafting_site()
    }
}
