//! Tests of the choice of owners and entry hosts.

use std::{collections::BTreeMap, time::Duration};

use route::{Directory, OwnedTarget};
use wire::{Digest, Grant, HostId, Pin, Residency, TargetKind};

const NOW: Duration = Duration::from_secs(100);
const ADAPTER: u32 = 5;

fn domain(host: HostId) -> String {
    ["a", "b", "c"][host as usize % 3].into()
}

fn pin(name: &str) -> Pin {
    Pin::Adapter { id: ADAPTER, name: name.into() }
}

fn engine(model: &str) -> TargetKind {
    TargetKind::Engine { model: model.into() }
}

fn service(service: &str) -> TargetKind {
    TargetKind::Service { service: service.into() }
}

fn digest(adapters: &[u32], running: u32, queued: u32) -> Digest {
    let resident = adapters.iter().map(|adapter| Residency { adapter: *adapter, targets: 1 });
    Digest { resident: resident.collect(), running, capacity: 16, queued, leaving: false }
}

fn grant(digests: Vec<(HostId, Digest)>, unleased: Vec<HostId>) -> Grant {
    Grant {
        sent: NOW,
        incarnation: 1,
        duration: Duration::from_secs(4),
        required: 1,
        round: 1,
        digests,
        unleased,
        leaving: Vec::new(),
    }
}

/// Six hosts, each with two engines of the model "base"; hosts 1 and 2 own a
/// target of the service "bookings", host 6 an engine of the model "other".
fn directory() -> Directory {
    let mut directory = Directory::default();
    directory.set_hosts((1..=6).map(|host| (host, domain(host))).collect());
    let mut targets = Vec::new();
    let mut add = |owner, kind| {
        let id = targets.len() as u32;
        targets.push(OwnedTarget { id, owner, domain: domain(owner), kind, requests: 8 });
    };
    for host in 1..=6 {
        add(host, engine("base"));
        add(host, engine("base"));
    }
    add(1, service("bookings"));
    add(2, service("bookings"));
    add(6, engine("other"));
    directory.set_targets(targets);
    let idle = (1..=6).map(|host| (host, digest(&[], 0, 0)));
    directory.apply_grant(NOW, &grant(idle.collect(), Vec::new()));
    directory
}

/// Returns how often each host is chosen for a thousand requests at different times; `r` marks
/// a choice with the adapter resident.
fn tally(directory: &Directory, pin: &Pin, from: &str, tried: &[HostId]) -> String {
    let mut counts: BTreeMap<String, u32> = BTreeMap::new();
    for n in 0..1000 {
        let now = NOW + Duration::from_micros(n * 37);
        let choice = directory.choose(now, pin, from, tried);
        let name = choice.map_or("none".into(), |choice| {
            format!("{}{}", choice.host, if choice.resident { "r" } else { "" })
        });
        *counts.entry(name).or_default() += 1;
    }
    counts.iter().map(|(name, count)| format!("{name}:{count}")).collect::<Vec<_>>().join(" ")
}

