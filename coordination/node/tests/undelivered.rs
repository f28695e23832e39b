//! Requests whose owner cannot be reached.

mod common;

use std::time::Duration;

use common::{booking, completion, ready, target::Target};
use node::{Input, Output};
use wire::{HostId, PeerMsg, RequestId};

const MODEL: &str = "base@a@v1";
const TIMEOUT: Duration = Duration::from_secs(30);
const SETTLE: Duration = Duration::from_secs(6);

/// Returns the receivers and ids of the requests that a host forwards.
fn forwards(outputs: &[Output]) -> Vec<(HostId, RequestId)> {
    let mut forwards = Vec::new();
    for output in outputs {
        let Output::Send { to, msg: PeerMsg::Forward(forward) } = output else { continue };
        forwards.push((*to, forward.request));
    }
    forwards
}

#[test]
fn a_request_that_reached_no_owner_goes_to_the_next() {
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.add_target(Target::engine("e2", 2, true));
    cluster.run(SETTLE);
    let owners = ["e1", "e2"].map(|name| cluster.owner(name).expect("the engine is owned"));
    let entry = (1..=4).find(|host| !owners.contains(host)).expect("there are several hosts");
    let caller = Box::new(completion(MODEL, "p"));
    let node = cluster.node(entry);
    let outputs = node.handle(cluster.now, Input::Request { tag: 999, caller });
    let [(to, request)] = forwards(&outputs)[..] else { panic!("{outputs:?}") };
    let outputs = node.handle(cluster.now, Input::Undelivered { to, request });
    let [(next, _)] = forwards(&outputs)[..] else { panic!("{outputs:?}") };
    assert!(owners.contains(&next) && next != to);
    let cancels = |output: &Output| matches!(output, Output::Send { msg: PeerMsg::Cancel(_), .. });
    assert!(!outputs.iter().any(cancels));
    // The last owner cannot be reached either: the request waits for another one.
    let [(to, request)] = forwards(&outputs)[..] else { panic!("{outputs:?}") };
    let outputs = node.handle(cluster.now, Input::Undelivered { to, request });
    assert!(!outputs.iter().any(|output| matches!(output, Output::Failed { .. })));
}

#[test]
fn an_undelivered_input_for_another_attempt_is_ignored() {
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    let owner = cluster.owner("s1").expect("the service is owned");
    let entry = (1..=4).find(|&host| host != owner).expect("there are several hosts");
    let key = cluster.request(entry, booking("k1", "deposit"));
    for request in [0, wire::request_id(entry, 1, 77)] {
        cluster.input(entry, Input::Undelivered { to: owner, request });
    }
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    assert_eq!(cluster.responses[&key].fault, None);
    assert_eq!(cluster.targets[0].runs("deposit"), 1);
}
