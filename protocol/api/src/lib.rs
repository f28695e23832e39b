//! HTTP bodies and headers of the endpoints for callers, targets and operators.

mod audit;
mod error;
mod mac;
mod operator;
mod target;
mod whereabouts;

/// The names of the HTTP headers.
pub mod header {
    /// The caller's name.
    pub const CALLER: &str = "x-caller";
    /// The declared call that a request belongs to, such as `dressing-note`.
    pub const CALL: &str = "x-call";
    /// The declared service that a request belongs to.
    pub const SERVICE: &str = "x-service";
    /// The time left until the caller's deadline, in milliseconds.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// The idempotency key of a non-idempotent call.
    pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
    /// When the caller made the idempotency key, in milliseconds since the Unix epoch.
    pub const KEY_MADE: &str = "x-key-made-ms";
    /// The id of the request attempt; the target echoes it.
    pub const REQUEST: &str = "x-request";
    /// What the target ran: `model@adapter@version` or a service's name.
    pub const RAN: &str = "x-ran";
    /// The incarnation of the target's process.
    pub const INCARNATION: &str = "x-incarnation";
    /// The owner's fencing number; a fenced target refuses lower numbers than it has seen.
    pub const FENCE: &str = "x-fence";
    /// The name of the target that served the request, in responses to callers.
    pub const TARGET: &str = "x-target";
    /// An entry address that suits the caller better, in responses to callers.
    pub const BETTER_ENTRY: &str = "x-better-entry";
    /// The request's urgency as a number for the target; lower numbers are served first.
    pub const PRIORITY: &str = "x-priority";
    /// Whether the request ran: `no`, `yes` or `unknown`.
    pub const WAS_RUN: &str = "x-was-run";
    /// HMAC-SHA256 of a publish's body under the publish key, in hexadecimal.
    pub const PUBLISH_MAC: &str = "x-publish-mac";
}

/// The event that ends a complete streamed response.
pub const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// The largest accepted request body, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;

pub use crate::{
    audit::{AuditEntry, AuditPage, ServiceChange},
    error::{ErrorBody, ErrorDetail},
    mac::PublishKey,
    operator::{
        DomainForce, FileBody, HostRow, PublishBody, QuarantineRow, Receipt, ServiceReceipt,
        StatusBody, TargetRow,
    },
    target::{
        CapacityBody, KindBody, LoadBody, OrderBody, OrderReply, Refusal, ReportBody, ReportReply,
    },
    whereabouts::{EntryAddress, WhereBody},
};
