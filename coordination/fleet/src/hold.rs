//! Holders: the hosts that give the orders to the targets of a failure domain, one
//! for each. A holder needs no leader to go on for a while, so orders are given
//! through an election, and the loss of one holder concerns one failure domain.
//!
//! The leader names holders in the log. A holder gives orders for
//! [`HOLD_LEASES`] lease times after it sent the last renewal that a leader with a
//! quorum answered. The leader names another host after twice nothing: that time
//! has passed since its last answer, or since it began to lead; and the new one
//! waits one lease time more.

use std::{collections::BTreeMap, time::Duration};

use desired::{Command, Holder};
use wire::{
    Board, DomainId, FeedChange, Fence, FleetMsg, HostId, HostStatus, Placement, Renewal,
    TargetCard, TargetState, Topic, encode,
};

use crate::{
    Event, Host,
    elsewhere::Elsewhere,
    feed::{FeedWriter, Position},
    io::Output,
    loads::{Loads, LoadsSettings, Step},
    machine::SILENT_BEATS,
};

/// Lease times that a holder goes on after its last renewal.
pub(crate) const HOLD_LEASES: u32 = 2;
/// Added to the times between two holders, for clocks and queues.
pub(crate) const HOLDER_MARGIN: Duration = Duration::from_millis(300);
/// Time between two renewals of a holder.
const RENEW: Duration = Duration::from_millis(250);
/// The same of a host that holds nothing.
const RENEW_AT_REST: Duration = Duration::from_millis(1000);
/// Time between two boards for up to [`BOARD_HOSTS`] hosts; longer in proportion
/// for more, so that a holder's bytes stay bounded.
const BOARD: Duration = Duration::from_millis(250);
const BOARD_HOSTS: u32 = 12;
/// Time between two messages of a holder's feed for each [`FEED_HOSTS`] hosts, and at
/// most. Hosts that wait for an adapter are told at once.
const FEED: Duration = Duration::from_millis(50);
const FEED_HOSTS: u32 = 16;
const LONGEST_FEED: Duration = Duration::from_millis(250);
/// Boards after which a holder that is not heard counts as away.
const SILENT_BOARDS: u32 = 5;
/// Time between two looks at the targets of other failure domains.
const LOOK: Duration = Duration::from_millis(250);
/// Time between two tries to say that a holder begins.
const BEGIN_AGAIN: Duration = Duration::from_millis(1000);
/// Time between two requests for a whole table.
const RESYNC_AGAIN: Duration = Duration::from_millis(100);

/// What a holder keeps of its failure domain.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) loads: Loads,
    pub(crate) feed: FeedWriter,
    fence: Fence,
    /// From when on orders may be given.
    from: Duration,
    /// When it was last said that it begins.
    begun: Option<Duration>,
    boarded: Duration,
    /// When the feed was last sent.
    flushed: Duration,
    looked: Duration,
    /// Whether orders could be given at the last look.
    ordering: bool,
}

impl Heard {
    /// When the holder's last board came.
    pub(crate) fn board_at(&self) -> Option<Duration> {
        self.board
    }
}

/// What a host heard of a failure domain's holder.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Heard {
    pub(crate) position: Position,
    /// When its last board came.
    board: Option<Duration>,
    /// Whether it could give orders then.
    orders: bool,
    resynced: Option<Duration>,
}

impl Host {
    /// Returns the holder of a failure domain.
    pub fn holder(&self, domain: &str) -> Option<HostId> {
        self.desired.holders.get(domain).map(|it| it.host)
    }

    /// Begins and ends to hold as the replicated state says.
    pub(crate) fn follow_holders(&mut self, now: Duration) {
        let (host, run) = (self.settings.host, self.run);
        let holders = &self.desired.holders;
        self.holding.retain(|domain, it| {
            holders.get(domain).is_some_and(|holder| holder.fence == it.fence && holder.run == run)
        });
        let mut new = Vec::new();
        for (domain, holder) in holders {
            if (holder.host, holder.run) == (host, run) && !self.holding.contains_key(domain) {
                new.push((domain.clone(), *holder));
            }
        }
        for (domain, holder) in new {
            self.begin_to_hold(now, domain, holder);
        }
    }

