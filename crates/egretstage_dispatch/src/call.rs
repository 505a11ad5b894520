//! The properties of a call that decisions use.

use compact_str::CompactString;
use egretstage_wire::RequestId;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::time::Duration;

/// Identifies a call within an entry; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// Size of a prompt and of its answer, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Number of tokens of the prompt.
    pub tokens: u32,
    /// Maximum number of tokens to generate.
    pub max_output: u32,
    /// Number of tokens that the caller expects, if it says so: right at the median
    /// and often far off.
    pub expected_output: Option<u32>,
}

/// Identifies a part of a prompt: a hash of the identifier that the caller states.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PromptPart(pub u64);

impl From<&str> for PromptPart {
    fn from(identifier: &str) -> Self {
        Self(rapidhash::v3::rapidhash_v3(identifier.as_bytes()))
    }
}

impl std::fmt::Display for PromptPart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies what a caller requests: equal for repeats of a request, whatever identifiers
/// they have.
///
/// It isn't a cryptographic hash, but has the caller's API key among its fields, so that
/// nobody else can make up a request with the hash of this caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestHash(pub u64);

impl RequestHash {
    /// Hashes the fields of a request, in order. All entries hash the same fields.
    ///
    /// ```
    /// # use egretstage_dispatch::RequestHash;
    /// let hash = RequestHash::of_fields(&[b"/desks/1", b"key"]);
    /// assert_ne!(hash, RequestHash::of_fields(&[b"/desks/1key", b""]));
    /// ```
    #[must_use]
    pub fn of_fields(fields: &[&[u8]]) -> Self {
        let mut hashes = Vec::with_capacity(fields.len() * size_of::<u64>());
        for field in fields {
            hashes.extend(rapidhash::v3::rapidhash_v3(field).to_be_bytes());
        }
        Self(rapidhash::v3::rapidhash_v3(&hashes))
    }
}

impl std::fmt::Display for RequestHash {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The parts of a prompt, in order. The last one belongs to the request or to its
/// session alone.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// The properties of a caller's request that decisions use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// Identifier that the caller assigned to this attempt of its request.
    pub request: RequestId,
    /// Requested host, without a port.
    pub host: CompactString,
    /// Requested path, without the query.
    pub path: CompactString,
    /// The caller's API key.
    pub api_key: Option<CompactString>,
    /// How long the caller waits for the answer.
    pub budget: Duration,
    /// Size of the prompt, if the call has one.
    pub prompt: Option<Prompt>,
    /// Parts of the prompt, empty if the caller states none.
    pub prompt_parts: PromptParts,
}
