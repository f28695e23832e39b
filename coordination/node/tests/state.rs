//! Replicated configuration under lost disks, restarts and changes of voters.

mod common;

use std::time::Duration;

use common::{Cluster, NOTES, completion, ready, target::Target};
use wire::{ErrorKind, HostId};

const TIMEOUT: Duration = Duration::from_secs(60);

fn notes(version: u64) -> String {
    NOTES.replace("version = 1", &format!("version = {version}"))
}

/// Publishes a declaration file and returns the result.
fn publish(cluster: &mut Cluster, host: HostId, name: &str, text: &str) -> Result<(), ErrorKind> {
    let tag = cluster.publish(host, &[(name, text)]);
    assert!(cluster.run_until(TIMEOUT, |it| it.published.contains_key(&tag)));
    match &cluster.published[&tag] {
        Ok(_) => Ok(()),
        Err(fault) => Err(fault.kind),
    }
}

/// Returns the version of the service "notes" that a host has applied; zero for none.
fn version(cluster: &Cluster, host: HostId) -> u64 {
    let services = cluster.node(host).status(cluster.now).services;
    services.iter().find(|row| row.service == "notes").map_or(0, |row| row.version)
}

fn voters(cluster: &Cluster) -> Vec<HostId> {
    let leader = cluster.leader().expect("there is a leader");
    let rows = cluster.node(leader).status(cluster.now).hosts;
    rows.iter().filter(|row| row.role == "voter").map(|row| row.host).collect()
}

fn lose_disk(cluster: &mut Cluster, host: HostId) {
    cluster.kill(host);
    cluster.replace_disk(host);
    cluster.start(host);
}

#[test]
fn a_second_disk_is_lost_right_after_the_first_was_replaced() {
    let mut cluster = ready(5, 3);
    lose_disk(&mut cluster, 2);
    assert!(cluster.run_until(TIMEOUT, |it| version(it, 2) == 1 && voters(it) == [1, 2, 3]));
    publish(&mut cluster, 4, "notes.ini", &notes(2)).expect("a quorum is left");
    lose_disk(&mut cluster, 1);
    publish(&mut cluster, 5, "notes.ini", &notes(3)).expect("a quorum is left");
    assert!(cluster.run_until(TIMEOUT, |it| voters(it) == [1, 2, 3]));
    cluster.run(Duration::from_secs(5));
    for host in 1..=5 {
        assert_eq!(version(&cluster, host), 3, "host {host}");
    }
}

/// Returns the role of a host and whether it is live, as the leader's status shows them.
fn shown_state(cluster: &Cluster, host: HostId) -> Option<(String, bool)> {
    let running = (1..=5).filter(|&host| cluster.is_running(host));
    let mut statuses = running.map(|host| cluster.node(host).status(cluster.now));
    let rows = statuses.find(|status| status.leader == Some(status.host))?.hosts;
    rows.into_iter().find(|row| row.host == host).map(|row| (row.role, row.live))
}

/// Returns the successive roles of a host in the leader's status, until it has become a voter after
/// it was a learner.
fn roles(cluster: &mut Cluster, host: HostId) -> Vec<String> {
    let mut roles: Vec<String> = Vec::new();
    let done = cluster.run_until(TIMEOUT, |it| {
        let Some((role, _)) = shown_state(it, host) else { return false };
        if roles.last() != Some(&role) {
            roles.push(role);
        }
        roles.ends_with(&["learner".to_owned(), "voter".to_owned()])
    });
    assert!(done, "{roles:?}");
    roles
}

#[test]
fn a_host_with_a_new_disk_is_no_voter_before_its_new_identity_is() {
    let mut cluster = ready(5, 3);
    let leader = cluster.leader().expect("there is a leader");
    let follower = (1..=3).find(|&host| host != leader).expect("three voters");
    lose_disk(&mut cluster, follower);
    assert_eq!(roles(&mut cluster, follower), ["voter", "silent", "learner", "voter"]);
    let leader = cluster.leader().expect("there is a leader");
    lose_disk(&mut cluster, leader);
    assert_eq!(roles(&mut cluster, leader), ["silent", "learner", "voter"]);
}

