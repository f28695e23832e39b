//! What the leader does besides the log: it gives the orders, writes the feed,
//! and names the voters.

use std::{collections::BTreeMap, time::Duration};

use desired::Command;
use replog::Input as LogInput;
use wire::{Board, Feed, FeedChange, Fence, FleetMsg, HostId, HostStatus, Index, encode};

use crate::{
    Event, Host,
    feed::FeedWriter,
    io::{Output, Tag},
    loads::{Loads, LoadsSettings, Step},
    machine::SILENT_BEATS,
    operator::Confirming,
    replicated::ELECTION,
};

/// Time between two boards for up to [`BOARD_HOSTS`] hosts; longer in proportion
/// for more, so that the leader's bytes stay bounded.
const BOARD: Duration = Duration::from_millis(250);
const BOARD_HOSTS: u32 = 12;
/// Time between two looks at the voters.
const VOTERS: Duration = Duration::from_millis(500);
/// Added to the time between orders of two holders, for clocks and queues.
const HOLDER_MARGIN: Duration = Duration::from_millis(300);
/// How long a first founder waits for enough voters before it takes changes.
const FIRST_VOTERS: Duration = Duration::from_secs(8);

/// A leader's tables.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) loads: Loads,
    pub(crate) feed: FeedWriter,
    since: Duration,
    /// The fencing number, once this host holds the orders.
    fence: Option<Fence>,
    /// From when on orders may be given.
    from: Option<Duration>,
    boarded: Duration,
    looked: Duration,
    proposed: BTreeMap<(HostId, Tag), Command>,
    reads: Vec<Confirming>,
}

impl Host {
    /// Begins and ends to lead as the log says.
    pub(crate) fn lead_on(&mut self, now: Duration) {
        let status = self.replica.status();
        if status.leading && self.leading.is_none() {
            self.begin_to_lead(now, status.term);
        } else if !status.leading && self.leading.is_some() {
            self.leading = None;
        }
        self.forget_met();
        self.answer_reads(status.quorum_at, status.commit);
        self.carry_steps();
        self.flush_feed(now);
    }

    fn begin_to_lead(&mut self, now: Duration, term: wire::Term) {
        let settings = LoadsSettings {
            window: self.settings.bounds.load_window,
            silence: self.settings.beat * SILENT_BEATS,
        };
        let epoch = (term, self.run);
        let mut leading = Leading {
            loads: Loads::new(settings),
            feed: FeedWriter::new(epoch),
            since: now,
            fence: None,
            from: None,
            boarded: now,
            looked: Duration::ZERO,
            proposed: BTreeMap::new(),
            reads: Vec::new(),
        };
        let cards: Vec<_> = self.targets.iter().map(|it| it.card.clone()).collect();
        for card in cards {
            leading.loads.target(now, &card);
        }
        for card in self.hosts.cards() {
            leading.feed.push(FeedChange::Host(card));
        }
        self.targets.clear_feed();
        self.position = crate::feed::Position { epoch, last: 0 };
        self.leading = Some(leading);
        self.configure_loads();
        let command = Command::Hold { host: self.settings.host, run: self.run };
        self.step_log(now, LogInput::Propose(encode(&command).into()));
    }

    /// Gives the account the engines and versions in force.
    pub(crate) fn configure_loads(&mut self) {
        let (Some(leading), Some(config)) = (&mut self.leading, &self.config) else { return };
        let mut engines = BTreeMap::new();
        for service in config.services.values() {
            if let Some(engine) = &service.engine {
                engines.insert(service.name.clone(), engine.clone());
            }
        }
        leading.loads.configure(engines, self.desired.versions.clone());
    }

    /// Follows a change of the holder. A new holder waits until no order of the
    /// former one can be within the time between two holders.
    pub(crate) fn held_by(&mut self, now: Duration) {
        let Some(holder) = self.desired.holder else { return };
        self.log(Event::Holder { holder: holder.host, fence: holder.fence });
        let own = (holder.host, holder.run) == (self.settings.host, self.run);
        // Another holder would have to wait before it gives orders.
        self.step_log(now, LogInput::Prefer(holder.host == self.settings.host));
        let former = self.desired.former;
        let lease = self.settings.bounds.lease;
        let Some(leading) = &mut self.leading else { return };
        if !own {
            leading.fence = None;
            return;
        }
        leading.fence = Some(holder.fence);
        let same = former.is_none_or(|it| it.host == holder.host);
        let wait = if same { Duration::ZERO } else { lease + HOLDER_MARGIN };
        leading.from = Some(now + wait);
    }

    /// The fencing number under which orders may be given now.
    fn order_fence(&self, now: Duration) -> Option<Fence> {
        let leading = self.leading.as_ref()?;
        let quorum_at = self.replica.status().quorum_at?;
        // No other leader can be elected before an election time has passed.
        if now >= quorum_at + ELECTION / 2 || leading.from.is_none_or(|from| now < from) {
            return None;
        }
        leading.fence
    }

