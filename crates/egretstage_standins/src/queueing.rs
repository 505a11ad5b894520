//! A small queueing fake of runners, entries and callers in virtual time.
//!
//! It drives the product's decision logic of `egretstage_routing` at its
//! interface: policies, trackers, budgets and queues are the real ones, the
//! runners behind them are a queue with slots, a serial prefill and a token
//! interval that grows with the load. A seed repeats a run exactly.

mod call;
mod entry;
mod event_queue;
mod faults;
mod metrics;
mod options;
mod outcome;
mod scenario;
mod simulation;
mod upstream;
mod upstream_events;
mod workload;

pub use metrics::RunMetrics;
pub use options::{
    CallerRetries, Fault, Mechanisms, OUTAGE, OrganisationShape, PolicyKind, Scenario,
    ScheduledFault, Site,
};
pub use scenario::{booking_site, drafting_site, target_site};
pub use simulation::simulate;
