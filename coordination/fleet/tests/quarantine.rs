//! What the hosts together know of requests that crash targets, and what they do meanwhile.

mod common;

use std::time::Duration;

use common::{World, ms, records::seen_crash};
use fleet::{Admission, SeenCrash};
use wire::{HostId, Suspect};

const CAUSE: Suspect = Suspect::Part(77);
const SOUND: Suspect = Suspect::Part(78);

/// Time until each host knows of a crash, and suspects that are in use would be cleared.
const SPREAD: Duration = Duration::from_millis(500);

/// Three hosts with a disk and three without, which have elected a leader.
fn world(seed: u64) -> World {
    let mut world = World::new(seed, 3, 3, &[1, 2, 3]);
    world.run(ms(5000));
    world
}

/// Lets a host ask for a trial, and returns whether it gets it.
fn get_trial(world: &mut World, host: HostId, contents: &[Suspect]) -> bool {
    for _ in 0..4 {
        if matches!(world.admit(host, contents), Admission::Trial(_)) {
            return true;
        }
        world.run(ms(100));
    }
    false
}

/// Lets a host try a suspect at a target, which crashes.
fn fail_trial(world: &mut World, host: HostId, suspect: Suspect, target: &str) {
    assert!(get_trial(world, host, &[suspect]), "host {host} gets no trial");
    world.call(host, |state, now| {
        let trials = vec![suspect];
        ((), state.report_crash(now, SeenCrash { trials, ..seen_crash(target, &[suspect]) }))
    });
    world.run(SPREAD);
}

/// Returns the hosts that send requests with a suspect without a trial.
fn senders(world: &mut World, suspect: Suspect) -> Vec<HostId> {
    let mut hosts = world.running();
    hosts.retain(|&host| {
        world.call(host, |state, now| (!state.needs_trial(now, &[suspect]), Vec::new()))
    });
    hosts
}

/// Returns the hosts that refuse requests with a suspect at once.
fn refusers(world: &mut World, suspect: Suspect) -> Vec<HostId> {
    let mut hosts = world.running();
    hosts.retain(|&host| matches!(world.admit(host, &[suspect]), Admission::Refused(_)));
    hosts
}

/// Guards against a request that crashes targets at one host after the other, also at hosts that
/// join later and under a later leader.
#[test]
fn a_request_that_crashes_targets_is_quarantined() {
    let mut world = world(6);
    for (host, target) in [(4, "t1"), (5, "t1")] {
        world.crashed(host, &[CAUSE], target);
        world.run(SPREAD);
    }
    assert_eq!(senders(&mut world, CAUSE).len(), 6, "one target may crash for another cause");
    world.crashed(6, &[CAUSE], "t2");
    world.run(SPREAD);
    assert_eq!(senders(&mut world, CAUSE), []);
    fail_trial(&mut world, 5, CAUSE, "t3");
    assert_eq!(refusers(&mut world, CAUSE).len(), 6);
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(ms(3000));
    world.add(20, false);
    world.run(ms(1000));
    assert_eq!(refusers(&mut world, CAUSE).len(), 6, "five hosts and the new one");
}

/// Guards against crashes that were reported to a leader and lost with it before two of them met.
#[test]
fn the_next_leader_counts_earlier_crashes() {
    let mut world = world(3);
    let leader = world.leader().expect("a leader");
    world.crashed(4, &[CAUSE], "t1");
    world.run(SPREAD);
    world.kill(leader);
    world.run(ms(100));
    world.crashed(5, &[CAUSE], "t2");
    world.run(ms(4000));
    assert_eq!(senders(&mut world, CAUSE), []);
}

/// Guards against hosts without a leader that each lose targets to the same request: they tell each
/// other directly.
#[test]
fn hosts_without_a_leader_tell_each_other() {
    let mut world = world(4);
    for host in [1, 2, 3] {
        world.kill(host);
    }
    world.run(ms(3000));
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(ms(2000));
    assert_eq!(senders(&mut world, CAUSE), []);
}

/// Guards against reports of a host that was cut off and are lost with the cut.
#[test]
fn a_host_that_was_cut_off_reports_its_crashes_later() {
    let mut world = world(5);
    world.cut.insert(6);
    world.crashed(6, &[CAUSE], "t1");
    world.run(ms(4000));
    world.crashed(5, &[CAUSE], "t2");
    world.run(SPREAD);
    assert_eq!(senders(&mut world, CAUSE).len(), 6, "nobody knows of both");
    world.cut.clear();
    world.run(ms(4000));
    assert_eq!(senders(&mut world, CAUSE), []);
}

