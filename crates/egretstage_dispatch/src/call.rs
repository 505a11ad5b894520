//! What a caller asks for, as far as it matters to a decision.

use compact_str::CompactString;
use egretstage_wire::RequestId;
use std::time::Duration;

/// Identifies a call within an entry; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallKey(pub u64);

/// The size of a prompt and of what it asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Most tokens to generate.
    pub max_output: u32,
}

/// What a caller asks for, as far as it matters to a decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHead {
    /// The caller's identity of this attempt of its request.
    pub request: RequestId,
    /// Host that the caller addressed, without a port.
    pub host: CompactString,
    /// Path, without the query.
    pub path: CompactString,
    /// The caller's API key.
    pub api_key: Option<CompactString>,
    /// How long the caller waits for the answer.
    pub budget: Duration,
    /// Size of the prompt, if the call carries one.
    pub prompt: Option<Prompt>,
}
