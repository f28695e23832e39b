//! Thread that writes to the data folder and syncs it.

use std::{
    collections::BTreeMap,
    sync::mpsc::{Receiver, Sender, channel},
    thread,
};

use node::Input;
use replog::Write;
use store::Disk;

use wire::error_chain;

use crate::shards::Shards;

/// A batch that has reached this number of changes takes no further write.
const BATCH_OPS: usize = 1024;

/// Ticket of the first write of an incarnation.
const FIRST_TICKET: u64 = 1;

/// Queue of the writes to the disk thread.
#[derive(Debug, Clone)]
pub(crate) struct DiskQueue(Sender<Write>);

impl DiskQueue {
    /// Starts the disk thread. It reports each synced batch and a failed write to `shards`.
    pub(crate) fn start(disk: Box<dyn Disk>, shards: Shards) -> std::io::Result<DiskQueue> {
        let (sender, receiver) = channel();
        let work = move || write_all(disk, &receiver, &shards);
        thread::Builder::new().name("disk".to_owned()).spawn(work)?;
        Ok(DiskQueue(sender))
    }

    /// Queues a write. After a failed write, the thread has ended and all later writes are dropped.
    pub(crate) fn write(&self, write: Write) {
        let _ = self.0.send(write);
    }
}

fn write_all(mut disk: Box<dyn Disk>, receiver: &Receiver<Write>, shards: &Shards) {
    let mut pending = BTreeMap::new();
    let mut next = FIRST_TICKET;
    while let Ok(write) = receiver.recv() {
        pending.insert(write.ticket, write.ops);
        while let Ok(write) = receiver.try_recv() {
            pending.insert(write.ticket, write.ops);
        }
        while let Some(batch) = take_batch(&mut pending, &mut next) {
            if let Err(e) = disk.write(&batch) {
                shards.send_blocking(Input::SyncFailed(error_chain(&e)));
                return;
            }
            shards.send_blocking(Input::Synced(batch.ticket));
        }
    }
}

/// Takes the pending writes from ticket `next` on, up to the first gap, and joins them to one batch
/// with the ticket of the last. Workers may queue writes out of order; they are written in order.
fn take_batch(pending: &mut BTreeMap<u64, Vec<replog::Op>>, next: &mut u64) -> Option<Write> {
    let mut ops = Vec::new();
    let mut ticket = None;
    while ops.len() < BATCH_OPS {
        let Some(more) = pending.remove(next) else { break };
        ops.extend(more);
        ticket = Some(*next);
        *next += 1;
    }
    ticket.map(|ticket| Write { ticket, ops })
}
