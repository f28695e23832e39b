//! The changes that the leader and the holders send to all hosts, and following
//! them.

use wire::{Epoch, Feed, FeedChange, Topic};

/// Changes that are kept until they are sent.
#[derive(Debug)]
pub(crate) struct FeedWriter {
    topic: Topic,
    pub(crate) epoch: Epoch,
    pub(crate) last: u64,
    waiting: Vec<FeedChange>,
}

impl FeedWriter {
    pub(crate) fn new(topic: Topic, epoch: Epoch) -> FeedWriter {
        FeedWriter { topic, epoch, last: 0, waiting: Vec::new() }
    }

    pub(crate) fn push(&mut self, change: FeedChange) {
        self.waiting.push(change);
    }

    /// Takes the waiting changes as one message.
    pub(crate) fn flush(&mut self) -> Option<Feed> {
        if self.waiting.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.waiting);
        let after = self.last;
        self.last += changes.len() as u64;
        let topic = self.topic.clone();
        Some(Feed { topic, epoch: self.epoch, after, last: self.last, changes })
    }

    /// Makes the message that replaces everything by a table.
    pub(crate) fn table(&self, changes: Vec<FeedChange>) -> Feed {
        let topic = self.topic.clone();
        Feed { topic, epoch: self.epoch, after: 0, last: self.last, changes }
    }
}

/// Where a host stands in the feed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Position {
    pub(crate) epoch: Epoch,
    pub(crate) last: u64,
}

/// What to do with a message of the feed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Take {
    /// It follows.
    Append,
    /// It replaces everything.
    Replace,
    /// It is old.
    Ignore,
    /// Something is missing before it.
    Resync,
}

impl Position {
    /// Decides about a message.
    pub(crate) fn take(&mut self, feed: &Feed) -> Take {
        if feed.epoch < self.epoch {
            return Take::Ignore;
        }
        if feed.after == 0 && (feed.epoch > self.epoch || feed.last >= self.last) {
            *self = Position { epoch: feed.epoch, last: feed.last };
            return Take::Replace;
        }
        if feed.epoch > self.epoch || feed.after > self.last {
            return Take::Resync;
        }
        if feed.after < self.last {
            return Take::Ignore;
        }
        self.last = feed.last;
        Take::Append
    }
}
