//! Tests of the dispatcher in virtual time.

mod admission;
mod at_most_once;
mod broken_groups;
mod cold_starts;
mod configuration_lag;
mod evacuation;
mod fleet;
mod harmful_requests;
mod late_in_stop;
mod limits;
mod peers;
mod prompt_parts;
mod slow_ranks;
mod stalled_groups;
mod stop_schedules;
mod support;
mod under_load;
mod upstream_signals;
mod urgency;
mod urgency_bursts;
mod zone_shares;