/// Guards against reports that a link loses.
#[test]
fn reports_are_repeated_until_they_are_counted() {
    let mut world = world(13);
    world.network.loss = 0.8;
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(ms(100));
    world.network.loss = 0.0;
    world.run(ms(2000));
    assert_eq!(senders(&mut world, CAUSE), []);
}

/// Guards against a quarantine that ends because all processes restart, with a snapshot of the log
/// between.
#[test]
fn a_quarantine_outlives_all_processes() {
    let mut world = world(7);
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(SPREAD);
    fail_trial(&mut world, 6, CAUSE, "t3");
    world.run(ms(2000));
    for host in 1..=6 {
        world.kill(host);
    }
    for host in 1..=6 {
        world.start(host);
    }
    world.run(ms(5000));
    let leader = world.leader().expect("a leader");
    for host in world.running() {
        assert!(
            matches!(world.admit(host, &[CAUSE]), Admission::Refused(_)),
            "host {host}, the leader is {leader}"
        );
    }
}

/// Guards against a target that keeps its name when it starts again, and counts as one crash however
/// often it ends.
#[test]
fn each_start_of_a_target_counts() {
    let mut world = world(8);
    for started_at in [1, 2] {
        world.call(4, |state, now| {
            let seen = SeenCrash { started_at, ..seen_crash("t1", &[CAUSE]) };
            ((), state.report_crash(now, seen))
        });
    }
    world.run(SPREAD);
    assert_eq!(senders(&mut world, CAUSE), []);
}

/// Guards against many trials at once of what may crash targets.
#[test]
fn a_suspect_is_tried_at_one_host_at_a_time() {
    let mut world = world(9);
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(SPREAD);
    assert!(get_trial(&mut world, 6, &[CAUSE]));
    for host in [1, 2, 4, 5, 6] {
        assert!(!get_trial(&mut world, host, &[CAUSE]), "host {host}");
    }
    world.run(ms(1000));
    world.call(6, |state, now| ((), state.end_trial(now, &[CAUSE])));
    world.run(ms(100));
    assert!(get_trial(&mut world, 4, &[CAUSE]), "the trial showed nothing, another may follow");
    world.kill(4);
    world.run(ms(11_000));
    assert!(get_trial(&mut world, 5, &[CAUSE]), "the host that tried it is lost");
}

/// Guards against sound requests that stay refused because they were at targets that crashed for
/// another cause.
#[test]
fn a_request_that_runs_clears_its_contents_everywhere() {
    let mut world = world(10);
    for (host, target) in [(4, "t1"), (5, "t2"), (6, "t3")] {
        world.crashed(host, &[CAUSE, SOUND], target);
    }
    world.run(SPREAD);
    assert_eq!(senders(&mut world, SOUND), []);
    assert!(get_trial(&mut world, 6, &[SOUND]));
    world.call(6, |state, now| ((), state.report_sound(now, &[SOUND])));
    world.run(ms(100));
    assert_eq!(senders(&mut world, SOUND).len(), 6);
    assert_eq!(senders(&mut world, CAUSE), []);
}

/// Guards against a quarantine without end: the next trial is due after a while, later after each
/// one that fails.
#[test]
fn a_quarantined_request_is_tried_again_later() {
    let mut world = world(11);
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(SPREAD);
    fail_trial(&mut world, 6, CAUSE, "t3");
    world.run(ms(6000));
    fail_trial(&mut world, 5, CAUSE, "t4");
    world.run(ms(6000));
    assert!(!get_trial(&mut world, 4, &[CAUSE]), "the second one failed");
    world.run(ms(30_000));
    assert!(get_trial(&mut world, 4, &[CAUSE]));
    world.call(4, |state, now| ((), state.report_sound(now, &[CAUSE])));
    world.run(ms(1000));
    assert_eq!(senders(&mut world, CAUSE).len(), 6);
    let leader = world.leader().expect("a leader");
    world.kill(leader);
    world.run(ms(4000));
    assert_eq!(senders(&mut world, CAUSE).len(), 5, "the log has dropped it too");
}

