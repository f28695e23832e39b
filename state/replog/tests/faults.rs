//! Single faults and the mechanisms that handle them.

mod harness;

use std::time::Duration;

use harness::{Cluster, HEARTBEAT, check::last};
use replog::{Alarm, Input};
use wire::{HostId, LogBody, LogMsg, Role};

const SECOND: Duration = Duration::from_secs(1);

fn propose(cluster: &mut Cluster, count: usize) {
    for i in 0..count {
        cluster.propose(&format!("entry {i}"));
        cluster.run(Duration::from_millis(5));
    }
}

fn others(cluster: &Cluster, host: HostId) -> Vec<HostId> {
    let voters = cluster.hosts.iter().filter(|(_, h)| h.disk.is_some());
    voters.map(|(&h, _)| h).filter(|&h| h != host).collect()
}

fn replace_disk(cluster: &mut Cluster, host: HostId) {
    cluster.crash(host);
    cluster.new_disk(host);
    cluster.start(host);
}

/// Returns the hosts that are voters with their present disk.
fn voters(cluster: &Cluster) -> Vec<HostId> {
    let leader = cluster.leader().unwrap();
    let members = cluster.status(leader).members.members;
    let current = members.iter().filter(|m| {
        let disk = cluster.hosts[&m.host].disk.as_ref().unwrap();
        m.role == Role::Voter && disk.synced.disk == m.disk
    });
    current.map(|m| m.host).collect()
}

#[test]
fn a_second_disk_may_be_lost_after_the_first_is_repaired() {
    let mut cluster = Cluster::new(1, 3, 1);
    for round in 0..6 {
        let leader = cluster.await_leader();
        propose(&mut cluster, 30);
        let lost = if round % 2 == 0 { leader } else { others(&cluster, leader)[0] };
        replace_disk(&mut cluster, lost);
        for _ in 0..1000 {
            cluster.run(Duration::from_millis(10));
            if cluster.leader().is_some() && voters(&cluster) == [1, 2, 3] {
                break;
            }
        }
        assert_eq!(voters(&cluster), [1, 2, 3], "not repaired in round {round}");
    }
    cluster.await_leader();
    cluster.propose("after");
    cluster.run(2 * SECOND);
    assert_eq!(cluster.data().len(), 181);
    cluster.check_converged();
}

#[test]
fn a_host_isolated_for_ten_minutes_returns_without_an_election() {
    let mut cluster = Cluster::new(2, 3, 1);
    let leader = cluster.await_leader();
    let term = cluster.status(leader).term;
    for isolated in [others(&cluster, leader)[0], 4] {
        cluster.isolated.insert(isolated);
        for _ in 0..600 {
            cluster.propose("while isolated");
            cluster.run(SECOND);
        }
        cluster.isolated.clear();
        cluster.run(5 * SECOND);
        cluster.check_converged();
        assert_eq!((cluster.leader(), cluster.status(leader).term), (Some(leader), term));
    }
}

#[test]
fn an_isolated_leader_steps_down_and_follows_on_return() {
    let mut cluster = Cluster::new(3, 3, 0);
    let old = cluster.await_leader();
    let term = cluster.status(old).term;
    cluster.isolated.insert(old);
    cluster.input(old, Input::Propose("lost".into()));
    cluster.run(600 * SECOND);
    let status = cluster.status(old);
    assert_eq!((status.leading, status.quorum_at, status.term), (false, None, term));
    let new = cluster.await_leader();
    let new_term = cluster.status(new).term;
    cluster.isolated.clear();
    cluster.propose("kept");
    cluster.run(5 * SECOND);
    assert_eq!((cluster.leader(), cluster.status(new).term), (Some(new), new_term));
    assert_eq!(cluster.data(), ["kept"]);
    cluster.check_converged();
}

