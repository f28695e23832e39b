//! Following the leader's feed.

use std::time::Duration;

use wire::{FeedChange, FleetMsg, HostId};

use crate::{Event, Host, feed::Take, io::Output, members::JOIN_AGAIN};

impl Host {
    pub(crate) fn resync(&mut self, now: Duration, leader: HostId) {
        if now < self.resynced + JOIN_AGAIN / 4 {
            return;
        }
        self.resynced = now;
        self.send(leader, FleetMsg::Resync);
    }

    pub(crate) fn follow(&mut self, now: Duration, from: HostId, feed: &wire::Feed) {
        let before = self.position.epoch;
        match self.position.take(feed) {
            Take::Ignore => return,
            Take::Resync => return self.resync(now, from),
            Take::Replace => self.targets.clear_feed(),
            Take::Append => {}
        }
        if before != self.position.epoch {
            self.log(Event::Follows { term: feed.epoch.0, last: feed.last });
        }
        for change in &feed.changes {
            self.apply_change(now, change);
        }
        self.out.push(Output::Wake);
    }

    pub(crate) fn apply_change(&mut self, now: Duration, change: &FeedChange) {
        match change {
            FeedChange::Host(card) => {
                if self.hosts.merge(card) {
                    self.share_hosts(now);
                }
            }
            FeedChange::Target(number, card) => {
                self.note_target(card);
                if let Some(target) = self.targets.get_mut(&card.id) {
                    target.number = Some(*number);
                }
            }
            FeedChange::Placed(place) => {
                if let Some(target) = self.targets.numbered(place.target) {
                    target.adapters.insert(place.adapter.clone(), place.version);
                }
            }
            FeedChange::Removed(place) => {
                if let Some(target) = self.targets.numbered(place.target) {
                    target.adapters.remove(&place.adapter);
                }
            }
        }
    }
}