/// Guards against a full table that forgets the request in quarantine for others that were lost once.
#[test]
fn a_full_table_keeps_the_quarantine() {
    let mut world = world(12);
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(SPREAD);
    fail_trial(&mut world, 6, CAUSE, "t3");
    let others: Vec<Suspect> = (1000..4000).map(Suspect::Request).collect();
    world.crashed(4, &others, "t4");
    world.crashed(5, &others, "t5");
    world.run(SPREAD);
    assert_eq!(refusers(&mut world, CAUSE).len(), 6);
}

/// Guards against a sound part that is blamed with the deadly one because a request with both was
/// tried: requests with one of them go first.
#[test]
fn suspects_are_tried_apart_where_requests_allow_it() {
    let mut world = world(14);
    let (deadly, sound) = (Suspect::Part(1), Suspect::Part(2));
    for (host, target) in [(4, "t1"), (5, "t2")] {
        world.crashed(host, &[deadly, sound], target);
    }
    world.run(SPREAD);
    let admit = |world: &mut World, host, contents: &[Suspect], waited| {
        world.call(host, |state, now| state.admit(now, contents, waited))
    };
    for _ in 0..4 {
        assert_eq!(admit(&mut world, 4, &[deadly, sound], ms(100)), Admission::Wait);
        world.run(ms(20));
    }
    assert!(get_trial(&mut world, 5, &[sound]), "the other request asks for no trial");
    world.call(5, |state, now| ((), state.report_sound(now, &[sound])));
    world.run(ms(50));
    fail_trial(&mut world, 4, deadly, "t3");
    assert_eq!(senders(&mut world, sound).len(), 6);
    assert_eq!(refusers(&mut world, deadly).len(), 6);
}

/// Guards against a host that missed the leader's message about a suspect, while nothing else
/// changes that would show it the gap.
#[test]
fn a_host_that_missed_a_message_learns_of_the_suspect() {
    let mut world = world(15);
    world.cut.insert(6);
    world.crashed(4, &[CAUSE], "t1");
    world.crashed(5, &[CAUSE], "t2");
    world.run(ms(1500));
    world.cut.clear();
    assert_eq!(senders(&mut world, CAUSE), [6]);
    world.run(ms(2500));
    assert_eq!(senders(&mut world, CAUSE), []);
}

const REQUEST: Suspect = Suspect::Request(79);

/// Lets a host report that it lost one request only with a target.
fn lost_alone(world: &mut World, host: HostId, contents: &[Suspect], target: &str) {
    let seen = SeenCrash { alone: contents.to_vec(), ..seen_crash(target, contents) };
    world.call(host, |state, now| ((), state.report_crash(now, seen)));
}

/// Guards against a request that is sent on from target to target: lost alone with one, at one or
/// several hosts, it is refused everywhere, as after a failed trial.
#[test]
fn a_request_that_was_lost_alone_is_refused() {
    for hosts in [&[4][..], &[4, 5]] {
        let mut world = world(16);
        for &host in hosts {
            lost_alone(&mut world, host, &[REQUEST], "t1");
        }
        assert!(matches!(world.admit(hosts[0], &[REQUEST]), Admission::Wait), "{hosts:?}: at once");
        world.run(SPREAD);
        assert_eq!(refusers(&mut world, REQUEST).len(), 6, "{hosts:?}");
        world.run(ms(5000));
        assert!(get_trial(&mut world, 6, &[REQUEST]), "{hosts:?}: after 5 s");
    }
}

/// Guards against requests that are refused because a target crashed for another cause: each of
/// several lost ones is tried at once, all of them beside each other.
#[test]
fn requests_that_were_lost_together_are_tried_at_once() {
    let mut world = world(17);
    let requests: Vec<Suspect> = (200..206).map(Suspect::Request).collect();
    for (host, lost) in [(4, &requests[..1]), (5, &requests[1..2]), (6, &requests[2..])] {
        let alone = if lost.len() == 1 { lost.to_vec() } else { Vec::new() };
        let seen = SeenCrash { alone, ..seen_crash("t1", lost) };
        world.call(host, |state, now| ((), state.report_crash(now, seen)));
    }
    world.run(ms(60));
    for &request in &requests {
        assert_eq!(senders(&mut world, request), [], "{request}");
        assert!(get_trial(&mut world, 5, &[request]), "{request}");
        world.call(5, |state, now| ((), state.report_sound(now, &[request])));
    }
    world.run(SPREAD);
    for &request in &requests {
        assert_eq!(senders(&mut world, request).len(), 6, "{request}");
    }
}

