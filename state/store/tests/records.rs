//! Tests of the files of recorded streams: what a host has confirmed is found after a restart, and
//! what may be missing is known to be missing.

use std::{fs, path::Path};

use store::{RecordFile, StreamRecord};
use tempfile::TempDir;

/// Opens the files and returns them with the records in order, and whether none is missing.
fn open(dir: &Path) -> (RecordFile, Vec<StreamRecord>, bool) {
    let (file, mut kept) = RecordFile::open(dir).expect("the folder can be used");
    kept.records.sort_unstable();
    (file, kept.records, kept.is_complete)
}

fn reopen(dir: &Path) -> (Vec<StreamRecord>, bool) {
    let (_, records, is_complete) = open(dir);
    (records, is_complete)
}

/// Makes files that may miss nothing.
fn new_files() -> (TempDir, RecordFile) {
    let dir = TempDir::new().expect("a folder can be made");
    let (mut file, records, is_complete) = open(dir.path());
    assert_eq!((records, is_complete), (Vec::new(), false));
    file.mark(true).expect("it can be noted");
    (dir, file)
}

/// Guards against confirmed records that a restart loses.
#[test]
fn records_are_found_after_a_restart() {
    let (dir, mut file) = new_files();
    file.append(&[(1, 10), (2, 20)]).expect("it is written");
    file.append(&[(3, 30)]).expect("it is written");
    drop(file);
    let (mut file, records, is_complete) = open(dir.path());
    assert_eq!((records, is_complete), (vec![(1, 10), (2, 20), (3, 30)], true));
    file.append(&[(4, 40)]).expect("it is written");
    drop(file);
    assert_eq!(reopen(dir.path()).0.len(), 4);
}

/// Guards against records that are dropped before their streams have ended, or never.
#[test]
fn records_live_for_two_generations() {
    let (dir, mut file) = new_files();
    for record in [(1, 10), (2, 20), (3, 30)] {
        file.append(&[record]).expect("it is written");
        if record.0 < 3 {
            file.rotate().expect("it is rotated");
        }
    }
    drop(file);
    assert_eq!(reopen(dir.path()), (vec![(2, 20), (3, 30)], true));
}

/// Guards against a record that was not fully written and makes those after it unreadable.
#[test]
fn a_torn_record_is_cut_off() {
    let (dir, mut file) = new_files();
    file.append(&[(1, 10)]).expect("it is written");
    file.append(&[(2, 20)]).expect("it is written");
    drop(file);
    let path = dir.path().join("streams");
    let bytes = fs::read(&path).expect("it can be read");
    for torn in 1..8 {
        fs::write(&path, &bytes[..bytes.len() - torn]).expect("it can be written");
        let (mut file, records, is_complete) = open(dir.path());
        assert_eq!((records, is_complete), (vec![(1, 10)], true));
        file.append(&[(3, 30)]).expect("it is written");
        drop(file);
        assert_eq!(reopen(dir.path()), (vec![(1, 10), (3, 30)], true));
    }
}

/// Guards against a new, damaged or marked folder that is taken for one that misses no record.
#[test]
fn missing_records_are_known_to_be_missing() {
    let dir = TempDir::new().expect("a folder can be made");
    assert_eq!(reopen(dir.path()), (Vec::new(), false));
    // A restart before that was noted otherwise.
    assert_eq!(reopen(dir.path()), (Vec::new(), false));

    let (dir, mut file) = new_files();
    file.append(&[(1, 10)]).expect("it is written");
    file.append(&[(2, 20)]).expect("it is written");
    drop(file);
    let path = dir.path().join("streams");
    let mut bytes = fs::read(&path).expect("it can be read");
    bytes[18] ^= 1;
    fs::write(&path, bytes).expect("it can be written");
    assert!(!reopen(dir.path()).1);
    assert!(!reopen(dir.path()).1);

    let (dir, mut file) = new_files();
    file.append(&[(1, 10)]).expect("it is written");
    file.mark(false).expect("it can be noted");
    drop(file);
    let (mut file, records, is_complete) = open(dir.path());
    assert_eq!((records, is_complete), (vec![(1, 10)], false));
    file.mark(true).expect("it can be noted");
    drop(file);
    assert_eq!(reopen(dir.path()), (vec![(1, 10)], true));
}
