//! Picks one of several hosts, the same for the same input.

use wire::HostId;

/// How much more loaded a host of the entry's own failure domain may be than
/// another to be preferred, as a share of capacity.
const NEAR_BONUS: f64 = 0.25;

/// A host that owns targets of the wanted kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) host: HostId,
    /// Whether it is in the entry's failure domain.
    pub(crate) near: bool,
    /// Requests its targets of the wanted kind run at once.
    pub(crate) weight: u32,
    pub(crate) capacity: u32,
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

impl Candidate {
    /// Returns whether another request would wait behind others.
    pub(crate) fn is_full(&self) -> bool {
        self.queued > 0 && self.running >= self.capacity
    }

    /// Returns the load as a share of capacity.
    fn load(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.capacity.max(1))
    }

    /// Returns the load in quarters of capacity.
    pub(crate) fn quarters(&self) -> u32 {
        (self.load() * 4.0) as u32
    }
}

/// Picks the less loaded of two random hosts, among those of the entry's own
/// failure domain if that is not much more loaded than elsewhere.
pub(crate) fn lighter<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    salt: u64,
) -> Option<&'a Candidate> {
    let (near, far): (Vec<_>, Vec<_>) = candidates.partition(|candidate| candidate.near);
    let (near, far) = (of_two(&near, salt), of_two(&far, salt));
    match (near, far) {
        (Some(near), Some(far)) if near.load() > far.load() + NEAR_BONUS => Some(far),
        (near, far) => near.or(far),
    }
}

/// Picks the home of a name by weighted rendezvous hashing.
pub(crate) fn home<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    name: u64,
) -> Option<&'a Candidate> {
    candidates.max_by(|a, b| rank(a, name).total_cmp(&rank(b, name)))
}

/// FNV-1a with a final mix, so that short inputs differ in all bits.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

fn of_two<'a>(candidates: &[&'a Candidate], salt: u64) -> Option<&'a Candidate> {
    let first = weighted(candidates, mix(salt))?;
    let second = weighted(candidates, mix(salt ^ u64::MAX))?;
    Some(if second.load() < first.load() { second } else { first })
}

/// Picks by weight with a random number.
fn weighted<'a>(candidates: &[&'a Candidate], random: u64) -> Option<&'a Candidate> {
    let total: u64 = candidates.iter().map(|candidate| u64::from(candidate.weight)).sum();
    let mut left = random.checked_rem(total)?;
    for candidate in candidates {
        let weight = u64::from(candidate.weight);
        if left < weight {
            return Some(candidate);
        }
        left -= weight;
    }
    None
}

fn rank(candidate: &Candidate, name: u64) -> f64 {
    let random = mix(name ^ mix(u64::from(candidate.host) + 1));
    // Uniform in (0, 1): the upper 53 bits fill a float's mantissa.
    let uniform = ((random >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(candidate.weight) / uniform.ln()
}

/// The finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
