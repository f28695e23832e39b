//! A host's side of its lease.

mod common;

use std::time::Duration;

use lease::{Grantor, HostLease};
use wire::{Digest, Grant, Residency};

use crate::common::{TERMS, ms};

const TERM: u64 = 7;
const ROUND: u64 = TERM << 32;

fn holder() -> HostLease {
    HostLease::new(TERMS, "a".into(), 3)
}

fn send_renewal(holder: &mut HostLease, at: u64) -> wire::Renew {
    holder.due(ms(at), 10, &Digest::default()).expect("a renewal is due")
}

fn grant(sent: u64, term: u64, required: u64) -> Grant {
    Grant {
        sent: ms(sent),
        incarnation: 3,
        duration: ms(term),
        required,
        round: ROUND,
        digests: Vec::new(),
        unleased: Vec::new(),
        leaving: Vec::new(),
    }
}

/// Name, times at which renewals are sent, grants `(received at, sent, term, required index)`, and
/// the expected lease.
type Case = (&'static str, &'static [u64], &'static [(u64, u64, u64, u64)], &'static str);

#[test]
fn leases() {
    // A lease of 4000 ms ends 3600 ms after the renewal was sent.
    let cases: &[Case] = &[
        ("counts from sent", &[1000], &[(1500, 1000, 4000, 5)], "10:..4600"),
        ("shorter term", &[1000], &[(1500, 1000, 2000, 5)], "10:..2600"),
        ("longer term is cut to the lease", &[1000], &[(1500, 1000, 90_000, 5)], "10:..4600"),
        ("refused", &[1000], &[(1500, 1000, 0, 5)], "none"),
        ("arrives too late", &[1000], &[(4700, 1000, 4000, 5)], "none"),
        ("required index not applied", &[1000], &[(1500, 1000, 4000, 11)], "11:..4600"),
        (
            "a refusal keeps the lease",
            &[1000, 2000],
            &[(1100, 1000, 4000, 5), (2100, 2000, 0, 5)],
            "10:..4600",
        ),
        ("extended", &[1000, 2000], &[(1100, 1000, 4000, 5), (2100, 2000, 4000, 5)], "10:..5600"),
        (
            "a higher required index applies to the added time",
            &[1000, 2000],
            &[(1100, 1000, 4000, 5), (2100, 2000, 4000, 20)],
            "10:..4600 20:..5600",
        ),
        (
            "the first required index applies to all",
            &[1000, 2000],
            &[(1100, 1000, 4000, 20), (2100, 2000, 4000, 20)],
            "20:..5600",
        ),
        (
            "after the end the new required index applies",
            &[1000, 5000],
            &[(1100, 1000, 4000, 5), (5100, 5000, 4000, 20)],
            "20:..8600",
        ),
        (
            "reordered grants are ignored",
            &[1000, 2000],
            &[(2100, 2000, 2000, 5), (2200, 1000, 4000, 5)],
            "10:..3600",
        ),
        ("no matching renewal", &[1000], &[(1500, 1200, 4000, 5)], "none"),
    ];
    let mut table = String::new();
    for (name, renewals, grants, expected) in cases {
        let mut holder = holder();
        let mut events: Vec<_> = renewals.iter().map(|at| (*at, None)).collect();
        events.extend(
            grants
                .iter()
                .map(|(at, sent, term, required)| (*at, Some(grant(*sent, *term, *required)))),
        );
        events.sort_by_key(|(at, _)| *at);
        let mut last = 0;
        for (at, event) in events {
            last = at;
            match event {
                None => _ = send_renewal(&mut holder, at),
                Some(grant) => _ = holder.granted(ms(at), &grant),
            }
        }
        let seen = describe(&holder, last);
        table.push_str(&format!("{name}: {seen}\n"));
        assert_eq!(seen, *expected, "{name}");
    }
    insta::assert_snapshot!(table);
}

/// Lists, by applied index, until when the lease is valid from `now` on.
fn describe(holder: &HostLease, now: u64) -> String {
    let mut parts: Vec<String> = Vec::new();
    let mut best = now;
    for applied in [0, 10, 11, 20] {
        let until = (now..20_000).take_while(|at| holder.valid(ms(*at), applied)).last();
        let Some(until) = until.map(|at| at + 1) else { continue };
        assert_eq!(holder.valid_until(applied), Some(ms(until)));
        if until > best {
            parts.push(format!("{applied}:..{until}"));
            best = until;
        }
    }
    if parts.is_empty() { "none".into() } else { parts.join(" ") }
}

#[test]
fn grants_for_another_incarnation_are_ignored() {
    let mut holder = holder();
    send_renewal(&mut holder, 1000);
    assert!(!holder.granted(ms(1100), &Grant { incarnation: 2, ..grant(1000, 4000, 5) }));
    assert!(!holder.valid(ms(1100), 10));
    assert!(holder.granted(ms(1100), &grant(1000, 4000, 5)));
    assert!(holder.valid(ms(1100), 10));
}

