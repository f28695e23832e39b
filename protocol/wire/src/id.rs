//! Identifiers.

/// A host of the system, as numbered in its settings.
pub type HostId = u32;
/// A failure domain's name.
pub type DomainId = String;
/// A caller's name.
pub type CallerId = String;
/// The identity of a voter's data folder. A new folder gets a new identity.
pub type VoterId = u64;
/// A replication group.
pub type GroupId = u64;
/// A leader's term in a replication group.
pub type Term = u64;
/// A position in the replicated log. The first entry has index 1.
pub type Index = u64;
/// The log index of the last applied configuration change.
pub type Revision = u64;
/// A target, as numbered by the replicated registry.
pub type TargetId = u32;
/// An adapter version in force, as numbered by the replicated configuration.
pub type AdapterId = u32;
/// A fencing number: the log index that assigned a target to its owner.
pub type Fence = u64;
/// Distinguishes the runs of one process. Later runs have higher numbers.
pub type Incarnation = u64;
/// A request attempt's number, unique over all hosts and their runs.
pub type RequestId = u64;
/// A digest of a request's caller-visible content.
pub type Fingerprint = [u8; 16];

const HOST_SHIFT: u32 = 52;
const RUN_SHIFT: u32 = 32;
const RUN_MASK: u64 = 0xF_FFFF;
const SEQ_MASK: u64 = 0xFFFF_FFFF;

/// Composes a request id from its entry host, that host's run and a sequence number.
pub fn request_id(host: HostId, run: Incarnation, seq: u64) -> RequestId {
    (u64::from(host) << HOST_SHIFT) | ((run & RUN_MASK) << RUN_SHIFT) | (seq & SEQ_MASK)
}
