//! What a host writes to its log: one event for each change of what it believes
//! and for each decision about a request.

use serde::Serialize;
use wire::{DomainId, HostId, Index, Term, Topic};

use crate::OrderOutcome;

/// A log line.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process started.
    Started {
        /// The host's name.
        name: String,
        /// Its failure domain.
        domain: String,
        /// Whether it has a disk.
        disk: bool,
        /// Whether the whole system starts for the first time.
        first_start: bool,
    },
    /// The settings were read anew.
    Reloaded,
    /// The process was told to end.
    Stopping,
    /// The process ends.
    Stopped {
        /// Requests that were cut.
        cut: u64,
        /// Milliseconds since its start.
        up_ms: u64,
        /// Messages to other hosts.
        sent: u64,
        /// Their bytes.
        sent_bytes: u64,
        /// Messages from other hosts.
        received: u64,
        /// Their bytes.
        received_bytes: u64,
    },
    /// The leader or the term changed.
    Leader {
        /// The leader, if known.
        leader: Option<HostId>,
        /// The term.
        term: Term,
    },
    /// Another host, or another run of it, gives the orders to the targets of a
    /// failure domain.
    Holder {
        /// The failure domain.
        domain: DomainId,
        /// The host.
        holder: HostId,
        /// Its fencing number.
        fence: u64,
        /// Whether it has to wait before it gives any.
        waits: bool,
    },
    /// This host may give orders to the targets of a failure domain from now on, or
    /// no more.
    Orders {
        /// The failure domain.
        domain: DomainId,
        /// Whether it may.
        may: bool,
        /// Its fencing number.
        fence: u64,
        /// Milliseconds since the last renewal that was answered was sent.
        renewed_ms: Option<u64>,
    },
    /// A configuration is in force here.
    Config {
        /// Its number.
        number: u64,
        /// The log index that brought it.
        index: Index,
    },
    /// A version was named.
    Version {
        /// The adapter.
        adapter: String,
        /// The version.
        version: u64,
    },
    /// A host is known, or changed.
    Host {
        /// The host.
        peer: HostId,
        /// Whether it takes callers.
        ready: bool,
    },
    /// A host has been silent.
    HostSilent {
        /// The host.
        peer: HostId,
    },
    /// A target is known, or changed.
    Target {
        /// Its name.
        target: String,
        /// The service.
        service: String,
        /// Its address.
        addr: String,
        /// What it does.
        state: String,
    },
    /// A target has been silent.
    TargetSilent {
        /// Its name.
        target: String,
    },
    /// An order was answered.
    Ordered {
        /// The target.
        target: String,
        /// Whether it was a load.
        load: bool,
        /// What it was about.
        adapter: String,
        /// The orders expected to come before.
        expect: u64,
        /// The fencing number.
        fence: u64,
        /// The answer.
        outcome: OrderOutcome,
        /// Time to the answer in milliseconds.
        took_ms: u64,
    },
    /// Requests wait for adapters that no target can take now; why, by targets.
    Unplaced {
        /// Adapters that are waited for.
        adapters: usize,
        /// Targets that are waited for: an order or a report of them is open.
        busy: usize,
        /// Targets with as many adapters on their way as there may be.
        transit: usize,
        /// Targets on which every adapter is in use.
        in_use: usize,
        /// Targets that could take one.
        open: usize,
    },
    /// Prompts wait for their turn at a target.
    Prompts {
        /// The target.
        target: String,
        /// Tokens that it reads in a millisecond; zero before that is known.
        speed: f64,
        /// Tokens that are read or wait.
        backlog: u32,
    },
    /// This host follows another feed.
    Follows {
        /// What it tells of.
        of: Topic,
        /// Its writer.
        writer: HostId,
        /// The leader's term, or the holder's fencing number.
        number: u64,
        /// The number of its last change.
        last: u64,
    },
    /// The disk failed.
    DiskFailed {
        /// The refusal.
        reason: String,
    },
    /// The data folder was opened anew.
    DiskBack,
    /// Something needs an operator.
    Alarm {
        /// What.
        what: String,
    },
    /// An operator's change.
    Change {
        /// What it is about.
        what: String,
        /// What became of it.
        outcome: &'static str,
    },
    /// A request that did not get a target's answer, or one in so many that did.
    Request {
        /// Its id.
        id: String,
        /// Its route.
        route: String,
        /// The model or adapter that it asks for.
        #[serde(skip_serializing_if = "Option::is_none")]
        adapter: Option<String>,
        /// How it ended.
        outcome: &'static str,
        /// HTTP status of the answer; zero without one.
        status: u16,
        /// What was decided on the way, in order, with milliseconds since arrival.
        steps: String,
        /// Time from arrival to the end in milliseconds.
        took_ms: u64,
    },
    /// A request was lost together with the target that ran it.
    Crashed {
        /// The digest of its path, caller and body.
        request: String,
        /// The target.
        target: String,
    },
    /// A request has crashed so many targets that it is not sent any more.
    Barred {
        /// The digest of its path, caller and body.
        request: String,
    },
    /// Lines that were left out since the last such line.
    LeftOut {
        /// How many.
        lines: u64,
    },
}
