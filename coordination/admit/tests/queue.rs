//! Tests of the queue's order, fairness and bounds.

use std::{fmt::Write as _, time::Duration};

use admit::{Lane, Queue, QueueLimits, QueuedRequest};
use insta::assert_snapshot;
use quickcheck::{Arbitrary, Gen};
use wire::{ErrorKind, Pin, Urgency};

const LARGE_BOUNDS: QueueLimits = QueueLimits { max_total: 1_000, max_per_caller: 1_000 };

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn waiting(
    request: u64,
    caller: &str,
    urgency: Urgency,
    since: u64,
    deadline: u64,
) -> QueuedRequest {
    QueuedRequest {
        request,
        pin: Pin::Adapter { id: 1, name: "m@a@1".into() },
        caller: caller.into(),
        urgency,
        queued_at: secs(since),
        deadline: secs(deadline),
        prefix: 0,
        exclusive: false,
    }
}

fn drain(queue: &mut Queue) -> String {
    let mut text = String::new();
    let lane = queue.lane(&waiting(0, "", Urgency::Low, 0, 0).pin, false);
    while let Some((due, request)) = queue.first_due(lane) {
        let (_, waiting) = queue.remove(request).unwrap();
        let QueuedRequest { caller, urgency, deadline, .. } = waiting;
        writeln!(text, "{request:>3} due {due:>6.1?} {caller} {urgency:?}, deadline {deadline:?}")
            .unwrap();
    }
    text
}

#[test]
fn requests_are_ordered_by_urgency_and_deadline() {
    let mut queue = Queue::new(LARGE_BOUNDS);
    let rows = [
        (1, Urgency::Low, 0, 20),
        (2, Urgency::Normal, 0, 20),
        (3, Urgency::High, 0, 20),
        (4, Urgency::Normal, 2, 8),
        (5, Urgency::High, 4, 24),
        (6, Urgency::Low, 4, 600),
        (7, Urgency::Low, 5, 6),
    ];
    for (request, urgency, since, deadline) in rows {
        let caller = format!("c{request}");
        queue.push(secs(since), waiting(request, &caller, urgency, since, deadline)).unwrap();
    }
    assert_snapshot!(drain(&mut queue));
}

#[test]
fn a_flood_of_one_caller_does_not_delay_another() {
    let mut queue = Queue::new(LARGE_BOUNDS);
    for request in 0..40 {
        queue.push(secs(0), waiting(request, "flood", Urgency::Normal, 0, 10)).unwrap();
    }
    queue.push(secs(1), waiting(100, "other", Urgency::Normal, 1, 11)).unwrap();
    let order = drain(&mut queue);
    let position = order.lines().position(|line| line.contains("other")).unwrap();
    assert_eq!(position, 6, "{order}");
}

#[test]
fn bounds_and_deadlines_refuse() {
    let mut queue = Queue::new(QueueLimits { max_total: 3, max_per_caller: 2 });
    let mut push = |request, caller, deadline| {
        queue.push(secs(5), waiting(request, caller, Urgency::Normal, 0, deadline))
    };
    assert_eq!(push(1, "a", 5), Err(ErrorKind::Expired));
    assert_eq!(push(1, "a", 9), Ok(()));
    assert_eq!(push(2, "a", 8), Ok(()));
    assert_eq!(push(3, "a", 9), Err(ErrorKind::QueueFull));
    assert_eq!(push(3, "b", 9), Ok(()));
    assert_eq!(push(4, "c", 9), Err(ErrorKind::QueueFull));
    assert!(queue.expire(secs(7)).is_none());
    assert_eq!(queue.expire(secs(8)).unwrap().1.request, 2);
    queue.push(secs(8), waiting(5, "a", Urgency::Normal, 8, 9)).unwrap();
}

/// A step of a random sequence of queue operations.
#[derive(Debug, Clone)]
enum Step {
    Push { caller: u8, urgency: u8, window: u8, adapter: bool, exclusive: bool },
    Remove(u8),
    Expire,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        match u8::arbitrary(g) % 8 {
            0 => Step::Expire,
            1 | 2 => Step::Remove(u8::arbitrary(g)),
            _ => Step::Push {
                caller: u8::arbitrary(g) % 5,
                urgency: u8::arbitrary(g) % 3,
                window: u8::arbitrary(g) % 30 + 1,
                adapter: bool::arbitrary(g),
                exclusive: bool::arbitrary(g),
            },
        }
    }
}

#[test]
fn the_queue_agrees_with_a_plain_list() {
    for seed in 0..100 {
        let steps = Vec::<Step>::arbitrary(&mut Gen::from_size_and_seed(200, seed));
        let mut queue = Queue::new(QueueLimits { max_total: 50, max_per_caller: 20 });
        let mut list: Vec<QueuedRequest> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = Duration::from_millis(300 * number as u64);
            apply(&mut queue, &mut list, now, number as u64, step);
            check(&mut queue, &list);
        }
    }
}

fn apply(queue: &mut Queue, list: &mut Vec<QueuedRequest>, now: Duration, id: u64, step: Step) {
    match step {
        Step::Push { caller, urgency, window, adapter, exclusive } => {
            let pin = match adapter {
                true => Pin::Adapter { id: 1, name: "m@a@1".into() },
                false => Pin::Service { service: "booking".into() },
            };
            let urgency = [Urgency::High, Urgency::Normal, Urgency::Low][usize::from(urgency)];
            let deadline = now + secs(u64::from(window));
            let caller = format!("c{caller}");
            let own = list.iter().filter(|other| other.caller == caller).count();
            let waiting = waiting(id, &caller, urgency, 0, 0);
            let waiting = QueuedRequest { pin, queued_at: now, deadline, exclusive, ..waiting };
            let fits = list.len() < 50 && own < 20;
            assert_eq!(queue.push(now, waiting.clone()).is_ok(), fits);
            if fits {
                list.push(waiting);
            }
        }
        Step::Remove(pick) => {
            if list.is_empty() {
                return;
            }
            let waiting = list.remove(usize::from(pick) % list.len());
            assert_eq!(queue.remove(waiting.request).unwrap().1, waiting);
            assert!(queue.remove(waiting.request).is_none());
        }
        Step::Expire => {
            while let Some((_, waiting)) = queue.expire(now) {
                assert!(waiting.deadline <= now);
                list.retain(|other| other.request != waiting.request);
            }
            assert!(list.iter().all(|waiting| waiting.deadline > now));
        }
    }
}

fn check(queue: &mut Queue, list: &[QueuedRequest]) {
    assert_eq!(queue.len(), list.len());
    let lanes: Vec<Lane> = queue.lanes().collect();
    let depth: u32 = lanes.iter().map(|lane| queue.depth(*lane).total()).sum();
    assert_eq!(depth as usize, list.len());
    for lane in lanes {
        let mut own = list.to_vec();
        own.retain(|waiting| queue.lane(&waiting.pin, waiting.exclusive) == lane);
        let oldest = own.iter().map(|waiting| waiting.queued_at).min();
        assert_eq!(queue.oldest_since(lane), oldest);
        assert_eq!(queue.requests(lane).next(), queue.first_due(lane).map(|(_, request)| request));
    }
}