#[test]
fn a_voter_that_is_down_is_shown_as_silent() {
    let mut cluster = ready(5, 3);
    let leader = cluster.leader().expect("there is a leader");
    let down = (1..=3).find(|&host| host != leader).expect("three voters");
    cluster.run(Duration::from_secs(5));
    let state = |role: &str, live| Some((role.to_owned(), live));
    assert_eq!(shown_state(&cluster, down), state("voter", true));
    assert_eq!(shown_state(&cluster, leader), state("voter", true));
    cluster.kill(down);
    cluster.run(Duration::from_secs(5));
    assert_eq!(shown_state(&cluster, down), state("silent", false));
    assert_eq!(voters(&cluster).len(), 2);
    cluster.start(down);
    assert!(cluster.run_until(TIMEOUT, |it| shown_state(it, down) == state("voter", true)));
    cluster.kill(4);
    cluster.run(Duration::from_secs(5));
    assert_eq!(shown_state(&cluster, 4), None);
}

#[test]
fn two_disks_lost_at_once_stop_writes_but_not_reads() {
    let mut cluster = ready(5, 3);
    publish(&mut cluster, 4, "notes.ini", &notes(2)).expect("all voters run");
    cluster.kill(1);
    cluster.kill(2);
    for host in [1, 2] {
        cluster.replace_disk(host);
        cluster.start(host);
    }
    cluster.run(Duration::from_secs(20));
    assert_eq!(publish(&mut cluster, 3, "notes.ini", &notes(3)), Err(ErrorKind::NoQuorum));
    for host in [3, 4, 5] {
        assert_eq!(version(&cluster, host), 2, "host {host}");
        assert!(!cluster.node(host).status(cluster.now).lease, "host {host}");
    }
    for host in [1, 2] {
        assert!(!cluster.node(host).status(cluster.now).lease, "host {host}");
    }
}

#[test]
fn all_hosts_restart_after_hundreds_of_changes() {
    let mut cluster = ready(5, 3);
    for number in 2..=300 {
        publish(&mut cluster, 1 + number as HostId % 5, "notes.ini", &notes(number))
            .expect("all hosts run");
    }
    let trail = cluster.node(4).audit(1, 1000);
    assert_eq!(trail.entries.len(), 300);
    for host in 1..=5 {
        cluster.kill(host);
    }
    for host in 1..=5 {
        cluster.start(host);
    }
    let live = |it: &Cluster| (1..=5).all(|host| it.node(host).status(it.now).lease);
    assert!(cluster.run_until(TIMEOUT, live));
    for host in 1..=5 {
        assert_eq!(version(&cluster, host), 300, "host {host}");
        assert_eq!(cluster.node(host).audit(1, 1000), trail, "host {host}");
    }
}

#[test]
fn voters_follow_the_published_file() {
    let mut cluster = ready(5, 3);
    cluster.kill(4);
    cluster.replace_disk(4);
    cluster.start(4);
    let text =
        "[service]\nname = system\nversion = 1\nkind = system\n[cluster]\nvoters = 2, 3, 4\n";
    publish(&mut cluster, 5, "system.ini", text).expect("a quorum is left");
    let followed = cluster.run_until(TIMEOUT, |it| {
        let leader = it.leader().expect("there is a leader");
        assert_eq!(it.node(leader).status(it.now).alarms, [""; 0]);
        voters(it) == [2, 3, 4]
    });
    assert!(followed);
    cluster.kill(1);
    cluster.kill(2);
    publish(&mut cluster, 5, "notes.ini", &notes(2)).expect("two of the new voters are left");
}

#[test]
fn declared_voters_that_are_missing_raise_an_alarm() {
    let mut cluster = ready(5, 3);
    let alarms = |it: &Cluster| {
        let leader = it.leader().expect("there is a leader");
        it.node(leader).status(it.now).alarms
    };
    let system = |version: u64, voters: &str| {
        format!(
            "[service]\nname = system\nversion = {version}\nkind = system\n\
             [cluster]\nvoters = {voters}\n"
        )
    };
    publish(&mut cluster, 5, "system.ini", &system(1, "1, 2, 3, 4, 7")).expect("accepted");
    let four = "host 4 is named as a voter and shows no data folder";
    let seven = "host 7 is named as a voter and is not in [hosts]";
    cluster.run(Duration::from_secs(5));
    assert_eq!(alarms(&cluster), [four, seven]);
    cluster.kill(4);
    cluster.replace_disk(4);
    cluster.start(4);
    assert!(cluster.run_until(TIMEOUT, |it| voters(it) == [1, 2, 3, 4]));
    cluster.run(Duration::from_secs(20));
    assert_eq!(alarms(&cluster), [seven]);
    let leader = cluster.leader().expect("there is a leader");
    let other = (1..=3).find(|&host| host != leader).expect("three voters");
    assert!(
        cluster.node(other).status(cluster.now).alarms.is_empty(),
        "only the leader shows missing voters"
    );
    publish(&mut cluster, 5, "system.ini", &system(2, "1, 2, 3, 4")).expect("accepted");
    cluster.run(Duration::from_secs(1));
    assert!(alarms(&cluster).is_empty());
}

