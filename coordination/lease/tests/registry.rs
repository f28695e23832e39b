//! The replicated registry of targets.

mod common;

use lease::Registry;
use wire::{Action, Command, Intent, Move, TargetInfo};

use crate::common::info;

/// Applies commands from index 1 on and records the refused ones.
struct Log {
    registry: Registry,
    index: u64,
    refused: Vec<u64>,
}

impl Log {
    fn new() -> Log {
        Log { registry: Registry::default(), index: 0, refused: Vec::new() }
    }

    fn apply(&mut self, command: Command) -> u64 {
        self.index += 1;
        if !self.registry.apply(self.index, &command) {
            self.refused.push(self.index);
        }
        self.index
    }

    fn register(&mut self, info: TargetInfo) -> u32 {
        let name = info.name.clone();
        self.apply(Command::Register(info));
        self.registry.by_name(&name).expect("registered").id
    }

    fn assign(&mut self, target: u32, owner: Option<(u32, u64)>) -> u64 {
        self.apply(Command::Assign(vec![Move { target, owner }]))
    }

    fn open(&self, target: u32) -> Vec<u64> {
        let target = self.registry.get(target).expect("registered");
        target.intents.iter().map(|open| open.index).collect()
    }
}

fn intent(host: u32, target: u32, incarnation: u64, fence: u64) -> Command {
    Command::Intent(Intent {
        host,
        host_incarnation: 1,
        target,
        incarnation,
        fence,
        adapter: 5,
        action: Action::Load,
    })
}

#[test]
fn names_keep_their_numbers_and_numbers_are_not_reused() {
    let mut log = Log::new();
    let a = log.register(info("a", "d1", 8));
    let b = log.register(info("b", "d1", 8));
    assert_ne!(a, b);
    let changed = TargetInfo { addr: "127.0.9.2:9000".into(), ..info("a", "d2", 16) };
    assert_eq!(log.register(changed.clone()), a);
    assert_eq!(log.registry.get(a).expect("a").info, changed);
    log.apply(Command::Forget(b));
    assert!(log.registry.get(b).is_none() && log.registry.by_name("b").is_none());
    let again = log.register(info("b", "d1", 8));
    assert!(again > b && log.registry.get(again).expect("b").is_new());
    assert_eq!(log.registry.targets().count(), 2);
}

#[test]
fn a_fence_is_the_index_of_the_move() {
    let mut log = Log::new();
    let a = log.register(info("a", "d1", 8));
    let fence = |log: &Log| log.registry.get(a).expect("a").fence;
    let first = log.assign(a, Some((1, 1)));
    assert_eq!(fence(&log), first);
    log.assign(a, Some((1, 1)));
    assert_eq!(fence(&log), first, "the same owner keeps its fence");
    let restarted = log.assign(a, Some((1, 2)));
    assert_eq!(fence(&log), restarted, "a new incarnation of the owner gets a new one");
    let released = log.assign(a, None);
    assert_eq!(fence(&log), released);
    let target = log.registry.get(a).expect("a");
    assert_eq!((target.owner, target.previous_owner), (None, Some((1, 2))));
    let given = log.assign(a, Some((3, 1)));
    let target = log.registry.get(a).expect("a");
    assert_eq!((target.owner, target.previous_owner), (Some((3, 1)), Some((1, 2))));
    assert_eq!(target.fence, given);
    // A move of an unknown target changes nothing; a valid move in the same command is applied.
    let moves = vec![Move { target: 99, owner: None }, Move { target: a, owner: None }];
    let both = log.apply(Command::Assign(moves));
    assert_eq!(fence(&log), both);
}

#[test]
fn intents_are_accepted_from_the_current_owner_only() {
    let mut log = Log::new();
    let a = log.register(info("a", "d1", 8));
    let unowned = log.apply(intent(1, a, 1, 0));
    let fence = log.assign(a, Some((1, 1)));
    let accepted = log.apply(intent(1, a, 1, fence));
    let other_host = log.apply(intent(2, a, 1, fence));
    let unknown = log.apply(intent(1, 99, 1, fence));
    let next = log.assign(a, Some((2, 1)));
    let old_owner = log.apply(intent(1, a, 1, fence));
    let old_fence = log.apply(intent(2, a, 1, fence));
    let second = log.apply(intent(2, a, 1, next));
    assert_eq!(log.refused, [unowned, other_host, unknown, old_owner, old_fence]);
    // The intent of the previous owner stays open.
    assert_eq!(log.open(a), [accepted, second]);
    log.apply(Command::Resolve(accepted));
    log.apply(Command::Resolve(accepted));
    assert_eq!(log.open(a), [second]);
}

#[test]
fn a_restart_ends_the_intents_for_earlier_incarnations() {
    let mut log = Log::new();
    let a = log.register(info("a", "d1", 8));
    let fence = log.assign(a, Some((1, 1)));
    log.apply(intent(1, a, 4, fence));
    let second = log.apply(intent(1, a, 5, fence));
    log.apply(Command::Restarted { target: a, incarnation: 5 });
    assert_eq!(log.open(a), [second]);
    log.apply(Command::Restarted { target: a, incarnation: 4 });
    assert_eq!(log.open(a), [second]);
}

#[test]
fn a_forgotten_target_returns_with_its_open_intents() {
    let mut log = Log::new();
    let a = log.register(info("a", "d1", 8));
    let fence = log.assign(a, Some((1, 1)));
    let open = log.apply(intent(1, a, 4, fence));
    let resolved = log.apply(intent(1, a, 4, fence));
    log.apply(Command::Forget(a));
    log.apply(Command::Resolve(resolved));
    let again = log.register(info("a", "d1", 8));
    assert!(again > a);
    assert_eq!(log.open(again), [open]);
    let target = log.registry.get(again).expect("a");
    assert!(!target.is_new() && target.intents[0].intent.target == again);
    // The old owner's fence is outdated, and `previous_owner` still names the host that must lose
    // its lease first.
    assert_eq!((target.owner, target.previous_owner), (None, Some((1, 1))));
    assert!(target.fence > fence);
    // A restart of the target's process ends the intents under the new id.
    log.apply(Command::Restarted { target: again, incarnation: 5 });
    assert!(log.open(again).is_empty());
}

#[test]
fn snapshots_hold_everything() {
    let mut log = Log::new();
    let a = log.register(info("a", "d1", 8));
    let b = log.register(info("b", "d1", 8));
    let fence = log.assign(a, Some((1, 1)));
    log.assign(b, Some((1, 1)));
    log.apply(intent(1, a, 4, fence));
    log.apply(Command::Forget(b));
    let bytes = wire::encode(&log.registry);
    let back: Registry = wire::decode(&bytes).expect("decodes");
    assert_eq!(back, log.registry);
}
