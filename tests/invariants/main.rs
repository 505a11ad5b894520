//! What must always hold, under failure, with real processes.
//!
//! One module for each point; each compares what the stand-ins really ran
//! with what callers were told.

mod leaving_upstream_gets_no_new_work;
mod one_expert_map_per_step;
mod planned_stop_cuts_off_no_request;
mod rank_fleet;
mod seeds;
mod superseded_orders;
mod whole_answer_to_own_caller;
