//! Flow control of an answer by credit.

use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

use tokio::sync::Notify;

/// The number of bytes that may be read: added by the receiver, spent by the reader.
#[derive(Debug)]
pub(crate) struct Credit {
    bytes: AtomicU64,
    added: Notify,
}

impl Credit {
    pub(crate) fn new(bytes: u32) -> Credit {
        Credit { bytes: AtomicU64::new(u64::from(bytes)), added: Notify::new() }
    }

    pub(crate) fn add(&self, bytes: u32) {
        self.bytes.fetch_add(u64::from(bytes), SeqCst);
        self.added.notify_one();
    }

    /// Waits until there is credit and returns it, in bytes.
    pub(crate) async fn available(&self) -> usize {
        loop {
            let bytes = self.bytes.load(SeqCst);
            if bytes > 0 {
                return usize::try_from(bytes).unwrap_or(usize::MAX);
            }
            self.added.notified().await;
        }
    }

    /// Subtracts bytes from the credit; there must be that many.
    pub(crate) fn spend(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes as u64, SeqCst);
    }
}
