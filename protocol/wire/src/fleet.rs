//! Messages of hosts that send callers' requests to targets themselves.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{DomainId, HostId, Incarnation, Index, Term};

/// A target's number within one epoch of the feed.
pub type TargetNumber = u16;

/// A short digest of an adapter's name, for counts.
pub type AdapterPrint = u32;

/// A digest of a request's path, caller and body.
pub type RequestPrint = u64;

/// What a host says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostCard {
    /// The host.
    pub host: HostId,
    /// Its run.
    pub run: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether it has a disk for the replicated state.
    pub disk: bool,
    /// Its processor time in thousandths of a core.
    pub power: u32,
    /// Whether it takes callers.
    pub ready: bool,
}

/// Whether a target takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It takes requests.
    Ready,
    /// It finishes what it has.
    Leaving,
    /// It has not been heard of; it may come back.
    Silent,
    /// It ended.
    Gone,
}

/// What is known of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetCard {
    /// The name of its run.
    pub id: String,
    /// When its process started, in milliseconds since the epoch.
    pub born: u64,
    /// Counts what it says of itself.
    pub sequence: u64,
    /// The service it belongs to.
    pub service: String,
    /// IP number and port.
    pub addr: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes requests.
    pub state: TargetState,
}

/// An adapter, or a model by itself, at one target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Placement {
    /// The target.
    pub target: TargetNumber,
    /// `model` or `model/adapter`.
    pub adapter: String,
    /// The version that is there.
    pub version: u64,
}

/// A change of what all hosts know.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedChange {
    /// A host came, changed, or is silent.
    Host(HostCard),
    /// A target came or changed.
    Target(TargetNumber, TargetCard),
    /// An adapter may be used at a target.
    Placed(Placement),
    /// An adapter may no longer be used at a target.
    Removed(Placement),
    /// A request crashes targets and is not sent any more.
    Barred(RequestPrint),
}

/// Numbers the feeds of a topic: the term of the leader, or the fencing number of
/// the holder, that writes one, and its run.
pub type Epoch = (Term, Incarnation);

/// What a feed tells of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The hosts; the leader writes it.
    Hosts,
    /// The targets of a failure domain; the holder of their orders writes it.
    Targets(DomainId),
}

/// Changes in their order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// What it tells of.
    pub topic: Topic,
    /// The feed.
    pub epoch: Epoch,
    /// The number of the last change before these; zero with the whole table.
    pub after: u64,
    /// The number of the last change.
    pub last: u64,
    /// The changes.
    pub changes: Vec<FeedChange>,
}

/// Requests in progress from one host at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The target.
    pub target: TargetNumber,
    /// The adapter; zero for none.
    pub adapter: AdapterPrint,
    /// How many.
    pub count: u16,
}

/// What a host tells the holder of a failure domain of its work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The failure domain.
    pub domain: DomainId,
    /// Requests in progress at its targets.
    pub running: Vec<Running>,
    /// Requests that came since the last status, by adapter, wherever they went.
    pub asked: Vec<(AdapterPrint, u16)>,
    /// Prompt tokens that are read or wait, at targets whose turns it gives out.
    pub backlogs: Vec<(TargetNumber, u32)>,
}

/// A host tells the leader that it is there, and asks whether it may go on to hold
/// orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The host's run.
    pub run: Incarnation,
    /// Whether it takes callers.
    pub ready: bool,
    /// When it was sent, in milliseconds of the sender's clock.
    pub sent_ms: u64,
}

/// What the holder of a failure domain tells all hosts of its targets' loads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Board {
    /// The failure domain.
    pub domain: DomainId,
    /// Whether it may give orders now.
    pub orders: bool,
    /// The feed.
    pub epoch: Epoch,
    /// The last change of the feed.
    pub last: u64,
    /// Requests in progress at each target, from all hosts, and prompt tokens that
    /// are read or wait there.
    pub loads: Vec<(TargetNumber, u16, u32)>,
    /// Hosts that send them.
    pub hosts: u16,
}