#[test]
fn a_host_cut_off_for_ten_minutes_comes_back_without_harm() {
    let mut cluster = ready(5, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(Duration::from_secs(6));
    let leader = cluster.leader().expect("there is a leader");
    let term = cluster.node(4).status(cluster.now).term;
    let isolated = (1..=3).find(|&host| host != leader).expect("three voters");
    cluster.isolate(isolated);
    cluster.run(Duration::from_secs(600));
    publish(&mut cluster, 4, "notes.ini", &notes(2)).expect("a quorum is left");
    assert!(!cluster.node(isolated).status(cluster.now).lease);
    cluster.heal();
    assert!(cluster.run_until(TIMEOUT, |it| it.node(isolated).status(it.now).lease));
    assert_eq!(version(&cluster, isolated), 2);
    assert_eq!(cluster.node(4).status(cluster.now).term, term);
}

#[test]
fn of_two_concurrent_publishes_of_a_version_one_is_accepted() {
    let mut cluster = ready(5, 3);
    let one = notes(2);
    let other = one.replace("a = v1", "a = v9");
    let first = cluster.publish(1, &[("notes.ini", &one)]);
    let second = cluster.publish(5, &[("notes.ini", &other)]);
    let both =
        |it: &Cluster| it.published.contains_key(&first) && it.published.contains_key(&second);
    assert!(cluster.run_until(TIMEOUT, both));
    let won: Vec<bool> = [first, second].iter().map(|tag| cluster.published[tag].is_ok()).collect();
    assert_eq!(won.iter().filter(|won| **won).count(), 1);
    let (winner, text) = if won[0] { (first, &one) } else { (second, &other) };
    let loser = if won[0] { second } else { first };
    let fault = cluster.published[&loser].clone().expect_err("only one wins");
    assert_eq!(fault.kind, ErrorKind::VersionTaken);
    let repeated = cluster.publish(3, &[("notes.ini", text)]);
    assert!(cluster.run_until(TIMEOUT, |it| it.published.contains_key(&repeated)));
    let receipt = |tag| cluster.published[&tag].clone().expect("accepted").receipt;
    assert_eq!(receipt(repeated), receipt(winner));
}

#[test]
fn a_target_that_stays_down_is_removed() {
    let mut cluster = ready(5, 3);
    cluster.add_target(Target::engine("e1", 1, true));
    cluster.run(Duration::from_secs(6));
    let key = cluster.request(5, completion("base@a@v1", "hello"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    cluster.targets[0].crash();
    let known = |it: &Cluster| !it.node(5).status(it.now).targets.is_empty();
    cluster.run(Duration::from_secs(500));
    assert!(known(&cluster));
    assert!(cluster.run_until(Duration::from_secs(200), |it| !known(it)));
    cluster.targets[0].restart();
    cluster.run(Duration::from_secs(10));
    let key = cluster.request(5, completion("base@a@v1", "again"));
    assert!(cluster.run_until(TIMEOUT, |it| it.responses[&key].ended()));
    assert!(cluster.responses[&key].complete, "{:?}", cluster.responses[&key].fault);
}

#[test]
fn a_voter_stays_until_its_successor_votes() {
    let mut cluster = ready(5, 3);
    let text =
        "[service]\nname = system\nversion = 1\nkind = system\n[cluster]\nvoters = 1, 2, 5\n";
    publish(&mut cluster, 4, "system.ini", text).expect("a quorum is left");
    cluster.run(Duration::from_secs(30));
    assert_eq!(voters(&cluster), [1, 2, 3]);
    cluster.kill(5);
    cluster.replace_disk(5);
    cluster.start(5);
    assert!(cluster.run_until(TIMEOUT, |it| voters(it) == [1, 2, 5]));
}