#[test]
fn choices() {
    let base = pin("base@hood@1");
    let with_digests = |digests: Vec<(HostId, Digest)>| {
        let mut directory = directory();
        directory.apply_grant(NOW, &grant(digests, Vec::new()));
        directory
    };
    let resident = |running, queued| digest(&[ADAPTER], running, queued);
    let mut table = String::new();
    let mut add_row = |name: &str, directory: &Directory, pin: &Pin, tried: &[HostId]| {
        table.push_str(&format!("{name}: {}\n", tally(directory, pin, "a", tried)));
    };
    add_row("cold: home", &directory(), &base, &[]);
    add_row("cold: home tried", &directory(), &base, &[5]);
    add_row("resident on 4", &with_digests(vec![(4, resident(3, 0))]), &base, &[]);
    add_row("resident on 4, tried", &with_digests(vec![(4, resident(3, 0))]), &base, &[4]);
    add_row(
        "resident on 1 and 2, equal load",
        &with_digests(vec![(1, resident(3, 0)), (2, resident(3, 0))]),
        &base,
        &[],
    );
    add_row(
        "resident on 1 and 2, 1 more loaded",
        &with_digests(vec![(1, resident(12, 0)), (2, resident(3, 0))]),
        &base,
        &[],
    );
    add_row(
        "own domain if little more loaded",
        &with_digests(vec![(2, resident(3, 0)), (3, resident(6, 0))]),
        &base,
        &[],
    );
    add_row(
        "own domain much more loaded",
        &with_digests(vec![(2, resident(3, 0)), (3, resident(9, 0))]),
        &base,
        &[],
    );
    add_row(
        "resident on 2, which is full: home",
        &with_digests(vec![(2, resident(16, 3))]),
        &base,
        &[],
    );
    let full = (1..=6).map(|host| (host, digest(&[], 16, 3))).collect();
    add_row("all hosts full, cold", &with_digests(full), &base, &[]);
    let full =
        (1..=6).map(|host| (host, if host == 2 { resident(16, 3) } else { digest(&[], 16, 3) }));
    add_row("all hosts full, resident on 2", &with_digests(full.collect()), &base, &[]);
    add_row("all tried", &directory(), &base, &[1, 2, 3, 4, 5, 6]);
    add_row("another model", &directory(), &pin("other@hood@1"), &[]);
    add_row("unknown model", &directory(), &pin("third@hood@1"), &[]);
    let bookings = Pin::Service { service: "bookings".into() };
    add_row("service", &directory(), &bookings, &[]);
    add_row("service, one tried", &directory(), &bookings, &[1]);
    add_row("unknown service", &directory(), &Pin::Service { service: "x".into() }, &[]);
    insta::assert_snapshot!(table);
}

#[test]
fn homes_are_balanced_and_stable() {
    let directory = directory();
    let mut homes: BTreeMap<HostId, u32> = BTreeMap::new();
    let mut moved = 0;
    for n in 0..3000 {
        let pin = pin(&format!("base@style{n}@1"));
        let home = directory.choose(NOW, &pin, "a", &[]).expect("home").host;
        *homes.entry(home).or_default() += 1;
        let without = directory.choose(NOW, &pin, "b", &[3]).expect("home").host;
        if home != 3 && without != home {
            moved += 1;
        }
    }
    assert_eq!((homes.len(), moved), (6, 0));
    assert!(homes.values().all(|count| (400..600).contains(count)), "{homes:?}");
}

