//! The thread that writes the replicated state to disk.

use std::{
    path::PathBuf,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use fleet::Input;
use replog::{Op, Recovered, Write};
use store::{Disk, RecordFile, StoreError, StreamRecord};
use tokio::sync::mpsc::UnboundedSender;

use wire::error_chain;

enum DiskTask {
    Write(Write),
    /// Append records of streams, as the write of this ticket.
    Records(u64, [StreamRecord; 2]),
    /// Drop the older generation of the records.
    RotateRecords,
    /// Note whether records may be missing.
    MarkRecords(bool),
    /// Open the data folder again, after this delay.
    Reopen(Duration),
}

/// The queue of the disk thread.
pub(crate) struct DiskQueue(Sender<DiskTask>);

/// An open data folder and the state recovered from it.
pub(crate) type Opened = (Box<dyn Disk>, Recovered);

/// Opens a data folder. A new one is given a random identity.
pub(crate) fn open(dir: &std::path::Path) -> Result<Opened, store::StoreError> {
    store::open(dir, rand::random())
}

impl DiskQueue {
    /// Starts the thread, which reports the result of each write to `inputs`.
    pub(crate) fn start(
        dir: PathBuf,
        disk: Box<dyn Disk>,
        records: RecordFile,
        inputs: UnboundedSender<Input>,
    ) -> std::io::Result<DiskQueue> {
        let (sender, tasks) = channel();
        let records = RecordWriter {
            dir: dir.clone(),
            file: Some(records),
            failed: false,
            inputs: inputs.clone(),
        };
        let writer = move || run_writer(&dir, Some(disk), records, &tasks, &inputs);
        thread::Builder::new().name("disk".to_owned()).spawn(writer)?;
        Ok(DiskQueue(sender))
    }

    /// Queues a write; its result arrives as `Input::Synced` or `Input::SyncFailed`.
    pub(crate) fn write(&self, write: Write) {
        let _ = self.0.send(DiskTask::Write(write));
    }

    /// Queues the write of records; `Input::RecordsSynced` follows if it succeeds.
    pub(crate) fn write_records(&self, ticket: u64, records: [StreamRecord; 2]) {
        let _ = self.0.send(DiskTask::Records(ticket, records));
    }

    /// Queues a note whether records may be missing.
    pub(crate) fn mark_records(&self, complete: bool) {
        let _ = self.0.send(DiskTask::MarkRecords(complete));
    }

    /// Queues dropping the older generation of the records.
    pub(crate) fn rotate_records(&self) {
        let _ = self.0.send(DiskTask::RotateRecords);
    }

    /// Queues reopening the folder after a failure, with a delay before each attempt.
    pub(crate) fn reopen(&self, after: Duration) {
        let _ = self.0.send(DiskTask::Reopen(after));
    }
}

/// Writes records of streams, and opens their file again after a failure.
struct RecordWriter {
    dir: PathBuf,
    file: Option<RecordFile>,
    /// Whether the last operation failed; the first of several failures is reported.
    failed: bool,
    inputs: UnboundedSender<Input>,
}

impl RecordWriter {
    /// Carries out an operation. Returns whether it succeeded; the host sends records again that are
    /// not confirmed.
    fn with(&mut self, operation: impl FnOnce(&mut RecordFile) -> Result<(), StoreError>) -> bool {
        let result = self.try_with(operation);
        let failed = result.is_err();
        if let Err(error) = result {
            self.file = None;
            if !self.failed {
                let _ = self.inputs.send(Input::RecordsFailed(error_chain(&error)));
            }
        }
        self.failed = failed;
        !failed
    }

    fn try_with(
        &mut self,
        operation: impl FnOnce(&mut RecordFile) -> Result<(), StoreError>,
    ) -> Result<(), StoreError> {
        let file = match &mut self.file {
            Some(file) => file,
            None => self.file.insert(RecordFile::open(&self.dir)?.0),
        };
        operation(file)
    }
}

/// Carries out tasks until the queue is closed. After a failed write, further writes are
/// dropped until the folder has been reopened.
fn run_writer(
    dir: &std::path::Path,
    mut disk: Option<Box<dyn Disk>>,
    mut records: RecordWriter,
    tasks: &Receiver<DiskTask>,
    inputs: &UnboundedSender<Input>,
) {
    let mut next = None;
    while let Some(task) = next.take().or_else(|| tasks.recv().ok()) {
        match task {
            DiskTask::Records(first, pair) => {
                // Records that wait are synced together.
                let mut last = first;
                let mut batch = pair.to_vec();
                while let Ok(task) = tasks.try_recv() {
                    let DiskTask::Records(ticket, pair) = task else {
                        next = Some(task);
                        break;
                    };
                    last = ticket;
                    batch.extend(pair);
                }
                if records.with(|file| file.append(&batch)) {
                    let _ = inputs.send(Input::RecordsSynced(first, last));
                }
            }
            DiskTask::MarkRecords(complete) => {
                records.with(|file| file.mark(complete));
            }
            DiskTask::RotateRecords => {
                records.with(RecordFile::rotate);
            }
            DiskTask::Write(write) => {
                let Some(open) = &mut disk else { continue };
                let input = match open.write(&write) {
                    Ok(()) => Input::Synced(write.ticket),
                    Err(error) => {
                        disk = None;
                        Input::SyncFailed(error_chain(&error))
                    }
                };
                let _ = inputs.send(input);
            }
            DiskTask::Reopen(after) => {
                drop(disk.take());
                let (opened, recovered) = reopen(dir, after);
                disk = Some(opened);
                let _ = inputs.send(Input::Reopened(Box::new(recovered)));
            }
        }
    }
}

/// Reopens the folder, retrying until a test write succeeds.
fn reopen(dir: &std::path::Path, delay: Duration) -> Opened {
    loop {
        thread::sleep(delay);
        let Ok((mut disk, recovered)) = open(dir) else { continue };
        let probe = Write { ticket: 0, ops: vec![Op::Hard(recovered.hard.clone())] };
        if disk.write(&probe).is_ok() {
            return (disk, recovered);
        }
    }
}
