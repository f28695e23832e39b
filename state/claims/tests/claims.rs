//! Tests of the claims table.

mod common;

use claims::{Claims, Retention};
use wire::{Claim, ErrorKind, Outcome, Settle};

use crate::common::{DAY, HOUR, RETENTION, START, claim, describe, done, key, settle};

/// One step: a claim, the end of a claim, or the loss of a host's earlier incarnations.
enum Step {
    Claim(Claim),
    Settle(Settle),
    Lost(u32, u64),
}

use Step::{Claim as C, Lost, Settle as S};

fn not_run() -> Outcome {
    Outcome::NotRun(ErrorKind::NoTarget)
}

fn apply(claims: &mut Claims, step: Step) -> String {
    match step {
        C(claim) => describe(&claims.claim(START, &claim)),
        S(settle) => format!("{}", claims.settle(START, &settle)),
        Lost(host, before) => {
            claims.host_lost(START, host, before);
            format!("holders {:?}", claims.holders())
        }
    }
}

#[test]
fn replies() {
    let c = |request| C(claim("k", request, START));
    let s = |request, outcome| S(settle("k", request, outcome));
    let other = |request| C(Claim { fingerprint: [8; 16], ..claim("k", request, START) });
    let restarted = |request| C(Claim { incarnation: 2, ..claim("k", request, START) });
    let cases: Vec<(&str, Vec<Step>)> = vec![
        ("a resend while the first is open", vec![c(101), c(201)]),
        ("the entry is committed twice", vec![c(101), c(101)]),
        ("another incarnation with the same request number", vec![c(101), restarted(101)]),
        ("done is replayed", vec![c(101), s(101, done("a")), c(201), c(101)]),
        ("another body", vec![c(101), other(201), s(101, done("a")), other(201)]),
        ("not run, then claimed anew", vec![c(101), s(101, not_run()), c(201), c(301)]),
        ("not run, committed again", vec![c(101), s(101, not_run()), c(101), c(201)]),
        ("in doubt stays", vec![c(101), s(101, Outcome::InDoubt), c(201), c(101)]),
        ("only the holder settles", vec![c(101), s(201, done("b")), s(201, not_run()), c(301)]),
        ("nothing to settle", vec![s(101, done("a")), c(101)]),
        ("a settlement committed twice", vec![c(101), s(101, done("a")), s(101, done("a"))]),
        ("done is final", vec![c(101), s(101, done("a")), s(101, done("b")), s(101, not_run())]),
        ("not run is final", vec![c(101), s(101, not_run()), s(101, done("a")), c(201)]),
        (
            "a settlement of an earlier claimer",
            vec![c(101), s(101, not_run()), c(201), s(101, done("a")), c(301)],
        ),
        ("a lost host's claim", vec![c(101), c(202), Lost(1, 2), c(301)]),
        ("a loss of earlier incarnations", vec![c(101), Lost(1, 1), c(301)]),
        ("a loss of another host", vec![c(101), Lost(2, 9), c(301)]),
        (
            "the response comes after the loss",
            vec![c(101), Lost(1, 2), c(201), s(101, done("late")), c(201)],
        ),
        ("not run comes after the loss", vec![c(101), Lost(1, 2), s(101, not_run()), c(201)]),
        (
            "another request ends it after the loss",
            vec![c(101), Lost(1, 2), s(201, done("b")), c(301)],
        ),
        ("a loss after the end", vec![c(101), s(101, done("a")), Lost(1, 2), c(201)]),
    ];
    let mut table = String::new();
    for (name, steps) in cases {
        let mut claims = Claims::new(RETENTION);
        let replies: Vec<_> = steps.into_iter().map(|step| apply(&mut claims, step)).collect();
        table.push_str(&format!("{name}: {}\n", replies.join(", ")));
    }
    insta::assert_snapshot!(table);
}

#[test]
fn unknown_keys_are_granted_by_their_creation_time() {
    let cases = [
        ("now", START, "granted"),
        ("a day ago", START - DAY, "granted"),
        ("more than a day ago", START - DAY - 1, "refused key_expired"),
        ("at the epoch", 0, "refused key_expired"),
        ("an hour ahead", START + HOUR, "granted"),
        ("more than an hour ahead", START + HOUR + 1, "refused key_expired"),
        ("the maximum time", u64::MAX, "refused key_expired"),
    ];
    for (name, made, expected) in cases {
        let mut claims = Claims::new(RETENTION);
        assert_eq!(describe(&claims.claim(START, &claim("k", 101, made))), expected, "{name}");
    }
}

