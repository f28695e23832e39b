//! The complete list of error kinds and how each is reported to callers.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a failed request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ran {
    /// No byte of it was sent to a target, or the target refused it before running it.
    No,
    /// It ran.
    Yes,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// Returns the word used in error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// What a caller can do about an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Retry {
    /// The same request will fail again.
    Never,
    /// The same request may succeed later.
    Later,
    /// The same request may succeed at another address.
    Elsewhere,
    /// The request may be sent again with the same idempotency key.
    SameKey,
}

impl Retry {
    /// Returns the word used in error responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Retry::Never => "never",
            Retry::Later => "later",
            Retry::Elsewhere => "elsewhere",
            Retry::SameKey => "same-key",
        }
    }
}

/// How an error kind is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorInfo {
    /// The kind.
    pub kind: ErrorKind,
    /// The HTTP status.
    pub status: u16,
    /// A stable, machine-readable code.
    pub code: &'static str,
    /// Whether the request ran.
    pub ran: Ran,
    /// When a retry makes sense.
    pub retry: Retry,
    /// A human-readable message.
    pub message: &'static str,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident: $status:literal, $code:literal, $ran:ident, $retry:ident, $message:literal;)*) => {
        /// The kinds of errors that a request can end with.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// One row for each kind, in order of the variants.
            pub const TABLE: &'static [ErrorInfo] = &[
                $(ErrorInfo {
                    kind: ErrorKind::$kind,
                    status: $status,
                    code: $code,
                    ran: Ran::$ran,
                    retry: Retry::$retry,
                    message: $message,
                },)*
            ];
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest: 400, "bad_request", No, Never, "could not read request";
    /// The body exceeds the size limit.
    TooLarge: 413, "too_large", No, Never, "request body exceeds the limit";
    /// No declaration in force names the adapter.
    UnknownAdapter: 404, "unknown_adapter", No, Never, "no declaration in force names this adapter";
    /// The adapter is declared, but not in this version.
    WrongVersion: 404, "wrong_version", No, Never, "the adapter is not declared in this version";
    /// No declaration in force names the service or its call.
    UnknownService: 404, "unknown_service", No, Never, "no declaration in force names this service or call";
    /// A non-idempotent call came without a key.
    KeyMissing: 400, "key_missing", No, Never, "a non-idempotent call needs the headers Idempotency-Key and x-key-made-ms";
    /// The key was used with another request.
    KeyReused: 422, "key_reused", No, Never, "this idempotency key was used with another request";
    /// The first call with the key is in progress.
    KeyBusy: 409, "key_busy", Unknown, SameKey, "the call with this idempotency key is in progress";
    /// The key is so old that its outcome may have been dropped.
    KeyExpired: 410, "key_expired", Unknown, Never, "this idempotency key is older than outcomes are kept";
    /// The call was sent and its outcome is unknown.
    InDoubt: 409, "in_doubt", Unknown, Never, "the call was sent and its outcome is not known; it is not repeated";
    /// The host has no lease, or its configuration lags.
    NoLease: 503, "no_lease", No, Elsewhere, "this host is cut off or its configuration lags";
    /// The host is shutting down.
    Leaving: 503, "leaving", No, Elsewhere, "this host is shutting down";
    /// No target can serve the request.
    NoTarget: 503, "no_target", No, Later, "no target can serve this request now";
    /// A queue is full.
    QueueFull: 429, "queue_full", No, Later, "too many requests are waiting";
    /// The request would miss its deadline.
    TooLate: 503, "too_late", No, Later, "the request can not be served within its deadline";
    /// The deadline passed while the request waited.
    Expired: 504, "expired", No, Later, "the request's deadline passed while it waited";
    /// The deadline passed while the request ran.
    TimedOut: 504, "timed_out", Unknown, Later, "the request's deadline passed while it ran";
    /// The adapter could not be loaded.
    LoadFailed: 503, "load_failed", No, Later, "the adapter could not be loaded";
    /// The target refused the request before running it.
    Refused: 503, "refused", No, Later, "the target refused the request";
    /// The connection to the target ended before the response was complete.
    TargetLost: 502, "target_lost", Unknown, Later, "the target was lost before the answer was whole";
    /// The connection to the owner ended before the response was complete.
    OwnerLost: 502, "owner_lost", Unknown, Later, "the owning host was lost before the answer was whole";
    /// The target's response does not match the request or exceeds the size limit.
    WrongAnswer: 502, "wrong_answer", Unknown, Later, "the target's answer does not belong to this request";
    /// The target responded with an error.
    TargetFailed: 502, "target_failed", Yes, Later, "the target answered with an error";
    /// The request crashed too many targets and is quarantined.
    Quarantined: 422, "quarantined", No, Never, "this request crashed its targets and is quarantined";
    /// The caller closed the request.
    Cancelled: 499, "cancelled", Unknown, Never, "the caller closed the request";
    /// A declaration is invalid.
    BadDeclaration: 400, "bad_declaration", No, Never, "could not accept the declarations";
    /// The published version of a service is lower than the one in force.
    StaleVersion: 409, "stale_version", No, Never, "a newer version of the service is in force";
    /// The published version of a service is in force with other content.
    VersionTaken: 409, "version_taken", No, Never, "this version of the service is in force with other content";
    /// An operator's request is not authorised.
    Forbidden: 403, "forbidden", No, Never, "the request is not authorised";
    /// No quorum replied in time; the change may or may not be committed.
    NoQuorum: 503, "no_quorum", Unknown, SameKey, "no quorum answered in time; the outcome is unknown";
    /// An error inside the system itself.
    Internal: 500, "internal", Unknown, Later, "internal error";
}

impl ErrorKind {
    /// Returns how the kind is reported.
    pub fn info(self) -> &'static ErrorInfo {
        &Self::TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.info().message)
    }
}

/// An error: a kind with detail about the case at hand.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// The kind.
    pub kind: ErrorKind,
    /// Human-readable detail; may be empty.
    pub detail: String,
}

impl Fault {
    /// Creates an error with detail.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Fault {
        Fault { kind, detail: detail.into() }
    }
}

impl From<ErrorKind> for Fault {
    fn from(kind: ErrorKind) -> Fault {
        Fault::new(kind, "")
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.detail.is_empty() {
            return write!(f, "{}", self.kind);
        }
        write!(f, "{}: {}", self.kind, self.detail)
    }
}

impl std::error::Error for Fault {}

/// Formats an error and its causes on one line, separated by `: `.
pub fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
