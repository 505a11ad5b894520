//! Validated names of instances, zones, services, requests and other objects.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A name that is empty, too long, or holds a character outside `[a-z0-9._-]`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{kind} {text:?} is not valid: a name has 1 to 64 characters of a-z, 0-9, '.', '_', '-'")]
pub struct InvalidName {
    kind: &'static str,
    text: CompactString,
}

fn validate(kind: &'static str, text: &str) -> Result<CompactString, InvalidName> {
    let allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    if text.is_empty() || text.len() > MAX_NAME_BYTES || !text.bytes().all(allowed) {
        return Err(InvalidName {
            kind,
            text: text.chars().take(MAX_NAME_BYTES).collect(),
        });
    }
    Ok(CompactString::from(text))
}

macro_rules! define_names {
    ($($(#[$doc:meta])* $name:ident, $kind:literal;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "CompactString", into = "CompactString")]
        pub struct $name(CompactString);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = InvalidName;

            fn try_from(text: &str) -> Result<Self, InvalidName> {
                validate($kind, text).map(Self)
            }
        }

        impl TryFrom<CompactString> for $name {
            type Error = InvalidName;

            fn try_from(text: CompactString) -> Result<Self, InvalidName> {
                Self::try_from(text.as_str())
            }
        }

        impl From<$name> for CompactString {
            fn from(name: $name) -> Self {
                name.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

define_names! {
    /// Names one process of the system; unique among live processes.
    InstanceId, "instance";
    /// Names an availability zone.
    ZoneName, "zone";
    /// Names an organisation.
    OrganisationName, "organisation";
    /// Names a plain service or a model group.
    ServiceName, "service";
    /// Names a model, as callers write it in a chat-completions request.
    ModelName, "model";
    /// Identifies one request in answers and log lines.
    RequestId, "request id";
    /// Names the kind of a configuration object, known to this release or not.
    KindName, "kind";
    /// Names one object of the configuration among those of its kind.
    ObjectName, "object";
    /// Identifies one change of the configuration; a repeated change has the same ID.
    ChangeId, "change id";
}
