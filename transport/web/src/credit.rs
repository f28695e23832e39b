//! How many bytes of an answer may be read.

use std::sync::atomic::{AtomicU64, Ordering::SeqCst};

use tokio::sync::Notify;

/// Bytes that may be read, granted by one side and used by the other.
#[derive(Debug)]
pub(crate) struct Credit {
    bytes: AtomicU64,
    more: Notify,
}

impl Credit {
    pub(crate) fn new(bytes: u32) -> Credit {
        Credit { bytes: AtomicU64::new(u64::from(bytes)), more: Notify::new() }
    }

    pub(crate) fn add(&self, bytes: u32) {
        self.bytes.fetch_add(u64::from(bytes), SeqCst);
        self.more.notify_one();
    }

    /// Waits until bytes may be read and returns how many.
    pub(crate) async fn available(&self) -> usize {
        loop {
            let bytes = self.bytes.load(SeqCst);
            if bytes > 0 {
                return usize::try_from(bytes).unwrap_or(usize::MAX);
            }
            self.more.notified().await;
        }
    }

    /// Uses bytes that are available.
    pub(crate) fn spend(&self, bytes: usize) {
        self.bytes.fetch_sub(bytes as u64, SeqCst);
    }
}
