//! Identifiers that the hosts share.

/// The number of a host, as set in its settings.
pub type HostId = u32;
/// The name of a failure domain.
pub type DomainId = String;
/// The name of a caller.
pub type CallerId = String;
/// The identity of a voter's data folder. A new data folder gets a new one.
pub type DiskId = u64;
/// The id of a replication group; zero for none.
pub type GroupId = u64;
/// A term of a replication group. Each has at most one leader.
pub type Term = u64;
/// A position in the replicated log. The first entry has index 1.
pub type Index = u64;
/// The log index of the last applied configuration change.
pub type Revision = u64;
/// The number of a target in the replicated registry.
pub type TargetId = u32;
/// The number of an adapter version in the replicated configuration.
pub type AdapterId = u32;
/// A fencing number: the log index of the entry that assigned a target to its owner.
pub type Fence = u64;
/// The incarnation of a process: identifies one of its starts. Later ones are higher.
pub type Incarnation = u64;
/// The id of a request attempt, unique over all hosts and their incarnations.
pub type RequestId = u64;
/// A hash of a request's caller-visible content.
pub type Fingerprint = [u8; 16];

const HOST_SHIFT: u32 = 52;
const INCARNATION_SHIFT: u32 = 32;
const INCARNATION_MASK: u64 = 0xF_FFFF;
const SEQ_MASK: u64 = 0xFFFF_FFFF;

/// Composes a request id: 12 bits of the entry host, 20 bits of its incarnation and 32 bits of a
/// sequence number.
pub fn request_id(host: HostId, incarnation: Incarnation, seq: u64) -> RequestId {
    (u64::from(host) << HOST_SHIFT)
        | ((incarnation & INCARNATION_MASK) << INCARNATION_SHIFT)
        | (seq & SEQ_MASK)
}
