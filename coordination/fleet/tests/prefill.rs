//! Prefill permits: prompts that many hosts send to one target at the same moment are prefilled one
//! after the other, so that the target's streams do not pause for longer than allowed.

use std::time::Duration;

use fleet::PrefillScheduler;
use wire::PrefillRequest;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn request(permit_id: u64, tokens: u32, priority: u8, waited_ms: u32) -> PrefillRequest {
    let target = "t".to_owned();
    PrefillRequest {
        permit_id,
        target,
        tokens,
        priority,
        resumes: false,
        waited_ms,
        objective_ms: 1000,
        pause_ms: 300,
    }
}

/// Prefills the granted prompts one after the other, at 20 tokens per millisecond. Returns the
/// order of the permits and the maximum number of tokens in prefill at a time.
fn run_prefills(
    scheduler: &mut PrefillScheduler,
    mut granted: Vec<(u32, u64)>,
    sizes: &[u32],
) -> (Vec<u64>, u32) {
    let mut order = Vec::new();
    let mut most = 0;
    let mut now = ms(1000);
    while !granted.is_empty() {
        let in_prefill: u32 = granted.iter().map(|(_, permit_id)| sizes[*permit_id as usize]).sum();
        most = most.max(in_prefill);
        let key = granted.remove(0);
        now += ms(u64::from(sizes[key.1 as usize]) / 20);
        order.push(key.1);
        granted.extend(scheduler.release(now, key, "t", true));
    }
    (order, most)
}

#[test]
fn a_burst_of_prompts_stays_within_the_pause() {
    let mut scheduler = PrefillScheduler::default();
    let sizes = [1460; 12];
    let mut granted = Vec::new();
    for permit_id in 0..12 {
        granted.extend(scheduler.request(
            ms(1000),
            permit_id as u32,
            &request(permit_id, 1460, 2, 0),
        ));
    }
    let (order, most) = run_prefills(&mut scheduler, granted, &sizes);
    assert_eq!(order.len(), 12, "all are prefilled");
    assert!(most <= 300 * 20 / 2, "{most} tokens at once exceed half of the longest pause");
}

#[test]
fn on_time_and_urgent_requests_go_first() {
    let mut scheduler = PrefillScheduler::default();
    let mut granted = scheduler.request(ms(1000), 9, &request(0, 4000, 2, 0));
    for (permit_id, priority, waited) in [(1, 2, 0), (2, 0, 950), (3, 1, 0), (4, 0, 0), (5, 1, 300)]
    {
        granted.extend(scheduler.request(ms(1000), 1, &request(permit_id, 4000, priority, waited)));
    }
    let (order, _) = run_prefills(&mut scheduler, granted, &[400; 6]);
    assert_eq!(order, [0, 4, 5, 3, 1, 2]);
}

#[test]
fn a_repeated_request_counts_once() {
    let mut scheduler = PrefillScheduler::default();
    assert_eq!(scheduler.request(ms(0), 1, &request(1, 2000, 0, 0)), [(1, 1)]);
    assert_eq!(scheduler.request(ms(10), 1, &request(1, 2000, 0, 0)), [(1, 1)]);
    assert_eq!(scheduler.backlog("t"), 2000);
    assert_eq!(scheduler.request(ms(10), 2, &request(1, 2000, 0, 0)), []);
    assert_eq!(scheduler.backlog("t"), 4000);
}

/// The message that a prefill ended is lost, or its host is gone.
#[test]
fn a_permit_without_an_end_expires() {
    let mut scheduler = PrefillScheduler::default();
    scheduler.request(ms(0), 1, &request(1, 4000, 0, 0));
    assert_eq!(scheduler.request(ms(0), 2, &request(2, 4000, 0, 0)), []);
    assert_eq!(scheduler.request(ms(700), 2, &request(2, 4000, 0, 0)), []);
    assert_eq!(scheduler.request(ms(1400), 2, &request(2, 4000, 0, 0)), []);
    assert_eq!(scheduler.tick(ms(1500)), [(2, 2)]);
}

#[test]
fn a_withdrawn_request_gets_no_permit() {
    let mut scheduler = PrefillScheduler::default();
    scheduler.request(ms(0), 1, &request(1, 4000, 0, 0));
    scheduler.request(ms(0), 2, &request(2, 4000, 0, 0));
    scheduler.request(ms(0), 3, &request(3, 4000, 0, 0));
    assert_eq!(scheduler.release(ms(10), (2, 2), "t", false), []);
    assert_eq!(scheduler.release(ms(100), (1, 1), "t", true), [(3, 3)]);
}

/// During network delay and the first steps a target could prefill other prompts. If that time
/// counted as slow prefill, half of the target's speed would never be used.
#[test]
fn fixed_latency_does_not_lower_the_speed() {
    let mut scheduler = PrefillScheduler::default();
    let mut now = ms(0);
    for permit_id in 0..40 {
        let tokens = 500 + 100 * (permit_id as u32 % 30);
        assert_eq!(scheduler.request(now, 1, &request(permit_id, tokens, 0, 0)), [(1, permit_id)]);
        now += ms(70) + ms(u64::from(tokens) / 20);
        scheduler.release(now, (1, permit_id), "t", true);
    }
    // At 20 tokens per millisecond, 3,900 tokens fit in 65 % of 300 ms.
    assert_eq!(scheduler.request(now, 1, &request(100, 1900, 0, 0)), [(1, 100)]);
    assert_eq!(scheduler.request(now, 2, &request(101, 1900, 0, 0)), [(2, 101)]);
    assert_eq!(scheduler.request(now, 3, &request(102, 1900, 0, 0)), []);
}

/// Guards against streams that go on and wait behind all new ones until their callers leave: what
/// they have received would be in vain.
#[test]
fn streams_that_go_on_come_before_new_ones_of_their_priority() {
    let mut scheduler = PrefillScheduler::default();
    let mut granted = scheduler.request(ms(1000), 9, &request(0, 4000, 1, 0));
    for (permit_id, priority, waited) in [(1, 1, 0), (2, 0, 0), (3, 1, 100)] {
        granted.extend(scheduler.request(ms(1000), 1, &request(permit_id, 4000, priority, waited)));
    }
    let resumed = PrefillRequest { resumes: true, ..request(4, 4000, 1, 2500) };
    granted.extend(scheduler.request(ms(1000), 1, &resumed));
    let (order, _) = run_prefills(&mut scheduler, granted, &[400; 5]);
    assert_eq!(order, [0, 2, 4, 3, 1]);
}
