//! Inputs and outputs of the state machine of a host.

use std::time::Duration;

use bytes::Bytes;
use desired::Command;
use replog::Write;
use serde::Serialize;
use wire::{HostId, PeerMsg, SoftwareHash, StreamHash, TargetRecord};

use crate::{Event, Settings};

/// Identifies a call of an operator or a target until it is answered; assigned by the process.
pub type Tag = u64;

/// An order to load or unload a model or an adapter at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// Name of the target.
    pub target: String,
    /// Start time of the target's process, in milliseconds since the epoch.
    pub started_at: u64,
    /// IP address and port of the target.
    pub addr: String,
    /// Whether to load; `false` unloads.
    pub load: bool,
    /// Name of the model.
    pub model: String,
    /// Name of the adapter; `None` if the order is for the model itself.
    pub adapter: Option<String>,
    /// Version to load; zero selects the newest.
    pub version: u64,
    /// Number of orders that the target must have accepted before this one.
    pub expected_orders: u64,
    /// Fencing number of the holder that sends the order.
    pub fence: u64,
}

impl Order {
    /// Returns the name of the model or adapter at the target: `model` or `model/adapter`.
    pub fn name(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.model),
            None => self.model.clone(),
        }
    }
}

/// Result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// The target has started to carry out the order.
    Accepted,
    /// The order was already in effect, or took effect at once.
    Done,
    /// Another order is in progress, or the expected number of accepted orders was wrong.
    Busy,
    /// The target rejected the order permanently.
    Refused,
    /// A different target answers at the address.
    Elsewhere,
    /// The order was not sent.
    NotSent,
    /// No answer was received; the order may still be carried out.
    Unknown,
}

/// A target's report of its models, adapters and accepted orders.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and adapters that are ready for use, with their versions.
    pub loaded: Vec<(String, u64)>,
    /// Adapters that are being loaded.
    pub pending: Vec<String>,
    /// Models in the target's memory or on its disk.
    pub stored: Vec<String>,
    /// Number of orders that the target has accepted.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// Start time of the process that made the report, in milliseconds since the epoch; `None` if
    /// the report doesn't state it.
    pub started_at: Option<u64>,
}

/// An input to the state machine of a host.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message from another host has arrived.
    Peer {
        /// Host that sent the message.
        from: HostId,
        /// The message itself.
        msg: PeerMsg,
    },
    /// The write with this ticket is on disk.
    Synced(u64),
    /// The records of streams from the first of these tickets to the last are on disk.
    RecordsSynced(u64, u64),
    /// Records of streams could not be written, for this reason.
    RecordsFailed(String),
    /// A write failed for this reason; the data folder must be reopened.
    SyncFailed(String),
    /// The data folder was reopened; holds the recovered state.
    Reopened(Box<replog::Recovered>),
    /// A heartbeat of a target has arrived.
    Heartbeat {
        /// The target's record.
        record: TargetRecord,
    },
    /// A heartbeat has arrived by which a target says that it leaves; answered once the log holds that.
    Leaves {
        /// Identifies the call.
        tag: Tag,
        /// The target's record.
        record: TargetRecord,
    },
    /// A target has deregistered; answered once the log holds that.
    Deregistered {
        /// Identifies the call.
        tag: Tag,
        /// Name of the target.
        id: String,
        /// When its process started, in milliseconds since the Unix epoch; `None` if it names no start.
        started_at: Option<u64>,
        /// When the call arrived, by the time of day in the same unit.
        arrived_at: u64,
    },
    /// An operator submits a change.
    Change {
        /// Identifies the call.
        tag: Tag,
        /// The command to replicate.
        command: Command,
    },
    /// An operator reads the configuration.
    Read {
        /// Identifies the call.
        tag: Tag,
    },
    /// An order has ended.
    OrderEnded {
        /// The order.
        order: Order,
        /// Result of the order.
        outcome: OrderOutcome,
    },
    /// The question whether a load has ended was answered, or got no answer.
    LoadChecked {
        /// The order that was sent again.
        order: Order,
        /// Result of the order.
        outcome: OrderOutcome,
    },
    /// A report request has ended.
    ReportReceived {
        /// Name of the target.
        target: String,
        /// Number of the request.
        request: u64,
        /// The report; `None` if the target did not answer.
        report: Option<Report>,
    },
    /// The settings have changed.
    Reload(Box<Settings>),
    /// The host must finish its requests and end.
    Stop,
}

/// The answer to a call of an operator or a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The change, or a later one, is in force.
    InForce,
    /// The configuration in force, compressed by [`desired::pack`].
    Config(Bytes),
    /// The result is unknown; the caller may try another host.
    Unknown,
}

/// An action that the process carries out for a host, in the order of the outputs.
#[derive(Debug)]
pub enum Output {
    /// Send a message to another host.
    Send {
        /// Host that receives the message.
        to: HostId,
        /// The message itself.
        msg: PeerMsg,
    },
    /// Write to disk; answered by [`Input::Synced`] or [`Input::SyncFailed`].
    Write(Write),
    /// Write a record of a stream to disk; answered by [`Input::RecordsSynced`] if that succeeds.
    WriteRecord {
        /// Number of the write.
        ticket: u64,
        /// Hashes of the stream and of the software version, and the same for its service.
        records: [(StreamHash, SoftwareHash); 2],
    },
    /// Drop the older generation of the records of streams on disk.
    RotateRecords,
    /// Note on disk whether records of streams may be missing there.
    MarkRecords {
        /// Whether none is missing.
        complete: bool,
    },
    /// Reopen the data folder after this delay; answered by [`Input::Reopened`].
    Reopen(Duration),
    /// Send an order to a target; answered by [`Input::OrderEnded`].
    Order(Order),
    /// Send an accepted load again after this time, to learn whether it has ended; answered by
    /// [`Input::LoadChecked`].
    CheckLoad {
        /// The order.
        order: Order,
        /// Time until it is sent.
        after: Duration,
    },
    /// Ask a target for its report; answered by [`Input::ReportReceived`].
    FetchReport {
        /// Name of the target.
        target: String,
        /// IP address and port of the target.
        addr: String,
        /// Number of the request.
        request: u64,
    },
    /// Answer a call of an operator or a target.
    Answer {
        /// Identifies the call.
        tag: Tag,
        /// The answer itself.
        reply: Reply,
    },
    /// A new configuration is in force; holds it as compressed by [`desired::pack`].
    Config(Bytes),
    /// The answer to a prefill request.
    PrefillReply {
        /// This host's number for the prefill request.
        permit_id: u64,
        /// Whether the permit is granted; `false` if the request must keep waiting.
        granted: bool,
        /// Prefill backlog of the target in tokens; zero for a permit that a tick granted.
        backlog: u32,
    },
    /// It is recorded which software version began a stream.
    StreamRecorded {
        /// The stream.
        stream: StreamHash,
    },
    /// The software version that began a stream is known.
    StreamSoftware {
        /// The stream.
        stream: StreamHash,
        /// The version.
        software: SoftwareHash,
    },
    /// Close all idle connections to targets.
    DropConnections,
    /// Try to open a connection to a target from this host; answered by [`crate::Host::path_opened`]
    /// or [`crate::Host::probe_failed`].
    ProbePath {
        /// Name of the target.
        target: String,
        /// IP address and port of the target.
        addr: String,
    },
    /// Requests that wait for a target should choose again.
    RetryWaiting,
    /// Write a log line.
    Log(Event),
}
