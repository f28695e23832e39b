//! Tests of the retry budget.

use admit::RetryBudget;

/// Takes retries until the budget refuses, and returns their number.
fn drain(budget: &mut RetryBudget) -> u32 {
    let mut taken = 0;
    while budget.try_retry() {
        taken += 1;
    }
    taken
}

#[test]
fn retries_are_a_share_of_attempts() {
    let cases = [
        // (percent, attempts, retries allowed at once)
        (10, 0, 3),
        (10, 9, 3),
        (10, 10, 4),
        (10, 100, 13),
        (50, 100, 53),
        (0, 100, 0),
        (0, 0, 0),
    ];
    for (percent, attempts, expected) in cases {
        let mut budget = RetryBudget::new(percent);
        for _ in 0..attempts {
            budget.record_attempt();
        }
        assert_eq!(drain(&mut budget), expected, "{percent} percent of {attempts}");
        assert!(!budget.try_retry());
    }
}

#[test]
fn a_burst_of_failures_stays_within_the_share() {
    let mut budget = RetryBudget::new(20);
    let mut taken = 0;
    for _ in 0..100_000 {
        budget.record_attempt();
        taken += drain(&mut budget);
    }
    // The share, plus the three minimum retries in each of 200 half windows.
    assert!((20_000..=20_600).contains(&taken), "{taken}");
}

#[test]
fn attempts_without_failures_do_not_accumulate_retries() {
    let mut budget = RetryBudget::new(20);
    for _ in 0..1_000_000 {
        budget.record_attempt();
    }
    // At most the share of one window's attempts, plus the three minimum retries.
    assert!(drain(&mut budget) <= 203);
}
