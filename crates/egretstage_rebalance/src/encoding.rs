//! The bytes under which ranks get an expert map.

use egretstage_balance::ExpertMap;

/// Bytes that aren't an expert map.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an expert map: {0}")]
pub struct InvalidMapBytes(String);

/// Encodes a map as CBOR.
///
/// # Panics
///
/// Never: a map is plain data.
#[must_use]
pub fn encode_map(map: &ExpertMap) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(map, &mut buf).expect("a map is plain data");
    buf
}

/// Decodes a map and checks its rules.
///
/// # Errors
///
/// Returns an error for bytes of another shape or a map that breaks a rule.
pub fn decode_map(bytes: &[u8]) -> Result<ExpertMap, InvalidMapBytes> {
    ciborium::from_reader(bytes).map_err(|e| InvalidMapBytes(e.to_string()))
}
