//! Every fault at every step of a request. Verdicts come from what the targets
//! executed and from what the caller was told.

mod common;

use std::{collections::BTreeSet, time::Duration};

use common::{Cluster, booking, completion, ready, target::Target};
use node::{Caller, Input, Tag};
use wire::{HostId, Ran};

const LIMIT: Duration = Duration::from_secs(40);
const SETTLE: Duration = Duration::from_secs(6);
const OUTAGE: Duration = Duration::from_secs(8);
const JITTER: Duration = Duration::from_millis(300);
const RESENDS: u32 = 6;
const BODY: &str = "deposit 17";

/// How far the request has come when the fault strikes.
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

/// One cell's hosts and targets.
struct Scene {
    cluster: Cluster,
    entry: HostId,
    owner: HostId,
    leader: HostId,
    /// Index of the target that the request is expected to go to.
    place: usize,
    recovered: bool,
}

fn scene(idempotent: bool) -> Scene {
    let mut cluster = ready(6, 3);
    let place = if idempotent {
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
        cluster.owner(&cluster.targets[place].name.clone()).expect("the target has an owner");
    let leader = cluster.leader().expect("there is a leader");
    let other = cluster.owner(&cluster.targets[1].name.clone());
    let entry = (1..=6)
        .rev()
        .find(|&id| id != owner && id != leader && Some(id) != other)
        .expect("six hosts are enough");
    Scene { cluster, entry, owner, leader, place, recovered: false }
}

/// Returns whether the request has come as far as the step.
fn reached(cluster: &Cluster, step: Step, key: (HostId, Tag)) -> bool {
    let trace = cluster.trace.as_ref().expect("the trace is recorded");
    let seen = |text: &str| trace.iter().any(|line| line.contains(text));
    let run = cluster.targets.iter().flat_map(|target| &target.executions);
    let mut run = run.filter(|execution| execution.body == BODY.as_bytes());
    match step {
        Step::Arrived => true,
        Step::Sent => seen("propose Claim") || seen(": forward "),
        Step::Waiting => seen(": order ") || seen(": call "),
        Step::Running => run.next().is_some(),
        Step::Answering => seen(" at 0 ") || cluster.told[&key].ended(),
        Step::Executed => run.any(|execution| execution.ended) || cluster.told[&key].ended(),
    }
}

fn strike(scene: &mut Scene, fault: Fault) {
    let Scene { cluster, entry, owner, leader, place, .. } = scene;
    let place = running_place(cluster).unwrap_or(*place);
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
            cluster.break_target(place);
            cluster.targets[place].crash();
            cluster.targets[place].restart();
        }
        Fault::TargetGone => {
            cluster.break_target(place);
            cluster.targets[place].crash();
        }
        Fault::TargetBreak => cluster.break_target(place),
        Fault::TargetLeaves => cluster.targets[place].leaving = true,
        Fault::AnswerLost => {
            for target in &mut cluster.targets {
                target.drop_answer = Some(BODY.to_owned());
            }
        }
        Fault::Late => {
            cluster.links.jitter = JITTER;
            cluster.links.reorder = true;
        }
        Fault::Doubled => cluster.links.echo = JITTER,
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

fn running_place(cluster: &Cluster) -> Option<usize> {
    let runs = |target: &Target| target.executions.iter().any(|it| it.body == BODY.as_bytes());
    cluster.targets.iter().position(runs)
}

/// Waits for the end of the outage, once.
fn end_outage(scene: &mut Scene, fault: Fault, until: Duration) {
    let left = until.saturating_sub(scene.cluster.now);
    scene.cluster.run(left);
    if !std::mem::replace(&mut scene.recovered, true) {
        recover(scene, fault);
    }
}

/// Ends the outage, so that what is left of the system must work.
fn recover(scene: &mut Scene, fault: Fault) {
    let Scene { cluster, entry, owner, leader, place, .. } = scene;
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
        Fault::TargetLeaves => cluster.targets[*place].leaving = false,
        Fault::AnswerLost => {
            for target in &mut cluster.targets {
                target.drop_answer = None;
            }
        }
        Fault::Late => {
            cluster.links.jitter = Duration::ZERO;
            cluster.links.reorder = false;
        }
        Fault::Doubled => cluster.links.echo = Duration::ZERO,
        _ => {}
    }
}

