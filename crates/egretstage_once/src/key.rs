//! Digests of idempotency keys and of requests.

use egretstage_wire::{OrganisationName, ServiceName};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Digest of an idempotency key, its organisation and its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest(pub u64);

impl KeyDigest {
    /// Digests an organisation's idempotency key for a service.
    #[must_use]
    pub fn new(organisation: &OrganisationName, service: &ServiceName, key: &str) -> Self {
        let mut sha = Sha256::new();
        hash_part(&mut sha, organisation.as_str().as_bytes());
        hash_part(&mut sha, service.as_str().as_bytes());
        hash_part(&mut sha, key.as_bytes());
        Self(into_u64(sha))
    }
}

/// Digest of a request, which detects that a key is reused for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CallFingerprint([u8; 16]);

/// The parts of a request in which two calls with one key must agree.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'a> {
    /// HTTP method.
    pub method: &'a str,
    /// Path with the query string.
    pub path: &'a str,
    /// Request body.
    pub body: &'a [u8],
}

impl From<FingerprintParts<'_>> for CallFingerprint {
    fn from(parts: FingerprintParts<'_>) -> Self {
        let mut sha = Sha256::new();
        hash_part(&mut sha, parts.method.as_bytes());
        hash_part(&mut sha, parts.path.as_bytes());
        hash_part(&mut sha, parts.body);
        let mut digest = [0; 16];
        digest.copy_from_slice(&sha.finalize()[..16]);
        Self(digest)
    }
}

/// Digests text; the result must be the same in every release, because
/// companions and entries of different releases compute it.
pub(crate) fn stable_digest(text: &str) -> u64 {
    let mut sha = Sha256::new();
    hash_part(&mut sha, text.as_bytes());
    into_u64(sha)
}

/// Hashes a part with its length, so that parts can't run into each other.
fn hash_part(sha: &mut Sha256, part: &[u8]) {
    sha.update((part.len() as u64).to_le_bytes());
    sha.update(part);
}

/// Returns the first 8 bytes of the hash as a little-endian number.
fn into_u64(sha: Sha256) -> u64 {
    let mut word = [0; 8];
    word.copy_from_slice(&sha.finalize()[..8]);
    u64::from_le_bytes(word)
}
