//! Single faults and the mechanisms that meet them.

mod harness;

use std::time::Duration;

use harness::{HEARTBEAT, World, check::last};
use replog::{Alarm, Input};
use wire::{HostId, LogBody, LogMsg, Role};

const SECOND: Duration = Duration::from_secs(1);

fn propose(world: &mut World, count: usize) {
    for i in 0..count {
        world.propose(&format!("entry {i}"));
        world.run(Duration::from_millis(5));
    }
}

fn others(world: &World, host: HostId) -> Vec<HostId> {
    let voters = world.hosts.iter().filter(|(_, h)| h.disk.is_some());
    voters.map(|(&h, _)| h).filter(|&h| h != host).collect()
}

fn replace_disk(world: &mut World, host: HostId) {
    world.crash(host);
    world.new_disk(host);
    world.start(host);
}

/// Returns the hosts that vote with the disk they have now.
fn voters(world: &World) -> Vec<HostId> {
    let leader = world.leader().unwrap();
    let members = world.status(leader).members.members;
    let whole = members.iter().filter(|m| {
        let disk = world.hosts[&m.host].disk.as_ref().unwrap();
        m.role == Role::Voter && disk.synced.voter == m.voter
    });
    whole.map(|m| m.host).collect()
}

#[test]
fn a_second_disk_may_be_lost_after_the_first_is_repaired() {
    let mut world = World::new(1, 3, 1);
    for round in 0..6 {
        let leader = world.elect();
        propose(&mut world, 30);
        let lost = if round % 2 == 0 { leader } else { others(&world, leader)[0] };
        replace_disk(&mut world, lost);
        for _ in 0..1000 {
            world.run(Duration::from_millis(10));
            if world.leader().is_some() && voters(&world) == [1, 2, 3] {
                break;
            }
        }
        assert_eq!(voters(&world), [1, 2, 3], "repaired in round {round}");
    }
    world.elect();
    world.propose("after");
    world.run(2 * SECOND);
    assert_eq!(world.data().len(), 181);
    world.check_converged();
}

#[test]
fn a_host_isolated_for_ten_minutes_returns_without_an_election() {
    let mut world = World::new(2, 3, 1);
    let leader = world.elect();
    let term = world.status(leader).term;
    for cut in [others(&world, leader)[0], 4] {
        world.cut.insert(cut);
        for _ in 0..600 {
            world.propose("while cut");
            world.run(SECOND);
        }
        world.cut.clear();
        world.run(5 * SECOND);
        world.check_converged();
        assert_eq!((world.leader(), world.status(leader).term), (Some(leader), term));
    }
}

#[test]
fn an_isolated_leader_steps_down_and_follows_on_return() {
    let mut world = World::new(3, 3, 0);
    let old = world.elect();
    let term = world.status(old).term;
    world.cut.insert(old);
    world.input(old, Input::Propose("lost".into()));
    world.run(600 * SECOND);
    let status = world.status(old);
    assert_eq!((status.leading, status.quorum_at, status.term), (false, None, term));
    let new = world.elect();
    let new_term = world.status(new).term;
    world.cut.clear();
    world.propose("kept");
    world.run(5 * SECOND);
    assert_eq!((world.leader(), world.status(new).term), (Some(new), new_term));
    assert_eq!(world.data(), ["kept"]);
    world.check_converged();
}

#[test]
fn two_thousand_piled_up_changes_survive_a_restart_of_all() {
    for snapshot_after in [100, 10_000] {
        let mut world = World::new(4, 3, 1);
        world.snapshot_after = snapshot_after;
        for host in 1..=4 {
            world.crash(host);
            world.start(host);
        }
        world.elect();
        for i in 0..2000 {
            world.propose(&format!("entry {i}"));
            world.run(Duration::from_micros(500));
        }
        world.run(SECOND);
        for host in 1..=4 {
            world.crash(host);
        }
        for host in 1..=4 {
            world.start(host);
        }
        world.elect();
        world.run(3 * SECOND);
        assert_eq!(world.data().len(), 2000);
        world.check_converged();
    }
}

#[test]
fn a_host_cut_off_with_unanswered_entries_gets_a_snapshot() {
    let mut world = World::new(3, 3, 1);
    world.sync = Duration::from_millis(50);
    let leader = world.elect();
    propose(&mut world, 5);
    world.cut.insert(others(&world, leader)[0]);
    propose(&mut world, 60);
    world.run(SECOND);
    world.cut.clear();
    world.run(5 * SECOND);
    world.check_converged();
}

