//! What a voter writes and finds on its disk.

use serde::{Deserialize, Serialize};
use wire::{Entry, GroupId, Index, Membership, Snapshot, Term, VoterId};

/// What must be synced before a message that depends on it is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The group, zero before the founding.
    pub group: GroupId,
    /// The membership the group was founded with.
    pub founders: Membership,
    /// The highest term seen.
    pub term: Term,
    /// The member voted for in that term.
    pub vote: Option<VoterId>,
}

/// One change of the files.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Replaces the hard state.
    Hard(HardState),
    /// Appends entries.
    Append(Vec<Entry>),
    /// Removes the entries from an index on.
    Truncate(Index),
    /// Replaces the snapshot and removes the entries it covers. If the log does
    /// not hold the snapshot's last entry, all entries are removed.
    Snapshot(Snapshot),
}

/// Changes that are synced together, in order. [`crate::Input::Synced`] with
/// the ticket says that these and all earlier ones are on disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Counts the writes of a run.
    pub ticket: u64,
    /// The changes.
    pub ops: Vec<Op>,
}

/// What a voter found on its disk at the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// The data folder's identity.
    pub voter: VoterId,
    /// The hard state.
    pub hard: HardState,
    /// The snapshot.
    pub snapshot: Option<Snapshot>,
    /// The entries after it.
    pub entries: Vec<Entry>,
}
