//! The interface between the HTTP layer and the host.

use api::{AuditPage, PublishBody, Receipt, ReportReply, StatusBody, WhereBody};
use bytes::Bytes;
use futures::future::BoxFuture;
use node::{CallerRequest, Input};
use tokio::sync::mpsc::UnboundedReceiver;
use wire::{Fault, TargetReport};

/// A step of the answer to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerStep {
    /// The answer starts.
    Head {
        /// The HTTP status.
        status: u16,
        /// The target's name.
        target: String,
        /// What the target ran, `model@adapter@version` or the name of a service.
        ran: String,
        /// A better entry address for the caller, if there is one.
        better_entry: Option<String>,
    },
    /// A part of the body.
    Piece {
        /// The bytes; may be empty.
        bytes: Bytes,
        /// Whether it completes the answer.
        last: bool,
    },
    /// The answer failed; no step follows.
    Failed(Fault),
}

/// Receives the progress of a caller's connection.
pub trait Progress: Send + Sync {
    /// Reports that the connection has taken this many bytes of the answer.
    fn consumed(&self, bytes: usize);
    /// Reports that the connection was closed before the end of the answer.
    fn disconnected(&self);
}

/// An answer to a caller, in progress. Its sender sends no more bytes than the credit that
/// [`Progress::consumed`] replenishes, which bounds the queue of steps.
pub struct Answer {
    /// The steps; the last one is the last piece or a failure.
    pub steps: UnboundedReceiver<AnswerStep>,
    /// Receives the progress of the caller's connection.
    pub progress: Box<dyn Progress>,
}

/// The operations of callers and targets.
pub trait Entry: Send + Sync + 'static {
    /// Submits a caller's request; returns its answer in progress.
    fn submit(&self, caller: CallerRequest) -> BoxFuture<'_, Answer>;
    /// Handles a target's report; returns the reply to the target.
    fn report(&self, report: TargetReport) -> BoxFuture<'_, ReportReply>;
    /// Returns the entry addresses for a model, or for any request, best first.
    fn entry_addresses(&self, model: Option<&str>) -> WhereBody;
}

/// The operations of operators.
pub trait Operator: Send + Sync + 'static {
    /// Authorises a publish by its exact body and its message authentication code in hexadecimal.
    /// Returns the error for the operator if it is not allowed.
    fn authorise(&self, body: &[u8], mac: Option<&str>) -> Result<(), Fault>;
    /// Publishes declaration files; returns the receipt or the error for the operator.
    fn publish(&self, publish: PublishBody) -> BoxFuture<'_, Result<Receipt, Fault>>;
    /// Returns the state of the system in the local view of this host.
    fn status(&self) -> StatusBody;
    /// Returns at most `limit` audit entries, starting with sequence `from`.
    fn audit(&self, from: u64, limit: usize) -> AuditPage;
    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;
}

/// Receives the events of calls and orders. Reading of a target's answer continues once the future
/// is ready.
pub trait Inbox: Send + Sync + 'static {
    /// Handles one input.
    fn deliver(&self, input: Input) -> BoxFuture<'_, ()>;
}
