//! How hosts find each other and the leader.

use std::time::Duration;

use replog::Input as LogInput;
use wire::{FeedChange, FleetMsg, HostCard, HostId, Incarnation, Topic};

use crate::{Event, Host};

/// Time between two introductions while no leader is known.
pub(crate) const JOIN_AGAIN: Duration = Duration::from_millis(400);

impl Host {
    /// Tells the leader, or everyone if this host leads, what it is.
    pub(crate) fn tell_card(&mut self, card: HostCard) {
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(card));
        } else if let Some(leader) = self.leader {
            self.send(leader, FleetMsg::Join(card));
        }
    }

    /// Looks for the leader while none is known.
    pub(crate) fn join(&mut self, now: Duration) {
        let founder = self.hosts.founder(now, self.settings.first_start, &self.settings.seeds);
        let status = self.replica.status();
        if founder == Some(self.settings.host) && status.group == 0 {
            self.step_log(now, LogInput::SetFounders(vec![self.settings.host]));
        }
        let follows = status.leader.is_some() && self.position.epoch.0 >= status.term;
        if follows || self.leading.is_some() {
            return;
        }
        if self.joined.is_some_and(|at| now < at + JOIN_AGAIN) {
            return;
        }
        self.joined = Some(now);
        let card = self.hosts.own().clone();
        let seeds = self.settings.seeds.clone();
        let mut asked = self.hosts.ask(&seeds);
        asked.extend(self.leader.or(self.hint));
        for host in asked {
            self.send(host, FleetMsg::Join(card.clone()));
        }
    }

    pub(crate) fn joined_by(&mut self, now: Duration, from: HostId, card: &HostCard) {
        if card.host != from {
            return;
        }
        let new = self.hosts.merge(card);
        self.hosts.hear(now, from);
        if new {
            self.log(Event::Host { peer: card.host, ready: card.ready });
            self.share_hosts(now);
        }
        let roster = FleetMsg::Roster {
            leader: self.leader,
            founder: self.hosts.founder(now, self.settings.first_start, &self.settings.seeds),
            cards: self.hosts.cards(),
        };
        self.send(from, roster);
        if let Some(leading) = &mut self.leading {
            if new {
                leading.feed.push(FeedChange::Host(card.clone()));
            }
            self.send_table(from, &Topic::Hosts);
        }
    }

    pub(crate) fn roster(
        &mut self,
        now: Duration,
        leader: Option<HostId>,
        founder: Option<HostId>,
        cards: &[HostCard],
    ) {
        let mut new = false;
        for card in cards {
            // A host speaks for itself: what others tell of one that is known
            // may be old.
            if self.hosts.card(card.host).is_none() {
                new |= self.hosts.merge(card);
            }
        }
        if new {
            self.share_hosts(now);
        }
        if let Some(leader) = leader.filter(|&it| it != self.settings.host) {
            self.hint = Some(leader);
            self.step_log(now, LogInput::Hint(leader));
        }
        if founder == Some(self.settings.host)
            && self.replica.status().group == 0
            && self.settings.first_start
        {
            self.step_log(now, LogInput::SetFounders(vec![self.settings.host]));
        }
    }

    pub(crate) fn share_hosts(&mut self, now: Duration) {
        let hosts = self.hosts.all();
        self.step_log(now, LogInput::SetHosts(hosts));
    }

    pub(crate) fn leaving(&mut self, now: Duration, from: HostId, run: Incarnation) {
        self.note_left(from, run);
        let Some(card) = self.hosts.card(from).cloned() else { return };
        if card.run != run || !card.ready {
            return;
        }
        let card = HostCard { ready: false, ..card };
        self.hosts.merge(&card);
        self.hosts.hear(now, from);
        self.log(Event::Host { peer: from, ready: false });
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(card));
        }
    }
}
