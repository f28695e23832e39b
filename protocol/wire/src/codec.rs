//! Encoding and decoding of messages and stored values.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// Why bytes could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// Bytes are left after the decoded value.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
    /// The bytes don't encode a value of the expected type.
    #[error("malformed message")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message. Encoding the types of this crate can't fail.
pub fn encode<T: Serialize>(msg: &T) -> Vec<u8> {
    postcard::to_stdvec(msg).expect("encoding in memory can't fail")
}

/// Decodes a message from a frame of at most [`MAX_FRAME_BYTES`], all of which it must fill.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, DecodeError> {
    if frame.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLong(frame.len()));
    }
    decode_state(frame)
}

/// Decodes a value, which must fill all the bytes. For state that this system encoded itself, which
/// may be longer than a frame.
pub fn decode_state<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, trailing) = postcard::take_from_bytes(bytes)?;
    if !trailing.is_empty() {
        return Err(DecodeError::Trailing(trailing.len()));
    }
    Ok(value)
}