/// Name of a reason for which a host is unusable, and a function that brings it about.
type Unusable = (&'static str, fn(&mut Directory, HostId));

const UNUSABLE: [Unusable; 4] = [
    ("about to leave", |directory, host| {
        let grant = Grant { leaving: vec![host], ..grant(Vec::new(), Vec::new()) };
        directory.apply_grant(NOW, &grant);
    }),
    ("leaving", |directory, host| {
        let leaving = Digest { leaving: true, ..digest(&[ADAPTER], 0, 0) };
        directory.apply_grant(NOW, &grant(vec![(host, leaving)], Vec::new()));
    }),
    ("without a lease", |directory, host| {
        directory.apply_grant(NOW, &grant(Vec::new(), vec![host]));
    }),
    ("silent", |directory, host| directory.mark_unreachable(NOW, host)),
];

#[test]
fn unusable_hosts_are_never_returned() {
    let pins = [pin("base@hood@1"), Pin::Service { service: "bookings".into() }];
    for (name, make_unusable) in UNUSABLE {
        for host in 1..=6 {
            let mut directory = directory();
            let resident = (1..=6).map(|host| (host, digest(&[ADAPTER], 0, 0)));
            directory.apply_grant(NOW, &grant(resident.collect(), Vec::new()));
            make_unusable(&mut directory, host);
            for pin in &pins {
                let choices = tally(&directory, pin, "a", &[]);
                assert!(!choices.contains(&format!("{host}r:")), "{name} {choices}");
            }
            for n in 0..50 {
                let now = NOW + Duration::from_micros(n);
                for pin in [None, Some(&pins[0]), Some(&pins[1])] {
                    let entries = directory.entries(now, pin);
                    assert!(!entries.contains(&host) && entries.len() == 3, "{name} {entries:?}");
                }
            }
        }
    }
}

#[test]
fn when_every_owner_is_unusable_nothing_is_chosen() {
    for (name, make_unusable) in &UNUSABLE[1..2] {
        let mut directory = directory();
        for host in 1..=6 {
            make_unusable(&mut directory, host);
        }
        assert_eq!(directory.choose(NOW, &pin("base@hood@1"), "a", &[]), None, "{name}");
        assert!(directory.entries(NOW, None).is_empty(), "{name}");
    }
}

#[test]
fn suspicion_expires_and_a_renewed_lease_makes_a_host_usable() {
    let bookings = Pin::Service { service: "bookings".into() };
    let mut directory = directory();
    directory.mark_unreachable(NOW, 1);
    let later = NOW + Duration::from_millis(2999);
    assert_eq!(directory.choose(later, &bookings, "b", &[]).map(|c| c.host), Some(2));
    let later = NOW + Duration::from_secs(3);
    assert_eq!(directory.choose(later, &bookings, "b", &[]).map(|c| c.host), Some(1));
    directory.apply_grant(NOW, &grant(Vec::new(), vec![1]));
    assert_eq!(directory.choose(later, &bookings, "b", &[]).map(|c| c.host), Some(2));
    directory.apply_grant(NOW, &grant(Vec::new(), Vec::new()));
    assert_eq!(directory.choose(later, &bookings, "b", &[]).map(|c| c.host), Some(1));
}

#[test]
fn a_host_uses_its_own_digest_and_not_the_leaders_copy() {
    let mut directory = directory();
    directory.set_own_digest(1, digest(&[ADAPTER], 2, 0));
    // The digest of this host in a grant is older than the host's own.
    directory.apply_grant(NOW, &grant(vec![(1, digest(&[], 0, 0))], vec![1]));
    let choice = directory.choose(NOW, &pin("base@hood@1"), "b", &[]).expect("owner");
    assert_eq!((choice.host, choice.resident), (1, true));
    directory.set_own_digest(1, digest(&[], 2, 0));
    assert!(!directory.choose(NOW, &pin("base@hood@1"), "b", &[]).expect("owner").resident);
}

#[test]
fn entries_lead_to_the_adapter_and_span_failure_domains() {
    let base = pin("base@hood@1");
    let bookings = Pin::Service { service: "bookings".into() };
    let mut directory = directory();
    let mut table = String::new();
    let mut add_row = |name: &str, directory: &Directory, pin: Option<&Pin>| {
        let mut seen: BTreeMap<String, u32> = BTreeMap::new();
        for n in 0..300 {
            let entries = directory.entries(NOW + Duration::from_micros(n), pin);
            assert!(entries.iter().any(|host| domain(*host) != domain(entries[0])));
            *seen.entry(format!("{}", entries[0])).or_default() += 1;
        }
        let entries = directory.entries(NOW, pin);
        table.push_str(&format!("{name}: {entries:?}, first {seen:?}\n"));
    };
    add_row("any", &directory, None);
    add_row("cold", &directory, Some(&base));
    add_row("service", &directory, Some(&bookings));
    let resident = vec![(1, digest(&[ADAPTER], 12, 0)), (4, digest(&[ADAPTER], 3, 0))];
    directory.apply_grant(NOW, &grant(resident, Vec::new()));
    add_row("resident on 1 and 4 of one domain", &directory, Some(&base));
    directory.apply_grant(NOW, &grant(Vec::new(), vec![2, 3]));
    add_row("2 and 3 without lease", &directory, None);
    insta::assert_snapshot!(table);
}

#[test]
fn entries_share_a_failure_domain_if_there_is_no_other() {
    let mut directory = Directory::default();
    directory.set_hosts(vec![(1, "a".into()), (2, "a".into())]);
    let mut entries = directory.entries(NOW, None);
    entries.sort_unstable();
    assert_eq!(entries, [1, 2]);
}
