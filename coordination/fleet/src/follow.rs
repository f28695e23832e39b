//! Following the feeds of the leader and the holders.

use std::time::Duration;

use wire::{FeedChange, HostId, Topic};

use crate::{Event, Host, feed::Take, io::Output};

impl Host {
    pub(crate) fn follow(&mut self, now: Duration, from: HostId, feed: &wire::Feed) {
        let position = match &feed.topic {
            Topic::Hosts => &mut self.position,
            Topic::Targets(domain) => {
                &mut self.followed.entry(domain.clone()).or_default().position
            }
        };
        let before = position.epoch;
        match position.take(feed) {
            Take::Ignore => return,
            Take::Resync => return self.resync(now, from, feed.topic.clone()),
            Take::Replace => {
                if let Topic::Targets(domain) = &feed.topic {
                    self.targets.clear_feed(domain);
                }
            }
            Take::Append => {}
        }
        if before != feed.epoch {
            let (of, number, last) = (feed.topic.clone(), feed.epoch.0, feed.last);
            self.log(Event::Follows { of, writer: from, number, last });
        }
        for change in &feed.changes {
            self.apply_change(now, &feed.topic, change);
        }
    }

    pub(crate) fn apply_change(&mut self, now: Duration, topic: &Topic, change: &FeedChange) {
        let domain = match topic {
            Topic::Hosts => "",
            Topic::Targets(domain) => domain.as_str(),
        };
        match change {
            FeedChange::Host(card) => {
                if self.hosts.merge(card) {
                    self.share_hosts(now);
                }
            }
            FeedChange::Barred(request) => self.bar(*request),
            FeedChange::Target(number, card) => {
                if self.note_target(card) {
                    self.out.push(Output::Wake);
                }
                if let Some(target) = self.targets.get_mut(&card.id) {
                    target.number = Some(*number);
                }
            }
            FeedChange::Placed(place) => self.arrived(domain, place),
            FeedChange::Removed(place) => {
                if let Some(target) = self.targets.numbered(domain, place.target) {
                    target.adapters.remove(&place.adapter);
                }
            }
        }
    }
}
