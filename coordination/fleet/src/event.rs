//! Events in the log of a host: changes of its local view of the system and decisions about
//! requests.

use serde::Serialize;
use wire::{DomainId, HostId, Index, MilliRate, SoftwareHash, Term, Topic};

use crate::OrderOutcome;

/// The holder's account of a target on which an order rests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Basis {
    /// Number of the request of the last report that was applied.
    pub report: u64,
    /// Number of orders that the target had accepted, by that report.
    pub report_orders: u64,
    /// Number of adapters that occupy slots.
    pub held: usize,
    /// Number of adapter slots.
    pub slots: usize,
}

/// What a holder took a report for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ReportVerdict {
    /// It was applied to the target's row.
    Applied,
    /// The row has newer information.
    OutOfDate,
    /// It is of another process than the target's.
    OtherProcess,
}

/// A host that has not confirmed a change, as its leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct LateHost {
    /// The host.
    pub host: HostId,
    /// The log index up to which it has confirmed that it obeys; `None` if the leader sends it no
    /// log.
    pub confirmed: Option<Index>,
    /// Time in milliseconds since it last answered.
    pub silent_ms: Option<u64>,
    /// Number of messages with entries that it has not answered.
    pub unanswered: usize,
    /// Whether it is being sent a snapshot.
    pub snapshot: bool,
}

/// Messages to another host that were dropped before they were sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct UnsentMessages {
    /// The receiver.
    pub peer: HostId,
    /// Kind of the messages.
    pub kind: &'static str,
    /// Why they were dropped.
    pub reason: &'static str,
    /// Number of messages.
    pub messages: u64,
}

/// A request that the end of the process cut off.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CutRequest {
    /// Identifier of the request.
    pub id: String,
    /// Name of its route.
    pub route: String,
    /// How far it was: `reading`, `waiting`, `sent` or `answering`.
    pub stage: &'static str,
    /// Time since it arrived, in milliseconds.
    pub age_ms: u64,
}

