//! Process settings: TOML files, checked at start.

use egretstage_wire::{InstanceId, ServiceName, ZoneName};
use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::Path;

/// Why a settings file can't be used.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// The system's error.
        source: std::io::Error,
    },
    /// A key is missing, unknown or has a value that isn't allowed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Invalid(Box<InvalidSetting>),
}

/// A key that is missing, unknown or has a value that isn't allowed.
#[derive(Debug, thiserror::Error, Diagnostic)]
#[error("{path}:{line}: {message}")]
pub struct InvalidSetting {
    /// The file.
    path: String,
    /// The line, counted from 1.
    line: usize,
    /// The key and what is allowed.
    message: String,
    /// The file's text.
    #[source_code]
    text: NamedSource<String>,
    /// The place in the text.
    #[label("here")]
    span: SourceSpan,
}

/// Settings that every daemon has.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ProcessSettings {
    /// The process's instance name.
    pub instance: InstanceId,
    /// The process's availability zone.
    pub zone: ZoneName,
    /// Address of the health and metrics endpoints.
    pub admin_listen: SocketAddr,
    /// Base URL of the platform's log service.
    pub log_url: String,
    /// Base URL of the platform's instance list.
    pub list_url: String,
    /// Key that the system's own processes share.
    pub link_key: Secret,
}

/// Settings of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that every daemon has.
    pub process: ProcessSettings,
    /// Callers' side.
    pub callers: CallerSettings,
}

/// Limits on the callers' side of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallerSettings {
    /// Address that callers connect to.
    pub listen: SocketAddr,
    /// Most connections at once.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Budget of a request that names none, in milliseconds.
    #[serde(default = "default_budget_ms")]
    pub default_budget_ms: u64,
    /// Longest budget that a request may ask for, in milliseconds.
    #[serde(default = "default_max_budget_ms")]
    pub max_budget_ms: u64,
    /// Time between "not ready" and the end of accepting at a planned stop,
    /// in milliseconds; at least the platform balancer's check interval.
    #[serde(default = "default_not_ready_grace_ms")]
    pub not_ready_grace_ms: u64,
}

fn default_not_ready_grace_ms() -> u64 {
    1_000
}

fn default_max_connections() -> usize {
    4096
}

fn default_max_body_bytes() -> usize {
    1024 * 1024
}

fn default_budget_ms() -> u64 {
    30_000
}

fn default_max_budget_ms() -> u64 {
    120_000
}

/// Settings of a companion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CompanionSettings {
    /// Settings that every daemon has.
    pub process: ProcessSettings,
    /// Address that entries connect to.
    pub listen: SocketAddr,
    /// The upstream beside the companion.
    pub upstream: UpstreamSettings,
}

/// The upstream beside a companion.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSettings {
    /// The service or model group that it belongs to.
    pub service: ServiceName,
    /// What it is.
    pub kind: UpstreamKind,
    /// Its HTTP address.
    pub address: SocketAddr,
    /// Calls that it may run at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
}

fn default_slots() -> u32 {
    64
}

/// What an upstream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Plain,
}

/// A secret that is never printed.
#[derive(Clone, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Returns the secret's text.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// Returns an error that names the file, the line, the key and what is
/// allowed.
pub fn load<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        path: path.display().to_string(),
        source,
    })?;
    parse(&path.display().to_string(), &text)
}

/// Checks the text of a settings file.
///
/// # Errors
///
/// Returns an error that names the file, the line, the key and what is
/// allowed.
pub fn parse<T: DeserializeOwned>(path: &str, text: &str) -> Result<T, SettingsError> {
    toml::from_str(text).map_err(|e| {
        let span = e.span().unwrap_or(0..0);
        SettingsError::Invalid(Box::new(InvalidSetting {
            path: path.to_owned(),
            line: text[..span.start.min(text.len())].matches('\n').count() + 1,
            message: e.message().to_owned(),
            text: NamedSource::new(path, text.to_owned()),
            span: span.into(),
        }))
    })
}
