//! Authentication of frames with HMAC-SHA256.
//!
//! Covered: a sender without the key can't forge, change, redirect or reorder
//! frames. A TCP session has a key of its own, made from random numbers of both
//! sides, so a recorded session can't be replayed. A recorded datagram is
//! accepted at most once by a running receiver.
//!
//! Not covered: nothing is encrypted. Every host with the key can speak for
//! every other host whose address it can use. A receiver that restarts accepts
//! a recorded datagram of the sender's present run once more. Without a key
//! file the key is empty, and only the sender's address is checked.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a tag in bytes.
pub const TAG_BYTES: usize = 16;

/// Length of a random number of the handshake in bytes.
pub const NONCE_BYTES: usize = 16;

/// The truncated code that authenticates a frame.
pub type Tag = [u8; TAG_BYTES];

/// A random number of the handshake.
pub type Nonce = [u8; NONCE_BYTES];

/// A key for tags.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Makes a key from the bytes of the key file.
    pub fn new(bytes: &[u8]) -> Key {
        Key(Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length"))
    }

    /// Returns the tag of the concatenated parts.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut tag = Tag::default();
        tag.copy_from_slice(&self.digest(parts).finalize().into_bytes()[..TAG_BYTES]);
        tag
    }

    /// Whether a tag belongs to the parts, in time independent of the content.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.digest(parts).verify_truncated_left(tag).is_ok()
    }

    /// Derives a key from the parts.
    pub fn derive(&self, parts: &[&[u8]]) -> Key {
        Key::new(&self.digest(parts).finalize().into_bytes())
    }

    fn digest(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }
}
