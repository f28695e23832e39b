//! Functions that pick one of several hosts; the same input gives the same host.

use wire::HostId;

/// How much higher the load of a host in the entry's failure domain may be than that of a
/// host elsewhere for the first host to be still preferred, as a share of capacity.
const SAME_DOMAIN_BONUS: f64 = 0.25;

/// A host that owns targets of the wanted kind.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    pub(crate) host: HostId,
    /// Whether the host is in the entry's failure domain.
    pub(crate) same_domain: bool,
    /// Number of requests that its targets of the wanted kind can run at once; at least one.
    pub(crate) weight: u32,
    pub(crate) capacity: u32,
    pub(crate) running: u32,
    pub(crate) queued: u32,
}

impl Candidate {
    /// Returns whether requests already wait and a further one would wait behind them.
    pub(crate) fn is_full(&self) -> bool {
        self.queued > 0 && self.running >= self.capacity
    }

    /// Returns the running and queued requests as a share of capacity.
    fn load(&self) -> f64 {
        f64::from(self.running + self.queued) / f64::from(self.capacity.max(1))
    }

    /// Returns the load in whole quarters of capacity.
    pub(crate) fn load_quarters(&self) -> u32 {
        (self.load() * 4.0) as u32
    }
}

/// Picks the less loaded of two random hosts of the entry's failure domain, or of two random
/// hosts elsewhere if the former is more loaded by more than [`SAME_DOMAIN_BONUS`].
pub(crate) fn less_loaded<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    salt: u64,
) -> Option<&'a Candidate> {
    let (near, far): (Vec<_>, Vec<_>) = candidates.partition(|candidate| candidate.same_domain);
    let (near, far) = (best_of_two(&near, salt), best_of_two(&far, salt));
    match (near, far) {
        (Some(near), Some(far)) if near.load() > far.load() + SAME_DOMAIN_BONUS => Some(far),
        (near, far) => near.or(far),
    }
}

/// Picks the home of a hashed name by weighted rendezvous hashing.
pub(crate) fn home<'a>(
    candidates: impl Iterator<Item = &'a Candidate>,
    name_hash: u64,
) -> Option<&'a Candidate> {
    candidates.max_by(|a, b| score(a, name_hash).total_cmp(&score(b, name_hash)))
}

/// Returns the FNV-1a hash with a final mix, so that hashes of short inputs differ in all bits.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let mut hash = 0xcbf2_9ce4_8422_2325;
    for byte in bytes {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    }
    mix(hash)
}

/// Picks the less loaded of two hosts that are drawn at random by weight.
fn best_of_two<'a>(candidates: &[&'a Candidate], salt: u64) -> Option<&'a Candidate> {
    let first = pick_weighted(candidates, mix(salt))?;
    let second = pick_weighted(candidates, mix(salt ^ u64::MAX))?;
    Some(if second.load() < first.load() { second } else { first })
}

/// Picks a host with a probability proportional to its weight.
fn pick_weighted<'a>(candidates: &[&'a Candidate], random: u64) -> Option<&'a Candidate> {
    let total: u64 = candidates.iter().map(|candidate| u64::from(candidate.weight)).sum();
    let mut remaining = random.checked_rem(total)?;
    for candidate in candidates {
        let weight = u64::from(candidate.weight);
        if remaining < weight {
            return Some(candidate);
        }
        remaining -= weight;
    }
    None
}

/// Returns the score of a host for a hashed name in weighted rendezvous hashing; the highest wins.
fn score(candidate: &Candidate, name_hash: u64) -> f64 {
    let random = mix(name_hash ^ mix(u64::from(candidate.host) + 1));
    // Uniform in (0, 1): the upper 53 bits fill a float's mantissa.
    let uniform = ((random >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -f64::from(candidate.weight) / uniform.ln()
}

/// Mixes the bits of a number with the finalizer of SplitMix64.
fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
