//! Tests of the data folder: recovery, torn records, damage, missing files and locking.

use std::{
    fs,
    path::{Path, PathBuf},
    sync::{Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use replog::{HardState, Op, Recovered, Write};
use store::{Disk, StoreError, open};
use wire::{Entry, EntryBody, Membership, Snapshot};

/// Serializes the tests: snapshot assertions start `cargo`, and a process that is just being
/// started may hold the lock of a folder that another test has closed.
static SERIAL: Mutex<()> = Mutex::new(());

const FIRST: u64 = 11;
const OTHER: u64 = 12;

fn serialize() -> MutexGuard<'static, ()> {
    SERIAL.lock().unwrap_or_else(PoisonError::into_inner)
}

fn entry(index: u64, term: u64) -> Entry {
    let data = Bytes::from(format!("entry {index} of term {term}"));
    Entry { term, index, body: EntryBody::Data(data) }
}

fn entries(from: u64, to: u64) -> Op {
    Op::Append((from..=to).map(|i| entry(i, 1)).collect())
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    let members = Membership::default();
    Snapshot { index, term, members, state: Bytes::from_static(b"state") }
}

fn hard(term: u64) -> HardState {
    HardState { group: 5, term, voted_for: Some(FIRST), ..HardState::default() }
}

/// Opens the folder and writes each list of changes as one write.
fn fill(dir: &Path, writes: &[Vec<Op>]) {
    let (mut disk, _) = open(dir, FIRST).unwrap();
    for (i, ops) in writes.iter().enumerate() {
        disk.write(&Write { ticket: i as u64 + 1, ops: ops.clone() }).unwrap();
    }
}

fn describe(found: &Recovered) -> String {
    let list: Vec<String> =
        found.entries.iter().map(|e| format!("{}.{}", e.term, e.index)).collect();
    let covered = found.snapshot.as_ref().map_or(0, |s| s.index);
    format!(
        "voter {} term {} vote {:?} snapshot {covered} entries [{}]",
        found.disk,
        found.hard.term,
        found.hard.voted_for,
        list.join(" ")
    )
}

fn reopen(dir: &Path) -> String {
    match open(dir, OTHER) {
        Ok((_, found)) => describe(&found),
        Err(e) => e.to_string().replace(&dir.display().to_string(), "DIR"),
    }
}

fn edit_file(path: PathBuf, edit: impl FnOnce(&mut Vec<u8>)) {
    let mut bytes = fs::read(&path).unwrap();
    edit(&mut bytes);
    fs::write(&path, bytes).unwrap();
}

#[test]
fn recovers_what_was_written() {
    let _guard = serialize();
    let cases: &[(&str, Vec<Vec<Op>>)] = &[
        ("nothing", vec![]),
        ("hard state", vec![vec![Op::Hard(hard(3))]]),
        ("entries", vec![vec![entries(1, 3)], vec![entries(4, 5)]]),
        (
            "truncation",
            vec![vec![entries(1, 5)], vec![Op::Truncate(3), Op::Append(vec![entry(3, 2)])]],
        ),
        (
            "snapshot in the log",
            vec![vec![entries(1, 5)], vec![Op::Snapshot(snapshot(3, 1)), entries(6, 7)]],
        ),
        ("snapshot of another log", vec![vec![entries(1, 5)], vec![Op::Snapshot(snapshot(4, 2))]]),
        (
            "snapshot ahead of the log",
            vec![vec![entries(1, 2)], vec![Op::Snapshot(snapshot(9, 2)), entries(10, 11)]],
        ),
        (
            "two snapshots",
            vec![
                vec![entries(1, 5), Op::Snapshot(snapshot(3, 1))],
                vec![Op::Snapshot(snapshot(5, 1)), entries(6, 6), Op::Hard(hard(9))],
            ],
        ),
    ];
    let mut out = String::new();
    for (name, writes) in cases {
        let dir = tempfile::tempdir().unwrap();
        fill(dir.path(), writes);
        out += &format!("{name}: {}\n", reopen(dir.path()));
    }
    insta::assert_snapshot!(out);
}

/// A file name, the name of the case, and the change made to the file.
type Damage = (&'static str, &'static str, fn(&mut Vec<u8>));

#[test]
fn cuts_a_torn_tail_and_refuses_damage() {
    let _guard = serialize();
    let cases: &[Damage] = &[
        ("log", "last byte gone", |b| b.truncate(b.len() - 1)),
        ("log", "last record's head torn", |b| {
            b.extend([1, 2, 3]);
        }),
        ("log", "zeros behind the last record", |b| b.extend([0; 100])),
        ("log", "middle record changed", |b| b[80] ^= 1),
        ("log", "middle length changed", |b| b[18] ^= 1),
        ("log", "base changed", |b| b[17] ^= 1),
        ("log", "other version", |b| b[0] = 9),
        ("log", "empty", Vec::clear),
        ("hard", "changed", |b| *b.last_mut().unwrap() ^= 1),
        ("hard", "cut", |b| b.truncate(b.len() - 1)),
        ("hard", "longer", |b| b.push(0)),
        ("hard", "other version", |b| b[0] = 2),
        ("identity", "changed", |b| *b.last_mut().unwrap() ^= 1),
        ("identity", "other version", |b| b[0] = 2),
        ("snapshot", "changed", |b| *b.last_mut().unwrap() ^= 1),
        ("snapshot", "other version", |b| b[1] = 1),
    ];
    let mut out = String::new();
    for (file, name, edit) in cases {
        let dir = tempfile::tempdir().unwrap();
        let first = vec![entries(1, 2), Op::Snapshot(snapshot(2, 1)), Op::Hard(hard(3))];
        fill(dir.path(), &[first, vec![entries(3, 5)], vec![entries(6, 8)]]);
        edit_file(dir.path().join(file), edit);
        out += &format!("{file}, {name}: {}\n", reopen(dir.path()));
    }
    insta::assert_snapshot!(out);
}

#[test]
fn refuses_a_folder_with_a_file_missing() {
    let _guard = serialize();
    let mut out = String::new();
    for file in ["identity", "hard", "log", "snapshot"] {
        let dir = tempfile::tempdir().unwrap();
        fill(dir.path(), &[vec![entries(1, 2), Op::Snapshot(snapshot(2, 1))]]);
        fs::remove_file(dir.path().join(file)).unwrap();
        out += &format!("{file}: {}\n", reopen(dir.path()));
    }
    insta::assert_snapshot!(out);
}

#[test]
fn a_torn_last_write_keeps_the_earlier_ones() {
    let _guard = serialize();
    let dir = tempfile::tempdir().unwrap();
    fill(dir.path(), &[vec![entries(1, 3)]]);
    let log = dir.path().join("log");
    let before = fs::read(&log).unwrap().len();
    fill(dir.path(), &[vec![entries(4, 6)]]);
    let whole = fs::read(&log).unwrap();
    for len in (before..whole.len()).step_by(7) {
        fs::write(&log, &whole[..len]).unwrap();
        let (mut disk, found) = open(dir.path(), OTHER).unwrap();
        assert_eq!(found.entries.len(), 3, "cut at {len}");
        disk.write(&Write { ticket: 1, ops: vec![entries(4, 4)] }).unwrap();
        drop(disk);
        let (_, found) = open(dir.path(), OTHER).unwrap();
        assert_eq!(found.entries.len(), 4, "written after a cut at {len}");
    }
}

#[test]
fn an_interrupted_creation_is_repeated() {
    let _guard = serialize();
    let dir = tempfile::tempdir().unwrap();
    fill(dir.path(), &[]);
    fs::remove_file(dir.path().join("identity")).unwrap();
    fs::write(dir.path().join("creating"), b"").unwrap();
    let (_, found) = open(dir.path(), OTHER).unwrap();
    assert_eq!(found.disk, OTHER);
}

#[test]
fn a_folder_opens_once_at_a_time() {
    let _guard = serialize();
    let dir = tempfile::tempdir().unwrap();
    let (disk, _) = open(dir.path(), FIRST).unwrap();
    assert!(matches!(open(dir.path(), OTHER), Err(StoreError::Locked { .. })));
    drop(disk);
    assert!(open(dir.path(), OTHER).is_ok());
}

#[test]
fn nothing_is_written_after_a_failure() {
    let _guard = serialize();
    let dir = tempfile::tempdir().unwrap();
    let (mut disk, _) = open(dir.path(), FIRST).unwrap();
    // A folder in place of the temporary file makes the replacement of the hard state fail.
    fs::create_dir(dir.path().join("hard.tmp")).unwrap();
    let write = |disk: &mut Box<dyn Disk>, ops| disk.write(&Write { ticket: 1, ops });
    assert!(matches!(write(&mut disk, vec![Op::Hard(hard(1))]), Err(StoreError::Io { .. })));
    fs::remove_dir(dir.path().join("hard.tmp")).unwrap();
    assert!(matches!(write(&mut disk, vec![entries(1, 1)]), Err(StoreError::Stopped { .. })));
    drop(disk);
    let (_, found) = open(dir.path(), OTHER).unwrap();
    assert_eq!((found.entries.len(), found.hard.term), (0, 0));
}