fn caller(idempotent: bool) -> Caller {
    if idempotent { completion("base@a@v1", BODY) } else { booking("key-1", BODY) }
}

/// What the caller made of one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Try {
    Answered,
    NotRun,
    Unknown,
    InDoubt,
}

/// Waits for the end of a try and checks what was told against what was run.
fn outcome(
    cluster: &mut Cluster,
    key: (HostId, Tag),
    before: usize,
    broken: &mut BTreeSet<&'static str>,
) -> Try {
    cluster.run_until(LIMIT, |it| it.told[&key].ended() || !it.is_running(key.0));
    let told = cluster.told[&key].clone();
    if told.whole && told.fault.is_some() {
        broken.insert("an answer and an error");
    }
    if told.whole {
        let expected = if told.ran == "booking" {
            "[booking 0][booking 1][booking 2]"
        } else {
            "[base@a@v1 0][base@a@v1 1][base@a@v1 2]"
        };
        if told.body != expected.as_bytes() {
            broken.insert("a wrong answer");
        }
        return Try::Answered;
    }
    let Some(fault) = told.fault else { return Try::Unknown };
    if fault.kind == wire::ErrorKind::InDoubt {
        return Try::InDoubt;
    }
    if fault.kind.row().ran != Ran::No {
        return Try::Unknown;
    }
    // Whatever is still on its way would run after the caller was told.
    cluster.run(Duration::from_secs(2));
    if runs(cluster) > before {
        broken.insert("told not run, but run");
    }
    Try::NotRun
}

fn runs(cluster: &Cluster) -> usize {
    cluster.targets.iter().map(|target| target.runs(BODY)).sum()
}

/// Runs one cell and returns its verdict.
fn cell(fault: Fault, step: Step, idempotent: bool) -> String {
    let mut scene = scene(idempotent);
    let mut broken = BTreeSet::new();
    scene.cluster.trace = Some(Vec::new());
    let entry = scene.entry;
    let mut key = scene.cluster.request(entry, caller(idempotent));
    let reached = scene.cluster.run_until(LIMIT, |it| reached(it, step, key));
    assert!(reached, "{fault:?} {step:?}");
    strike(&mut scene, fault);
    let until = scene.cluster.now + OUTAGE;
    let mut tries = Vec::new();
    for resend in 0..RESENDS {
        let before = if resend == 0 { 0 } else { runs(&scene.cluster) };
        let end = outcome(&mut scene.cluster, key, before, &mut broken);
        tries.push(end);
        if matches!(end, Try::Answered | Try::InDoubt) {
            break;
        }
        scene.cluster.run(Duration::from_secs(1));
        if resend > 0 {
            end_outage(&mut scene, fault, until);
        }
        let next = (1..=6).filter(|&id| id != entry && id != scene.owner);
        let next = next.filter(|&id| scene.cluster.is_running(id)).max().expect("a host runs");
        key = scene.cluster.request(next, caller(idempotent));
    }
    end_outage(&mut scene, fault, until);
    scene.cluster.run(Duration::from_secs(15));
    if !idempotent && runs(&scene.cluster) > 1 {
        broken.insert("run twice");
    }
    if scene.cluster.targets.iter().any(|target| target.violations > 0) {
        broken.insert("evicted in use");
    }
    let after = scene.cluster.request(scene.entry, fresh(idempotent));
    let works = scene.cluster.run_until(LIMIT, |it| it.told[&after].ended());
    if !works || !scene.cluster.told[&after].whole {
        broken.insert("does not work afterwards");
    }
    verdict(&tries, &broken)
}

fn fresh(idempotent: bool) -> Caller {
    if idempotent { completion("base@b@v1", "another") } else { booking("key-2", "another") }
}

fn verdict(tries: &[Try], broken: &BTreeSet<&'static str>) -> String {
    if !broken.is_empty() {
        let list: Vec<&str> = broken.iter().copied().collect();
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
