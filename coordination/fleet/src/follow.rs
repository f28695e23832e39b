//! Application of the feeds of the leader and the holders.

use std::time::Duration;

use wire::{FeedChange, HostId, Topic};

use crate::{Event, Host, feed::FeedAction, io::Output};

impl Host {
    pub(crate) fn handle_feed(&mut self, now: Duration, from: HostId, feed: &wire::Feed) {
        let position = match &feed.topic {
            Topic::Hosts => &mut self.position,
            Topic::Targets(domain) => {
                &mut self.holder_views.entry(domain.clone()).or_default().position
            }
        };
        let before = position.epoch;
        match position.advance(feed) {
            FeedAction::Ignore => return,
            FeedAction::Resync => return self.resync(now, from, feed.topic.clone()),
            FeedAction::Replace => match &feed.topic {
                Topic::Targets(domain) => self.targets.clear_feed(domain),
                Topic::Hosts => {
                    self.reset_suspects(&feed.changes);
                    self.hosts.clear_cut();
                }
            },
            FeedAction::Append => {}
        }
        if before != feed.epoch {
            let (of, number, last) = (feed.topic.clone(), feed.epoch.0, feed.last);
            self.log(Event::Follows { of, writer: from, number, last });
        }
        for change in &feed.changes {
            self.apply_change(now, &feed.topic, change);
            if let FeedChange::Target(_, record) = change {
                self.contradict(from, record);
            }
        }
    }

    pub(crate) fn apply_change(&mut self, now: Duration, topic: &Topic, change: &FeedChange) {
        let domain = match topic {
            Topic::Hosts => "",
            Topic::Targets(domain) => domain.as_str(),
        };
        match change {
            FeedChange::Host(record) => {
                if self.hosts.merge(record) {
                    self.update_log_hosts(now);
                }
            }
            FeedChange::Suspected(record) => self.merge_suspect(now, record),
            FeedChange::Reach(host, cut) => self.hosts.set_cut(*host, *cut),
            FeedChange::Cleared(suspect) => self.clear_suspect(suspect),
            FeedChange::Target(number, record) => {
                if self.merge_target(now, record) {
                    self.out.push(Output::RetryWaiting);
                }
                if let Some(target) = self.targets.get_mut(&record.id) {
                    target.number = Some(*number);
                }
            }
            FeedChange::Limit(number, limit) => {
                if let Some(target) = self.targets.by_number(domain, *number) {
                    let id = target.record.id.clone();
                    self.limit_published(now, &id, *limit);
                }
            }
            FeedChange::Placed(placement) => self.apply_placement(domain, placement),
            FeedChange::Removed(placement) => {
                if let Some(target) = self.targets.by_number(domain, placement.target) {
                    target.adapters.remove(&placement.adapter);
                }
            }
        }
    }
}
