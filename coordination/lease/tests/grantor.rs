//! The leader's side of leases.

mod common;

use lease::Grantor;
use wire::{Digest, DomainForce, Grant, Renew, Residency};

use crate::common::{TERMS, ms, renew};

fn grantor() -> Grantor {
    let mut grantor = Grantor::new(ms(0), TERMS, 1);
    grantor.record_commit(ms(0), 100);
    grantor
}

fn renew_at(grantor: &mut Grantor, at: u64, host: u32, incarnation: u64, applied: u64) -> Grant {
    grantor.renew(ms(at), Some(ms(at)), host, renew(host, incarnation, ms(at), applied))
}

fn live(grantor: &Grantor, at: u64) -> Vec<u32> {
    grantor.live(ms(at)).iter().map(|host| host.host).collect()
}

#[test]
fn no_lease_reaches_past_the_quorum() {
    let cases = [
        ("quorum now", Some(10_000), 4000),
        ("quorum a second ago", Some(9000), 3000),
        ("quorum a lease ago", Some(6000), 0),
        ("quorum long ago", Some(1000), 0),
        ("no quorum", None, 0),
        ("a quorum time in the future does not extend the lease", Some(12_000), 4000),
    ];
    for (name, quorum_at, term) in cases {
        let mut grantor = grantor();
        let renew = renew(1, 1, ms(10_000), 100);
        let grant = grantor.renew(ms(10_000), quorum_at.map(ms), 1, renew);
        assert_eq!(grant.duration, ms(term), "{name}");
        let until = if term > 0 { 10_000 + term + 400 } else { 0 };
        assert_eq!(live(&grantor, until.saturating_sub(1)).len(), usize::from(term > 0), "{name}");
        assert!(live(&grantor, until).is_empty(), "{name}");
    }
}

#[test]
fn a_leader_without_a_commit_index_grants_nothing() {
    let mut grantor = Grantor::new(ms(0), TERMS, 1);
    assert_eq!(renew_at(&mut grantor, 100, 1, 1, 0).duration, ms(0));
    assert!(live(&grantor, 100).is_empty());
}

#[test]
fn the_lease_of_a_lagging_host_is_not_extended() {
    let mut grantor = grantor();
    assert_eq!(renew_at(&mut grantor, 1000, 1, 1, 100).required, 100);
    grantor.record_commit(ms(1500), 101);
    grantor.record_commit(ms(1510), 102);
    grantor.record_commit(ms(3000), 110);
    let mut table = String::new();
    // Index 102 was committed by 1510 ms and must be applied by 3510 ms, 110 by 5000 ms.
    for (at, applied) in [
        (2000, 100),
        (3400, 100),
        (3600, 100),
        (3700, 101),
        (3800, 102),
        (4990, 102),
        (5010, 102),
        (5020, 110),
    ] {
        let grant = renew_at(&mut grantor, at, 1, 1, applied);
        let term = grant.duration.as_millis();
        table.push_str(&format!("{at}: applied {applied}, {term} ms, needs {}\n", grant.required));
    }
    insta::assert_snapshot!(table);
}

#[test]
fn a_host_without_a_lease_must_reach_the_commit() {
    let mut grantor = grantor();
    renew_at(&mut grantor, 0, 1, 1, 100);
    grantor.record_commit(ms(6000), 300);
    // The lease expired at 4400 ms, so the host must reach the current commit index.
    assert_eq!(renew_at(&mut grantor, 6100, 1, 1, 100).required, 300);
    // A host that never lost its lease has until the allowed lag.
    renew_at(&mut grantor, 6100, 2, 1, 300);
    grantor.record_commit(ms(6200), 400);
    assert_eq!(renew_at(&mut grantor, 6300, 2, 1, 300).required, 300);
    // The same holds for the first host, but the index required when it returned stays required.
    let grant = renew_at(&mut grantor, 6300, 1, 1, 100);
    assert_eq!((grant.duration, grant.required), (ms(4000), 300));
}

