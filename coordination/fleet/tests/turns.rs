//! Prefill permits: prompts that many hosts send to one target at the same moment are prefilled one
//! after the other, so that the target's streams do not pause for longer than allowed.

use std::time::Duration;

use fleet::Turns;
use wire::PrefillRequest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(ticket: u64, tokens: u32, priority: u8, waited_ms: u32) -> PrefillRequest {
    let target = "t".to_owned();
    PrefillRequest {
        ticket,
        target,
        tokens,
        priority,
        waited_ms,
        objective_ms: 1000,
        pause_ms: 300,
    }
}

/// Prefills the granted prompts one after the other, at 20 tokens per millisecond. Returns the
/// order of the tickets and the maximum number of tokens in prefill at a time.
fn run_prefills(turns: &mut Turns, mut granted: Vec<(u32, u64)>, sizes: &[u32]) -> (Vec<u64>, u32) {
    let mut order = Vec::new();
    let mut most = 0;
    let mut now = ms(1000);
    while !granted.is_empty() {
        let in_prefill: u32 = granted.iter().map(|(_, ticket)| sizes[*ticket as usize]).sum();
        most = most.max(in_prefill);
        let key = granted.remove(0);
        now += ms(u64::from(sizes[key.1 as usize]) / 20);
        order.push(key.1);
        granted.extend(turns.end(now, key, "t", true));
    }
    (order, most)
}

#[test]
fn a_burst_of_prompts_stays_within_the_pause() {
    let mut turns = Turns::default();
    let sizes = [1460; 12];
    let mut granted = Vec::new();
    for ticket in 0..12 {
        granted.extend(turns.request(ms(1000), ticket as u32, &request(ticket, 1460, 2, 0)));
    }
    let (order, most) = run_prefills(&mut turns, granted, &sizes);
    assert_eq!(order.len(), 12, "all are prefilled");
    assert!(most <= 300 * 20 / 2, "{most} tokens at once exceed half of the longest pause");
}

#[test]
fn on_time_and_urgent_requests_go_first() {
    let mut turns = Turns::default();
    let mut granted = turns.request(ms(1000), 9, &request(0, 4000, 2, 0));
    for (ticket, priority, waited) in [(1, 2, 0), (2, 0, 950), (3, 1, 0), (4, 0, 0), (5, 1, 300)] {
        granted.extend(turns.request(ms(1000), 1, &request(ticket, 4000, priority, waited)));
    }
    let (order, _) = run_prefills(&mut turns, granted, &[400; 6]);
    assert_eq!(order, [0, 4, 5, 3, 1, 2]);
}

#[test]
fn a_repeated_request_counts_once() {
    let mut turns = Turns::default();
    assert_eq!(turns.request(ms(0), 1, &request(1, 2000, 0, 0)), [(1, 1)]);
    assert_eq!(turns.request(ms(10), 1, &request(1, 2000, 0, 0)), [(1, 1)]);
    assert_eq!(turns.backlog("t"), 2000);
    assert_eq!(turns.request(ms(10), 2, &request(1, 2000, 0, 0)), []);
    assert_eq!(turns.backlog("t"), 4000);
}

/// The message that a prefill ended is lost, or its host is gone.
#[test]
fn a_permit_without_an_end_expires() {
    let mut turns = Turns::default();
    turns.request(ms(0), 1, &request(1, 4000, 0, 0));
    assert_eq!(turns.request(ms(0), 2, &request(2, 4000, 0, 0)), []);
    assert_eq!(turns.request(ms(700), 2, &request(2, 4000, 0, 0)), []);
    assert_eq!(turns.request(ms(1400), 2, &request(2, 4000, 0, 0)), []);
    assert_eq!(turns.tick(ms(1500)), [(2, 2)]);
}

#[test]
fn a_withdrawn_request_gets_no_permit() {
    let mut turns = Turns::default();
    turns.request(ms(0), 1, &request(1, 4000, 0, 0));
    turns.request(ms(0), 2, &request(2, 4000, 0, 0));
    turns.request(ms(0), 3, &request(3, 4000, 0, 0));
    assert_eq!(turns.end(ms(10), (2, 2), "t", false), []);
    assert_eq!(turns.end(ms(100), (1, 1), "t", true), [(3, 3)]);
}

/// During network delay and the first steps a target could prefill other prompts. If that time
/// counted as slow prefill, half of the target's speed would never be used.
#[test]
fn fixed_latency_does_not_lower_the_speed() {
    let mut turns = Turns::default();
    let mut now = ms(0);
    for ticket in 0..40 {
        let tokens = 500 + 100 * (ticket as u32 % 30);
        assert_eq!(turns.request(now, 1, &request(ticket, tokens, 0, 0)), [(1, ticket)]);
        now += ms(70) + ms(u64::from(tokens) / 20);
        turns.end(now, (1, ticket), "t", true);
    }
    // At 20 tokens per millisecond, 3,900 tokens fit in 65 % of 300 ms.
    assert_eq!(turns.request(now, 1, &request(100, 1900, 0, 0)), [(1, 100)]);
    assert_eq!(turns.request(now, 2, &request(101, 1900, 0, 0)), [(2, 101)]);
    assert_eq!(turns.request(now, 3, &request(102, 1900, 0, 0)), []);
}