#[test]
fn a_full_disk_stops_a_voter_and_loses_nothing() {
    for of_leader in [true, false] {
        let mut world = World::new(5, 3, 0);
        let leader = world.elect();
        propose(&mut world, 10);
        let host = if of_leader { leader } else { others(&world, leader)[0] };
        world.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap().full = true;
        world.propose("seen by the full disk");
        world.run(5 * SECOND);
        let alarm = Alarm::DiskFailed("no space left".to_owned());
        assert!(world.hosts[&host].alarms.contains(&alarm));
        let before = world.sent_by.get(&host).copied().unwrap_or(0);
        assert_ne!(world.elect(), host);
        propose(&mut world, 10);
        world.run(5 * SECOND);
        let after = world.sent_by.get(&host).copied().unwrap_or(0);
        assert_eq!(before, after, "a voter whose disk failed promises nothing");
        assert!(world.status(host).applied >= 11, "and stays readable");
        world.crash(host);
        world.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap().full = false;
        world.start(host);
        world.elect();
        world.run(5 * SECOND);
        assert!(world.data().len() >= 20);
        world.check_converged();
    }
}

#[test]
fn two_disks_of_three_lost_at_once_stop_writes_and_stay_readable() {
    let mut world = World::new(6, 3, 1);
    let leader = world.elect();
    propose(&mut world, 20);
    world.run(SECOND);
    for host in others(&world, leader) {
        replace_disk(&mut world, host);
    }
    world.input(leader, Input::Propose("never".into()));
    world.run(60 * SECOND);
    assert_eq!(world.leader(), None);
    for host in [leader, 4] {
        assert_eq!(world.status(host).applied, world.committed.len() as u64);
    }
    assert_eq!(world.data().len(), 20);
}

#[test]
fn all_disks_lost_found_another_group_and_observers_say_so() {
    let mut world = World::new(7, 3, 1);
    world.elect();
    let group = world.status(4).group;
    for host in 1..=3 {
        replace_disk(&mut world, host);
    }
    world.committed.clear();
    world.run(10 * SECOND);
    let founded = world.status(1).group;
    assert_ne!(founded, group);
    assert!(world.hosts[&4].alarms.contains(&Alarm::OtherGroup(founded)));
    assert_eq!(world.status(4).group, group);
}

#[test]
fn disks_put_back_to_an_older_state_are_refused_by_those_who_saw_more() {
    let mut world = World::new(8, 3, 1);
    world.snapshot_after = 1000;
    world.elect();
    propose(&mut world, 5);
    world.run(SECOND);
    let on_disk = |h| world.hosts[&h].disk.as_ref().unwrap().synced.clone();
    let old: Vec<_> = (1..=3).map(on_disk).collect();
    propose(&mut world, 5);
    world.run(SECOND);
    let seen = world.status(4).commit;
    for host in 1..=3 {
        world.crash(host);
        world.hosts.get_mut(&host).unwrap().disk.as_mut().unwrap().synced =
            old[host as usize - 1].clone();
        world.start(host);
    }
    let kept = world.committed.split_off(&(last(&old[0]) + 1));
    world.run(5 * SECOND);
    propose(&mut world, 20);
    world.run(SECOND);
    let went_back = |a: &Alarm| matches!(a, Alarm::WentBack { seen: s, .. } if *s == seen);
    assert!(world.hosts[&4].alarms.iter().any(went_back));
    assert_eq!(world.status(4).commit, seen);
    assert_eq!(world.hosts[&4].digest, kept[&seen].1);
}

#[test]
fn a_group_is_founded_only_when_all_founders_are_fresh() {
    let mut world = World::new(9, 3, 1);
    world.crash(3);
    world.run(60 * SECOND);
    assert_eq!((world.status(1).group, world.leader()), (0, None));
    world.start(3);
    world.elect();
    let group = world.status(1).group;
    for host in [1, 2] {
        replace_disk(&mut world, host);
    }
    world.run(60 * SECOND);
    assert_eq!(world.leader(), None, "two fresh disks are no quorum");
    assert_eq!(world.status(3).group, group);
    assert!(world.status(1).group == group || world.status(1).group == 0);
}

#[test]
fn a_restarted_voter_gives_no_vote_within_an_election_time() {
    let mut world = World::new(10, 3, 0);
    let leader = world.elect();
    let other = others(&world, leader)[0];
    world.run(SECOND);
    world.crash(other);
    world.start(other);
    let status = world.status(leader);
    let (term, group) = (status.term + 1, status.group);
    let from = others(&world, leader)[1];
    let voter = world.hosts[&from].disk.as_ref().map(|d| d.synced.voter);
    let body = LogBody::Vote { last: 1000, last_term: term };
    let msg = LogMsg { group, voter, term, body };
    world.input(other, Input::Msg { from, msg });
    world.run(HEARTBEAT);
    assert_eq!(world.status(other).term, term - 1);
    assert_eq!(world.hosts[&other].disk.as_ref().unwrap().synced.hard.term, term - 1);
}

