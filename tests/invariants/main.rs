//! What must always hold, under failure, with real processes.
//!
//! One module for each point; each compares what the stand-ins really ran
//! with what callers were told.

mod accepted_configuration_never_reverts;
mod at_most_once;
mod desk;
mod leaving_upstream_gets_no_new_work;
mod one_expert_map_per_step;
mod planned_stop_cuts_off_no_request;
mod rank_fleet;
mod refused_as_not_run_never_ran;
mod seeds;
mod superseded_orders;
mod whole_answer_to_own_caller;