/// Guards against a request that many callers send, and that is refused because it happened to be
/// alone at a target that crashed: another host had an answer to it shortly before.
#[test]
fn a_request_that_ran_elsewhere_shortly_before_is_cleared() {
    let mut world = world(18);
    world.call(6, |state, now| ((), state.report_sound(now, &[REQUEST])));
    world.run(ms(1000));
    lost_alone(&mut world, 4, &[REQUEST], "t1");
    world.run(SPREAD);
    assert_eq!(senders(&mut world, REQUEST).len(), 6);
}

/// Guards against requests that nobody may try while there is no leader to grant it: one crash alone
/// holds nothing back then.
#[test]
fn without_a_leader_one_crash_holds_nothing_back() {
    let mut world = world(19);
    for host in [1, 2, 3] {
        world.kill(host);
    }
    world.run(ms(3500));
    lost_alone(&mut world, 4, &[REQUEST], "t1");
    world.run(SPREAD);
    assert_eq!(senders(&mut world, REQUEST).len(), 3);
    world.crashed(5, &[REQUEST], "t2");
    world.run(SPREAD);
    assert_eq!(senders(&mut world, REQUEST), []);
}

/// Guards against requests of several routes that name the same thing, each of which ends targets by
/// itself: after two of them, whatever names it is refused.
#[test]
fn requests_that_name_the_same_thing_are_refused_together() {
    let mut world = world(20);
    let named = Suspect::Resource(5);
    let (read, change) = (Suspect::Request(301), Suspect::Request(302));
    lost_alone(&mut world, 4, &[read, named], "t1");
    world.run(SPREAD);
    assert_eq!(senders(&mut world, named).len(), 6, "one target may crash for another cause");
    lost_alone(&mut world, 5, &[change, named], "t2");
    world.run(SPREAD);
    assert_eq!(refusers(&mut world, named).len(), 6);
    world.run(ms(5000));
    assert!(get_trial(&mut world, 6, &[Suspect::Request(303), named]));
    world.call(6, |state, now| ((), state.report_sound(now, &[named])));
    world.run(SPREAD);
    assert_eq!(senders(&mut world, named).len(), 6);
}

/// Guards against requests of one route, no two alike, that each end a second target: after three that
/// crashed one alone, those that are lost together are refused, and no others of the route are held.
#[test]
fn lost_requests_of_a_crashing_route_are_refused() {
    let mut world = world(20);
    let (route, other) = (Suspect::Route(6), Suspect::Route(7));
    let request = |number| Suspect::Request(300 + number);
    let lose = |world: &mut World, host, contents: &[Suspect], target: &str| {
        world.call(host, |state, now| {
            let trials = state.tried(contents, Vec::new());
            ((), state.report_crash(now, SeenCrash { trials, ..seen_crash(target, contents) }))
        });
    };
    for (number, host) in [(0, 4), (1, 5), (2, 6)] {
        lost_alone(&mut world, host, &[request(number), route], &format!("t{number}"));
        world.run(SPREAD);
    }
    for leader_lost in [false, true] {
        if leader_lost {
            let leader = world.leader().expect("a leader");
            world.kill(leader);
            world.run(ms(4000));
        }
        let first = 10 + 10 * u64::from(leader_lost);
        let target = format!("t{first}");
        lose(&mut world, 4, &[request(first), route], &target);
        lose(&mut world, 5, &[request(first + 1), route], &target);
        lose(&mut world, 6, &[request(first + 2), other], &target);
        assert!(matches!(world.admit(4, &[request(first), route]), Admission::Wait), "at once");
        world.run(SPREAD);
        let all = world.running().len();
        assert_eq!(refusers(&mut world, request(first)).len(), all);
        assert_eq!(refusers(&mut world, request(first + 1)).len(), all);
        assert!(get_trial(&mut world, 6, &[request(first + 2), other]), "of another route");
        let sound = world.admit(5, &[request(100), route]);
        assert!(matches!(sound, Admission::Free), "not lost: {sound:?}");
    }
}
