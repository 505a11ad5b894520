//! Digests of keys and of the requests that they name.

use egretstage_wire::{OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of an idempotency key with its scope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub u64);

impl KeyDigest {
    /// Digests a key of an organisation at a service.
    #[must_use]
    pub fn new(organisation: &OrganisationName, service: &ServiceName, key: &str) -> Self {
        let mut sha = Sha256::new();
        update(&mut sha, organisation.as_str().as_bytes());
        update(&mut sha, service.as_str().as_bytes());
        update(&mut sha, key.as_bytes());
        Self(first_word(sha))
    }
}

/// Digest of the request that a key was first used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallFingerprint([u8; 16]);

/// What makes two requests the same.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub path: &'a str,
    /// Body.
    pub body: &'a [u8],
}

impl From<FingerprintParts<'_>> for CallFingerprint {
    fn from(parts: FingerprintParts<'_>) -> Self {
        let mut sha = Sha256::new();
        update(&mut sha, parts.method.as_bytes());
        update(&mut sha, parts.path.as_bytes());
        update(&mut sha, parts.body);
        let mut digest = [0; 16];
        digest.copy_from_slice(&sha.finalize()[..16]);
        Self(digest)
    }
}

/// Digests text, the same in every release.
pub(crate) fn digest_of(text: &str) -> u64 {
    let mut sha = Sha256::new();
    update(&mut sha, text.as_bytes());
    first_word(sha)
}

fn update(sha: &mut Sha256, part: &[u8]) {
    sha.update((part.len() as u64).to_le_bytes());
    sha.update(part);
}

fn first_word(sha: Sha256) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&sha.finalize()[..8]);
    u64::from_le_bytes(word)
}
