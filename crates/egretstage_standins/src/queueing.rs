//! Queueing simulation of upstreams, entries and callers in virtual time.
//!
//! It runs the decision logic of `egretstage_routing` through its public
//! interface: policies, trackers, budgets and queues are those of the product.
//! An upstream is modelled as a queue with slots, a serial prefill and a token
//! interval that grows with the load. Runs with the same seed are identical.

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
