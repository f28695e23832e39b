//! The thread that writes the replicated state to disk.

use std::{
    path::PathBuf,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
    time::Duration,
};

use fleet::Input;
use replog::{Op, Recovered, Write};
use store::Disk;
use tokio::sync::mpsc::UnboundedSender;

use wire::error_chain;

enum DiskTask {
    Write(Write),
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
        inputs: UnboundedSender<Input>,
    ) -> std::io::Result<DiskQueue> {
        let (sender, tasks) = channel();
        let writer = move || run_writer(&dir, Some(disk), &tasks, &inputs);
        thread::Builder::new().name("disk".to_owned()).spawn(writer)?;
        Ok(DiskQueue(sender))
    }

    /// Queues a write; its result arrives as `Input::Synced` or `Input::SyncFailed`.
    pub(crate) fn write(&self, write: Write) {
        let _ = self.0.send(DiskTask::Write(write));
    }

    /// Queues reopening the folder after a failure, with a delay before each attempt.
    pub(crate) fn reopen(&self, after: Duration) {
        let _ = self.0.send(DiskTask::Reopen(after));
    }
}

/// Carries out tasks until the queue is closed. After a failed write, further writes are
/// dropped until the folder has been reopened.
fn run_writer(
    dir: &std::path::Path,
    mut disk: Option<Box<dyn Disk>>,
    tasks: &Receiver<DiskTask>,
    inputs: &UnboundedSender<Input>,
) {
    while let Ok(task) = tasks.recv() {
        match task {
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
