//! What the HTTP layer needs from the host, and what it hands over.

use api::{AuditPage, PublishBody, Receipt, ReportReply, StatusBody, WhereBody};
use bytes::Bytes;
use futures::future::BoxFuture;
use node::{Caller, Input};
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{Fault, TargetReport};

/// A step of a caller's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// It starts.
    Head {
        /// HTTP status.
        status: u16,
        /// The target's name.
        target: String,
        /// What it ran.
        ran: String,
        /// A better entry address, if there is one.
        better: Option<String>,
    },
    /// It goes on.
    Piece {
        /// The piece.
        bytes: Bytes,
        /// Whether the answer is whole with it.
        last: bool,
    },
    /// It ends without being whole.
    Failed(Fault),
}

/// Hears how far a caller's connection has taken its answer.
pub trait Progress: Send + Sync {
    /// The connection took bytes of the answer.
    fn taken(&self, bytes: usize);
    /// The connection closed before the end of the answer.
    fn gone(&self);
}

/// A caller's answer on its way. Its sender keeps to the credit that
/// [`Progress::taken`] returns, which bounds what waits here.
pub struct Answer {
    /// The steps, ended by the last piece or a failure.
    pub steps: UnboundedReceiver<Step>,
    /// Told of what the caller took.
    pub progress: Box<dyn Progress>,
}

/// What callers and targets reach.
pub trait Entry: Send + Sync + 'static {
    /// Hands in a caller's request.
    fn ask(&self, caller: Caller) -> BoxFuture<'_, Answer>;
    /// Hands in a target's report.
    fn report(&self, report: TargetReport) -> BoxFuture<'_, ReportReply>;
    /// Returns the entry addresses for a model, best first.
    fn whereabouts(&self, model: Option<&str>) -> WhereBody;
}

/// What operators reach.
pub trait Operator: Send + Sync + 'static {
    /// Returns whether a publish is allowed, by its exact body and its code.
    fn authorise(&self, body: &[u8], mac: Option<&str>) -> Result<(), Fault>;
    /// Hands in declaration files.
    fn publish(&self, publish: PublishBody) -> BoxFuture<'_, Result<Receipt, Fault>>;
    /// Returns the state of the system as this host sees it.
    fn status(&self) -> StatusBody;
    /// Returns at most `limit` audit entries from a sequence on.
    fn audit(&self, from: u64, limit: usize) -> AuditPage;
    /// Returns the metrics in the text format of prometheus.
    fn metrics(&self) -> String;
}

/// Takes what happens to calls and orders. A target's answer is read no
/// further until the future is ready.
pub trait Inbox: Send + Sync + 'static {
    /// Takes one input.
    fn deliver(&self, input: Input) -> BoxFuture<'_, ()>;
}
