//! The thread that writes to disk.

use std::{
    collections::BTreeMap,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use node::Input;
use replog::Write;
use store::Disk;

use wire::chain;

use crate::shards::Shards;

/// The most changes that one sync covers.
const BATCH_OPS: usize = 1024;

/// The number of the first write of a run.
const FIRST_TICKET: u64 = 1;

/// The sending side of the disk thread.
#[derive(Debug, Clone)]
pub(crate) struct DiskQueue(Sender<Write>);

impl DiskQueue {
    /// Starts the thread.
    pub(crate) fn start(disk: Box<dyn Disk>, shards: Shards) -> std::io::Result<DiskQueue> {
        let (sender, receiver) = channel();
        let work = move || write_all(disk, &receiver, &shards);
        thread::Builder::new().name("disk".to_owned()).spawn(work)?;
        Ok(DiskQueue(sender))
    }

    /// Queues a write. After a failed write, nothing further is written.
    pub(crate) fn write(&self, write: Write) {
        let _ = self.0.send(write);
    }
}

fn write_all(mut disk: Box<dyn Disk>, receiver: &Receiver<Write>, shards: &Shards) {
    let mut waiting = BTreeMap::new();
    let mut next = FIRST_TICKET;
    while let Ok(write) = receiver.recv() {
        waiting.insert(write.ticket, write.ops);
        while let Ok(write) = receiver.try_recv() {
            waiting.insert(write.ticket, write.ops);
        }
        while let Some(batch) = take_batch(&mut waiting, &mut next) {
            if let Err(e) = disk.write(&batch) {
                shards.send_blocking(Input::SyncFailed(chain(&e)));
                return;
            }
            shards.send_blocking(Input::Synced(batch.ticket));
        }
    }
}

/// Joins the writes that follow the last one. Workers may hand writes in out of
/// order; they are written in order.
fn take_batch(waiting: &mut BTreeMap<u64, Vec<replog::Op>>, next: &mut u64) -> Option<Write> {
    let mut ops = Vec::new();
    let mut ticket = None;
    while ops.len() < BATCH_OPS {
        let Some(more) = waiting.remove(next) else { break };
        ops.extend(more);
        ticket = Some(*next);
        *next += 1;
    }
    ticket.map(|ticket| Write { ticket, ops })
}
