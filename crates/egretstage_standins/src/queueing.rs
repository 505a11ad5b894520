//! A small queueing fake of runners, entries and callers in virtual time.
//!
//! It drives the product's decision logic of `egretstage_routing` at its
//! interface: policies, trackers, budgets and queues are the real ones, the
//! runners behind them are a queue with slots, a serial prefill and a token
//! interval that grows with the load. A seed repeats a run exactly.

mod agenda;
mod at_runner;
mod call;
mod ending;
mod entry;
mod faults;
mod figures;
mod options;
mod runner;
mod scenario;
mod workload;
mod world;

pub use figures::Figures;
pub use options::{
    CallerHabit, Fault, FaultAt, Mechanisms, OUTAGE, OrganisationShape, PolicyKind, Scenario, Site,
};
pub use scenario::{booking_site, drafting_site, target_site};
pub use world::simulate;