    fn begin_to_hold(&mut self, now: Duration, domain: DomainId, holder: Holder) {
        let wait = match holder.waits {
            true => self.settings.bounds.lease + HOLDER_MARGIN,
            false => Duration::ZERO,
        };
        let epoch = (holder.fence, self.run);
        let mut loads = Loads::new(LoadsSettings {
            domain: domain.clone(),
            window: self.settings.bounds.load_window,
            silence: self.settings.beat * SILENT_BEATS,
        });
        for target in self.targets.iter().filter(|it| it.card.domain == domain) {
            loads.target(now, &target.card);
        }
        let holding = Holding {
            loads,
            feed: FeedWriter::new(Topic::Targets(domain.clone()), epoch),
            fence: holder.fence,
            from: now + wait,
            begun: None,
            boarded: now,
            flushed: Duration::ZERO,
            looked: Duration::ZERO,
            ordering: false,
        };
        self.targets.clear_feed(&domain);
        self.heard.entry(domain.clone()).or_default().position = Position { epoch, last: 0 };
        self.holding.insert(domain, holding);
        self.configure_loads();
    }

    /// Gives the accounts the engines and versions in force.
    pub(crate) fn configure_loads(&mut self) {
        let Some(config) = &self.config else { return };
        if self.holding.is_empty() {
            return;
        }
        let mut engines = BTreeMap::new();
        for service in config.services.values() {
            if let Some(engine) = &service.engine {
                engines.insert(service.name.clone(), engine.clone());
            }
        }
        for holding in self.holding.values_mut() {
            holding.loads.configure(engines.clone(), self.desired.versions.clone());
        }
    }

    /// The fencing number under which orders may be given now.
    fn order_fence(&self, now: Duration, domain: &str) -> Option<Fence> {
        let holding = self.holding.get(domain)?;
        let lapses = self.renewed? + self.settings.bounds.lease * HOLD_LEASES;
        (!self.stopping && now >= holding.from && now < lapses).then_some(holding.fence)
    }

    /// Tells the leader that this host is there.
    pub(crate) fn renew(&mut self, now: Duration) {
        let span = if self.holding.is_empty() { RENEW_AT_REST } else { RENEW };
        if self.renewing.is_some_and(|at| now < at + span) {
            return;
        }
        self.renewing = Some(now);
        let own = self.settings.host;
        let Some(leader) = self.leader else { return };
        if leader != own {
            let sent_ms = now.as_millis() as u64;
            let renewal = Renewal { run: self.run, ready: self.is_ready(), sent_ms };
            self.send(leader, FleetMsg::Renew(renewal));
        } else if self.answers_renewal(now, own) {
            self.renewed = Some(now);
        }
    }

    /// Takes in that a leader answered the renewal that was sent at a time.
    pub(crate) fn renewal_answered(&mut self, sent_ms: u64) {
        self.renewed = self.renewed.max(Some(Duration::from_millis(sent_ms)));
    }

    /// Lets the accounts take the steps that are due.
    pub(crate) fn tick_loads(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.holding.keys().cloned().collect();
        for domain in domains {
            let fence = self.order_fence(now, &domain);
            if let Some(holding) = self.holding.get_mut(&domain) {
                holding.loads.tick(now, fence);
            }
        }
    }

    pub(crate) fn tick_holding(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.holding.keys().cloned().collect();
        for domain in domains {
            self.look_elsewhere(now, &domain);
            self.note_ordering(now, &domain);
            self.say_begun(now, &domain);
            self.send_board(now, &domain);
        }
        self.tick_loads(now);
        self.ask_tables(now);
    }

    fn look_elsewhere(&mut self, now: Duration, domain: &str) {
        let domains = self.domains().len();
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if now < holding.looked + LOOK {
            return;
        }
        holding.looked = now;
        let elsewhere = Elsewhere::new(domain, &self.targets, domains);
        holding.loads.set_elsewhere(elsewhere);
    }

    fn note_ordering(&mut self, now: Duration, domain: &str) {
        let ordering = self.order_fence(now, domain).is_some();
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if std::mem::replace(&mut holding.ordering, ordering) == ordering {
            return;
        }
        let fence = holding.fence;
        let age = self.renewed.map(|at| now.saturating_sub(at).as_millis() as u64);
        let domain = domain.to_owned();
        self.log(Event::Orders { domain, may: ordering, fence, renewed_ms: age });
    }

