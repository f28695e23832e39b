//! Decisions of the owner's policy.

mod common;

use std::fmt::Write as _;

use admit::QueuedRequest;
use common::{engine, idle, request, secs, settings};
use insta::assert_snapshot;
use place::{Decision, TargetView, owner_policy};
use wire::{Pin, TargetKind};

fn describe(decisions: &[Decision]) -> String {
    let mut text = String::new();
    for decision in decisions {
        match decision {
            Decision::Start { request, target } => writeln!(text, "start {request} on {target}"),
            Decision::Refuse { request, kind } => writeln!(text, "refuse {request}: {kind}"),
        }
        .unwrap();
    }
    text
}

#[test]
fn one_load_serves_all_waiting_requests() {
    let mut policy = owner_policy(settings());
    policy.set_target(secs(0.0), engine(1, 3, vec![idle(7), idle(8)]));
    policy.set_target(secs(0.0), engine(2, 3, vec![idle(5), idle(6)]));
    for id in 0..4 {
        policy.enqueue(secs(0.0), request(id, 9)).unwrap();
    }
    assert!(policy.decide(secs(0.0)).is_empty());
    let wants = policy.load_requests(secs(0.0));
    assert_eq!((wants.len(), wants[0].adapter, wants[0].waiting), (1, 9, 4));
    let order = policy.order_load(secs(0.0), 9).unwrap();
    assert!(policy.order_load(secs(0.0), 9).is_none(), "the load is in progress");
    assert!(policy.load_requests(secs(0.1)).is_empty());
    policy.loaded(secs(0.3), order, true);
    policy.set_target(secs(0.3), engine(1, 3, vec![idle(8), idle(9)]));
    assert_snapshot!(describe(&policy.decide(secs(0.3))), @r"
    start 0 on 1
    start 1 on 1
    start 2 on 1
    ");
    assert_eq!(policy.queued(), 1);
    assert_snapshot!(describe(&policy.decide(secs(10.0))), @"refuse 3: the request's deadline passed while it waited");
}

#[test]
fn an_alone_request_gets_an_empty_target() {
    let mut policy = owner_policy(settings());
    let busy =
        |running, exclusive| TargetView { running, exclusive, ..engine(1, 3, vec![idle(7)]) };
    policy.set_target(secs(0.0), busy(1, false));
    policy.enqueue(secs(0.0), QueuedRequest { exclusive: true, ..request(1, 7) }).unwrap();
    assert!(policy.decide(secs(0.0)).is_empty());
    policy.enqueue(secs(0.1), request(2, 7)).unwrap();
    assert!(policy.decide(secs(0.1)).is_empty(), "the target is kept free");
    policy.set_target(secs(0.2), busy(0, false));
    assert_snapshot!(describe(&policy.decide(secs(0.2))), @"start 1 on 1");
    policy.set_target(secs(0.2), busy(1, true));
    assert!(policy.decide(secs(0.3)).is_empty(), "no request starts beside it");
    policy.set_target(secs(0.4), busy(0, false));
    assert_snapshot!(describe(&policy.decide(secs(0.4))), @"start 2 on 1");
}

#[test]
fn services_need_no_adapter() {
    let mut policy = owner_policy(settings());
    let service = TargetKind::Service { service: "booking".into() };
    policy.set_target(secs(0.0), TargetView { kind: service, ..engine(5, 1, vec![]) });
    for id in 0..2 {
        let pin = Pin::Service { service: "booking".into() };
        policy.enqueue(secs(0.0), QueuedRequest { pin, ..request(id, 0) }).unwrap();
    }
    assert_snapshot!(describe(&policy.decide(secs(0.0))), @"start 0 on 5");
    assert!(policy.load_requests(secs(0.0)).is_empty());
}

#[test]
fn a_target_kept_for_a_request_is_freed_when_its_adapter_goes() {
    let mut policy = owner_policy(settings());
    let busy = |running, resident| TargetView { running, ..engine(1, 3, resident) };
    policy.set_target(secs(0.0), busy(1, vec![idle(7), idle(8)]));
    policy.enqueue(secs(0.0), QueuedRequest { exclusive: true, ..request(1, 7) }).unwrap();
    policy.enqueue(secs(0.0), request(2, 8)).unwrap();
    assert!(policy.decide(secs(0.0)).is_empty(), "it is kept free");
    assert!(policy.load_requests(secs(0.0)).is_empty());
    policy.set_target(secs(0.1), busy(1, vec![idle(8)]));
    assert_snapshot!(describe(&policy.decide(secs(0.1))), @"start 2 on 1");
    assert!(policy.cancel(1));
}

/// Returns the adapter evicted for a cold adapter `silent` seconds after the last request for the
/// hotter of two adapters.
fn victim_after(silent: f64) -> Option<u32> {
    let mut policy = owner_policy(settings());
    policy.set_target(secs(0.0), engine(1, 3, vec![idle(7), idle(8)]));
    let mut id = 0;
    let mut send_request = |policy: &mut dyn place::Policy, now: f64, adapter| {
        id += 1;
        let waiting = QueuedRequest {
            queued_at: secs(now),
            deadline: secs(now + 9.0),
            ..request(id, adapter)
        };
        policy.enqueue(secs(now), waiting).unwrap();
        policy.decide(secs(now));
        policy.set_target(secs(now), engine(1, 3, vec![idle(7), idle(8)]));
    };
    for step in 0..300 {
        let now = 0.2 * f64::from(step);
        if now < 40.0 {
            send_request(&mut *policy, now, 7);
        }
        if step % 5 == 0 {
            send_request(&mut *policy, now, 8);
        }
        if now >= 40.0 + silent {
            send_request(&mut *policy, now, 9);
            return policy.order_load(secs(now), 9).unwrap().victim;
        }
    }
    None
}

#[test]
fn a_hot_adapter_loses_its_priority_within_seconds() {
    let victims = [0.0, 2.0, 6.0, 10.0].map(|silent| (silent, victim_after(silent)));
    assert_snapshot!(format!("{victims:?}"));
}

#[test]
fn requests_that_would_wait_too_long_are_refused_early() {
    let mut policy = owner_policy(settings());
    policy.set_target(secs(0.0), engine(1, 3, vec![idle(7), idle(8)]));
    let mut text = String::new();
    for id in 0..8u64 {
        let now = secs(0.5 * id as f64);
        let waiting = QueuedRequest {
            queued_at: now,
            deadline: now + secs(4.0),
            ..request(id, 10 + id as u32)
        };
        let answer = policy.enqueue(now, waiting);
        writeln!(text, "{now:?} enqueue {id}: {answer:?}").unwrap();
        let wants: Vec<u32> = policy.load_requests(now).iter().map(|want| want.adapter).collect();
        writeln!(text, "{now:?} wants {wants:?}").unwrap();
        text += &describe(&policy.decide(now));
    }
    assert_snapshot!(text);
}

#[test]
fn a_prefix_goes_where_it_was_cached_unless_that_is_much_fuller() {
    let mut policy = owner_policy(settings());
    let busy = |id, running| TargetView { running, ..engine(id, 8, vec![idle(7)]) };
    let mut text = String::new();
    for (id, running) in [(1, [1, 0]), (2, [0, 1]), (3, [0, 2]), (4, [6, 0])] {
        policy.set_target(secs(0.0), busy(1, running[0]));
        policy.set_target(secs(0.0), busy(2, running[1]));
        policy.enqueue(secs(0.0), QueuedRequest { prefix: 5, ..request(id, 7) }).unwrap();
        text += &describe(&policy.decide(secs(0.0)));
    }
    assert_snapshot!(text, @r"
    start 1 on 2
    start 2 on 2
    start 3 on 1
    start 4 on 2
    ");
}

#[test]
fn a_copy_goes_to_another_failure_domain() {
    let mut policy = owner_policy(settings());
    let full = TargetView { running: 3, ..engine(1, 3, vec![idle(7), idle(8)]) };
    policy.set_target(secs(0.0), full);
    let resident = vec![idle(1), idle(2)];
    policy.set_target(secs(0.0), engine(2, 3, resident.clone()));
    let south = TargetView { domain: "south".into(), ..engine(3, 3, resident) };
    policy.set_target(secs(0.0), south);
    for id in 0..6 {
        policy.enqueue(secs(0.0), request(id, 7)).unwrap();
    }
    assert!(policy.decide(secs(0.0)).is_empty());
    assert_eq!(policy.load_requests(secs(0.5))[0].adapter, 7);
    assert_eq!(policy.order_load(secs(0.5), 7).unwrap().target, 3);
}