#[test]
fn renewals_come_at_quarters_and_sooner_when_unanswered() {
    let mut holder = holder();
    let mut times = Vec::new();
    for at in (0..12_000).step_by(20) {
        if let Some(renew) = holder.due(ms(at), 10, &Digest::default()) {
            times.push(at);
            // Renewals are answered only between 2 s and 5 s.
            if (2000..5000).contains(&at) {
                let sent = renew.sent.as_millis() as u64;
                holder.granted(ms(at), &grant(sent, 4000, 5));
            }
        }
    }
    insta::assert_snapshot!(format!("{times:?}"));
}

#[test]
fn hurry_makes_a_renewal_due_once() {
    let mut holder = holder();
    send_renewal(&mut holder, 1000);
    holder.granted(ms(1010), &grant(1000, 4000, 5));
    assert!(holder.due(ms(1100), 10, &Digest::default()).is_none());
    holder.renew_now();
    assert!(holder.due(ms(1100), 10, &Digest::default()).is_some());
    assert!(holder.due(ms(1200), 10, &Digest::default()).is_none());
}

/// Name, grants `(sent, term of the leader, required index)`, and the state loss reported after the
/// last one.
type StateCase = (&'static str, &'static [(u64, u64, u64)], Option<(u64, u64)>);

#[test]
fn lost_state_is_detected() {
    let cases: &[StateCase] = &[
        ("no loss", &[(1000, 7, 90), (2000, 7, 91), (3000, 8, 95)], None),
        ("same leader, lower index", &[(1000, 7, 90), (2000, 7, 89)], Some((90, 89))),
        ("later leader, lower index", &[(1000, 7, 90), (2000, 8, 12)], Some((90, 12))),
        ("late answer of a replaced leader", &[(1000, 8, 90), (2000, 7, 89)], None),
        ("earlier term after the old lease", &[(1000, 8, 90), (9000, 1, 12)], Some((90, 12))),
        ("earlier term, higher index", &[(1000, 8, 90), (9000, 1, 120)], Some((90, 120))),
    ];
    for (name, grants, expected) in cases {
        let mut holder = holder();
        let mut accepted = true;
        for (sent, term, required) in *grants {
            send_renewal(&mut holder, *sent);
            let grant = Grant { round: term << 32, ..grant(*sent, 4000, *required) };
            accepted = holder.granted(ms(sent + 10), &grant);
        }
        assert_eq!(holder.state_regression(), *expected, "{name}");
        assert_eq!(accepted, *name == "no loss", "{name}");
    }
}

#[test]
fn the_digest_is_sent_until_the_leader_has_it() {
    let mut holder = holder();
    let mut grantor = Grantor::new(ms(0), TERMS, TERM);
    grantor.record_commit(ms(0), 5);
    let empty = Digest::default();
    let full = Digest { resident: vec![Residency { adapter: 1, targets: 1 }], ..empty.clone() };
    // (current digest, whether the renewal arrives, whether the grant arrives)
    let steps = [
        (&empty, false, false),
        (&empty, true, false),
        (&empty, true, true),
        (&empty, true, true),
        (&full, true, false),
        // The leader has the full digest, although it was not confirmed.
        (&empty, true, true),
        (&empty, true, true),
        (&full, false, false),
        (&full, true, true),
        (&full, true, true),
    ];
    let mut sent = Vec::new();
    for (n, (digest, arrives, answered)) in steps.into_iter().enumerate() {
        let now = ms(1000 * (n as u64 + 1));
        let renew = holder.due(now, 10, digest).expect("due");
        sent.push(renew.digest.is_some());
        if arrives {
            let grant = grantor.renew(now, Some(now), 1, renew);
            if answered {
                assert!(holder.granted(now, &grant));
                // The leader passes on the digest that the host sent last.
                assert_eq!(passed_on(&mut grantor, now), *digest);
            }
        }
    }
    let expected = [true, true, true, false, true, true, false, true, true, false];
    assert_eq!(sent, expected);

    // A new leader has no digest yet.
    let mut grantor = Grantor::new(ms(20_000), TERMS, TERM + 1);
    grantor.record_commit(ms(20_000), 6);
    let renew = holder.due(ms(20_000), 10, &full).expect("due");
    let first = grantor.renew(ms(20_000), Some(ms(20_000)), 1, renew);
    assert!(holder.granted(ms(20_000), &first));
    assert_eq!(holder.due(ms(21_000), 10, &full).expect("due").digest, Some(full));
}

/// Returns the digest of host 1 that another host receives.
fn passed_on(grantor: &mut Grantor, now: Duration) -> Digest {
    let renew = common::renew(9, 1, now, 10);
    let grant = grantor.renew(now, Some(now), 9, renew);
    grant.digests.into_iter().find(|(host, _)| *host == 1).expect("host 1").1
}