    /// Has it written that a holder began, so that a later run of this host need
    /// not wait.
    fn say_begun(&mut self, now: Duration, domain: &str) {
        if self.order_fence(now, domain).is_none() {
            return;
        }
        let waits = self.desired.holders.get(domain).is_some_and(|it| it.waits);
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if !waits || holding.begun.is_some_and(|at| now < at + BEGIN_AGAIN) {
            return;
        }
        holding.begun = Some(now);
        let command = Command::Begin { domain: domain.to_owned(), fence: holding.fence };
        // Operators' calls are numbered from one.
        let tag = u64::MAX - holding.fence;
        let own = self.settings.host;
        match self.leader {
            Some(leader) if leader == own => self.propose(now, own, tag, command),
            Some(leader) => {
                let command = encode(&command).into();
                self.send(leader, FleetMsg::Propose { tag, command });
            }
            None => {}
        }
    }

    fn board_span(hosts: usize) -> Duration {
        BOARD * (hosts as u32).div_ceil(BOARD_HOSTS).max(1)
    }

    fn send_board(&mut self, now: Duration, domain: &str) {
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
        let known = self.heard.entry(board.domain.clone()).or_default();
        let (epoch, last) = (known.position.epoch, known.position.last);
        if board.epoch == epoch {
            self.take_board(now, board);
        }
        if board.epoch > epoch || (board.epoch == epoch && board.last > last) {
            self.resync(now, from, Topic::Targets(board.domain.clone()));
        }
    }

    fn take_board(&mut self, now: Duration, board: &Board) {
        let known = self.heard.entry(board.domain.clone()).or_default();
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
        let silence = Self::board_span(self.hosts.all().len()) * SILENT_BOARDS;
        let Some(known) = self.heard.get(domain) else { return false };
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
            Topic::Targets(domain) => &mut self.heard.entry(domain.clone()).or_default().resynced,
        };
        if asked.is_some_and(|at| now < at + RESYNC_AGAIN) {
            return;
        }
        *asked = Some(now);
        self.send(writer, FleetMsg::Resync(topic));
    }

    /// Asks the holders for their tables that this host doesn't follow yet.
    fn ask_tables(&mut self, now: Duration) {
        let mut missing = Vec::new();
        for (domain, holder) in &self.desired.holders {
            let followed = self.heard.get(domain).map(|it| it.position.epoch);
            if followed < Some((holder.fence, holder.run)) && holder.host != self.settings.host {
                missing.push((domain.clone(), holder.host));
            }
        }
        for (domain, host) in missing {
            let asked = self.heard.entry(domain.clone()).or_default().resynced;
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

    /// Takes in that an adapter that is waited for is there, ahead of the feed.
    pub(crate) fn arrived(&mut self, domain: &str, place: &Placement) {
        if let Some(target) = self.targets.numbered(domain, place.target) {
            target.adapters.insert(place.adapter.clone(), place.version);
            self.out.push(Output::Wake);
        }
    }

    /// Sends what waits in the feeds of this host to all hosts.
    pub(crate) fn flush_feeds(&mut self, now: Duration) {
        let mut feeds = Vec::new();
        if let Some(leading) = &mut self.leading {
            feeds.extend(leading.feed.flush());
        }
        let span = FEED * (self.hosts.all().len() as u32 / FEED_HOSTS);
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
                    self.heard.entry(domain.clone()).or_default().position.last = last;
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

    /// Tells each holder what this host does at its targets: after `active`, or
    /// after `at_rest` while there is nothing new.
    pub(crate) fn report(&mut self, now: Duration, active: Duration, at_rest: Duration) {
        let busy = self.requests.is_active() || self.targets.iter().any(|it| it.own() > 0);
        let span = if busy { active } else { at_rest };
        if now < self.reported + span {
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

    /// Takes in what a target is, if this host holds its failure domain.
    pub(crate) fn hold_target(&mut self, now: Duration, card: &TargetCard) -> bool {
        let Some(holding) = self.holding.get_mut(&card.domain) else { return false };
        holding.loads.target(now, card);
        true
    }

    /// Takes in that requests of another host wait for an adapter.
    pub(crate) fn wanted(
        &mut self,
        now: Duration,
        from: HostId,
        service: &str,
        adapter: &str,
        waiting: u16,
    ) {
        for holding in self.holding.values_mut() {
            holding.loads.want(now, from, service, adapter, waiting);
        }
        self.tick_loads(now);
    }

    /// The account of a target's places, if this host keeps it.
    pub(crate) fn loads_of(&mut self, target: &str) -> Option<&mut Loads> {
        self.holding.values_mut().map(|it| &mut it.loads).find(|it| it.has(target))
    }
}

/// A target that has been silent, as its holder tells it.
pub(crate) fn silent(number: u16, card: TargetCard) -> FeedChange {
    FeedChange::Target(number, TargetCard { state: TargetState::Silent, ..card })
}
