//! Authentication of frames with HMAC-SHA256.
//!
//! Protects against: forging, modifying, redirecting or reordering frames
//! without the key. Each TCP session derives its own key from random numbers of
//! both sides, so a recorded session can't be replayed. A running receiver
//! accepts each datagram at most once.
//!
//! Does not protect against: eavesdropping, since nothing is encrypted; a host
//! that has the key and impersonates another host whose address it can use; a
//! replay of datagrams of the sender's current incarnation to a receiver that
//! has restarted, which accepts each of them once more. Without a key file the
//! key is empty and only the sender's address is checked.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a tag in bytes.
pub const TAG_BYTES: usize = 16;

/// Length of a handshake nonce in bytes.
pub const NONCE_BYTES: usize = 16;

/// The truncated HMAC-SHA256 that authenticates a frame.
pub type Tag = [u8; TAG_BYTES];

/// A random number that a handshake uses once.
pub type Nonce = [u8; NONCE_BYTES];

/// A key that makes and verifies tags. `Debug` does not print it.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key")
    }
}

impl Key {
    /// Creates a key from the bytes of the key file, which may be empty.
    pub fn new(bytes: &[u8]) -> Key {
        Key(Hmac::new_from_slice(bytes).expect("HMAC takes keys of any length"))
    }

    /// Computes the tag of the concatenated parts.
    pub fn tag(&self, parts: &[&[u8]]) -> Tag {
        let mut tag = Tag::default();
        tag.copy_from_slice(&self.digest(parts).finalize().into_bytes()[..TAG_BYTES]);
        tag
    }

    /// Returns whether a tag is valid for the concatenated parts; compares in constant time.
    pub fn verify(&self, parts: &[&[u8]], tag: &[u8]) -> bool {
        tag.len() == TAG_BYTES && self.digest(parts).verify_truncated_left(tag).is_ok()
    }

    /// Derives a key from the concatenated parts.
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
