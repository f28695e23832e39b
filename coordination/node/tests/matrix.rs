//! Matrix of every fault at every step of a request. The verdicts compare what the targets executed
//! with what the caller received.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{Cluster, booking, completion, ready, target::Target};
use node::{CallerRequest, Input, Tag};
use wire::{HostId, Ran};

const TIMEOUT: Duration = Duration::from_secs(40);
const SETTLE: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_secs(8);
const JITTER: Duration = Duration::from_millis(300);
const RESENDS: u32 = 6;
const BODY: &str = "deposit 17";

/// Progress of the request when the fault is injected.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Step {
    Arrived,
    Sent,
    Waiting,
    Running,
    Answering,
    Executed,
}

const STEPS: [Step; 6] =
    [Step::Arrived, Step::Sent, Step::Waiting, Step::Running, Step::Answering, Step::Executed];

/// A fault that is injected; `Term` stands for a requested shutdown.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    KillEntry,
    KillOwner,
    KillLeader,
    FreezeOwner,
    FreezeEntry,
    CutOwner,
    CutEntry,
    CutLeader,
    TermOwner,
    TermEntry,
    TargetCrash,
    TargetGone,
    TargetBreak,
    TargetLeaves,
    AnswerLost,
    AllRestart,
    Late,
    Doubled,
}

const FAULTS: [Fault; 19] = [
    Fault::None,
    Fault::KillEntry,
    Fault::KillOwner,
    Fault::KillLeader,
    Fault::FreezeOwner,
    Fault::FreezeEntry,
    Fault::CutOwner,
    Fault::CutEntry,
    Fault::CutLeader,
    Fault::TermOwner,
    Fault::TermEntry,
    Fault::TargetCrash,
    Fault::TargetGone,
    Fault::TargetBreak,
    Fault::TargetLeaves,
    Fault::AnswerLost,
    Fault::AllRestart,
    Fault::Late,
    Fault::Doubled,
];

/// Hosts and targets of one cell of the matrix.
struct Setup {
    cluster: Cluster,
    entry: HostId,
    owner: HostId,
    leader: HostId,
    /// Index of the target that the request is expected to go to.
    target_idx: usize,
    recovered: bool,
}

fn setup(idempotent: bool) -> Setup {
    let mut cluster = ready(6, 3);
    let target_idx = if idempotent {
        cluster.add_target(Target::engine("e1", 1, false));
        cluster.add_target(Target::engine("e2", 2, true));
        0
    } else {
        cluster.add_target(Target::service("s1", 1));
        cluster.add_target(Target::service("s2", 2));
        0
    };
    cluster.run(SETTLE);
    let owner =
        cluster.owner(&cluster.targets[target_idx].name.clone()).expect("the target has an owner");
    let leader = cluster.leader().expect("there is a leader");
    let other = cluster.owner(&cluster.targets[1].name.clone());
    let entry = (1..=6)
        .rev()
        .find(|&id| id != owner && id != leader && Some(id) != other)
        .expect("six hosts are enough");
    Setup { cluster, entry, owner, leader, target_idx, recovered: false }
}

/// Returns whether the request has reached the step.
fn reached(cluster: &Cluster, step: Step, key: (HostId, Tag)) -> bool {
    let trace = cluster.trace.as_ref().expect("the trace is recorded");
    let seen = |text: &str| trace.iter().any(|line| line.contains(text));
    let executions = cluster.targets.iter().flat_map(|target| &target.executions);
    let mut executions = executions.filter(|execution| execution.body == BODY.as_bytes());
    match step {
        Step::Arrived => true,
        Step::Sent => seen("propose Claim") || seen(": forward "),
        Step::Waiting => seen(": order ") || seen(": call "),
        Step::Running => executions.next().is_some(),
        Step::Answering => seen(" at 0 ") || cluster.responses[&key].ended(),
        Step::Executed => {
            executions.any(|execution| execution.ended) || cluster.responses[&key].ended()
        }
    }
}

