//! Messages between hosts that send requests to targets themselves (`poplarhollow-edge`).

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    DomainId, Fence, HostId, Incarnation, Index, PlaceReply, PlaceRequest, RequestLimit, Suspect,
    SuspectRecord, Term, suspect::CrashId,
};

/// A target's number within an epoch of its failure domain's feed.
pub type TargetNumber = u16;

/// A short hash of an adapter's name, used in counts. Zero stands for no adapter.
pub type AdapterHash = u32;

/// A hash of the name of a target's software version.
pub type SoftwareHash = u64;

/// A hash of a service and the id of the attempt that brought a stream's first event, or of a service
/// alone.
pub type StreamHash = u64;

/// The replicated record of a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRecord {
    /// The host.
    pub host: HostId,
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Its failure domain.
    pub domain: DomainId,
    /// Whether the host has a disk for the replicated state.
    pub disk: bool,
    /// The host's processor time, in thousandths of a core.
    pub cpu_millis: u32,
    /// Whether the host accepts callers.
    pub ready: bool,
}

/// Whether a target accepts requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetState {
    /// It accepts requests.
    Ready,
    /// It accepts no new requests and finishes those in progress.
    Leaving,
    /// Its heartbeats are missing; it may come back.
    Silent,
    /// It has ended.
    Gone,
}

/// The replicated record of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The name of the target's incarnation.
    pub id: String,
    /// When the target's process started, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// The sequence number of the heartbeat that the record comes from.
    pub sequence: u64,
    /// The service that the target belongs to.
    pub service: String,
    /// The target's IP address and port.
    pub addr: String,
    /// Its failure domain.
    pub domain: DomainId,
    /// The most requests that the target runs at a time.
    pub slots: u32,
    /// The version of the target's software, not of its models; empty if it names none.
    pub software: String,
    /// Whether the target accepts requests.
    pub state: TargetState,
}

/// The placement of an adapter, or of a model without adapter, at a target.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Placement {
    /// The target.
    pub target: TargetNumber,
    /// `model` or `model/adapter`.
    pub adapter: String,
    /// The placed version.
    pub version: u64,
}

/// A change of the tables that are replicated to all hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedChange {
    /// A host is new, its record changed, or it is silent.
    Host(HostRecord),
    /// A target is new or its record changed.
    Target(TargetNumber, TargetRecord),
    /// Requests for an adapter may go to a target.
    Placed(Placement),
    /// Requests for an adapter may no longer go to a target.
    Removed(Placement),
    /// A target names another request limit, or none any more.
    Limit(TargetNumber, RequestLimit),
    /// A suspect is new, or more is known of it.
    Suspected(SuspectRecord),
    /// A suspect is cleared: a request with it ran without a crash.
    Cleared(Suspect),
    /// A host is cut off from all targets, or no longer.
    Reach(HostId, bool),
}

/// Identifies a feed among those of its topic; later feeds are higher. Consists of the writer's
/// term (as leader) or fencing number (as holder), and the writer's incarnation.
pub type Epoch = (Term, Incarnation);

/// The subject of a feed. Each topic has one writer at a time.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Topic {
    /// The hosts; written by the leader.
    Hosts,
    /// The targets of a failure domain; written by the holder, the host with the domain's order
    /// lease.
    Targets(DomainId),
}

/// Consecutive changes of a feed, a numbered stream of changes with one writer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Feed {
    /// The feed's topic.
    pub topic: Topic,
    /// The feed's epoch.
    pub epoch: Epoch,
    /// The number of the last change before these; zero if `changes` is the full table.
    pub after: u64,
    /// The number of the last change in the message.
    pub last: u64,
    /// The changes, in order.
    pub changes: Vec<FeedChange>,
}

/// The requests in progress from one host at one target with one adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The target.
    pub target: TargetNumber,
    /// The hash of the adapter's name; zero for requests without an adapter.
    pub adapter: AdapterHash,
    /// The number of requests.
    pub count: u16,
}

/// A host's periodic report to the holder of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostStatus {
    /// The failure domain.
    pub domain: DomainId,
    /// The host's requests in progress at the domain's targets.
    pub running: Vec<Running>,
    /// The requests that arrived at the host since the last report, by adapter, wherever they were
    /// sent.
    pub arrivals: Vec<(AdapterHash, u16)>,
    /// The prefill backlog in tokens of each target whose prefill permits the host grants.
    pub backlogs: Vec<(TargetNumber, u32)>,
}

/// A host's heartbeat to the leader, which also requests an extension of the order leases that the
/// host holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Renewal {
    /// The host's incarnation.
    pub incarnation: Incarnation,
    /// Whether the host accepts callers.
    pub ready: bool,
    /// When the renewal was sent, in milliseconds of the sender's clock plus an offset of its process.
    pub sent_ms: u64,
}