    pub(crate) fn tick_lead(&mut self, now: Duration) {
        if self.leading.is_none() {
            return;
        }
        for card in self.hosts.expire(now) {
            self.log(Event::HostSilent { peer: card.host });
            if let Some(leading) = &mut self.leading {
                leading.loads.forget(card.host);
                leading.feed.push(FeedChange::Host(card));
            }
        }
        self.tick_loads(now);
        self.name_voters(now);
        self.send_board(now);
    }

    /// Lets the account take the steps that are due.
    pub(crate) fn tick_loads(&mut self, now: Duration) {
        let fence = self.order_fence(now);
        if let Some(leading) = &mut self.leading {
            leading.loads.tick(now, fence);
        }
    }

    /// Voters that bear the losses that must be borne at once.
    fn voters_needed(&self) -> usize {
        2 * self.settings.tolerated + 1
    }

    fn name_voters(&mut self, now: Duration) {
        let members: Vec<HostId> =
            self.replica.status().members.members.iter().map(|it| it.host).collect();
        let Some(leading) = &mut self.leading else { return };
        if now < leading.looked + VOTERS {
            return;
        }
        leading.looked = now;
        let needed = self.voters_needed();
        let voters = self.hosts.voters(now, &members, needed);
        self.step_log(now, LogInput::SetVoters(voters));
    }

    fn send_board(&mut self, now: Duration) {
        let heard = self.hosts.heard(now);
        let span = BOARD * (heard.len() as u32).div_ceil(BOARD_HOSTS).max(1);
        let Some(leading) = &mut self.leading else { return };
        if now < leading.boarded + span {
            return;
        }
        leading.boarded = now;
        let board = Board {
            epoch: leading.feed.epoch,
            last: leading.feed.last,
            loads: leading.loads.running(),
            hosts: heard.len() as u16,
        };
        self.take_board(&board);
        for host in heard {
            self.send(host, FleetMsg::Board(board.clone()));
        }
    }

    fn carry_steps(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        for step in leading.loads.take_steps() {
            match step {
                Step::Order(order) => self.out.push(Output::Order(order)),
                Step::Ask { target, addr } => self.out.push(Output::Ask { target, addr }),
                Step::Tell(change) => leading.feed.push(change),
                Step::Log(event) => self.out.push(Output::Log(event)),
            }
        }
    }

    fn flush_feed(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        let Some(feed) = leading.feed.flush() else { return };
        for change in &feed.changes {
            self.apply_change(now, change);
        }
        self.position.last = feed.last;
        self.out.push(Output::Wake);
        for host in self.hosts.heard(now) {
            self.send(host, FleetMsg::Feed(feed.clone()));
        }
    }

    /// Sends the whole table to a host.
    pub(crate) fn send_table(&mut self, to: HostId) {
        let Some(leading) = &mut self.leading else { return };
        let mut changes: Vec<FeedChange> =
            self.hosts.cards().into_iter().map(FeedChange::Host).collect();
        changes.extend(leading.loads.table());
        let feed = Feed { epoch: leading.feed.epoch, after: 0, last: leading.feed.last, changes };
        self.send(to, FleetMsg::Feed(feed));
    }

    pub(crate) fn status_of(&mut self, now: Duration, from: HostId, status: &HostStatus) {
        let Some(leading) = &mut self.leading else { return };
        leading.loads.status(now, from, status);
        let Some(card) = self.hosts.card(from) else { return };
        if card.ready == status.ready && card.run == status.run {
            return;
        }
        let card = wire::HostCard { ready: status.ready, run: status.run, ..card.clone() };
        self.hosts.merge(&card);
        self.log(Event::Host { peer: from, ready: card.ready });
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(card));
        }
    }

    /// Takes a change, unless too few voters would keep it.
    pub(crate) fn propose(&mut self, now: Duration, from: HostId, tag: Tag, command: Command) {
        let voters = self.replica.status().members.members;
        let voters = voters.iter().filter(|it| it.role == wire::Role::Voter).count();
        let needed = self.voters_needed();
        let Some(leading) = &mut self.leading else { return };
        if voters < needed && now < leading.since + FIRST_VOTERS {
            return;
        }
        let waits = leading.proposed.values().any(|it| *it == command);
        leading.proposed.insert((from, tag), command.clone());
        if !waits && !self.desired.is_met(&command) {
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }

    /// Forgets the proposals that are in force.
    fn forget_met(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        leading.proposed.retain(|_, command| !self.desired.is_met(command));
    }

    /// Notes a read, to be confirmed once a quorum has followed this leader after
    /// it was asked.
    pub(crate) fn confirm_read(&mut self, now: Duration, host: HostId, tag: Tag) {
        if let Some(leading) = &mut self.leading {
            leading.reads.push(Confirming { host, tag, asked: now });
        }
    }

    fn answer_reads(&mut self, quorum_at: Option<Duration>, commit: Index) {
        let Some(leading) = &mut self.leading else { return };
        let Some(quorum_at) = quorum_at else { return };
        let (ready, wait): (Vec<_>, Vec<_>) =
            leading.reads.drain(..).partition(|it| it.asked <= quorum_at);
        leading.reads = wait;
        for read in ready {
            if read.host == self.settings.host {
                self.confirmed_read(read.tag, commit);
            } else {
                self.send(read.host, FleetMsg::Confirmed { tag: read.tag, index: commit });
            }
        }
    }
}