fn inject(setup: &mut Setup, fault: Fault) {
    let Setup { cluster, entry, owner, leader, target_idx, .. } = setup;
    let target_idx = running_target(cluster).unwrap_or(*target_idx);
    match fault {
        Fault::None => {}
        Fault::KillEntry => cluster.kill(*entry),
        Fault::KillOwner => cluster.kill(*owner),
        Fault::KillLeader => cluster.kill(*leader),
        Fault::FreezeOwner => cluster.freeze(*owner),
        Fault::FreezeEntry => cluster.freeze(*entry),
        Fault::CutOwner => cluster.isolate(*owner),
        Fault::CutEntry => cluster.isolate(*entry),
        Fault::CutLeader => cluster.isolate(*leader),
        Fault::TermOwner => cluster.input(*owner, Input::Shutdown),
        Fault::TermEntry => cluster.input(*entry, Input::Shutdown),
        Fault::TargetCrash => {
            cluster.break_connections_of(target_idx);
            cluster.targets[target_idx].crash();
            cluster.targets[target_idx].restart();
        }
        Fault::TargetGone => {
            cluster.break_connections_of(target_idx);
            cluster.targets[target_idx].crash();
        }
        Fault::TargetBreak => cluster.break_connections_of(target_idx),
        Fault::TargetLeaves => cluster.targets[target_idx].leaving = true,
        Fault::AnswerLost => {
            for target in &mut cluster.targets {
                target.drop_answer = Some(BODY.to_owned());
            }
        }
        Fault::Late => {
            cluster.links.jitter = JITTER;
            cluster.links.reorder = true;
        }
        Fault::Doubled => cluster.links.duplicate_delay = JITTER,
        Fault::AllRestart => {
            for id in 1..=6 {
                cluster.kill(id);
            }
            for id in 1..=6 {
                cluster.start(id);
            }
        }
    }
}

fn running_target(cluster: &Cluster) -> Option<usize> {
    let runs = |target: &Target| target.executions.iter().any(|it| it.body == BODY.as_bytes());
    cluster.targets.iter().position(runs)
}

/// Waits until the outage is over and then ends the fault, once.
fn end_outage(setup: &mut Setup, fault: Fault, until: Duration) {
    let left = until.saturating_sub(setup.cluster.now);
    setup.cluster.run(left);
    if !std::mem::replace(&mut setup.recovered, true) {
        recover(setup, fault);
    }
}

/// Ends the fault; the rest of the system must work from then on.
fn recover(setup: &mut Setup, fault: Fault) {
    let Setup { cluster, entry, owner, leader, target_idx, .. } = setup;
    match fault {
        Fault::KillEntry | Fault::TermEntry => cluster.restart(*entry),
        Fault::KillOwner | Fault::TermOwner => cluster.restart(*owner),
        Fault::KillLeader => cluster.restart(*leader),
        Fault::FreezeOwner => cluster.thaw(*owner),
        Fault::FreezeEntry => cluster.thaw(*entry),
        Fault::CutOwner | Fault::CutEntry | Fault::CutLeader => cluster.heal(),
        Fault::TargetGone => {
            for target in &mut cluster.targets {
                if !target.up {
                    target.restart();
                }
            }
        }
        Fault::TargetLeaves => cluster.targets[*target_idx].leaving = false,
        Fault::AnswerLost => {
            for target in &mut cluster.targets {
                target.drop_answer = None;
            }
        }
        Fault::Late => {
            cluster.links.jitter = Duration::ZERO;
            cluster.links.reorder = false;
        }
        Fault::Doubled => cluster.links.duplicate_delay = Duration::ZERO,
        _ => {}
    }
}

fn caller(idempotent: bool) -> CallerRequest {
    if idempotent { completion("base@a@v1", BODY) } else { booking("key-1", BODY) }
}

/// Result of one try, as the caller sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Try {
    Answered,
    NotRun,
    Unknown,
    InDoubt,
}

