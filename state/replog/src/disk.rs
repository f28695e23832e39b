//! Data that a replica with a data folder writes to disk and recovers from it.

use serde::{Deserialize, Serialize};
use wire::{DiskId, Entry, GroupId, Index, Membership, Snapshot, Term};

/// Persistent state besides the log, synced before any message that depends on it is sent.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The group's id; 0 before the replica belongs to a group.
    pub group: GroupId,
    /// The membership at the founding of the group.
    pub founders: Membership,
    /// The highest term seen.
    pub term: Term,
    /// The voter that received this replica's vote in that term.
    pub voted_for: Option<DiskId>,
}

/// One change to the files of a data folder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Replaces the hard state.
    Hard(HardState),
    /// Appends entries to the log.
    Append(Vec<Entry>),
    /// Removes the entry at an index and all later ones.
    Truncate(Index),
    /// Replaces the snapshot and removes the entries that it covers. Removes all entries if the log
    /// does not contain the snapshot's last entry.
    Snapshot(Snapshot),
}

/// Changes that are written in order and synced together. [`crate::Input::Synced`] with the ticket
/// confirms that this write and all earlier ones are on disk.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Number of the write, counted from 1 since the replica was created.
    pub ticket: u64,
    /// The changes, in the order in which they apply.
    pub ops: Vec<Op>,
}

/// State that a replica with a data folder recovered from its disk at the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Recovered {
    /// The identity of the data folder.
    pub disk: DiskId,
    /// The hard state on disk.
    pub hard: HardState,
    /// The newest snapshot, if one was taken or installed.
    pub snapshot: Option<Snapshot>,
    /// The log entries after the snapshot, in order of their indexes.
    pub entries: Vec<Entry>,
}
