//! Encoding of messages and records.

use serde::{Serialize, de::DeserializeOwned};
use thiserror::Error;

/// The largest frame that is sent or accepted, in bytes.
pub const MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;

/// A frame could not be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("frame of {0} bytes exceeds {MAX_FRAME_BYTES} bytes")]
    TooLong(usize),
    /// Bytes are left after the message.
    #[error("{0} bytes follow the message")]
    Trailing(usize),
    /// The bytes are no message of the expected type.
    #[error("malformed message")]
    Malformed(#[from] postcard::Error),
}

/// Encodes a message. In-memory types of this crate always encode.
pub fn encode<T: Serialize>(msg: &T) -> Vec<u8> {
    postcard::to_stdvec(msg).expect("in-memory messages encode")
}

/// Decodes one message that fills the whole frame.
pub fn decode<T: DeserializeOwned>(frame: &[u8]) -> Result<T, DecodeError> {
    if frame.len() > MAX_FRAME_BYTES {
        return Err(DecodeError::TooLong(frame.len()));
    }
    decode_state(frame)
}

/// Decodes a value that fills all the bytes, which this system encoded itself
/// and which may be longer than a frame.
pub fn decode_state<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    let (value, rest) = postcard::take_from_bytes(bytes)?;
    if !rest.is_empty() {
        return Err(DecodeError::Trailing(rest.len()));
    }
    Ok(value)
}
