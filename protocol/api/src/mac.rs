//! Message authentication codes that prove that a publish's sender has the publish key.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// The key that authenticates publishes, by HMAC-SHA256 over the exact bytes of the body.
#[derive(Clone)]
pub struct PublishKey(Hmac<Sha256>);

impl fmt::Debug for PublishKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PublishKey")
    }
}

impl PublishKey {
    /// Creates a key from the content of its file, without white space at its ends. Returns `None`
    /// if nothing is left.
    pub fn new(content: &[u8]) -> Option<PublishKey> {
        let key = content.trim_ascii();
        if key.is_empty() {
            return None;
        }
        Some(PublishKey(Hmac::new_from_slice(key).expect("HMAC accepts keys of any length")))
    }

    /// Returns the authentication code of a body in hexadecimal.
    pub fn sign(&self, body: &[u8]) -> String {
        let code = self.hmac(body).finalize().into_bytes();
        code.iter().map(|byte| format!("{byte:02x}")).collect()
    }

    /// Returns whether a hexadecimal code belongs to a body. The comparison takes constant time.
    pub fn verify(&self, body: &[u8], mac: &str) -> bool {
        let Some(code) = from_hex(mac) else { return false };
        self.hmac(body).verify_slice(&code).is_ok()
    }

    fn hmac(&self, body: &[u8]) -> Hmac<Sha256> {
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
