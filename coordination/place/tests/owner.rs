//! The owner's decisions.

mod common;

use std::fmt::Write as _;

use admit::Waiting;
use common::{engine, idle, request, secs, settings};
use insta::assert_snapshot;
use place::{Decision, TargetView, owner_policy};
use wire::{Pin, TargetKind};

fn shown(decisions: &[Decision]) -> String {
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
fn one_load_serves_all_who_wait() {
    let mut policy = owner_policy(settings());
    policy.set_target(secs(0.0), engine(1, 3, vec![idle(7), idle(8)]));
    policy.set_target(secs(0.0), engine(2, 3, vec![idle(5), idle(6)]));
    for id in 0..4 {
        policy.enqueue(secs(0.0), request(id, 9)).unwrap();
    }
    assert!(policy.decide(secs(0.0)).is_empty());
    let wants = policy.wants(secs(0.0));
    assert_eq!((wants.len(), wants[0].adapter, wants[0].waiting), (1, 9, 4));
    let order = policy.place(secs(0.0), 9).unwrap();
    assert!(policy.place(secs(0.0), 9).is_none(), "the load is under way");
    assert!(policy.wants(secs(0.1)).is_empty());
    policy.loaded(secs(0.3), order, true);
    policy.set_target(secs(0.3), engine(1, 3, vec![idle(8), idle(9)]));
    assert_snapshot!(shown(&policy.decide(secs(0.3))), @r"
    start 0 on 1
    start 1 on 1
    start 2 on 1
    ");
    assert_eq!(policy.queued(), 1);
    assert_snapshot!(shown(&policy.decide(secs(10.0))), @"refuse 3: the request's deadline passed while it waited");
}

#[test]
fn an_alone_request_gets_an_empty_target() {
    let mut policy = owner_policy(settings());
    let busy = |running, alone| TargetView { running, alone, ..engine(1, 3, vec![idle(7)]) };
    policy.set_target(secs(0.0), busy(1, false));
    policy.enqueue(secs(0.0), Waiting { alone: true, ..request(1, 7) }).unwrap();
    assert!(policy.decide(secs(0.0)).is_empty());
    policy.enqueue(secs(0.1), request(2, 7)).unwrap();
    assert!(policy.decide(secs(0.1)).is_empty(), "the target is kept free");
    policy.set_target(secs(0.2), busy(0, false));
    assert_snapshot!(shown(&policy.decide(secs(0.2))), @"start 1 on 1");
    policy.set_target(secs(0.2), busy(1, true));
    assert!(policy.decide(secs(0.3)).is_empty(), "nothing joins it");
    policy.set_target(secs(0.4), busy(0, false));
    assert_snapshot!(shown(&policy.decide(secs(0.4))), @"start 2 on 1");
}

#[test]
fn services_need_no_adapter() {
    let mut policy = owner_policy(settings());
    let service = TargetKind::Service { service: "booking".into() };
    policy.set_target(secs(0.0), TargetView { kind: service, ..engine(5, 1, vec![]) });
    for id in 0..2 {
        let pin = Pin::Service { service: "booking".into() };
        policy.enqueue(secs(0.0), Waiting { pin, ..request(id, 0) }).unwrap();
    }
    assert_snapshot!(shown(&policy.decide(secs(0.0))), @"start 0 on 5");
    assert!(policy.wants(secs(0.0)).is_empty());
}

#[test]
fn a_target_kept_for_a_request_is_freed_when_its_adapter_goes() {
    let mut policy = owner_policy(settings());
    let busy = |running, resident| TargetView { running, ..engine(1, 3, resident) };
    policy.set_target(secs(0.0), busy(1, vec![idle(7), idle(8)]));
    policy.enqueue(secs(0.0), Waiting { alone: true, ..request(1, 7) }).unwrap();
    policy.enqueue(secs(0.0), request(2, 8)).unwrap();
    assert!(policy.decide(secs(0.0)).is_empty(), "it is kept free");
    assert!(policy.wants(secs(0.0)).is_empty());
    policy.set_target(secs(0.1), busy(1, vec![idle(8)]));
    assert_snapshot!(shown(&policy.decide(secs(0.1))), @"start 2 on 1");
    assert!(policy.cancel(1));
}