#[test]
fn two_thousand_entries_survive_a_restart_of_all_hosts() {
    for snapshot_after in [100, 10_000] {
        let mut cluster = Cluster::new(4, 3, 1);
        cluster.snapshot_after = snapshot_after;
        for host in 1..=4 {
            cluster.crash(host);
            cluster.start(host);
        }
        cluster.await_leader();
        for i in 0..2000 {
            cluster.propose(&format!("entry {i}"));
            cluster.run(Duration::from_micros(500));
        }
        cluster.run(SECOND);
        for host in 1..=4 {
            cluster.crash(host);
        }
        for host in 1..=4 {
            cluster.start(host);
        }
        cluster.await_leader();
        cluster.run(3 * SECOND);
        assert_eq!(cluster.data().len(), 2000);
        cluster.check_converged();
    }
}

#[test]
fn an_isolated_host_with_unanswered_entries_catches_up() {
    let mut cluster = Cluster::new(3, 3, 1);
    cluster.sync_time = Duration::from_millis(50);
    let leader = cluster.await_leader();
    propose(&mut cluster, 5);
    cluster.isolated.insert(others(&cluster, leader)[0]);
    propose(&mut cluster, 60);
    cluster.run(SECOND);
    cluster.isolated.clear();
    cluster.run(5 * SECOND);
    cluster.check_converged();
}

#[test]
fn a_full_disk_stops_a_voter_and_loses_nothing() {
    for of_leader in [true, false] {
        let mut cluster = Cluster::new(5, 3, 0);
        let leader = cluster.await_leader();
        propose(&mut cluster, 10);
        let host = if of_leader { leader } else { others(&cluster, leader)[0] };
        cluster.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap().full = true;
        cluster.propose("seen by the full disk");
        cluster.run(5 * SECOND);
        let alarm = Alarm::DiskFailed("no space left".to_owned());
        assert!(cluster.hosts[&host].alarms.contains(&alarm));
        let before = cluster.sent_by.get(&host).copied().unwrap_or(0);
        assert_ne!(cluster.await_leader(), host);
        propose(&mut cluster, 10);
        cluster.run(5 * SECOND);
        let after = cluster.sent_by.get(&host).copied().unwrap_or(0);
        assert_eq!(before, after, "a voter whose disk failed sends no votes or acknowledgements");
        assert!(cluster.status(host).applied >= 11, "a voter whose disk failed stays readable");
        cluster.crash(host);
        cluster.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap().full = false;
        cluster.start(host);
        cluster.await_leader();
        cluster.run(5 * SECOND);
        assert!(cluster.data().len() >= 20);
        cluster.check_converged();
    }
}

#[test]
fn losing_two_of_three_disks_at_once_stops_writes_but_not_reads() {
    let mut cluster = Cluster::new(6, 3, 1);
    let leader = cluster.await_leader();
    propose(&mut cluster, 20);
    cluster.run(SECOND);
    for host in others(&cluster, leader) {
        replace_disk(&mut cluster, host);
    }
    cluster.input(leader, Input::Propose("never".into()));
    cluster.run(60 * SECOND);
    assert_eq!(cluster.leader(), None);
    for host in [leader, 4] {
        assert_eq!(cluster.status(host).applied, cluster.committed.len() as u64);
    }
    assert_eq!(cluster.data().len(), 20);
}

#[test]
fn losing_all_disks_founds_another_group_and_observers_raise_an_alarm() {
    let mut cluster = Cluster::new(7, 3, 1);
    cluster.await_leader();
    let group = cluster.status(4).group;
    for host in 1..=3 {
        replace_disk(&mut cluster, host);
    }
    cluster.committed.clear();
    cluster.run(10 * SECOND);
    let founded = cluster.status(1).group;
    assert_ne!(founded, group);
    assert!(cluster.hosts[&4].alarms.contains(&Alarm::OtherGroup(founded)));
    assert_eq!(cluster.status(4).group, group);
}

