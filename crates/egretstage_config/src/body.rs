//! Validated bodies of configuration records.

use compact_str::CompactString;
use egretstage_wire::{ModelName, OrganisationName, ServiceName, ZoneName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use smallvec::SmallVec;
use std::fmt::Write;

/// A validated body of any record kind.
#[derive(Clone, Debug, PartialEq)]
pub enum RecordBody {
    /// A customer with its tokens and shares.
    Organisation(OrganisationName, OrganisationBody),
    /// A plain service.
    Service(ServiceName, ServiceBody),
    /// A group of ranks that serves one model.
    ModelGroup(ServiceName, ModelGroupBody),
    /// The zones in which an organisation's work may run.
    PlacementRule(CompactString, PlacementRuleBody),
}

/// A customer with its tokens and shares.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OrganisationBody {
    /// SHA-256 digests of the bearer tokens, in hexadecimal.
    pub token_digests: SmallVec<[CompactString; 2]>,
    /// Share of an overloaded upstream, relative to other organisations.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Priority of the organisation's calls; calls of a higher one go first.
    #[serde(default)]
    pub priority: u8,
}

fn default_weight() -> f64 {
    1.0
}

/// Calls of a plain service that may run more than once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatableRule {
    /// HTTP method.
    pub method: CompactString,
    /// Prefix of the path below the service's name.
    pub path_prefix: CompactString,
}

/// A plain service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceBody {
    /// Calls that may run more than once, besides GET and HEAD.
    #[serde(default)]
    pub repeatable: SmallVec<[RepeatableRule; 2]>,
    /// Whether an owner of idempotency keys may run calls while it can't read
    /// the log. A call may then run twice, if the owner is cut off from the
    /// log and another owner has replaced it there.
    #[serde(default)]
    pub run_without_log: bool,
}

impl ServiceBody {
    /// Returns whether a call may run more than once.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        let matches_rule =
            |rule: &RepeatableRule| rule.method == method && path.starts_with(&*rule.path_prefix);
        matches!(method, "GET" | "HEAD") || self.repeatable.iter().any(matches_rule)
    }
}

/// A group of ranks that serves one model.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelGroupBody {
    /// The model that callers ask for.
    pub model: ModelName,
    /// Number of ranks, which run in lockstep.
    #[serde(default = "default_ranks")]
    pub ranks: u16,
    /// Number of experts in each layer.
    #[serde(default)]
    pub experts: u16,
}

fn default_ranks() -> u16 {
    1
}

/// The zones in which an organisation's work on a service may run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlacementRuleBody {
    /// The organisation; none means all.
    #[serde(default)]
    pub organisation: Option<OrganisationName>,
    /// The service or model group.
    pub service: ServiceName,
    /// Zones where the work may run; empty means all.
    #[serde(default)]
    pub zones: SmallVec<[ZoneName; 3]>,
}

/// Returns the digest that a record holds in place of a bearer token: its
/// SHA-256 in hexadecimal.
#[must_use]
pub fn token_digest(token: &str) -> CompactString {
    let digest = Sha256::digest(token.as_bytes());
    digest
        .iter()
        .fold(CompactString::with_capacity(64), |mut hex, byte| {
            let _ = write!(hex, "{byte:02x}");
            hex
        })
}
