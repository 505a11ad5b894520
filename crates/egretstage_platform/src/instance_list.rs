//! A client of the platform's list of live and leaving instances, which lags
//! behind the instances' real state.
//!
//! The published protocol: `GET /instances` returns all instances.

use crate::{PlatformError, http};
use egretstage_wire::{InstanceId, Role, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use strum::Display;

/// One instance on the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// The instance's name.
    pub instance: InstanceId,
    /// The role of the process that runs on it.
    pub role: Role,
    /// Address that accepts links.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The service that its upstream belongs to.
    pub service: Option<ServiceName>,
    /// State that the platform lists.
    pub state: InstanceState,
}

/// State of an instance according to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum InstanceState {
    /// The instance runs.
    Live,
    /// The instance is going to stop.
    Leaving,
}

/// The platform's list of instances.
pub trait InstanceList: Send + Sync {
    /// Returns all instances on the list.
    ///
    /// # Errors
    ///
    /// Returns an error when the list can't be read.
    fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError>;
}

/// A client of the list over HTTP.
#[derive(Debug)]
pub struct HttpInstanceList {
    agent: ureq::Agent,
    url: String,
}

impl HttpInstanceList {
    /// Creates a client of the list at a base URL.
    #[must_use]
    pub fn new(base: &str) -> Self {
        Self {
            agent: http::agent(),
            url: format!("{}/instances", base.trim_end_matches('/')),
        }
    }
}

impl InstanceList for HttpInstanceList {
    fn instances(&self) -> Result<Vec<ListedInstance>, PlatformError> {
        http::get(&self.agent, &self.url)
    }
}
