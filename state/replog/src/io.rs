//! Inputs and outputs of a replica.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::{Entry, GroupId, HostId, Index, LogMsg, Membership, Snapshot, Term};

/// Fixed parameters of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host it runs on.
    pub host: HostId,
    /// Hosts that found the group. All of them must be up for that.
    pub founders: Vec<HostId>,
    /// All hosts of the system.
    pub hosts: Vec<HostId>,
    /// Shortest time without a leader before an election.
    pub election: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Entries after which a snapshot is due.
    pub snapshot_after: u64,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// What happens to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Msg {
        /// The sending host.
        from: HostId,
        /// The message.
        msg: LogMsg,
    },
    /// Appends an entry, on the leader only.
    Propose(Bytes),
    /// Sets which hosts should vote, on the leader only. The replica gets there
    /// one member at a time, as long as it leads; a later leader must be told
    /// again.
    SetVoters(Vec<HostId>),
    /// Replaces the hosts of the system, for a system in which they find each
    /// other.
    SetHosts(Vec<HostId>),
    /// Names a host that is said to lead, to be asked first.
    Hint(HostId),
    /// Replaces the founders; without effect once there is a group.
    SetFounders(Vec<HostId>),
    /// All writes up to the ticket are on disk.
    Synced(u64),
    /// A write failed. Nothing is acknowledged any more.
    SyncFailed(String),
    /// The state machine's encoded state at an applied index.
    Compact {
        /// The index.
        index: Index,
        /// The state.
        state: Bytes,
    },
}

/// Conditions that need an operator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Alarm {
    /// The disk refused a write.
    DiskFailed(String),
    /// A message of another group arrived: the hosts were founded twice, or a
    /// quorum of disks was lost.
    OtherGroup(GroupId),
    /// A lower commit index than one confirmed earlier was shown.
    WentBack {
        /// The index confirmed earlier.
        seen: Index,
        /// The index shown now.
        shown: Index,
    },
}

/// What a replica wants done, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message.
        msg: LogMsg,
    },
    /// Write to disk and report with [`Input::Synced`].
    Write(crate::Write),
    /// A committed entry, each exactly once and in order within a run.
    Apply(Entry),
    /// Replace the state machine's state.
    Restore(Snapshot),
    /// Hand in the state at the last applied index with [`Input::Compact`].
    SnapshotDue,
    /// The leader or the term changed.
    Leader {
        /// The leader, if known.
        leader: Option<HostId>,
        /// The term.
        term: Term,
    },
    /// An operator is needed.
    Alarm(Alarm),
}

/// A replica's state at a glance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The leader, if known.
    pub leader: Option<HostId>,
    /// The term.
    pub term: Term,
    /// The group, zero before the founding.
    pub group: GroupId,
    /// Whether this replica leads and its first entry of the term is committed.
    pub leading: bool,
    /// The commit index.
    pub commit: Index,
    /// The last index handed out with [`Output::Apply`] or [`Output::Restore`].
    pub applied: Index,
    /// The last index in the log.
    pub last: Index,
    /// The membership in force.
    pub members: Membership,
    /// On a leader: the latest time at which a quorum is known to have followed
    /// it, counted from when the confirmed heartbeats were sent.
    pub quorum_at: Option<Duration>,
}