/// A log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process started.
    Started {
        /// Name of the host.
        name: String,
        /// Failure domain of the host.
        domain: String,
        /// Whether the host has a disk for the replicated state.
        disk: bool,
        /// Whether the whole system starts for the first time.
        first_start: bool,
    },
    /// The settings were reloaded.
    Reloaded,
    /// The process was told to end.
    Stopping {
        /// Time until it ends at the latest, in milliseconds.
        ends_in_ms: u64,
    },
    /// The process ends.
    Stopped {
        /// Number of requests that were cut off.
        cut: u64,
        /// The oldest of them.
        requests: Vec<CutRequest>,
        /// Number of other hosts' connections to targets that were cut off.
        passed_on: u64,
        /// Number of calls of operators and targets, and of questions, that had not ended.
        calls: u64,
        /// Uptime in milliseconds.
        up_ms: u64,
        /// Number of messages sent to other hosts.
        sent: u64,
        /// Bytes of these messages.
        sent_bytes: u64,
        /// Number of messages received from other hosts.
        received: u64,
        /// Bytes of these messages.
        received_bytes: u64,
    },
    /// The leader or the term changed.
    Leader {
        /// The leader; `None` if unknown.
        leader: Option<HostId>,
        /// The current term.
        term: Term,
    },
    /// Another host, or another incarnation of the same host, became the holder of a failure
    /// domain.
    Holder {
        /// The failure domain.
        domain: DomainId,
        /// The new holder.
        holder: HostId,
        /// Fencing number of the holder's orders.
        fence: u64,
        /// Whether the holder must wait before it sends orders.
        waits: bool,
    },
    /// This host became able to send orders to the targets of a failure domain, or stopped being
    /// able to.
    Orders {
        /// The failure domain.
        domain: DomainId,
        /// Whether the host may send orders.
        may: bool,
        /// Fencing number of the host's orders.
        fence: u64,
        /// Time in milliseconds since the last answered renewal was sent; `None` before the first.
        renewed_ms: Option<u64>,
    },
    /// A configuration came into force on this host.
    Config {
        /// Number of the configuration.
        number: u64,
        /// Index of the log entry or snapshot that contained the configuration.
        index: Index,
    },
    /// A newer version of an adapter or model was applied.
    Version {
        /// Name of the adapter or model.
        adapter: String,
        /// The new version.
        version: u64,
    },
    /// This host was cut off from all targets, while other hosts reach them, or reaches them again.
    Reach {
        /// Whether it is cut off.
        cut: bool,
    },
    /// This host's state may lack a change that should be in force, although the leader is heard, so
    /// that it takes no requests; or it has caught up.
    Behind {
        /// Whether it is behind.
        behind: bool,
        /// Age in milliseconds of the state that is known to be complete.
        confirmed_ms: Option<u64>,
        /// The last index applied here.
        applied: Index,
        /// The leader's commit index, as far as this host has heard.
        commit: Index,
    },
    /// The leader acknowledges a change without these hosts, which have not confirmed it in time.
    Unconfirmed {
        /// Log index that contains the change.
        index: Index,
        /// Time in milliseconds that the change has waited.
        waited_ms: u64,
        /// The hosts, at most [`LATE_HOSTS`](crate::LATE_HOSTS) of them.
        hosts: Vec<LateHost>,
        /// Number of hosts that are not named.
        left_out: usize,
    },
    /// The leader acknowledges a change that waited long for these hosts to confirm it.
    ConfirmedLate {
        /// Log index that contains the change.
        index: Index,
        /// Time in milliseconds that the change has waited.
        waited_ms: u64,
        /// The hosts that it waited for when it became late, at most
        /// [`LATE_HOSTS`](crate::LATE_HOSTS) of them.
        hosts: Vec<LateHost>,
        /// Number of hosts that are not named.
        left_out: usize,
    },
    /// Messages to other hosts were dropped before they were sent.
    Unsent {
        /// The messages, most first.
        messages: Vec<UnsentMessages>,
        /// Number of dropped messages that are not named.
        left_out: u64,
    },
    /// Connections of clients were closed for others, or not taken, because a listener had as many as it may have.
    ConnectionsShed {
        /// The listener's name.
        listener: &'static str,
        /// Number of its connections now.
        open: usize,
        /// Number of those that waited for their clients and were closed.
        closed: u64,
        /// Number of those that were not taken, as all others were being served.
        refused: u64,
    },
    /// A host joined, its readiness or incarnation changed, or it announced its end, as seen by the
    /// host that logs this.
    Host {
        /// The host concerned.
        peer: HostId,
        /// Whether the host accepts callers' requests.
        ready: bool,
    },
    /// The leader marked a host as not ready because no message from it arrived in time.
    HostSilent {
        /// The silent host.
        peer: HostId,
    },
    /// A target was discovered, or its record changed.
    Target {
        /// Name of the target.
        target: String,
        /// Service that the target belongs to.
        service: String,
        /// IP address and port of the target.
        addr: String,
        /// Version of the target's software.
        software: String,
        /// State of the target in lower case.
        state: String,
    },
    /// The holder dropped a target: its heartbeats stopped, or another process has its address.
    TargetSilent {
        /// Name of the target.
        target: String,
    },
    /// A target deregistered with this host.
    Deregistered {
        /// Name of the target.
        target: String,
        /// Start of the process that has ended, in milliseconds since the Unix epoch; the time of the call if
        /// the target named none: any that had started then.
        started_at: u64,
        /// Whether this host had the target in use.
        known: bool,
    },
    /// A target that leaves got no acknowledgement, as that was not recorded in the log in time.
    DepartureUnrecorded {
        /// Name of the target.
        target: String,
    },
    /// A target said in an answer that it leaves.
    LeavesByAnswer {
        /// Name of the target.
        target: String,
        /// The attempt whose answer said so.
        id: String,
    },
    /// A target asked this host for no request for a while.
    Paused {
        /// Name of the target.
        target: String,
        /// The attempt whose answer asked for it.
        id: String,
        /// The time in milliseconds.
        span_ms: u64,
    },
    /// The time for which a target asked this host for no request is over.
    PauseEnded {
        /// Name of the target.
        target: String,
        /// The attempt whose answer first asked for it.
        id: String,
        /// Time since then, in milliseconds.
        age_ms: u64,
    },
    /// A target named another request limit than before, or none any more.
    Limit {
        /// Name of the target.
        target: String,
        /// The limit in thousandths of a request per second; `None` without one.
        milli_rate: Option<MilliRate>,
        /// How many requests a brittle target gets at once, at first; `None` at any other.
        at_once: Option<u32>,
    },
    /// Requests that this host sent to a target with a limit since the last such line, at most 2 s
    /// before.
    LimitedSends {
        /// Name of the target.
        target: String,
        /// The limit in thousandths of a request per second.
        milli_rate: MilliRate,
        /// Number of requests.
        sends: u32,
    },
    /// An order to a target has ended.
    Ordered {
        /// Name of the target.
        target: String,
        /// Whether the order was a load; otherwise an unload.
        load: bool,
        /// Name of the model or adapter.
        adapter: String,
        /// Number of orders that the target must have accepted before this one.
        expect: u64,
        /// Fencing number of the order.
        fence: u64,
        /// Result of the order.
        outcome: OrderOutcome,
        /// Time from the order to its answer in milliseconds.
        took_ms: u64,
        /// What the order rested on.
        basis: Basis,
    },
    /// A target said that the load of an adapter has ended.
    Loaded {
        /// Name of the target.
        target: String,
        /// Name of the adapter.
        adapter: String,
        /// Number of orders that the target had accepted before this one.
        expect: u64,
        /// Time from the answer to the order until it was known in milliseconds.
        took_ms: u64,
        /// Number of questions about it.
        questions: u32,
    },
    /// A report of a target has arrived that changed its row in the placement table, or that states
    /// another number of accepted orders than the row.
    Reported {
        /// Name of the target.
        target: String,
        /// Number of the report request.
        request: u64,
        /// Time from the request to its answer in milliseconds.
        took_ms: u64,
        /// Number of orders that the target had accepted, by the report.
        orders: u64,
        /// The same number by the row, before the report; `None` if it was not known.
        known: Option<u64>,
        /// Models and adapters that became ready.
        ready: Vec<String>,
        /// Models and adapters that are no longer ready.
        gone: Vec<String>,
        /// Models and adapters that were ordered and are not there.
        missing: Vec<String>,
        /// What the report was taken for.
        verdict: ReportVerdict,
    },
    /// Requests have waited 500 ms or longer for adapters that are not placed yet. Counts the
    /// targets by what prevents a placement there.
    Unplaced {
        /// Number of adapters that requests have waited for that long.
        adapters: usize,
        /// Targets that can't take an order now: an order or a report is outstanding, they are in
        /// backoff after an order, or a model is being loaded or unloaded.
        busy: usize,
        /// Targets at the limit of adapters that are being loaded.
        transit: usize,
        /// Targets with no free adapter slot and no adapter that can be evicted.
        in_use: usize,
        /// Targets with none of these obstacles.
        open: usize,
    },
    /// Prefill state of a target whose prompts this host schedules.
    Prompts {
        /// Name of the target.
        target: String,
        /// Prefill speed in tokens per millisecond; zero before it is known.
        speed: f64,
        /// Prefill backlog in tokens.
        backlog: u32,
    },
    /// This host follows a new feed.
    Follows {
        /// Topic of the feed.
        of: Topic,
        /// Host that writes the feed.
        writer: HostId,
        /// The leader's term, or the holder's fencing number.
        number: u64,
        /// Number of the last change that was received.
        last: u64,
    },
    /// A write to disk failed.
    DiskFailed {
        /// Error message.
        reason: String,
    },
    /// The data folder was reopened after a failure.
    DiskBack,
    /// An operator must intervene.
    Alarm {
        /// Description of the problem.
        what: String,
    },
    /// An operator's change was answered.
    Change {
        /// The configuration or version concerned.
        what: String,
        /// Result of the change.
        outcome: &'static str,
    },
    /// A request ended. The log limits the rate of these lines and reserves a part of it for
    /// requests that failed.
    Request {
        /// Identifier of the request.
        id: String,
        /// Name of the route.
        route: String,
        /// The model or adapter that was requested; `None` if the request names none.
        #[serde(skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
        /// Result of the request.
        outcome: &'static str,
        /// HTTP status of the answer; zero without one.
        status: u16,
        /// Decisions in order, each with the milliseconds since the request's arrival.
        steps: String,
        /// Time from arrival to the end in milliseconds.
        took_ms: u64,
    },
    /// A request was lost together with the target that ran it.
    Crashed {
        /// Identifier of the lost attempt.
        id: String,
        /// What it had in it that may be the cause.
        suspects: Vec<String>,
        /// Address that the request came from.
        caller: String,
        /// Path of the request, with its query.
        path: String,
        /// Hash of the request's body.
        body: String,
        /// Name of the target.
        target: String,
    },
    /// Requests with a suspect need trials: targets crashed that had such requests, and none ran
    /// without a crash.
    Barred {
        /// The suspect.
        suspect: String,
        /// Number of crashed targets.
        crashes: u16,
        /// Number of trials that crashed their target.
        failed_trials: u16,
    },
    /// The leader granted this host a trial of a suspect.
    Trial {
        /// The suspect.
        suspect: String,
    },
    /// A suspect was cleared: a request with it ran without a crash.
    Cleared {
        /// The suspect.
        suspect: String,
    },
    /// A service has another default software version, or other streams of it are recorded.
    DefaultSoftware {
        /// The service.
        service: String,
        /// Hash of the version.
        default: SoftwareHash,
        /// Whether streams of this version are recorded too.
        records_all: bool,
    },
    /// Request lines were dropped by the rate limit since the last line of a request.
    LeftOut {
        /// Number of dropped lines.
        lines: u64,
    },
}