/// A request asks for its turn to send its prompt to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TurnAsk {
    /// The host's number for it.
    pub ticket: u64,
    /// The target's name.
    pub target: String,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Its rank; zero goes first.
    pub priority: u8,
    /// Milliseconds since it arrived.
    pub waited_ms: u32,
    /// Milliseconds from its arrival within which its answer should begin.
    pub objective_ms: u32,
    /// The longest pause of a stream there that is still on time, in milliseconds.
    pub pause_ms: u32,
}

/// A message between hosts that send requests to targets themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMsg {
    /// A host introduces itself.
    Join(HostCard),
    /// Answers [`FleetMsg::Join`].
    Roster {
        /// The leader, if known.
        leader: Option<HostId>,
        /// The host that should found the group.
        founder: Option<HostId>,
        /// The hosts known.
        cards: Vec<HostCard>,
    },
    /// A host is there, to the leader.
    Renew(Renewal),
    /// Answers [`FleetMsg::Renew`]: who holds orders may go on.
    Renewed {
        /// When the renewal was sent, by the clock of its sender.
        sent_ms: u64,
    },
    /// A host's work, to a holder.
    Status(HostStatus),
    /// The targets' loads, from their holder.
    Board(Board),
    /// Changes, from the leader or a holder.
    Feed(Feed),
    /// An adapter is there that the receiver waits for, ahead of the holder's feed.
    Arrived {
        /// The failure domain.
        domain: DomainId,
        /// Where it is.
        place: Placement,
    },
    /// Asks the writer of a feed for the whole table.
    Resync(Topic),
    /// A target said something new, to all hosts.
    Seen(TargetCard),
    /// A target is alive, to its holder.
    Alive(TargetCard),
    /// Requests wait for an adapter, to a holder.
    Want {
        /// The failure domain that it is asked for in.
        domain: DomainId,
        /// The service.
        service: String,
        /// `model` or `model/adapter`.
        adapter: String,
        /// Requests that wait.
        waiting: u16,
    },
    /// A request crashed the target that ran it, to the leader.
    Crashed {
        /// The request.
        request: RequestPrint,
        /// The target's name.
        target: String,
    },
    /// Hands a command to the leader. The sender learns that it is in force when it
    /// applies the entry.
    Propose {
        /// The sender's number for it.
        tag: u64,
        /// The encoded command.
        command: Bytes,
    },
    /// Asks the leader for the index that a read must have applied.
    Confirm {
        /// Echoed in the answer.
        tag: u64,
    },
    /// Answers [`FleetMsg::Confirm`] once a quorum follows the leader.
    Confirmed {
        /// The question's tag.
        tag: u64,
        /// The index.
        index: Index,
    },
    /// Asks for a turn, of the host that gives out the target's.
    TurnAsk(TurnAsk),
    /// Answers [`FleetMsg::TurnAsk`].
    Turn {
        /// The asking host's number.
        ticket: u64,
        /// Whether it is its turn; otherwise it waits.
        granted: bool,
        /// Prompt tokens that are read or wait there.
        backlog: u32,
    },
    /// A turn ends, or is no longer waited for.
    TurnEnded {
        /// The host's number.
        ticket: u64,
        /// The target's name.
        target: String,
        /// Whether the prompt was read.
        read: bool,
    },
    /// The sender takes no more callers, and is about to end.
    Leaving {
        /// The sender's run.
        run: Incarnation,
    },
}

impl FleetMsg {
    /// Returns whether the message is repeated, so that one may be lost.
    pub fn is_periodic(&self) -> bool {
        matches!(
            self,
            FleetMsg::Renew(_)
                | FleetMsg::Renewed { .. }
                | FleetMsg::Status(_)
                | FleetMsg::Board(_)
                | FleetMsg::TurnAsk(_)
                | FleetMsg::Turn { .. }
                | FleetMsg::TurnEnded { .. }
        )
    }
}
