//! Helpers shared by the tests.
#![allow(dead_code)]

use std::time::Duration;

use bytes::Bytes;
use claims::{ClaimReply, Retention};
use wire::{Claim, ClaimKey, Outcome, Settle};

/// The time at which the tests start, in milliseconds since the epoch.
pub const START: u64 = 1_800_000_000_000;
pub const DAY: u64 = 24 * 60 * 60 * 1000;
pub const HOUR: u64 = 60 * 60 * 1000;

pub const RETENTION: Retention =
    Retention { age: Duration::from_secs(24 * 60 * 60), count: 1000, bytes: 100_000 };

pub fn key(name: &str) -> ClaimKey {
    ClaimKey { caller: "troupe".into(), key: name.into() }
}

/// Returns a claim of a request of host `request / 100`, in that host's first incarnation.
pub fn claim(name: &str, request: u64, made_at: u64) -> Claim {
    Claim {
        key: key(name),
        fingerprint: [7; 16],
        host: (request / 100) as u32,
        incarnation: 1,
        request,
        made_at,
    }
}

pub fn settle(name: &str, request: u64, outcome: Outcome) -> Settle {
    Settle { key: key(name), request, outcome }
}

pub fn done(body: &'static str) -> Outcome {
    Outcome::Done { status: 200, body: Bytes::from_static(body.as_bytes()) }
}

/// Returns a reply as text: `granted`, `done STATUS BODY` or `refused CODE`.
pub fn describe(reply: &ClaimReply) -> String {
    match reply {
        ClaimReply::Granted => "granted".into(),
        ClaimReply::Done { status, body } => {
            format!("done {status} {}", String::from_utf8_lossy(body))
        }
        ClaimReply::Refused(kind) => format!("refused {}", kind.info().code),
    }
}
