//! Crashes counted against requests.

use claims::{MAX_STRUCK, QUARANTINE_STRIKES, STRIKE_AGE_MS, Strikes};

const START: u64 = 1_800_000_000_000;

fn print(n: u64) -> [u8; 16] {
    let mut print = [0; 16];
    print[..8].copy_from_slice(&n.to_le_bytes());
    print
}

#[test]
fn strikes_count_up_and_are_cleared() {
    let mut strikes = Strikes::default();
    strikes.strike(START, print(1));
    strikes.strike(START, print(2));
    strikes.strike(START + 5, print(1));
    assert_eq!(strikes.count(&print(1)), QUARANTINE_STRIKES);
    assert_eq!(strikes.list(), [(print(1), 2), (print(2), 1)]);
    strikes.clear(&print(1));
    strikes.clear(&print(9));
    assert_eq!(strikes.list(), [(print(2), 1)]);
    strikes.strike(START, print(1));
    assert_eq!(strikes.count(&print(1)), 1);
}

#[test]
fn strikes_age_from_the_last_one() {
    let mut strikes = Strikes::default();
    strikes.strike(START, print(1));
    strikes.strike(START + 10, print(2));
    strikes.strike(START + 20, print(1));
    strikes.strike(START + 10 + STRIKE_AGE_MS, print(3));
    assert_eq!(strikes.count(&print(2)), 1);
    strikes.strike(START + 11 + STRIKE_AGE_MS, print(3));
    assert_eq!(strikes.list(), [(print(1), 2), (print(3), 2)]);
    // A clock that goes back drops nothing and keeps the order.
    strikes.strike(0, print(4));
    assert_eq!(strikes.count(&print(4)), 1);
}

#[test]
fn the_oldest_are_dropped_above_the_bound() {
    let mut strikes = Strikes::default();
    let bound = MAX_STRUCK as u64;
    for n in 0..bound {
        strikes.strike(START + n, print(n));
    }
    strikes.strike(START + bound, print(0));
    strikes.strike(START + bound, print(bound));
    assert_eq!(strikes.list().len(), MAX_STRUCK);
    assert_eq!((strikes.count(&print(0)), strikes.count(&print(1))), (2, 0));
}
