//! Tests of a voter in a group of one host that stores its state in a data folder.

use std::{fs, path::Path, time::Duration};

use replog::{Input, Output, Replica, Settings, Write};
use store::{Disk, StoreError, open};
use wire::EntryBody;

const STEP: Duration = Duration::from_millis(10);

/// A disk that fails after a number of writes.
struct FailingDisk {
    disk: Box<dyn Disk>,
    writes_left: usize,
}

impl Disk for FailingDisk {
    fn write(&mut self, write: &Write) -> Result<(), StoreError> {
        if self.writes_left == 0 {
            return Err(StoreError::Stopped { path: "full".into() });
        }
        self.writes_left -= 1;
        self.disk.write(write)
    }
}

/// A running voter and the data that it has applied.
struct Voter {
    replica: Replica,
    disk: FailingDisk,
    now: Duration,
    applied: Vec<String>,
    alarms: usize,
}

impl Voter {
    fn start(dir: &Path, writes: usize) -> Voter {
        let (disk, found) = open(dir, 7).unwrap();
        let settings = Settings {
            host: 1,
            founders: vec![1],
            hosts: vec![1],
            election: 100 * STEP,
            heartbeat: 10 * STEP,
            snapshot_after: 100_000,
            seed: 1,
        };
        let now = Duration::ZERO;
        let (replica, out) = Replica::new(now, settings, Some(found));
        let disk = FailingDisk { disk, writes_left: writes };
        let mut voter = Voter { replica, disk, now, applied: Vec::new(), alarms: 0 };
        voter.handle_outputs(out);
        for _ in 0..400 {
            voter.now += STEP;
            voter.step(Input::Tick);
        }
        voter
    }

    fn step(&mut self, input: Input) {
        let out = self.replica.handle(self.now, input);
        self.handle_outputs(out);
    }

    fn handle_outputs(&mut self, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Write(write) => match self.disk.write(&write) {
                    Ok(()) => self.step(Input::Synced(write.ticket)),
                    Err(e) => self.step(Input::SyncFailed(e.to_string())),
                },
                Output::Apply(entry) => {
                    if let EntryBody::Data(data) = entry.body {
                        self.applied.push(String::from_utf8_lossy(&data).into_owned());
                    }
                }
                Output::Alarm(_) => self.alarms += 1,
                _ => {}
            }
        }
    }

    fn propose(&mut self, from: usize, to: usize) {
        for i in from..to {
            self.step(Input::Propose(format!("entry {i}").into()));
        }
    }
}

fn entry_texts(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("entry {i}")).collect()
}

#[test]
fn committed_entries_survive_a_restart() {
    let dir = tempfile::tempdir().unwrap();
    let mut voter = Voter::start(dir.path(), usize::MAX);
    voter.propose(0, 50);
    assert_eq!(voter.applied, entry_texts(50));
    drop(voter);
    assert_eq!(Voter::start(dir.path(), usize::MAX).applied, entry_texts(50));
}

#[test]
fn an_entry_of_a_torn_write_is_not_applied() {
    let dir = tempfile::tempdir().unwrap();
    let mut voter = Voter::start(dir.path(), usize::MAX);
    voter.propose(0, 10);
    drop(voter);
    let log = dir.path().join("log");
    let bytes = fs::read(&log).unwrap();
    fs::write(&log, &bytes[..bytes.len() - 3]).unwrap();
    let mut voter = Voter::start(dir.path(), usize::MAX);
    assert_eq!(voter.applied, entry_texts(9));
    voter.propose(9, 12);
    assert_eq!(voter.applied, entry_texts(12));
}

#[test]
fn a_voter_whose_disk_fails_keeps_what_it_committed() {
    let dir = tempfile::tempdir().unwrap();
    // Bootstrap of the group, vote and first entry take three writes.
    let mut voter = Voter::start(dir.path(), 3 + 5);
    voter.propose(0, 10);
    assert_eq!(voter.applied, entry_texts(5));
    assert_eq!(voter.alarms, 1);
    assert_eq!(voter.replica.status().leader, None);
    drop(voter);
    assert_eq!(Voter::start(dir.path(), usize::MAX).applied, entry_texts(5));
}