/// The holder's periodic summary of the loads of a failure domain's targets, sent to all hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainLoads {
    /// The failure domain.
    pub domain: DomainId,
    /// Whether the holder may send load and unload orders now.
    pub can_order: bool,
    /// The epoch of the holder's feed.
    pub epoch: Epoch,
    /// The number of the feed's last change. A host that has not received it requests the full
    /// table.
    pub last: u64,
    /// For each target with any, the requests in progress from all hosts and the prefill backlog
    /// in tokens.
    pub loads: Vec<(TargetNumber, u16, u32)>,
    /// The number of live hosts.
    pub hosts: u16,
}

/// A request for a prefill permit, the right to send its prompt to a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefillRequest {
    /// The requesting host's number for the prefill request.
    pub permit_id: u64,
    /// The target's name.
    pub target: String,
    /// The length of the prompt, in tokens.
    pub tokens: u32,
    /// The request's priority; zero is served first.
    pub priority: u8,
    /// Whether the request goes on with a stream that has begun.
    pub resumes: bool,
    /// The time since the request arrived, in milliseconds.
    pub waited_ms: u32,
    /// The time from the request's arrival within which its response should begin, in
    /// milliseconds.
    pub objective_ms: u32,
    /// The longest acceptable pause of a streamed response at the target, in milliseconds.
    pub pause_ms: u32,
}

/// What a voter knows of the software version that began a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundRecord {
    /// The stream.
    pub stream: StreamHash,
    /// The recorded software version; none without a record.
    pub software: Option<SoftwareHash>,
    /// Whether the voter has all records that it has confirmed in the life of a stream.
    pub is_complete: bool,
    /// The highest number of voters in that time.
    pub peak: u16,
}

