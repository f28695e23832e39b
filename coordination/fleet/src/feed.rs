//! Feeds: numbered changes that the leader and the holders send to all hosts, and a follower's
//! position in them.

use wire::{Epoch, Feed, FeedChange, Topic};

/// Writer of a feed. It collects changes until they are sent.
#[derive(Debug)]
pub(crate) struct FeedWriter {
    topic: Topic,
    pub(crate) epoch: Epoch,
    pub(crate) last: u64,
    pending: Vec<FeedChange>,
}

impl FeedWriter {
    pub(crate) fn new(topic: Topic, epoch: Epoch) -> FeedWriter {
        FeedWriter { topic, epoch, last: 0, pending: Vec::new() }
    }

    pub(crate) fn push(&mut self, change: FeedChange) {
        self.pending.push(change);
    }

    /// Takes the pending changes as one message; `None` if there are none.
    pub(crate) fn flush(&mut self) -> Option<Feed> {
        if self.pending.is_empty() {
            return None;
        }
        let changes = std::mem::take(&mut self.pending);
        let after = self.last;
        self.last += changes.len() as u64;
        let topic = self.topic.clone();
        Some(Feed { topic, epoch: self.epoch, after, last: self.last, changes })
    }

    /// Returns the message that replaces a follower's whole state by a table.
    pub(crate) fn table(&self, changes: Vec<FeedChange>) -> Feed {
        let topic = self.topic.clone();
        Feed { topic, epoch: self.epoch, after: 0, last: self.last, changes }
    }
}

/// A follower's position in a feed.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) epoch: Epoch,
    pub(crate) last: u64,
}

/// How a follower handles a message of a feed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum FeedAction {
    /// The message continues the feed.
    Append,
    /// The message replaces the whole state.
    Replace,
    /// The message is outdated.
    Ignore,
    /// Changes before the message are missing.
    Resync,
}

impl Position {
    /// Decides how to handle a message, and advances the position if the message is applied.
    pub(crate) fn advance(&mut self, feed: &Feed) -> FeedAction {
        if feed.epoch < self.epoch {
            return FeedAction::Ignore;
        }
        if feed.after == 0 && (feed.epoch > self.epoch || feed.last >= self.last) {
            *self = Position { epoch: feed.epoch, last: feed.last };
            return FeedAction::Replace;
        }
        if feed.epoch > self.epoch || feed.after > self.last {
            return FeedAction::Resync;
        }
        if feed.after < self.last {
            return FeedAction::Ignore;
        }
        self.last = feed.last;
        FeedAction::Append
    }
}
