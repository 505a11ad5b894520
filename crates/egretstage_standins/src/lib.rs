//! Stand-ins for the platform, the model engines and the plain services.
//!
//! Each stand-in is a small HTTP server that keeps its state in memory and
//! records what it executed, so that a test can compare that record with what
//! callers received. Product crates use this crate in tests only.

pub mod append_log;
pub mod balance_run;
pub mod caller;
pub mod crowd;
pub mod engine;
pub mod engine_cache;
pub mod expert_demand;
pub mod fault_proxy;
pub mod fleet;
pub mod instance_list;
pub mod placement;
pub mod plain_service;
pub mod ports;
pub mod process_watch;
pub mod program;
pub mod queueing;
pub mod rank_engine;
pub mod rank_group;
pub mod scenario;
pub mod server;
pub mod stream_load;
pub mod weight_store;

/// Commonly used items of this crate.
pub mod prelude {
    pub use crate::append_log::{AppendLogOptions, AppendLogStandIn};
    pub use crate::caller::{CallerRequest, CallerResponse, chat_messages};
    pub use crate::engine::{EngineOptions, EngineStandIn};
    pub use crate::fault_proxy::{FaultProxy, LinkFaults};
    pub use crate::fleet::{Fleet, ProgramPaths};
    pub use crate::instance_list::InstanceListStandIn;
    pub use crate::placement::{EntryOptions, Placement, RankPlacement};
    pub use crate::plain_service::{PlainServiceOptions, PlainServiceStandIn};
    pub use crate::ports::free_address;
    pub use crate::program::{Program, wait_for};
    pub use crate::rank_group::{RankGroupOptions, RankGroupStandIn};
    pub use crate::server::{Reply, StandInHandler, serve};
    pub use crate::stream_load::{Burst, StreamTimes, send_burst};
    pub use crate::weight_store::{WeightStoreOptions, WeightStoreStandIn};
}
