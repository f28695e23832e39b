//! What holders and other hosts tell each other: loads on boards, what is where in
//! feeds, work in statuses.

use std::time::Duration;

use wire::{Board, DomainId, FleetMsg, HostId, HostStatus, Placement, Topic};

use crate::{Host, feed::Position, io::Output, loads::Step};

/// Time between two boards for up to [`BOARD_HOSTS`] hosts; longer in proportion
/// for more, so that a holder's bytes stay bounded.
const BOARD: Duration = Duration::from_millis(250);
const BOARD_HOSTS: u32 = 12;
/// Time between two messages of a holder's feed for each [`FEED_HOSTS`] hosts, and at
/// most. Hosts that wait for an adapter are told at once.
const FEED: Duration = Duration::from_millis(50);
const FEED_HOSTS: u32 = 16;
const LONGEST_FEED: Duration = Duration::from_millis(250);
/// Time between two statuses while something changes.
const STATUS: Duration = Duration::from_millis(250);
/// The same while nothing does.
const STATUS_AT_REST: Duration = Duration::from_millis(1000);
/// Boards after which a holder that is not heard counts as away.
const SILENT_BOARDS: u32 = 5;
/// Time between two requests for a whole table.
const RESYNC_AGAIN: Duration = Duration::from_millis(100);

/// What a host heard of a failure domain's holder.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Followed {
    pub(crate) position: Position,
    /// When its last board came.
    pub(crate) board: Option<Duration>,
    /// Whether it could give orders then.
    orders: bool,
    resynced: Option<Duration>,
}

impl Host {
    fn board_span(hosts: usize) -> Duration {
        BOARD * (hosts as u32).div_ceil(BOARD_HOSTS).max(1)
    }

    pub(crate) fn send_board(&mut self, now: Duration, domain: &str) {
        let heard = self.hosts.heard(now);
        let orders = self.order_fence(now, domain).is_some();
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if now < holding.boarded + Self::board_span(heard.len()) {
            return;
        }
        holding.boarded = now;
        let board = Board {
            domain: domain.to_owned(),
            orders,
            epoch: holding.feed.epoch,
            last: holding.feed.last,
            loads: holding.loads.running(),
            hosts: heard.len() as u16,
        };
        self.take_board(now, &board);
        for host in heard {
            self.send(host, FleetMsg::Board(board.clone()));
        }
    }

    /// Takes in a holder's board.
    pub(crate) fn board(&mut self, now: Duration, from: HostId, board: &Board) {
        let known = self.followed.entry(board.domain.clone()).or_default();
        let (epoch, last) = (known.position.epoch, known.position.last);
        if board.epoch == epoch {
            self.take_board(now, board);
        }
        if board.epoch > epoch || (board.epoch == epoch && board.last > last) {
            self.resync(now, from, Topic::Targets(board.domain.clone()));
        }
    }

    fn take_board(&mut self, now: Duration, board: &Board) {
        let known = self.followed.entry(board.domain.clone()).or_default();
        known.board = Some(now);
        known.orders = board.orders;
        self.requests.set_hosts(board.hosts);
        self.targets.take_loads(board);
    }

    /// Whether a failure domain's targets get orders now, as far as known.
    pub(crate) fn gets_orders(&self, now: Duration, domain: &str) -> bool {
        if self.holding.contains_key(domain) {
            return self.order_fence(now, domain).is_some();
        }
        let silence = Self::board_span(self.hosts.len()) * SILENT_BOARDS;
        let Some(known) = self.followed.get(domain) else { return false };
        known.orders && known.board.is_some_and(|at| now < at + silence)
    }

    /// Whether any targets get orders now, as far as known.
    pub fn any_orders(&self, now: Duration) -> bool {
        self.desired.holders.keys().any(|domain| self.gets_orders(now, domain))
    }

    /// Asks a feed's writer for the whole table.
    pub(crate) fn resync(&mut self, now: Duration, writer: HostId, topic: Topic) {
        let asked = match &topic {
            Topic::Hosts => &mut self.resynced,
            Topic::Targets(domain) => {
                &mut self.followed.entry(domain.clone()).or_default().resynced
            }
        };
        if asked.is_some_and(|at| now < at + RESYNC_AGAIN) {
            return;
        }
        *asked = Some(now);
        self.send(writer, FleetMsg::Resync(topic));
    }

