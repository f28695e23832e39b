//! The thread that writes to disk.

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

use wire::chain;

enum Job {
    Write(Write),
    Reopen(Duration),
}

/// The sending side of the disk thread.
pub(crate) struct DiskQueue(Sender<Job>);

/// An open data folder and what was found in it.
pub(crate) type Opened = (Box<dyn Disk>, Recovered);

/// Opens a data folder; a new one gets a random identity.
pub(crate) fn open(dir: &std::path::Path) -> Result<Opened, store::StoreError> {
    store::open(dir, rand::random())
}

impl DiskQueue {
    /// Starts the thread.
    pub(crate) fn start(
        dir: PathBuf,
        disk: Box<dyn Disk>,
        inputs: UnboundedSender<Input>,
    ) -> std::io::Result<DiskQueue> {
        let (sender, receiver) = channel();
        let work = move || write_all(&dir, Some(disk), &receiver, &inputs);
        thread::Builder::new().name("disk".to_owned()).spawn(work)?;
        Ok(DiskQueue(sender))
    }

    /// Queues a write.
    pub(crate) fn write(&self, write: Write) {
        let _ = self.0.send(Job::Write(write));
    }

    /// Opens the folder anew after a failure.
    pub(crate) fn reopen(&self, after: Duration) {
        let _ = self.0.send(Job::Reopen(after));
    }
}

/// Writes until the process ends. After a failure, writes are left out until the
/// folder was opened anew.
fn write_all(
    dir: &std::path::Path,
    mut disk: Option<Box<dyn Disk>>,
    jobs: &Receiver<Job>,
    inputs: &UnboundedSender<Input>,
) {
    while let Ok(job) = jobs.recv() {
        match job {
            Job::Write(write) => {
                let Some(open) = &mut disk else { continue };
                let input = match open.write(&write) {
                    Ok(()) => Input::Synced(write.ticket),
                    Err(error) => {
                        disk = None;
                        Input::SyncFailed(chain(&error))
                    }
                };
                let _ = inputs.send(input);
            }
            Job::Reopen(after) => {
                drop(disk.take());
                let (opened, recovered) = reopen(dir, after);
                disk = Some(opened);
                let _ = inputs.send(Input::Reopened(Box::new(recovered)));
            }
        }
    }
}

/// Opens the folder and sees that it can be written, again and again.
fn reopen(dir: &std::path::Path, pause: Duration) -> Opened {
    loop {
        thread::sleep(pause);
        let Ok((mut disk, recovered)) = open(dir) else { continue };
        let probe = Write { ticket: 0, ops: vec![Op::Hard(recovered.hard.clone())] };
        if disk.write(&probe).is_ok() {
            return (disk, recovered);
        }
    }
}
