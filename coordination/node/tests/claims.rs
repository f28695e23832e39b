//! Claims of idempotency keys whose claiming host is lost, and claims under a wrong clock.

mod common;

use std::time::Duration;

use common::{Cluster, booking, ready, target::Target};
use node::{Input, Output};
use wire::{Command, ErrorKind, HostId, PeerMsg};

const TIMEOUT: Duration = Duration::from_secs(30);
const SETTLE: Duration = Duration::from_secs(6);

/// Passes a non-idempotent call to a host and returns the claim that it sends, without delivering
/// the claim.
fn claim_of(cluster: &Cluster, host: HostId) -> PeerMsg {
    let caller = Box::new(booking("k1", "deposit"));
    let outputs = cluster.node(host).handle(cluster.now, Input::Request { tag: 999, caller });
    let mut sent = outputs.into_iter().filter_map(|output| match output {
        Output::Send { msg, .. } => Some(msg),
        _ => None,
    });
    let claim = sent.find(|msg| match msg {
        PeerMsg::Propose(proposal) => matches!(proposal.command, Command::Claim(_)),
        _ => false,
    });
    claim.expect("the call is claimed")
}

#[test]
fn a_claim_committed_after_its_host_was_lost_does_not_stay_open() {
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    let late = claim_of(&cluster, 4);
    cluster.kill(4);
    cluster.run(Duration::from_secs(15));
    let leader = cluster.leader().expect("there is a leader");
    cluster.input(leader, Input::Peer { from: 4, msg: late });
    cluster.run(Duration::from_secs(2));
    let resend = cluster.request(1, booking("k1", "deposit"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&resend].ended()));
    let kind = cluster.responses[&resend].fault.as_ref().map(|fault| fault.kind);
    assert_eq!(kind, Some(ErrorKind::InDoubt));
    assert_eq!(cluster.targets[0].runs("deposit"), 0);
}

#[test]
fn a_clock_that_runs_ahead_expires_no_keys() {
    const YEAR_MS: u64 = 365 * 24 * 60 * 60 * 1000;
    let mut cluster = ready(4, 3);
    cluster.add_target(Target::service("s1", 1));
    cluster.run(SETTLE);
    let leader = cluster.leader().expect("there is a leader");
    let host = if leader == 4 { 3 } else { 4 };
    let wall_ms = cluster.wall() + YEAR_MS;
    cluster.input(host, Input::Tick { wall_ms });
    for (entry, name) in [(host, "k1"), (leader, "k2"), (host, "k3")] {
        let key = cluster.request(entry, booking(name, "deposit"));
        assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
        assert_eq!(cluster.responses[&key].fault, None, "{name}");
    }
}