    /// Asks the holders for their tables that this host doesn't follow yet.
    pub(crate) fn ask_tables(&mut self, now: Duration) {
        let mut missing = Vec::new();
        for (domain, holder) in &self.desired.holders {
            let position = self.followed.get(domain).map(|it| it.position.epoch);
            if position < Some((holder.fence, holder.run)) && holder.host != self.settings.host {
                missing.push((domain.clone(), holder.host));
            }
        }
        for (domain, host) in missing {
            let asked = self.followed.entry(domain.clone()).or_default().resynced;
            if asked.is_none_or(|at| now >= at + RESYNC_AGAIN * 4) {
                self.resync(now, host, Topic::Targets(domain));
            }
        }
    }

    /// The table of a failure domain's targets.
    pub(crate) fn targets_table(&self, domain: &str) -> Option<wire::Feed> {
        let holding = self.holding.get(domain)?;
        Some(holding.feed.table(holding.loads.table()))
    }

    pub(crate) fn carry_steps(&mut self) {
        let mut words = Vec::new();
        for (domain, holding) in &mut self.holding {
            for step in holding.loads.take_steps() {
                match step {
                    Step::Order(order) => self.out.push(Output::Order(order)),
                    Step::Ask { target, addr } => self.out.push(Output::Ask { target, addr }),
                    Step::Tell(change) => holding.feed.push(change),
                    Step::TellNow(hosts, place) => words.push((domain.clone(), hosts, place)),
                    Step::Log(event) => self.out.push(Output::Log(event)),
                }
            }
        }
        for (domain, hosts, place) in words {
            for host in hosts {
                if host == self.settings.host {
                    self.arrived(&domain, &place);
                } else {
                    let (domain, place) = (domain.clone(), place.clone());
                    self.send(host, FleetMsg::Arrived { domain, place });
                }
            }
        }
    }

    /// Takes in that an adapter is at a target, by the feed or ahead of it.
    pub(crate) fn arrived(&mut self, domain: &str, place: &Placement) {
        let Some(target) = self.targets.numbered(domain, place.target) else { return };
        target.adapters.insert(place.adapter.clone(), place.version);
        if self.requests.is_waited_for(&place.adapter) {
            self.out.push(Output::Wake);
        }
    }

    /// Sends what waits in the feeds of this host to all hosts.
    pub(crate) fn flush_feeds(&mut self, now: Duration) {
        let mut feeds = Vec::new();
        if let Some(leading) = &mut self.leading {
            feeds.extend(leading.feed.flush());
        }
        let span = FEED * (self.hosts.len() as u32 / FEED_HOSTS);
        for holding in self.holding.values_mut() {
            if now >= holding.flushed + span.min(LONGEST_FEED) {
                holding.flushed = now;
                feeds.extend(holding.feed.flush());
            }
        }
        for feed in feeds {
            for change in &feed.changes {
                self.apply_change(now, &feed.topic, change);
            }
            let last = feed.last;
            match &feed.topic {
                Topic::Hosts => self.position.last = last,
                Topic::Targets(domain) => {
                    self.followed.entry(domain.clone()).or_default().position.last = last;
                }
            }
            for host in self.hosts.heard(now) {
                self.send(host, FleetMsg::Feed(feed.clone()));
            }
        }
    }

    /// Takes in a host's work at the targets of a failure domain.
    pub(crate) fn status_of(&mut self, now: Duration, from: HostId, status: &HostStatus) {
        if let Some(holding) = self.holding.get_mut(&status.domain) {
            holding.loads.status(now, from, status);
        }
    }

    /// Tells each holder what this host does at its targets.
    pub(crate) fn report(&mut self, now: Duration) {
        if now < self.reported + STATUS {
            return;
        }
        let busy = self.requests.is_active() || self.targets.iter().any(|it| it.own() > 0);
        if !busy && now < self.reported + STATUS_AT_REST {
            return;
        }
        self.reported = now;
        let asked = self.requests.take_asked();
        let own = self.settings.host;
        let holders: Vec<(DomainId, HostId)> =
            self.desired.holders.iter().map(|(domain, it)| (domain.clone(), it.host)).collect();
        for (domain, holder) in holders {
            let running = self.targets.running(&domain);
            let backlogs = self.backlogs(&domain);
            let status = HostStatus { domain, running, asked: asked.clone(), backlogs };
            if holder == own {
                self.status_of(now, own, &status);
            } else {
                self.send(holder, FleetMsg::Status(status));
            }
        }
    }
}