#[test]
fn voters_are_moved_one_at_a_time() {
    let mut world = World::new(11, 3, 3);
    for host in [4, 5, 6] {
        replace_disk(&mut world, host);
    }
    world.elect();
    propose(&mut world, 70);
    for want in [vec![1, 2, 3, 4, 5], vec![4, 5, 6], vec![5], vec![1, 2, 3]] {
        for _ in 0..20 {
            let leader = world.elect();
            world.input(leader, Input::SetVoters(want.clone()));
            world.run(SECOND);
        }
        world.elect();
        assert_eq!(voters(&world), want);
        propose(&mut world, 20);
    }
    world.run(2 * SECOND);
    assert_eq!(world.data().len(), 150);
    world.check_converged();
    world.check_member_steps();
}

#[test]
fn proposals_during_a_write_share_the_next_one() {
    let mut world = World::new(12, 3, 0);
    world.sync = Duration::from_millis(20);
    let leader = world.elect();
    world.run(SECOND);
    let before = world.writes;
    for _ in 0..100 {
        world.propose("together");
    }
    world.run(SECOND);
    assert_eq!(world.data().len(), 100);
    // Three hosts with a write for each entry would make 300.
    assert!(world.writes - before <= 30, "{} writes", world.writes - before);
    assert_eq!(world.leader(), Some(leader));
}

#[test]
fn a_proposal_of_four_megabytes_is_committed() {
    let mut world = World::new(13, 3, 1);
    world.elect();
    let text = "x".repeat(4 * 1024 * 1024);
    world.propose(&text);
    world.propose("small");
    world.run(SECOND);
    assert_eq!(world.data().len(), 2);
    world.check_converged();
}

#[test]
fn a_voter_removed_while_cut_off_asks_to_be_served() {
    let mut world = World::new(14, 3, 0);
    let leader = world.elect();
    let away = others(&world, leader)[0];
    world.cut.insert(away);
    let want: Vec<HostId> = (1..=3).filter(|&h| h != away).collect();
    for _ in 0..20 {
        world.input(leader, Input::SetVoters(want.clone()));
        propose(&mut world, 5);
        world.run(SECOND);
    }
    assert_eq!(voters(&world), want);
    world.cut.clear();
    world.run(10 * SECOND);
    world.check_converged();
}

#[test]
fn no_voter_is_removed_when_the_others_are_no_live_quorum() {
    let mut world = World::new(15, 5, 0);
    let leader = world.elect();
    let dead = others(&world, leader);
    world.crash(dead[0]);
    world.crash(dead[1]);
    world.run(2 * SECOND);
    world.input(leader, Input::SetVoters(vec![leader, dead[0], dead[1]]));
    world.run(20 * SECOND);
    assert_eq!(world.leader(), Some(leader));
    assert_eq!(world.status(leader).members.members.len(), 5);
}

#[test]
fn a_stray_hello_replaces_no_live_member() {
    let mut world = World::new(16, 3, 0);
    let leader = world.elect();
    let from = others(&world, leader)[0];
    let body = LogBody::Hello { last: 0 };
    let msg = LogMsg { group: 0, voter: Some(999), term: 0, body };
    world.input(leader, Input::Msg { from, msg });
    world.run(5 * SECOND);
    assert_eq!(voters(&world), [1, 2, 3]);
    assert_eq!(world.committed.len(), 1, "only the founding changed members");
}

#[test]
fn a_founder_that_missed_the_founding_can_lead() {
    let mut world = World::new(17, 3, 0);
    while world.status(1).group == 0 {
        world.run(Duration::from_millis(1));
    }
    world.cut.insert(3);
    world.elect();
    world.cut.clear();
    // The leader's heartbeat arrives before the founder asks again.
    while world.status(3).group == 0 {
        world.run(Duration::from_millis(1));
    }
    let leader = world.elect();
    let other = 3 - leader;
    world.cut.insert(other);
    propose(&mut world, 5);
    world.crash(leader);
    world.cut.clear();
    assert_eq!(world.elect(), 3);
}

#[test]
fn a_voter_removed_with_entries_on_their_way_is_served_on_return() {
    let mut world = World::new(18, 3, 0);
    let leader = world.elect();
    world.run(SECOND);
    let away = others(&world, leader)[0];
    world.cut.insert(away);
    for _ in 0..6 {
        world.propose("on the way");
    }
    let want = (1..=3).filter(|&h| h != away).collect();
    world.input(leader, Input::SetVoters(want));
    world.run(5 * SECOND);
    world.cut.clear();
    world.run(10 * SECOND);
    world.check_converged();
}