#[test]
fn disks_restored_to_an_older_state_are_refused_by_replicas_that_saw_more() {
    let mut cluster = Cluster::new(8, 3, 1);
    cluster.snapshot_after = 1000;
    cluster.await_leader();
    propose(&mut cluster, 5);
    cluster.run(SECOND);
    let on_disk = |h| cluster.hosts[&h].disk.as_ref().unwrap().synced.clone();
    let old: Vec<_> = (1..=3).map(on_disk).collect();
    propose(&mut cluster, 5);
    cluster.run(SECOND);
    let seen = cluster.status(4).commit;
    for host in 1..=3 {
        cluster.crash(host);
        cluster.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap().synced =
            old[host as usize - 1].clone();
        cluster.start(host);
    }
    let kept = cluster.committed.split_off(&(last(&old[0]) + 1));
    cluster.run(5 * SECOND);
    propose(&mut cluster, 20);
    cluster.run(SECOND);
    let went_back = |a: &Alarm| matches!(a, Alarm::WentBack { seen: s, .. } if *s == seen);
    assert!(cluster.hosts[&4].alarms.iter().any(went_back));
    assert_eq!(cluster.status(4).commit, seen);
    assert_eq!(cluster.hosts[&4].digest, kept[&seen].1);
}

#[test]
fn a_group_is_founded_only_when_all_founders_are_fresh() {
    let mut cluster = Cluster::new(9, 3, 1);
    cluster.crash(3);
    cluster.run(60 * SECOND);
    assert_eq!((cluster.status(1).group, cluster.leader()), (0, None));
    cluster.start(3);
    cluster.await_leader();
    let group = cluster.status(1).group;
    for host in [1, 2] {
        replace_disk(&mut cluster, host);
    }
    cluster.run(60 * SECOND);
    assert_eq!(cluster.leader(), None, "two fresh disks are no quorum");
    assert_eq!(cluster.status(3).group, group);
    assert!(cluster.status(1).group == group || cluster.status(1).group == 0);
}

#[test]
fn a_restarted_voter_grants_no_vote_within_an_election_timeout() {
    let mut cluster = Cluster::new(10, 3, 0);
    let leader = cluster.await_leader();
    let other = others(&cluster, leader)[0];
    cluster.run(SECOND);
    cluster.crash(other);
    cluster.start(other);
    let status = cluster.status(leader);
    let (term, group) = (status.term + 1, status.group);
    let from = others(&cluster, leader)[1];
    let disk = cluster.hosts[&from].disk.as_ref().map(|d| d.synced.disk);
    let body = LogBody::Vote { last: 1000, last_term: term };
    let msg = LogMsg { group, disk, term, body };
    cluster.input(other, Input::Msg { from, msg });
    cluster.run(HEARTBEAT);
    assert_eq!(cluster.status(other).term, term - 1);
    assert_eq!(cluster.hosts[&other].disk.as_ref().unwrap().synced.hard.term, term - 1);
}

#[test]
fn voters_are_moved_one_at_a_time() {
    let mut cluster = Cluster::new(11, 3, 3);
    for host in [4, 5, 6] {
        replace_disk(&mut cluster, host);
    }
    cluster.await_leader();
    propose(&mut cluster, 70);
    for desired in [vec![1, 2, 3, 4, 5], vec![4, 5, 6], vec![5], vec![1, 2, 3]] {
        for _ in 0..20 {
            let leader = cluster.await_leader();
            cluster.input(leader, Input::SetVoters(desired.clone()));
            cluster.run(SECOND);
        }
        cluster.await_leader();
        assert_eq!(voters(&cluster), desired);
        propose(&mut cluster, 20);
    }
    cluster.run(2 * SECOND);
    assert_eq!(cluster.data().len(), 150);
    cluster.check_converged();
    cluster.check_membership_steps();
}

#[test]
fn proposals_during_a_write_share_the_next_write() {
    let mut cluster = Cluster::new(12, 3, 0);
    cluster.sync_time = Duration::from_millis(20);
    let leader = cluster.await_leader();
    cluster.run(SECOND);
    let before = cluster.writes;
    for _ in 0..100 {
        cluster.propose("together");
    }
    cluster.run(SECOND);
    assert_eq!(cluster.data().len(), 100);
    // Three hosts with one write per entry would make 300 writes.
    assert!(cluster.writes - before <= 30, "{} writes", cluster.writes - before);
    assert_eq!(cluster.leader(), Some(leader));
}

