//! Inputs and outputs of a host.

use std::time::Duration;

use bytes::Bytes;
use desired::Command;
use replog::Write;
use serde::Serialize;
use wire::{HostId, PeerMsg, TargetCard};

use crate::{Event, Settings};

/// Numbers the calls that wait for an answer; the process counts them.
pub type Tag = u64;

/// What to do with a model or an adapter at a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Order {
    /// The target's name.
    pub target: String,
    /// IP number and port.
    pub addr: String,
    /// Whether to load it; otherwise it is unloaded.
    pub load: bool,
    /// The model.
    pub model: String,
    /// The adapter of that model; none for the model itself.
    pub adapter: Option<String>,
    /// The version to load; zero for the newest.
    pub version: u64,
    /// Orders that the target must have accepted before this one.
    pub expect: u64,
    /// The holder's fencing number.
    pub fence: u64,
}

impl Order {
    /// The name under which it is held, `model` or `model/adapter`.
    pub fn name(&self) -> String {
        match &self.adapter {
            Some(adapter) => format!("{}/{adapter}", self.model),
            None => self.model.clone(),
        }
    }
}

/// How an order was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It holds already, or was carried out at once.
    Done,
    /// Another order is in progress, or the expected number was wrong.
    Busy,
    /// The target refused it for good.
    Refused,
    /// Another target has the address.
    Elsewhere,
    /// It was never sent.
    NotSent,
    /// No answer came; it may still be carried out.
    Unknown,
}

/// What a target says of its models and its work.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Report {
    /// Models and adapters that may be used, with their versions.
    pub held: Vec<(String, u64)>,
    /// Adapters on their way.
    pub pending: Vec<String>,
    /// Models in its memory or on its disk.
    pub stored: Vec<String>,
    /// Orders it has accepted.
    pub sequence: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// When the process that made it started, if it says so, in milliseconds since
    /// the epoch.
    pub born: Option<u64>,
}

/// What happens to a host.
#[derive(Debug)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A message arrived.
    Peer {
        /// The sender.
        from: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// A write is on disk.
    Synced(u64),
    /// A write failed; the folder must be opened anew.
    SyncFailed(String),
    /// The folder was opened anew.
    Reopened(Box<replog::Recovered>),
    /// A target said something of itself.
    Beat {
        /// What it said.
        card: TargetCard,
    },
    /// A target took its leave.
    Left {
        /// Its name.
        id: String,
    },
    /// An operator hands in a change.
    Change {
        /// Numbers the call.
        tag: Tag,
        /// The change.
        command: Command,
    },
    /// An operator reads the configuration.
    Read {
        /// Numbers the call.
        tag: Tag,
    },
    /// An order was answered.
    Ordered {
        /// The target.
        target: String,
        /// How.
        outcome: OrderOutcome,
    },
    /// A report arrived; none if the target did not answer.
    Reported {
        /// The target.
        target: String,
        /// The report.
        report: Option<Report>,
    },
    /// The settings changed.
    Reload(Box<Settings>),
    /// The host should finish what it has and end.
    Stop,
}

/// The answer to an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Reply {
    /// The change is in force, or a later one is.
    InForce,
    /// The configuration in force.
    Config(Bytes),
    /// It isn't known; the caller may ask another host.
    Unknown,
}

/// What a host wants done, in order.
#[derive(Debug)]
pub enum Output {
    /// Send a message.
    Send {
        /// The receiver.
        to: HostId,
        /// The message.
        msg: PeerMsg,
    },
    /// Write to disk.
    Write(Write),
    /// Open the data folder anew, after this time.
    Reopen(Duration),
    /// Send an order to a target.
    Order(Order),
    /// Ask a target for its report.
    Ask {
        /// The target's name.
        target: String,
        /// IP number and port.
        addr: String,
    },
    /// Answer an operator's call.
    Answer {
        /// The call.
        tag: Tag,
        /// The answer.
        reply: Reply,
    },
    /// A new configuration is in force here; its document.
    Config(Bytes),
    /// A request hears of its turn.
    Turn {
        /// Its number.
        ticket: u64,
        /// Whether it is its turn; otherwise it waits.
        granted: bool,
        /// Prompt tokens that are read or wait there.
        backlog: u32,
    },
    /// Waiting requests may find a target now.
    Wake,
    /// Write a log line.
    Log(Event),
}