/// A message between hosts that send callers' requests to the targets directly.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FleetMsg {
    /// Announces a host to the receiver.
    Join(HostRecord),
    /// Answers [`FleetMsg::Join`].
    Roster {
        /// The leader; none while it is unknown.
        leader: Option<HostId>,
        /// The host that founds the group; none if the sender doesn't know.
        founder: Option<HostId>,
        /// The records of all hosts that the sender knows.
        records: Vec<HostRecord>,
    },
    /// A host's heartbeat to the leader.
    Renew(Renewal),
    /// Answers [`FleetMsg::Renew`]: the host's order leases are extended.
    Renewed {
        /// The renewal's `sent_ms`.
        sent_ms: u64,
        /// The epoch of the leader's feed.
        epoch: Epoch,
        /// The number of the feed's last change.
        last: u64,
        /// The leader's commit index.
        commit: Index,
    },
    /// A host's report to a holder.
    Status(HostStatus),
    /// The loads of a failure domain's targets, from its holder.
    DomainLoads(DomainLoads),
    /// Changes of a feed, from the leader or a holder.
    Feed(Feed),
    /// Announces an adapter that the receiver waits for, ahead of the holder's feed.
    AdapterReady {
        /// The failure domain.
        domain: DomainId,
        /// The target and the adapter.
        placement: Placement,
    },
    /// Requests the full table from the writer of a feed.
    Resync(Topic),
    /// The record of a target that accepts no more requests, sent to all hosts.
    TargetEnding(TargetRecord),
    /// A target's record after a heartbeat, forwarded to the holder.
    TargetAlive(TargetRecord),
    /// Adapter demand, reported to a holder: requests wait for an adapter.
    AdapterDemand {
        /// The failure domain in which the adapter is needed.
        domain: DomainId,
        /// The service.
        service: String,
        /// `model` or `model/adapter`.
        adapter: String,
        /// The software version that must run the requests; none if any may.
        software: Option<SoftwareHash>,
        /// The number of waiting requests.
        waiting: u16,
    },
    /// Reports to the leader, or to all hosts without one, that a target crashed.
    Crashed {
        /// The crash.
        crash: CrashId,
        /// What the sender's requests at the target had in them that it had not begun to answer.
        suspects: Vec<Suspect>,
        /// Those of the suspects that were on trial at the target.
        trials: Vec<Suspect>,
    },
    /// Answers [`FleetMsg::Crashed`]: the leader has counted the crash.
    CrashCounted {
        /// The crash.
        crash: CrashId,
    },
    /// Reports to the leader that requests with these suspects ran without a crash.
    Sound {
        /// The suspects.
        suspects: Vec<Suspect>,
    },
    /// Asks the leader for a trial: the right to send one request with these suspects.
    TrialRequest {
        /// The suspects.
        suspects: Vec<Suspect>,
    },
    /// Answers [`FleetMsg::TrialRequest`] when the trial is granted.
    TrialGranted {
        /// The suspects.
        suspects: Vec<Suspect>,
    },
    /// Ends a trial that showed nothing.
    TrialEnded {
        /// The suspects.
        suspects: Vec<Suspect>,
    },
    /// Proposes a command to the leader. The sender learns that the command is in force when it
    /// applies the log entry, and that all hosts obey an operator's change by
    /// [`FleetMsg::Confirmed`].
    Propose {
        /// The sender's number for the proposal.
        tag: u64,
        /// The encoded command.
        command: Bytes,
    },
    /// Read index request: asks the leader for the log index that must be applied before a read.
    ReadIndex {
        /// Echoed in the reply.
        tag: u64,
    },
    /// Read index reply, sent once a quorum has confirmed the leader.
    ReadIndexReply {
        /// The request's tag.
        tag: u64,
        /// The log index to apply before the read.
        index: Index,
    },
    /// Reports to a holder which limit a target named in an answer.
    LimitNamed {
        /// The target's name.
        target: String,
        /// The target's start time.
        started_at: u64,
        /// The limit, or that the target names none.
        limit: RequestLimit,
        /// [`PlaceReply::change`] of the place that the answered request had.
        change: Option<u64>,
    },
    /// Asks a voter to record which software version began a stream.
    RecordStream {
        /// The stream.
        stream: StreamHash,
        /// Its service.
        service: StreamHash,
        /// The software version.
        software: SoftwareHash,
    },
    /// Answers [`FleetMsg::RecordStream`]: the record is kept.
    StreamRecorded {
        /// The stream.
        stream: StreamHash,
    },
    /// Asks a voter which software version began a stream.
    FindStream {
        /// The stream.
        stream: StreamHash,
    },
    /// Answers [`FleetMsg::FindStream`].
    StreamFound(FoundRecord),
    /// Requests places at a target with a limit.
    PlaceRequest(PlaceRequest),
    /// Answers [`FleetMsg::PlaceRequest`].
    PlaceReply(PlaceReply),
    /// Gives back places that no request of the sender took.
    PlacesUnused {
        /// The target's name.
        target: String,
        /// The target's start time.
        started_at: u64,
        /// The number of places.
        places: u16,
    },
    /// Requests a prefill permit from the host that schedules the target's permits.
    PrefillRequest(PrefillRequest),
    /// Answers [`FleetMsg::PrefillRequest`].
    PrefillReply {
        /// The requesting host's number for the prefill request.
        permit_id: u64,
        /// Whether the permit is granted; otherwise the request waits.
        granted: bool,
        /// The target's prefill backlog, in tokens.
        backlog: u32,
    },
    /// Ends a prefill permit or withdraws a request for one.
    PrefillEnded {
        /// The requesting host's number for the prefill request.
        permit_id: u64,
        /// The target's name.
        target: String,
        /// Whether the target has prefilled the prompt.
        prefilled: bool,
    },
    /// The sender accepts no more callers and is shutting down.
    Leaving {
        /// The sender's incarnation.
        incarnation: Incarnation,
    },
    /// Answers [`FleetMsg::Propose`] of an operator's change: the hosts obey it, but for those that
    /// could not be told.
    Confirmed {
        /// The proposal's tag.
        tag: u64,
    },
    /// Goes before a [`FleetMsg::Crashed`] of a host that lost one request only with the target.
    LostAlone {
        /// The crash.
        crash: CrashId,
        /// The request, and what it names.
        suspects: Vec<Suspect>,
    },
    /// Tells the leader whether the sender is cut off from all targets.
    Reach {
        /// Whether it is.
        cut: bool,
        /// The failure domains that the sender holds and whose targets it gives no more orders, with
        /// its fencing numbers.
        resigned: Vec<(DomainId, Fence)>,
    },
    /// Reports that a target falls over if it has to turn too many requests away for want of room.
    Brittle {
        /// The target's name.
        target: String,
        /// The target's start time.
        started_at: u64,
        /// Number of requests that it may turn away in a second.
        refusals: u32,
        /// Whether it has just turned one away.
        turned_away: bool,
        /// Number of requests that were there, as far as the host knows.
        load: u32,
    },
    /// Tells the host that passed a request on that the target turned it away and asked for a pause.
    PauseAsked {
        /// The target's name.
        target: String,
        /// The target's start time.
        started_at: u64,
        /// The attempt whose answer asked for it.
        id: String,
        /// The time in milliseconds.
        span_ms: u64,
    },
}

impl FleetMsg {
    /// Returns whether the loss of the message is harmless, as it or its request is repeated. Such
    /// a message may be sent by UDP.
    pub fn is_periodic(&self) -> bool {
        matches!(
            self,
            FleetMsg::Renew(_)
                | FleetMsg::Renewed { .. }
                | FleetMsg::Status(_)
                | FleetMsg::DomainLoads(_)
                | FleetMsg::RecordStream { .. }
                | FleetMsg::StreamRecorded { .. }
                | FleetMsg::FindStream { .. }
                | FleetMsg::StreamFound(_)
                | FleetMsg::PlaceRequest(_)
                | FleetMsg::PlaceReply(_)
                | FleetMsg::PrefillRequest(_)
                | FleetMsg::PrefillReply { .. }
                | FleetMsg::PrefillEnded { .. }
        )
    }
}
