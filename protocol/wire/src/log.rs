//! The replicated log: entries, membership and messages.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{DiskId, GroupId, HostId, Index, Term};

/// The role of a member of a replication group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Votes and counts towards the quorum.
    Voter,
    /// Receives the log without a vote, to become a voter once it has caught up.
    Learner,
}

/// A member of a replication group with a data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host the member runs on.
    pub host: HostId,
    /// The identity of its data folder.
    pub disk: DiskId,
    /// The member's role.
    pub role: Role,
}

/// The members of a replication group. Consecutive memberships differ by at most one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The members, ordered by host.
    pub members: Vec<Member>,
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// The first entry of a leader's term, without effect.
    Noop,
    /// Replaces the membership. Takes effect when it is appended, before it is committed.
    Members(Membership),
    /// An encoded command, which the log does not interpret.
    Data(Bytes),
}

/// An entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The entry's position in the log.
    pub index: Index,
    /// The entry's content.
    pub body: EntryBody,
}

/// The state at an index, which replaces the entries up to it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last index the snapshot covers.
    pub index: Index,
    /// The term of the entry at that index.
    pub term: Term,
    /// The membership at that index.
    pub members: Membership,
    /// The encoded state machine.
    pub state: Bytes,
}

/// A message between the members and non-members of a replication group. The transport delivers the
/// sender's host id with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogMsg {
    /// The group that the message belongs to; zero until the sender has joined a group.
    pub group: GroupId,
    /// The identity of the sender's data folder; none for an observer, which has no data folder.
    pub disk: Option<DiskId>,
    /// The sender's term; in a pre-vote and its grant, the term that the candidate would enter.
    pub term: Term,
    /// The message's content.
    pub body: LogBody,
}

/// The content of a replication message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogBody {
    /// Announces the sender, so that the leader sends it the log. Also tells a host without a group
    /// that the sender is in one.
    Hello {
        /// The last index that the sender has committed or applied.
        last: Index,
    },
    /// The initial membership, sent to the founders that have not joined the group.
    Founding {
        /// The id of the new group.
        group: GroupId,
        /// The initial members.
        members: Membership,
    },
    /// Asks whether the receiver would grant its vote, without raising the term.
    PreVote {
        /// The index of the candidate's last entry.
        last: Index,
        /// The term of the entry at that index.
        last_term: Term,
    },
    /// Answers [`LogBody::PreVote`].
    PreVoted {
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Requests a vote in the message's term.
    Vote {
        /// The index of the candidate's last entry.
        last: Index,
        /// The term of the entry at that index.
        last_term: Term,
    },
    /// Answers [`LogBody::Vote`], after the vote is synced to disk.
    Voted {
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Replicates entries of the leader's log; without entries it is a heartbeat.
    Append {
        /// The number of the leader's heartbeat round, echoed in the reply.
        round: u64,
        /// The index of the entry before the first one.
        prev: Index,
        /// The term of the entry at that index.
        prev_term: Term,
        /// The consecutive entries after `prev`.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// Answers [`LogBody::Append`], after its entries are synced to disk.
    Appended {
        /// The round of the message that this one answers.
        round: u64,
        /// The last index known to match the leader's log; on a rejection, the index after which
        /// the leader should continue.
        index: Index,
        /// Whether the entries were accepted.
        accepted: bool,
    },
    /// Sends a chunk of a snapshot.
    Install {
        /// The number of the leader's heartbeat round.
        round: u64,
        /// The snapshot without its state.
        head: Snapshot,
        /// The length of the whole state, in bytes.
        total: u64,
        /// The offset of the chunk in the state, in bytes.
        offset: u64,
        /// The bytes of the chunk.
        chunk: Bytes,
        /// The leader's commit index.
        commit: Index,
    },
    /// Answers [`LogBody::Install`] and requests the next chunk.
    Installed {
        /// The round of the message that this one answers.
        round: u64,
        /// The snapshot's index.
        index: Index,
        /// The number of bytes received; the total once the snapshot is installed.
        offset: u64,
    },
}
