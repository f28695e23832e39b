//! Inputs and outputs of a replica.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::{Entry, GroupId, HostId, Index, LogMsg, Membership, Snapshot, Term};

/// Fixed parameters of a replica.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The host that the replica runs on.
    pub host: HostId,
    /// Hosts that found the group as its initial voters. All of them must be up for the founding.
    pub founders: Vec<HostId>,
    /// All hosts of the system.
    pub hosts: Vec<HostId>,
    /// Election timeout: shortest time without contact with a leader before an election.
    pub election: Duration,
    /// Time between a leader's heartbeats.
    pub heartbeat: Duration,
    /// Applied entries since the last snapshot after which the next one may be due.
    pub snapshot_after: u64,
    /// Seed of the election jitter.
    pub seed: u64,
}

/// An event that a replica handles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Input {
    /// Time has passed: handles the timeouts, hellos and heartbeats that are due.
    Tick,
    /// A message from another host arrived.
    Msg {
        /// The sending host.
        from: HostId,
        /// The message.
        msg: LogMsg,
    },
    /// Appends an entry with this data. Ignored unless the replica leads.
    Propose(Bytes),
    /// Sets which hosts should vote. Ignored unless the replica leads. It changes one member at a
    /// time for as long as it leads; each later leader needs this input again.
    SetVoters(Vec<HostId>),
    /// Replaces the list of all hosts, for a system whose hosts discover each other. A leader sends
    /// the log to the hosts that are new in it.
    SetHosts(Vec<HostId>),
    /// The leader answers nothing that this host sends. A host that is no member looks for another
    /// one; members have their election timeout.
    LeaderSilent,
    /// Names a host that is reported to lead; it receives the next hellos.
    LeaderHint(HostId),
    /// Replaces the founders. It does not change the membership of a group that is already founded.
    SetFounders(Vec<HostId>),
    /// All writes up to and including this ticket are on disk.
    Synced(u64),
    /// A write failed, with the reason. The replica acknowledges nothing from then on.
    SyncFailed(String),
    /// The state machine's encoded state at an applied index.
    Compact {
        /// The last index that the state includes.
        index: Index,
        /// The encoded state.
        state: Bytes,
    },
}

/// Conditions that need an operator. A replica reports the same alarm only once.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Alarm {
    /// A write to disk failed, with the reason.
    DiskFailed(String),
    /// A message of another group arrived: a group was founded twice, or a quorum of disks was
    /// lost.
    OtherGroup(GroupId),
    /// A leader's log conflicts with entries that are known to be committed.
    WentBack {
        /// The commit index known before.
        seen: Index,
        /// The index before the first conflicting entry.
        shown: Index,
    },
}

/// An action that a replica requests. Outputs are carried out in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message.
        msg: LogMsg,
    },
    /// Write to disk, then report [`Input::Synced`] or [`Input::SyncFailed`].
    Write(crate::Write),
    /// Apply a committed entry. Each is handed out at most once and in order; an
    /// [`Output::Restore`] replaces those that it covers.
    Apply(Entry),
    /// Replace the state machine's state by a snapshot.
    Restore(Snapshot),
    /// Provide the state at the last applied index with [`Input::Compact`].
    SnapshotDue,
    /// The leader or the term changed.
    Leader {
        /// The leader, if known.
        leader: Option<HostId>,
        /// The term.
        term: Term,
    },
    /// Report a condition that needs an operator.
    Alarm(Alarm),
}

/// A summary of a replica's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The leader, if known.
    pub leader: Option<HostId>,
    /// The term.
    pub term: Term,
    /// The group's id; 0 before the replica belongs to a group.
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
    /// On a leader: when the newest heartbeat round that a quorum has answered was sent. A quorum
    /// followed the leader at that time. `None` on other replicas and before the first such round.
    pub quorum_at: Option<Duration>,
}

/// How far a host has confirmed its leader's log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Progress {
    /// The last index that it has confirmed.
    pub confirmed: Index,
    /// When its latest valid reply arrived, or when the leader began to send to it.
    pub last_contact: Duration,
    /// Number of messages with entries that it has not answered.
    pub unanswered: usize,
    /// Whether it is being sent a snapshot.
    pub installing: bool,
}
