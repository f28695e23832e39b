//! HTTP bodies and headers: what callers, targets and operators exchange with a host.

mod audit;
mod error;
mod mac;
mod operator;
mod target;
mod whereabouts;

/// Names of HTTP headers.
pub mod header {
    /// The caller's name.
    pub const CALLER: &str = "x-caller";
    /// The declared call a request belongs to, such as `dressing-note`.
    pub const CALL: &str = "x-call";
    /// The declared service a request belongs to.
    pub const SERVICE: &str = "x-service";
    /// Milliseconds until the caller's deadline.
    pub const DEADLINE: &str = "x-deadline-ms";
    /// The key of a non-idempotent call.
    pub const KEY: &str = "idempotency-key";
    /// When the key was made, in milliseconds since the epoch.
    pub const KEY_MADE: &str = "x-key-made-ms";
    /// The request attempt: sent to the target and echoed by it.
    pub const REQUEST: &str = "x-request";
    /// What the target ran, `model@adapter@version` or a service's name.
    pub const RAN: &str = "x-ran";
    /// The run of the target's process.
    pub const INCARNATION: &str = "x-incarnation";
    /// The owner's fencing number; a target that checks it refuses older ones.
    pub const FENCE: &str = "x-fence";
    /// The target's name, for the caller.
    pub const TARGET: &str = "x-target";
    /// A better entry address for the caller.
    pub const BETTER: &str = "x-better-entry";
    /// Urgency as a number for the target; lower is sooner.
    pub const PRIORITY: &str = "x-priority";
    /// Whether the request was run: `no`, `yes` or `unknown`.
    pub const WAS_RUN: &str = "x-was-run";
    /// HMAC-SHA256 of a publish's body with the publish key, in hexadecimal.
    pub const PUBLISH_MAC: &str = "x-publish-mac";
}

/// The last event of a whole streamed answer.
pub const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// The largest request body, in bytes.
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
