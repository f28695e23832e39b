//! Helpers shared by the tests.
#![allow(dead_code)]

use std::time::Duration;

use wire::{Capacity, Digest, Renew, TargetInfo, TargetKind};

use lease::LeaseSettings;

pub const TERMS: LeaseSettings = LeaseSettings {
    lease: Duration::from_millis(4000),
    margin: Duration::from_millis(400),
    lag: Duration::from_millis(2000),
};

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn info(name: &str, domain: &str, requests: u32) -> TargetInfo {
    TargetInfo {
        name: name.into(),
        addr: "127.0.9.1:9000".into(),
        domain: domain.into(),
        kind: TargetKind::Engine { model: "base".into() },
        capacity: Capacity { adapters: 8, requests },
        fenced: false,
    }
}

/// Returns a renewal of a host in domain `d{host % 3}`.
pub fn renew(host: u32, incarnation: u64, sent: Duration, applied: u64) -> Renew {
    Renew {
        incarnation,
        sent,
        domain: format!("d{}", host % 3),
        applied,
        round: 0,
        digest: Some(Digest::default()),
    }
}
