//! The claims table.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Claim, ErrorKind, HostId, Incarnation, Settle};

/// How long outcomes are kept, and how many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Age after which an ended claim is dropped.
    pub age: Duration,
    /// Ended claims kept at most.
    pub count: usize,
    /// Bytes of answers kept at most.
    pub bytes: usize,
}

/// What a claim or a resend is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimer may send once.
    Granted,
    /// The call ran: this is its answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Body.
        body: bytes::Bytes,
    },
    /// The call is refused with this kind.
    Refused(ErrorKind),
}

/// Claims by key.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Claims {
    retention: Retention,
}

impl Claims {
    /// An empty table.
    pub fn new(retention: Retention) -> Claims {
        Claims { retention }
    }

    /// Applies a claim made at wall-clock time `at` (milliseconds since the epoch).
    pub fn claim(&mut self, at: u64, claim: &Claim) -> ClaimReply {
        let _ = (at, claim, self.retention);
        todo!()
    }

    /// Applies the end of a claim. Returns false if the request does not hold it.
    pub fn settle(&mut self, at: u64, settle: &Settle) -> bool {
        let _ = (at, settle);
        todo!()
    }

    /// Puts the open claims of a host's runs before `before` in doubt.
    pub fn host_lost(&mut self, at: u64, host: HostId, before: Incarnation) {
        let _ = (at, host, before);
        todo!()
    }
}
