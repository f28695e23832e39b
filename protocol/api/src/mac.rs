//! The code that shows that a publish comes from someone with the key.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The key that publishes are signed with, HMAC-SHA256 over the exact body.
#[derive(Clone)]
pub struct PublishKey(Hmac<Sha256>);

impl fmt::Debug for PublishKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PublishKey")
    }
}

impl PublishKey {
    /// Makes a key from the content of its file; none if there is nothing but
    /// white space in it.
    pub fn new(content: &[u8]) -> Option<PublishKey> {
        let key = content.trim_ascii();
        if key.is_empty() {
            return None;
        }
        Some(PublishKey(Hmac::new_from_slice(key).expect("HMAC takes keys of any length")))
    }

    /// Returns the code of a body, in hexadecimal.
    pub fn sign(&self, body: &[u8]) -> String {
        let code = self.digest(body).finalize().into_bytes();
        code.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Whether a code belongs to a body, in time independent of the content.
    pub fn verify(&self, body: &[u8], mac: &str) -> bool {
        let Some(code) = from_hex(mac) else { return false };
        self.digest(body).verify_slice(&code).is_ok()
    }

    fn digest(&self, body: &[u8]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        mac.update(body);
        mac
    }
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|it| it.to_digit(16)).collect();
    let digits = digits.filter(|it| it.len() % 2 == 0)?;
    Some(digits.chunks(2).map(|pair| (pair[0] * 16 + pair[1]) as u8).collect())
}
