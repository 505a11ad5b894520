//! A load balancer for expert-parallel model groups and the plain services
//! beside them.
//!
//! Re-exports the crates of the workspace. The programs `egret-entry`,
//! `egret-companion` and `egretctl` are thin wrappers around them.

pub use egretstage_balance as balance;
pub use egretstage_companion as companion;
pub use egretstage_config as config;
pub use egretstage_control as control;
pub use egretstage_entry as entry;
pub use egretstage_group as group;
pub use egretstage_link as link;
pub use egretstage_observe as observe;
pub use egretstage_once as once;
pub use egretstage_platform as platform;
pub use egretstage_rebalance as rebalance;
pub use egretstage_relay as relay;
pub use egretstage_routing as routing;
pub use egretstage_runtime as runtime;
pub use egretstage_wire as wire;

pub mod daemon_args;