#[test]
fn a_new_incarnation_replaces_the_previous_one() {
    let mut grantor = grantor();
    renew_at(&mut grantor, 1000, 1, 5, 100);
    assert!(grantor.take_lost(ms(1000)).is_empty());
    assert!(grantor.is_live(ms(1000), 1, 5));
    // A new incarnation ends the lease of the previous one.
    renew_at(&mut grantor, 1100, 1, 6, 100);
    assert_eq!(grantor.take_lost(ms(1100)), [(1, 6)]);
    assert!(!grantor.is_live(ms(1100), 1, 5) && grantor.is_live(ms(1100), 1, 6));
    // A late renewal of the old incarnation is refused and changes nothing.
    let late = renew_at(&mut grantor, 1200, 1, 5, 100);
    assert_eq!((late.duration, late.required, late.incarnation), (ms(0), 0, 5));
    assert!(grantor.is_live(ms(1200), 1, 6));
    // The lease has certainly expired at 1100 + 4000 + 400 ms, and is reported once.
    assert!(grantor.take_lost(ms(5499)).is_empty());
    assert_eq!(grantor.take_lost(ms(5500)), [(1, 7)]);
    assert!(grantor.take_lost(ms(5600)).is_empty());
    // The same incarnation gets a lease again and loses it again.
    renew_at(&mut grantor, 6000, 1, 6, 100);
    assert_eq!(grantor.take_lost(ms(20_000)), [(1, 7)]);
}

#[test]
fn a_refused_host_is_not_live_and_not_lost() {
    let mut grantor = grantor();
    grantor.record_commit(ms(3000), 200);
    assert_eq!(renew_at(&mut grantor, 6000, 1, 1, 0).duration, ms(0));
    assert!(live(&grantor, 6000).is_empty() && grantor.take_lost(ms(60_000)).is_empty());
}

#[test]
fn settles_after_a_lease_and_the_margin() {
    let grantor = Grantor::new(ms(500), TERMS, 1);
    assert!(!grantor.earlier_leases_expired(ms(4899)));
    assert!(grantor.earlier_leases_expired(ms(4900)));
}

fn rows(rows: &[DomainForce]) -> String {
    let row = |row: &DomainForce| format!("{:?}+{}-{}", row.domain, row.applied, row.lagging);
    rows.iter().map(row).collect::<Vec<_>>().join(" ")
}

#[test]
fn in_force_counts_hosts_whose_leases_run() {
    let mut grantor = grantor();
    let mut table = String::new();
    renew_at(&mut grantor, 1000, 1, 1, 100);
    renew_at(&mut grantor, 1000, 2, 1, 100);
    renew_at(&mut grantor, 2500, 4, 1, 90);
    grantor.record_commit(ms(2500), 101);
    for (at, host, applied) in [
        (2600, 1, 101),
        (4300, 2, 100),
        (4400, 1, 101),
        (4500, 1, 101),
        (8000, 1, 101),
        (8800, 1, 101),
    ] {
        renew_at(&mut grantor, at, host, 1, applied);
        let force = rows(&grantor.in_force(ms(at), 101));
        table.push_str(&format!("{at}: {force}\n"));
    }
    insta::assert_snapshot!(table);
}

#[test]
fn suspects_have_no_lease() {
    let mut grantor = grantor();
    grantor.set_hosts([1, 2, 3]);
    renew_at(&mut grantor, 100, 2, 1, 100);
    // Host 3 sent this leader no renewal, but may hold a lease of an earlier leader.
    assert!(renew_at(&mut grantor, 4000, 1, 1, 100).unleased.is_empty());
    assert_eq!(renew_at(&mut grantor, 4399, 1, 1, 100).unleased, []);
    assert_eq!(renew_at(&mut grantor, 4500, 1, 1, 100).unleased, [2, 3]);
    renew_at(&mut grantor, 4600, 3, 1, 100);
    assert_eq!(renew_at(&mut grantor, 4700, 1, 1, 100).unleased, [2]);
}

fn digest(adapters: u32, running: u32) -> Digest {
    let resident = (0..adapters).map(|adapter| Residency { adapter, targets: 1 }).collect();
    Digest { resident, running, capacity: 64, ..Digest::default() }
}

