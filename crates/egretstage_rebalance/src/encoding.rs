//! The encoding in which ranks receive an expert map.

use egretstage_balance::ExpertMap;

/// The error of bytes that don't encode a valid expert map.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not an expert map: {0}")]
pub struct InvalidMapBytes(String);

/// Encodes a map as CBOR.
///
/// # Panics
///
/// Never; a map is plain data, which can always be encoded.
#[must_use]
pub fn encode_map(map: &ExpertMap) -> Vec<u8> {
    let mut buf = Vec::new();
    ciborium::into_writer(map, &mut buf).expect("a map is plain data");
    buf
}

/// Decodes and validates a map.
///
/// # Errors
///
/// Returns an error if the bytes have another structure or the map is invalid.
pub fn decode_map(bytes: &[u8]) -> Result<ExpertMap, InvalidMapBytes> {
    ciborium::from_reader(bytes).map_err(|e| InvalidMapBytes(e.to_string()))
}