#[test]
fn an_outcome_is_kept_for_the_retention_age_and_its_call_never_runs_again() {
    let mut claims = Claims::new(RETENTION);
    claims.claim(START, &claim("k", 101, START));
    claims.settle(START + 5, &settle("k", 101, done("a")));
    let resend = |claims: &mut Claims, at| describe(&claims.claim(at, &claim("k", 201, START)));
    assert_eq!(resend(&mut claims, START + DAY), "done 200 a");
    assert_eq!(resend(&mut claims, START + DAY + 1), "refused key_expired");
    assert_eq!(claims.counts(), (0, 0));
    // A clock that goes back changes nothing.
    assert_eq!(resend(&mut claims, START + 10), "refused key_expired");
    assert_eq!(resend(&mut claims, 0), "refused key_expired");
}

#[test]
fn an_open_claim_is_never_dropped() {
    let mut claims = Claims::new(Retention { count: 0, bytes: 0, ..RETENTION });
    claims.claim(START, &claim("k", 101, START));
    for n in 0..10 {
        let name = format!("other{n}");
        claims.claim(START, &claim(&name, 300 + n, START));
        claims.settle(START, &settle(&name, 300 + n, Outcome::InDoubt));
    }
    let late = START + 30 * DAY;
    assert_eq!(describe(&claims.claim(late, &claim("k", 201, START))), "refused key_busy");
    assert!(claims.settle(late, &settle("k", 101, done("a"))));
    assert_eq!(claims.counts(), (0, 0));
    assert_eq!(describe(&claims.claim(late, &claim("k", 201, START))), "refused key_expired");
}

#[test]
fn count_and_bytes_raise_the_floor() {
    let bounds = [
        ("count", Retention { count: 2, ..RETENTION }),
        ("bytes", Retention { bytes: 5, ..RETENTION }),
    ];
    for (name, retention) in bounds {
        let mut claims = Claims::new(retention);
        for (n, made) in [(1, START - 30), (2, START - 10), (3, START - 20)] {
            let key = format!("k{n}");
            claims.claim(START, &claim(&key, 100 + n, made));
            assert!(claims.settle(START, &settle(&key, 100 + n, done("ab"))));
        }
        // The claim made first is dropped, and its creation time is the floor.
        assert_eq!(claims.floor(), START - 30, "{name}");
        assert_eq!((claims.counts(), claims.bytes()), ((0, 2), 4), "{name}");
        let mut reply = |key: &str, made| describe(&claims.claim(START, &claim(key, 900, made)));
        assert_eq!(reply("k1", START - 30), "refused key_expired", "{name}");
        assert_eq!(reply("new", START - 30), "refused key_expired", "{name}");
        assert_eq!(reply("new", START - 29), "granted", "{name}");
        assert_eq!(reply("k2", START - 10), "done 200 ab", "{name}");
        assert_eq!(reply("k3", START - 20), "done 200 ab", "{name}");
    }
}

#[test]
fn a_response_above_the_bound_drops_no_others() {
    let mut claims = Claims::new(Retention { bytes: 5, ..RETENTION });
    for (n, body) in [(1, "ab"), (2, "abcdef")] {
        let key = format!("k{n}");
        claims.claim(START, &claim(&key, 100 + n, START - n));
        assert!(claims.settle(START, &settle(&key, 100 + n, done(body))));
    }
    let mut reply = |key: &str| describe(&claims.claim(START, &claim(key, 900, START)));
    assert_eq!(reply("k1"), "done 200 ab");
    assert_eq!(reply("k2"), "refused in_doubt");
}

#[test]
fn a_later_time_for_a_key_keeps_it_longer() {
    let mut claims = Claims::new(RETENTION);
    claims.claim(START, &claim("k", 101, START));
    claims.settle(START, &settle("k", 101, done("a")));
    // A caller that gives each resend a new creation time still finds the entry.
    for days in 1..10 {
        let at = START + days * DAY - 1;
        assert_eq!(describe(&claims.claim(at, &claim("k", 201, at))), "done 200 a");
    }
}

#[test]
fn snapshots_hold_everything() {
    let mut claims = Claims::new(RETENTION);
    claims.claim(START, &claim("a", 101, START));
    claims.claim(START, &claim("b", 102, START));
    claims.settle(START, &settle("b", 102, done("b")));
    let back: Claims = wire::decode(&wire::encode(&claims)).expect("decodes");
    assert_eq!(back, claims);
    assert_eq!(back.holders(), [(1, 1)]);
    assert_eq!(key("a").key, "a");
}