fn renew_with(
    grantor: &mut Grantor,
    at: u64,
    host: u32,
    round: u64,
    digest: Option<Digest>,
) -> Grant {
    let renew = Renew { round, digest, ..renew(host, 1, ms(at), 100) };
    grantor.renew(ms(at), Some(ms(at)), host, renew)
}

#[test]
fn grants_carry_digests_changed_since_the_known_round() {
    let mut grantor = grantor();
    let mut table = String::new();
    let mut record = |step: &str, grant: &Grant| {
        let hosts: Vec<_> = grant.digests.iter().map(|(host, d)| (*host, d.running)).collect();
        let (term, round) = (grant.round >> 32, grant.round & 0xFFFF_FFFF);
        table.push_str(&format!("{step}: round {term}/{round} {hosts:?}\n"));
    };
    let first = renew_with(&mut grantor, 1, 1, 0, Some(digest(3, 1)));
    record("host 1 alone", &first);
    renew_with(&mut grantor, 2, 2, 0, Some(digest(3, 2)));
    let grant = renew_with(&mut grantor, 3, 1, first.round, None);
    record("host 2 joined", &grant);
    let grant = renew_with(&mut grantor, 4, 1, grant.round, None);
    record("no change", &grant);
    renew_with(&mut grantor, 5, 2, 0, Some(digest(3, 2)));
    let grant = renew_with(&mut grantor, 6, 1, grant.round, None);
    record("the same digest again", &grant);
    renew_with(&mut grantor, 7, 2, 0, Some(digest(3, 9)));
    let late = renew_with(&mut grantor, 8, 1, first.round, None);
    record("after a lost grant", &late);
    let other = renew_with(&mut grantor, 9, 1, 99 << 32 | 7, None);
    record("a round of another leader", &other);
    insta::assert_snapshot!(table);
}

#[test]
fn many_digests_are_split_over_grants_without_loss() {
    let mut grantor = grantor();
    for host in 1..=60 {
        renew_with(&mut grantor, u64::from(host), host, 0, Some(digest(20 + host, host)));
    }
    let mut seen = std::collections::BTreeMap::new();
    let mut round = 0;
    for n in 0..60 {
        let grant = renew_with(&mut grantor, 100 + n, 99, round, None);
        assert!(wire::encode(&grant).len() < 1500);
        round = grant.round;
        for (host, digest) in grant.digests {
            seen.insert(host, digest);
        }
    }
    assert_eq!(seen.len(), 60);
    assert!(seen.iter().all(|(host, seen)| *seen == digest(20 + host, *host)));
}

#[test]
fn digests_that_change_all_the_time_reach_every_host() {
    const HOSTS: u32 = 80;
    let mut grantor = grantor();
    let mut rounds = vec![0; HOSTS as usize + 1];
    // The second in which the observed host last received each other host's digest.
    let mut received = std::collections::BTreeMap::new();
    let mut longest = 0;
    for second in 1..=400_u64 {
        for host in 1..=HOSTS {
            let now = second * 1000 + u64::from(host);
            let digest = digest(20, second as u32);
            let grant = renew_with(&mut grantor, now, host, rounds[host as usize], Some(digest));
            rounds[host as usize] = grant.round;
            if host != 40 {
                continue;
            }
            for (other, digest) in grant.digests {
                assert!(u64::from(digest.running) + 1 >= second);
                received.insert(other, second);
            }
            if second > 50 {
                let oldest = received.values().min().expect("digests were received");
                longest = longest.max(second - oldest);
            }
        }
    }
    assert_eq!(received.len(), HOSTS as usize - 1);
    // One grant of 1 KB per second carries 80 digests of 46 bytes in under 4 s. A digest first
    // waits to be published, and then to be carried.
    assert!(longest <= 10, "{longest} s");
}

#[test]
fn a_leaving_host_is_listed_at_once() {
    let mut grantor = grantor();
    for host in 1..=60 {
        renew_with(&mut grantor, u64::from(host), host, 0, Some(digest(60, 1)));
    }
    let leaving = Digest { leaving: true, ..digest(60, 1) };
    renew_with(&mut grantor, 100, 60, 0, Some(leaving));
    let grant = renew_with(&mut grantor, 101, 1, 0, None);
    assert_eq!((grant.leaving, grant.unleased), (vec![60], vec![]));
}
