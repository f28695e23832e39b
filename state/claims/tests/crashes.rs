//! Tests of crash counts.

use claims::{CRASH_COUNT_AGE_MS, CrashCounts, MAX_CRASH_COUNTS, QUARANTINE_CRASHES};

const START: u64 = 1_800_000_000_000;

fn fingerprint(n: u64) -> [u8; 16] {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&n.to_le_bytes());
    bytes
}

#[test]
fn crashes_are_counted_until_the_request_completes() {
    let mut crashes = CrashCounts::default();
    crashes.record(START, fingerprint(1));
    crashes.record(START, fingerprint(2));
    crashes.record(START + 5, fingerprint(1));
    assert_eq!(crashes.count(&fingerprint(1)), QUARANTINE_CRASHES);
    assert_eq!(crashes.list(), [(fingerprint(1), 2), (fingerprint(2), 1)]);
    crashes.clear(&fingerprint(1));
    crashes.clear(&fingerprint(9));
    assert_eq!(crashes.list(), [(fingerprint(2), 1)]);
    crashes.record(START, fingerprint(1));
    assert_eq!(crashes.count(&fingerprint(1)), 1);
}

#[test]
fn counts_expire_by_the_time_of_the_last_crash() {
    let mut crashes = CrashCounts::default();
    crashes.record(START, fingerprint(1));
    crashes.record(START + 10, fingerprint(2));
    crashes.record(START + 20, fingerprint(1));
    crashes.record(START + 10 + CRASH_COUNT_AGE_MS, fingerprint(3));
    assert_eq!(crashes.count(&fingerprint(2)), 1);
    crashes.record(START + 11 + CRASH_COUNT_AGE_MS, fingerprint(3));
    assert_eq!(crashes.list(), [(fingerprint(1), 2), (fingerprint(3), 2)]);
    // A clock that goes back drops no count and does not change the order.
    crashes.record(0, fingerprint(4));
    assert_eq!(crashes.count(&fingerprint(4)), 1);
}

#[test]
fn the_oldest_counts_are_dropped_above_the_maximum() {
    let mut crashes = CrashCounts::default();
    let maximum = MAX_CRASH_COUNTS as u64;
    for n in 0..maximum {
        crashes.record(START + n, fingerprint(n));
    }
    crashes.record(START + maximum, fingerprint(0));
    crashes.record(START + maximum, fingerprint(maximum));
    assert_eq!(crashes.list().len(), MAX_CRASH_COUNTS);
    assert_eq!((crashes.count(&fingerprint(0)), crashes.count(&fingerprint(1))), (2, 0));
}