#[test]
fn a_proposal_of_four_megabytes_is_committed() {
    let mut cluster = Cluster::new(13, 3, 1);
    cluster.await_leader();
    let text = "x".repeat(4 * 1024 * 1024);
    cluster.propose(&text);
    cluster.propose("small");
    cluster.run(SECOND);
    assert_eq!(cluster.data().len(), 2);
    cluster.check_converged();
}

#[test]
fn a_voter_removed_while_isolated_catches_up_on_return() {
    let mut cluster = Cluster::new(14, 3, 0);
    let leader = cluster.await_leader();
    let removed = others(&cluster, leader)[0];
    cluster.isolated.insert(removed);
    let desired: Vec<HostId> = (1..=3).filter(|&h| h != removed).collect();
    for _ in 0..20 {
        cluster.input(leader, Input::SetVoters(desired.clone()));
        propose(&mut cluster, 5);
        cluster.run(SECOND);
    }
    assert_eq!(voters(&cluster), desired);
    cluster.isolated.clear();
    cluster.run(10 * SECOND);
    cluster.check_converged();
}

#[test]
fn no_voter_is_removed_when_the_others_are_no_live_quorum() {
    let mut cluster = Cluster::new(15, 5, 0);
    let leader = cluster.await_leader();
    let dead = others(&cluster, leader);
    cluster.crash(dead[0]);
    cluster.crash(dead[1]);
    cluster.run(2 * SECOND);
    cluster.input(leader, Input::SetVoters(vec![leader, dead[0], dead[1]]));
    cluster.run(20 * SECOND);
    assert_eq!(cluster.leader(), Some(leader));
    assert_eq!(cluster.status(leader).members.members.len(), 5);
}

#[test]
fn a_stray_hello_replaces_no_live_member() {
    let mut cluster = Cluster::new(16, 3, 0);
    let leader = cluster.await_leader();
    let from = others(&cluster, leader)[0];
    let body = LogBody::Hello { last: 0 };
    let msg = LogMsg { group: 0, disk: Some(999), term: 0, body };
    cluster.input(leader, Input::Msg { from, msg });
    cluster.run(5 * SECOND);
    assert_eq!(voters(&cluster), [1, 2, 3]);
    assert_eq!(cluster.committed.len(), 1, "only the founding changed members");
}

#[test]
fn a_founder_that_missed_the_founding_can_lead() {
    let mut cluster = Cluster::new(17, 3, 0);
    while cluster.status(1).group == 0 {
        cluster.run(Duration::from_millis(1));
    }
    cluster.isolated.insert(3);
    cluster.await_leader();
    cluster.isolated.clear();
    // The leader's heartbeat arrives before the founder sends its next hello.
    while cluster.status(3).group == 0 {
        cluster.run(Duration::from_millis(1));
    }
    let leader = cluster.await_leader();
    let other = 3 - leader;
    cluster.isolated.insert(other);
    propose(&mut cluster, 5);
    cluster.crash(leader);
    cluster.isolated.clear();
    assert_eq!(cluster.await_leader(), 3);
}

#[test]
fn a_voter_removed_with_entries_in_flight_catches_up_on_return() {
    let mut cluster = Cluster::new(18, 3, 0);
    let leader = cluster.await_leader();
    cluster.run(SECOND);
    let removed = others(&cluster, leader)[0];
    cluster.isolated.insert(removed);
    for _ in 0..6 {
        cluster.propose("in flight");
    }
    let desired = (1..=3).filter(|&h| h != removed).collect();
    cluster.input(leader, Input::SetVoters(desired));
    cluster.run(5 * SECOND);
    cluster.isolated.clear();
    cluster.run(10 * SECOND);
    cluster.check_converged();
}
