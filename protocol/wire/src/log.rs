//! Messages of the replicated log.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{GroupId, HostId, Index, Term, VoterId};

/// What a member of a replication group does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Role {
    /// Counts for the quorum.
    Voter,
    /// Receives the log to become a voter once it has caught up.
    Learner,
}

/// A member of a replication group with a data folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The host the member runs on.
    pub host: HostId,
    /// The identity of its data folder.
    pub voter: VoterId,
    /// What it does in the group.
    pub role: Role,
}

/// The members of a replication group. At most one differs between two
/// consecutive memberships.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// The members in order of their hosts.
    pub members: Vec<Member>,
}

/// The content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryBody {
    /// Opens a leader's term.
    Noop,
    /// Replaces the membership, effective when appended.
    Members(Membership),
    /// An encoded [`crate::Proposal`].
    Data(Bytes),
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that appended the entry.
    pub term: Term,
    /// The entry's position.
    pub index: Index,
    /// What the entry holds.
    pub body: EntryBody,
}

/// The state up to an index, in place of the entries before it.
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

/// A message between members (and observers) of one replication group.
/// Each travels with the group's id and the sender's host and, if it has a
/// data folder, its voter identity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogMsg {
    /// The group the message belongs to; zero until the group is founded.
    pub group: GroupId,
    /// The sender's data folder; none for an observer.
    pub voter: Option<VoterId>,
    /// The sender's term.
    pub term: Term,
    /// What is said.
    pub body: LogBody,
}

/// The kinds of replication messages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LogBody {
    /// A member without a group, or an observer, asks to be served.
    Hello {
        /// The last index the sender holds.
        last: Index,
    },
    /// The founding membership, sent once by the founder.
    Found {
        /// The id of the founded group.
        group: GroupId,
        /// Its first members.
        members: Membership,
    },
    /// Asks whether a vote would be given, without raising the term.
    PreVote {
        /// The candidate's last index.
        last: Index,
        /// The term of the entry there.
        last_term: Term,
    },
    /// Answers [`LogBody::PreVote`].
    PreVoted {
        /// Whether the vote would be given.
        granted: bool,
    },
    /// Asks for a vote in the message's term.
    Vote {
        /// The candidate's last index.
        last: Index,
        /// The term of the entry there.
        last_term: Term,
    },
    /// Answers [`LogBody::Vote`], sent after the vote is synced.
    Voted {
        /// Whether the vote is given.
        granted: bool,
    },
    /// Entries of the leader's log; empty as a heartbeat.
    Append {
        /// Numbers the leader's heartbeat rounds, echoed in the answer.
        round: u64,
        /// The index before the first entry.
        prev: Index,
        /// The term of the entry there.
        prev_term: Term,
        /// The entries.
        entries: Vec<Entry>,
        /// The leader's commit index.
        commit: Index,
    },
    /// Answers [`LogBody::Append`], sent after its entries are synced.
    Appended {
        /// The round of the answered message.
        round: u64,
        /// The last index that agrees with the leader, or on a refusal the
        /// index from which the leader should try.
        index: Index,
        /// Whether the entries were taken.
        taken: bool,
    },
    /// One chunk of a snapshot.
    Install {
        /// Numbers the leader's heartbeat rounds.
        round: u64,
        /// The snapshot without its state.
        head: Snapshot,
        /// Length of the whole state in bytes.
        total: u64,
        /// Where the chunk starts, in bytes.
        offset: u64,
        /// The chunk.
        chunk: Bytes,
        /// The leader's commit index.
        commit: Index,
    },
    /// Asks for the next chunk.
    Installed {
        /// The round of the answered message.
        round: u64,
        /// The snapshot's index.
        index: Index,
        /// How many bytes have arrived; the total once it is installed.
        offset: u64,
    },
}
