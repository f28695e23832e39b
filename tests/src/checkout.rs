//! Separates the loopback addresses of several checkouts on one machine.

/// Returns the second octet (60 to 219) of this checkout's loopback addresses. It is a hash of the
/// path, so most checkouts on one machine can run tests at once without address conflicts.
pub fn octet() -> u8 {
    let path = env!("CARGO_MANIFEST_DIR");
    let sum = path.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31) + u32::from(byte));
    60 + (sum % 160) as u8
}
