//! Deterministic text that a stand-in engine generates.

const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the token at a position of a completion. It is a hash of adapter, prompt and position,
/// so that a test can check which adapter answered which prompt.
pub fn token(adapter: &str, prompt: &str, position: u32) -> String {
    let mut hash = OFFSET_BASIS;
    let fields = [adapter.as_bytes(), &[0], prompt.as_bytes(), &[0], &position.to_be_bytes()];
    for byte in fields.concat() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    }
    // The last bytes affect few bits in the loop above; this spreads them over the word.
    let mixed = (hash ^ (hash >> 29)).wrapping_mul(PRIME.rotate_left(23) | 1);
    format!(" {:08x}", (mixed ^ (mixed >> 32)) as u32)
}

/// Returns the text of a completion of `tokens` tokens.
pub fn answer(adapter: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens).map(|it| token(adapter, prompt, it)).collect()
}