/// Waits for the end of a try and compares what the caller received with what was executed.
fn outcome(
    cluster: &mut Cluster,
    key: (HostId, Tag),
    before: usize,
    failures: &mut BTreeSet<&'static str>,
) -> Try {
    cluster.run_until(TIMEOUT, |it| it.responses[&key].ended() || !it.is_running(key.0));
    let response = cluster.responses[&key].clone();
    if response.complete && response.fault.is_some() {
        failures.insert("both an answer and an error");
    }
    if response.complete {
        let expected = if response.ran == "booking" {
            "[booking 0][booking 1][booking 2]"
        } else {
            "[base@a@v1 0][base@a@v1 1][base@a@v1 2]"
        };
        if response.body != expected.as_bytes() {
            failures.insert("a wrong answer");
        }
        return Try::Answered;
    }
    let Some(fault) = response.fault else { return Try::Unknown };
    if fault.kind == wire::ErrorKind::InDoubt {
        return Try::InDoubt;
    }
    if fault.kind.info().ran != Ran::No {
        return Try::Unknown;
    }
    // Messages that are still in transit could cause an execution after the caller got its error.
    cluster.run(Duration::from_secs(2));
    if runs(cluster) > before {
        failures.insert("reported as not run, but run");
    }
    Try::NotRun
}

fn runs(cluster: &Cluster) -> usize {
    cluster.targets.iter().map(|target| target.runs(BODY)).sum()
}

/// Runs one cell of the matrix and returns its verdict.
fn cell(fault: Fault, step: Step, idempotent: bool) -> String {
    let mut setup = setup(idempotent);
    let mut failures = BTreeSet::new();
    setup.cluster.trace = Some(Vec::new());
    let entry = setup.entry;
    let mut key = setup.cluster.request(entry, caller(idempotent));
    let reached = setup.cluster.run_until(TIMEOUT, |it| reached(it, step, key));
    assert!(reached, "{fault:?} {step:?}");
    inject(&mut setup, fault);
    let until = setup.cluster.now + OUTAGE;
    let mut tries = Vec::new();
    for resend in 0..RESENDS {
        let before = if resend == 0 { 0 } else { runs(&setup.cluster) };
        let end = outcome(&mut setup.cluster, key, before, &mut failures);
        tries.push(end);
        if matches!(end, Try::Answered | Try::InDoubt) {
            break;
        }
        setup.cluster.run(Duration::from_secs(1));
        if resend > 0 {
            end_outage(&mut setup, fault, until);
        }
        let next = (1..=6).filter(|&id| id != entry && id != setup.owner);
        let next = next.filter(|&id| setup.cluster.is_running(id)).max().expect("a host runs");
        key = setup.cluster.request(next, caller(idempotent));
    }
    end_outage(&mut setup, fault, until);
    setup.cluster.run(Duration::from_secs(15));
    if !idempotent && runs(&setup.cluster) > 1 {
        failures.insert("run twice");
    }
    if setup.cluster.targets.iter().any(|target| target.violations > 0) {
        failures.insert("an adapter in use was evicted");
    }
    let after = setup.cluster.request(setup.entry, new_request(idempotent));
    let works = setup.cluster.run_until(TIMEOUT, |it| it.responses[&after].ended());
    if !works || !setup.cluster.responses[&after].complete {
        failures.insert("does not work afterwards");
    }
    verdict(&tries, &failures)
}

fn new_request(idempotent: bool) -> CallerRequest {
    if idempotent { completion("base@b@v1", "another") } else { booking("key-2", "another") }
}

fn verdict(tries: &[Try], failures: &BTreeSet<&'static str>) -> String {
    if !failures.is_empty() {
        let list: Vec<&str> = failures.iter().copied().collect();
        return format!("BROKEN: {}", list.join(", "));
    }
    match (tries.last(), tries.len()) {
        (Some(Try::Answered), 1) => "answered".to_owned(),
        (Some(Try::Answered), _) => "answered to a resend".to_owned(),
        (Some(Try::InDoubt), _) => "in doubt, not repeated".to_owned(),
        (last, count) => format!("{last:?} after {count}"),
    }
}

fn table(idempotent: bool) -> String {
    let mut text = String::new();
    for fault in FAULTS {
        for step in STEPS {
            let line = format!("{fault:?} at {step:?}");
            text.push_str(&format!("{line:<28}{}\n", cell(fault, step, idempotent)));
        }
    }
    println!("{text}");
    text
}

#[test]
fn idempotent_requests() {
    let table = table(true);
    insta::assert_snapshot!(table);
    assert!(!table.contains("BROKEN"));
}

#[test]
fn non_idempotent_calls() {
    let table = table(false);
    insta::assert_snapshot!(table);
    assert!(!table.contains("BROKEN"));
}
