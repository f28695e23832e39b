//! Measures processor time, memory and snapshot size of the claims table.
//!
//! Run with `cargo bench -p claims`.

use std::{
    fs,
    hint::black_box,
    time::{Duration, Instant},
};

use bytes::Bytes;
use claims::{Claims, Retention};
use wire::{Claim, ClaimKey, Outcome, Settle};

const START: u64 = 1_800_000_000_000;
const BODY_BYTES: usize = 256;
const PAGE_BYTES: usize = 4096;

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    text.split(' ').nth(1).and_then(|pages| pages.parse::<usize>().ok()).unwrap_or(0) * PAGE_BYTES
}

fn key(n: u64) -> ClaimKey {
    ClaimKey { caller: format!("troupe-{}", n % 100), key: format!("{n:032x}") }
}

fn claim(n: u64) -> Claim {
    let fingerprint = [n as u8; 16];
    Claim { key: key(n), fingerprint, host: 1, incarnation: 1, request: n, made_at: START + n }
}

fn settle(n: u64) -> Settle {
    let outcome = Outcome::Done { status: 200, body: Bytes::from(vec![b'x'; BODY_BYTES]) };
    Settle { key: key(n), request: n, outcome }
}

/// Returns the mean time of `count` calls, in nanoseconds.
fn mean_ns(count: u64, mut call: impl FnMut(u64)) -> f64 {
    let start = Instant::now();
    for n in 0..count {
        call(n);
    }
    start.elapsed().as_secs_f64() * 1e9 / count as f64
}

fn main() {
    println!("answers of {BODY_BYTES} bytes, keys of 32");
    println!(
        "  claims  claim ns  settle ns  resend ns both and drop ns  lost host us  memory B  snapshot B"
    );
    for count in [1000, 10_000, 100_000] {
        let age = Duration::from_secs(24 * 60 * 60);
        let bytes = usize::MAX;
        let mut claims = Claims::new(Retention { age, count: count as usize, bytes });
        let before = resident_bytes();
        let claim_ns = mean_ns(count, |n| _ = black_box(claims.claim(START, &claim(n))));
        let settle_ns = mean_ns(count, |n| _ = black_box(claims.settle(START, &settle(n))));
        let memory = resident_bytes().saturating_sub(before) as f64 / count as f64;
        let snapshot = wire::encode(&claims).len() as f64 / count as f64;
        let resend_ns = mean_ns(count, |n| _ = black_box(claims.claim(START, &claim(n))));
        // The table is full, so each further claim drops the oldest one.
        let full_ns = mean_ns(count, |n| {
            black_box(claims.claim(START, &claim(count + n)));
            black_box(claims.settle(START, &settle(count + n)));
        });
        let lost_us = mean_ns(100, |_| claims.host_lost(START, 9, 2)) / 1000.0;
        println!(
            "{count:8} {claim_ns:9.0} {settle_ns:10.0} {resend_ns:10.0} {full_ns:17.0} {lost_us:13.2} {memory:9.0} {snapshot:11.0}"
        );
    }
}
