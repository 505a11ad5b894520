//! CBOR codec for frames.

use crate::Frame;

/// Largest encoded frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 4 * 1024 * 1024;

/// Why a frame can't be encoded or a message can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum CodecError {
    /// The encoded frame is over [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes is over the limit of {MAX_FRAME_BYTES}")]
    TooLarge(usize),
    /// The message isn't CBOR or doesn't have the structure of a frame.
    #[error("malformed frame: {0}")]
    Malformed(String),
}

/// Encodes a frame as CBOR.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] for a frame over [`MAX_FRAME_BYTES`].
///
/// # Panics
///
/// Panics if a frame can't be expressed in CBOR, which the types of its fields
/// rule out.
pub fn encode(frame: &Frame) -> Result<Vec<u8>, CodecError> {
    let mut buf = Vec::with_capacity(256);
    ciborium::into_writer(frame, &mut buf).expect("frames are plain data");
    if buf.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(buf.len()));
    }
    Ok(buf)
}

/// Decodes a frame from CBOR.
///
/// # Errors
///
/// Returns [`CodecError::TooLarge`] for a message over [`MAX_FRAME_BYTES`] and
/// [`CodecError::Malformed`] for one that isn't a frame.
pub fn decode(buf: &[u8]) -> Result<Frame, CodecError> {
    if buf.len() > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge(buf.len()));
    }
    ciborium::from_reader(buf).map_err(|e| CodecError::Malformed(e.to_string()))
}
