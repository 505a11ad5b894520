//! Invariants that must hold under failures, with real processes.
//!
//! Each module checks one invariant: it compares what the stand-ins ran with
//! the answers that callers received.

mod accepted_configuration_never_reverts;
mod at_most_once;
mod booking_fleet;
mod leaving_upstream_gets_no_new_work;
mod one_expert_map_per_step;
mod planned_stop_cuts_off_no_request;
mod rank_fleet;
mod refused_as_not_run_never_ran;
mod seeds;
mod superseded_orders;
mod whole_answer_to_own_caller;
