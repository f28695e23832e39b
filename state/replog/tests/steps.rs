//! A single replica, driven message by message.

use std::time::Duration;

use replog::{HardState, Input, Output, Recovered, Replica, Settings};
use wire::{Entry, EntryBody, HostId, Index, LogBody, LogMsg, Member, Membership, Role, Term};

const GROUP: u64 = 5;
const ELECTION: Duration = Duration::from_secs(1);

fn members() -> Membership {
    let member = |host| Member { host, disk: 100 + u64::from(host), role: Role::Voter };
    Membership { members: (1..=3).map(member).collect() }
}

fn settings() -> Settings {
    Settings {
        host: 1,
        founders: vec![1, 2, 3],
        hosts: vec![1, 2, 3],
        election: ELECTION,
        heartbeat: ELECTION / 10,
        snapshot_after: 100,
        seed: 1,
    }
}

fn recovered(terms: &[Term]) -> Recovered {
    let hard = HardState { group: GROUP, founders: members(), term: 3, voted_for: None };
    let mut entries = Vec::new();
    for (i, &term) in terms.iter().enumerate() {
        entries.push(Entry { term, index: i as Index + 1, body: EntryBody::Noop });
    }
    Recovered { disk: 101, hard, snapshot: None, entries }
}

fn msg(from: HostId, term: Term, body: LogBody) -> Input {
    let disk = Some(100 + u64::from(from));
    Input::Msg { from, msg: LogMsg { group: GROUP, disk, term, body } }
}

/// Handles an input and confirms the writes that it causes.
fn step(replica: &mut Replica, now: Duration, input: Input) -> Vec<Output> {
    let mut out = replica.handle(now, input);
    let mut at = 0;
    while at < out.len() {
        if let Output::Write(write) = &out[at] {
            let ticket = write.ticket;
            out.extend(replica.handle(now, Input::Synced(ticket)));
        }
        at += 1;
    }
    out
}

/// Starts a replica with entries of the given terms and makes it lead term 4.
fn leader(terms: &[Term]) -> (Replica, Duration) {
    let (mut replica, _) = Replica::new(Duration::ZERO, settings(), Some(recovered(terms)));
    let now = 3 * ELECTION;
    step(&mut replica, now, Input::Tick);
    step(&mut replica, now, msg(2, 4, LogBody::PreVoted { granted: true }));
    step(&mut replica, now, msg(2, 4, LogBody::Voted { granted: true }));
    assert_eq!(replica.status().leader, Some(1));
    (replica, now)
}

fn appended(index: Index) -> LogBody {
    LogBody::Appended { round: 1, index, accepted: true }
}

#[test]
fn entries_of_older_terms_are_committed_with_one_of_the_leaders_term() {
    let (mut replica, now) = leader(&[1, 2]);
    step(&mut replica, now, msg(2, 4, appended(2)));
    assert_eq!(replica.status().commit, 0);
    assert!(!replica.status().leading);
    step(&mut replica, now, msg(2, 4, appended(3)));
    assert_eq!(replica.status().commit, 3);
    assert!(replica.status().leading);
}

#[test]
fn a_leader_counts_itself_only_when_synced() {
    let (mut replica, now) = leader(&[1, 2]);
    step(&mut replica, now, msg(2, 4, appended(3)));
    let out = replica.handle(now, Input::Propose("data".into()));
    let sends = |o: &Output| matches!(o, Output::Send { msg, .. } if matches!(msg.body, LogBody::Append { .. }));
    assert!(out.iter().any(sends), "entries are sent before the leader has synced them");
    replica.handle(now, msg(2, 4, appended(4)));
    assert_eq!(replica.status().commit, 3);
    let Some(Output::Write(write)) = out.iter().find(|o| matches!(o, Output::Write(_))) else {
        panic!("no write");
    };
    replica.handle(now, Input::Synced(write.ticket));
    assert_eq!(replica.status().commit, 4);
}

#[test]
fn a_heartbeat_confirms_the_time_it_was_sent() {
    let (mut replica, now) = leader(&[1]);
    let late = now + ELECTION / 2;
    step(&mut replica, late, msg(2, 4, appended(2)));
    assert_eq!(replica.status().quorum_at, Some(now));
}

#[test]
fn no_vote_is_granted_within_an_election_timeout_of_a_leader_or_the_start() {
    let vote = || msg(2, 9, LogBody::Vote { last: 9, last_term: 8 });
    let pre_vote = || msg(2, 9, LogBody::PreVote { last: 9, last_term: 8 });
    let heartbeat =
        LogBody::Append { round: 1, prev: 1, prev_term: 1, entries: Vec::new(), commit: 0 };
    let contact = 2 * ELECTION;
    let mut seen = String::new();
    for (name, has_contact, at) in [
        ("half an election timeout after the start", false, ELECTION / 2),
        ("an election timeout after the start", false, ELECTION),
        ("half an election timeout after a heartbeat", true, contact + ELECTION / 2),
        ("an election timeout after a heartbeat", true, contact + ELECTION),
    ] {
        let disk = Some(recovered(&[1]));
        let (mut replica, _) = Replica::new(Duration::ZERO, settings(), disk);
        if has_contact {
            step(&mut replica, contact, msg(3, 3, heartbeat.clone()));
        }
        let pre = granted(&step(&mut replica, at, pre_vote()));
        let term = replica.status().term;
        let voted = granted(&step(&mut replica, at, vote()));
        seen += &format!("{name}: pre-vote {pre} at term {term}, vote {voted}\n");
    }
    insta::assert_snapshot!(seen);
}

fn granted(out: &[Output]) -> bool {
    out.iter().any(|o| match o {
        Output::Send { msg, .. } => matches!(
            msg.body,
            LogBody::PreVoted { granted: true } | LogBody::Voted { granted: true }
        ),
        _ => false,
    })
}

/// On a congested or lossy link, heartbeats can overtake entries and are then rejected because
/// these entries are missing. Such rejections must not cause the entries to be resent again and
/// again.
#[test]
fn rejections_that_overtake_entries_do_not_cause_resends() {
    let (mut replica, now) = leader(&[1]);
    step(&mut replica, now, msg(2, 4, appended(2)));
    for _ in 0..3 {
        step(&mut replica, now, Input::Propose("data".into()));
    }
    let rejection = LogBody::Appended { round: 1, index: 2, accepted: false };
    let mut sent = 0;
    for round in 1..=4 {
        let at = now + round * ELECTION / 10;
        let out = step(&mut replica, at, msg(2, 4, rejection.clone()));
        sent += out.iter().filter(|o| has_entries(o)).count();
    }
    assert!(sent <= 1, "{sent} messages with entries in less than half an election timeout");
    let at = now + 2 * ELECTION;
    step(&mut replica, at, msg(3, 4, appended(5)));
    let out = step(&mut replica, at, msg(2, 4, rejection));
    assert!(out.iter().any(has_entries), "lost entries are resent eventually");
}

fn has_entries(out: &Output) -> bool {
    let Output::Send { to: 2, msg } = out else { return false };
    matches!(&msg.body, LogBody::Append { entries, .. } if !entries.is_empty())
}
