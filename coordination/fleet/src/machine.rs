//! A whole host as one state machine, without its callers' bytes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use desired::{Applied, Command, Desired};
use replog::{Input as LogInput, Output as LogOutput, Recovered, Replica};
use wire::{
    Entry, EntryBody, FeedChange, FleetMsg, HostCard, HostId, Incarnation, Index, LogMsg, PeerMsg,
    Snapshot, TargetCard, TargetState, decode, decode_state, encode,
};

use crate::{
    Config, Event, Routes, Settings, Targets, Turns,
    feed::{Position, Take},
    hosts::Hosts,
    io::{Input, Output, Tag},
    lead::Leading,
    operator::{Desk, Question},
    request::Requests,
};

/// Shortest time without a leader before an election.
const ELECTION: Duration = Duration::from_millis(900);
/// Time between a leader's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(150);
/// Entries after which a snapshot is due.
const SNAPSHOT_AFTER: u64 = 24;
/// Time between two introductions while no leader is known.
const JOIN_AGAIN: Duration = Duration::from_millis(400);
/// Time between two tries to open a data folder that failed.
const REOPEN: Duration = Duration::from_millis(500);
/// Time between two statuses while something changes.
const STATUS: Duration = Duration::from_millis(250);
/// The same while nothing does.
const STATUS_AT_REST: Duration = Duration::from_millis(1000);
/// Heartbeats of a target after which it counts as gone.
pub(crate) const SILENT_BEATS: u32 = 4;

/// One host of the system.
#[derive(Debug)]
pub struct Host {
    pub(crate) settings: Settings,
    pub(crate) run: Incarnation,
    pub(crate) replica: Replica,
    pub(crate) desired: Desired,
    /// When each version was applied here.
    pub(crate) named: BTreeMap<String, Duration>,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) routes: Arc<Routes>,
    pub(crate) hosts: Hosts,
    pub(crate) targets: Targets,
    pub(crate) position: Position,
    pub(crate) requests: Requests,
    pub(crate) leading: Option<Leading>,
    desk: Desk,
    /// Whether what is in force was confirmed since the start.
    confirmed: bool,
    stopping: bool,
    joined: Option<Duration>,
    reported: Duration,
    resynced: Duration,
    leader: Option<HostId>,
    pub(crate) turns: Turns,
    pub(crate) noted_prompts: Duration,
    /// A leader that others named.
    hint: Option<HostId>,
    pub(crate) out: Vec<Output>,
}

impl Host {
    /// Starts a host. `seed` seeds its random choices.
    pub fn new(
        now: Duration,
        settings: Settings,
        run: Incarnation,
        disk: Option<Recovered>,
        seed: u64,
    ) -> (Host, Vec<Output>) {
        let card = HostCard {
            host: settings.host,
            run,
            domain: settings.domain.clone(),
            disk: disk.is_some(),
            ready: false,
        };
        let held = disk.as_ref().and_then(last_holder);
        let (replica, outputs) = Replica::new(now, log_settings(&settings, seed), disk);
        let mut host = Host {
            hosts: Hosts::new(card),
            run,
            replica,
            desired: Desired::default(),
            named: BTreeMap::new(),
            config: None,
            routes: Arc::default(),
            targets: Targets::default(),
            position: Position::default(),
            requests: Requests::default(),
            leading: None,
            desk: Desk::default(),
            confirmed: false,
            stopping: false,
            joined: None,
            reported: now,
            resynced: now,
            leader: None,
            turns: Turns::default(),
            noted_prompts: now,
            hint: None,
            out: Vec::new(),
            settings,
        };
        host.log(Event::Started {
            name: host.settings.name.clone(),
            domain: host.settings.domain.clone(),
            disk: host.hosts.own().disk,
            first_start: host.settings.first_start,
        });
        host.carry_out(now, outputs);
        if let Some(holder) = held {
            let own = holder == host.settings.host;
            host.step_log(now, LogInput::Prefer(own));
        }
        let out = host.finish(now);
        (host, out)
    }

    /// Takes one step.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Peer { from, msg } => self.peer(now, from, msg),
            Input::Synced(ticket) => self.step_log(now, LogInput::Synced(ticket)),
            Input::SyncFailed(reason) => self.sync_failed(now, reason),
            Input::Reopened(disk) => self.reopened(now, *disk),
            Input::Beat { card, held } => self.beat(now, card, held),
            Input::Left { id } => self.left(now, &id),
            Input::Change { tag, command } => self.desk.change(now, tag, command),
            Input::Read { tag } => self.desk.read(now, tag),
            Input::Ordered { target, outcome } => {
                if let Some(leading) = &mut self.leading {
                    leading.loads.ordered(now, &target, outcome);
                }
                self.tick_loads(now);
            }
            Input::Reported { target, report } => {
                if let Some(leading) = &mut self.leading {
                    leading.loads.reported(now, &target, report.as_ref());
                }
                self.tick_loads(now);
            }
            Input::Reload(settings) => self.reload(*settings),
            Input::Stop => self.stop(now),
        }
        self.finish(now)
    }

    /// Whether the host takes callers.
    pub fn is_ready(&self) -> bool {
        self.knows_config() && !self.stopping
    }

    /// Whether the host knows which configuration is in force.
    pub fn knows_config(&self) -> bool {
        self.confirmed && self.config.is_some()
    }

    /// Returns the settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the configuration in force here.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.clone()
    }

    /// Returns the leader, if known.
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Returns the targets.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Returns the hosts that callers may use, those of a failure domain first if
    /// there are at least two in it.
    pub fn entries(&self, domain: Option<&str>) -> Vec<HostId> {
        let all: Vec<&HostCard> = self.hosts.ready().collect();
        let near: Vec<HostId> =
            all.iter().filter(|it| Some(it.domain.as_str()) == domain).map(|it| it.host).collect();
        if near.len() >= 2 {
            return near;
        }
        all.iter().map(|it| it.host).collect()
    }

    pub(crate) fn log(&mut self, event: Event) {
        self.out.push(Output::Log(event));
    }

    pub(crate) fn send(&mut self, to: HostId, msg: FleetMsg) {
        if to != self.settings.host {
            self.out.push(Output::Send { to, msg: PeerMsg::Fleet(Box::new(msg)) });
        }
    }

    pub(crate) fn finish(&mut self, now: Duration) -> Vec<Output> {
        self.ask_leader(now);
        self.lead_on(now);
        let applied = self.replica.status().applied;
        for (tag, reply) in self.desk.answers(now, applied, &self.desired) {
            self.out.push(Output::Answer { tag, reply });
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Duration) {
        self.step_log(now, LogInput::Tick);
        self.confirm();
        self.join(now);
        self.report(now);
        self.tick_lead(now);
        self.tick_requests(now);
        let granted = self.turns.tick(now);
        self.tell_turns(granted, 0);
        self.note_prompts(now);
    }

    /// Notes that what is in force here was confirmed by a leader.
    fn confirm(&mut self) {
        let status = self.replica.status();
        if !self.confirmed
            && status.leader.is_some()
            && status.commit > 0
            && status.applied >= status.commit
        {
            self.confirmed = true;
        }
        let ready = self.is_ready();
        if self.hosts.own().ready != ready {
            self.hosts.set_ready(ready);
            let card = self.hosts.own().clone();
            self.log(Event::Host { host: card.host, ready });
            self.tell_card(card);
        }
    }

    /// Tells the leader, or everyone if this host leads, what it is.
    fn tell_card(&mut self, card: HostCard) {
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(card));
        } else if let Some(leader) = self.leader {
            self.send(leader, FleetMsg::Join(card));
        }
    }

    /// Looks for the leader while none is known.
    fn join(&mut self, now: Duration) {
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

    fn report(&mut self, now: Duration) {
        let span = if self.requests.is_active() { STATUS } else { STATUS_AT_REST };
        if now < self.reported + span {
            return;
        }
        self.reported = now;
        let mut status =
            self.requests.status(&self.targets, self.run, self.is_ready(), self.position);
        status.backlogs = self.backlogs();
        if let Some(leading) = &mut self.leading {
            leading.loads.status(now, self.settings.host, &status);
        } else if let Some(leader) = self.leader {
            self.send(leader, FleetMsg::Status(status));
        }
    }

    /// Sends operators' questions to the leader.
    fn ask_leader(&mut self, now: Duration) {
        let leader = if self.leading.is_some() { Some(self.settings.host) } else { self.leader };
        let Some(leader) = leader else { return };
        let own = self.settings.host;
        for question in self.desk.due(now) {
            match question {
                Question::Propose(tag, command) if leader == own => {
                    self.propose(now, own, tag, command);
                }
                Question::Propose(tag, command) => {
                    let command = encode(&command).into();
                    self.send(leader, FleetMsg::Propose { tag, command });
                }
                Question::Confirm(tag) if leader == own => self.confirm_read(now, own, tag),
                Question::Confirm(tag) => self.send(leader, FleetMsg::Confirm { tag }),
            }
        }
    }

    pub(crate) fn confirmed_read(&mut self, tag: Tag, index: Index) {
        self.desk.confirmed(tag, index);
    }

    fn peer(&mut self, now: Duration, from: HostId, msg: PeerMsg) {
        self.hosts.hear(now, from);
        match msg {
            PeerMsg::Log(msg) => self.log_msg(now, from, msg),
            PeerMsg::Fleet(msg) => self.fleet_msg(now, from, *msg),
            _ => {}
        }
    }

    fn log_msg(&mut self, now: Duration, from: HostId, msg: LogMsg) {
        self.step_log(now, LogInput::Msg { from, msg });
    }

    fn fleet_msg(&mut self, now: Duration, from: HostId, msg: FleetMsg) {
        match msg {
            FleetMsg::Join(card) => self.joined_by(now, from, &card),
            FleetMsg::Roster { leader, group: _, founder, cards } => {
                self.roster(now, leader, founder, &cards);
            }
            FleetMsg::Status(status) => self.status_of(now, from, &status),
            FleetMsg::Board(board) => {
                if board.epoch == self.position.epoch {
                    self.take_board(&board);
                }
                if board.epoch > self.position.epoch
                    || (board.epoch == self.position.epoch && board.last > self.position.last)
                {
                    self.resync(now, from);
                }
            }
            FleetMsg::TurnAsk(ask) => self.turn_asked(now, from, &ask),
            FleetMsg::Turn { ticket, granted, backlog } => {
                self.out.push(Output::Turn { ticket, granted, backlog });
            }
            FleetMsg::TurnEnded { ticket, target, read } => {
                let granted = self.turns.end(now, (from, ticket), &target, read);
                self.tell_turns(granted, self.turns.backlog(&target));
            }
            FleetMsg::Feed(feed) => self.follow(now, from, &feed),
            FleetMsg::Resync => self.send_table(from),
            FleetMsg::Seen(card) => self.know_target(now, &card),
            FleetMsg::Alive(card, held) => self.alive(now, &card, &held),
            FleetMsg::Want { service, adapter, waiting } => {
                if let Some(leading) = &mut self.leading {
                    leading.loads.want(now, from, &service, &adapter, waiting);
                }
                self.tick_loads(now);
            }
            FleetMsg::Propose { tag, command } => {
                if let Ok(command) = decode::<Command>(&command) {
                    self.propose(now, from, tag, command);
                }
            }
            FleetMsg::Confirm { tag } => self.confirm_read(now, from, tag),
            FleetMsg::Confirmed { tag, index } => self.confirmed_read(tag, index),
            FleetMsg::Proposed { .. } => {}
            FleetMsg::Leaving { run, .. } => self.leaving(now, from, run),
        }
    }

    fn joined_by(&mut self, now: Duration, from: HostId, card: &HostCard) {
        if card.host != from {
            return;
        }
        let new = self.hosts.merge(card);
        self.hosts.hear(now, from);
        if new {
            self.log(Event::Host { host: card.host, ready: card.ready });
            self.share_hosts(now);
        }
        let leader = if self.leading.is_some() { Some(self.settings.host) } else { self.leader };
        let roster = FleetMsg::Roster {
            leader,
            group: self.replica.status().group,
            founder: self.hosts.founder(now, self.settings.first_start, &self.settings.seeds),
            cards: self.hosts.cards(),
        };
        self.send(from, roster);
        if let Some(leading) = &mut self.leading {
            if new {
                leading.feed.push(FeedChange::Host(card.clone()));
            }
            self.send_table(from);
        }
    }

    fn roster(
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

    fn share_hosts(&mut self, now: Duration) {
        let hosts = self.hosts.all();
        self.step_log(now, LogInput::SetHosts(hosts));
    }

    fn leaving(&mut self, now: Duration, from: HostId, run: Incarnation) {
        let Some(card) = self.hosts.card(from).cloned() else { return };
        if card.run != run || !card.ready {
            return;
        }
        let card = HostCard { ready: false, ..card };
        self.hosts.merge(&card);
        self.hosts.hear(now, from);
        self.log(Event::Host { host: from, ready: false });
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(card));
        }
    }

    fn resync(&mut self, now: Duration, leader: HostId) {
        if now < self.resynced + JOIN_AGAIN / 4 {
            return;
        }
        self.resynced = now;
        self.send(leader, FleetMsg::Resync);
    }

    fn follow(&mut self, now: Duration, from: HostId, feed: &wire::Feed) {
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

    /// Takes in what a target said to this host.
    fn beat(&mut self, now: Duration, card: TargetCard, held: Vec<(String, u64)>) {
        if self.note_target(&card) {
            if card.state != TargetState::Ready {
                self.tell_all_seen(&card);
            }
            self.out.push(Output::Wake);
        }
        if self.leading.is_some() {
            self.alive(now, &card, &held);
        } else if let Some(leader) = self.leader {
            self.send(leader, FleetMsg::Alive(card, held));
        }
    }

    fn left(&mut self, now: Duration, id: &str) {
        let Some(target) = self.targets.get(id) else { return };
        let card = TargetCard { state: TargetState::Gone, ..target.card.clone() };
        self.tell_all_seen(&card);
        self.know_target(now, &card);
    }

    /// Tells every host that a target takes no more requests, without waiting for
    /// a leader that may just be lost.
    fn tell_all_seen(&mut self, card: &TargetCard) {
        for host in self.hosts.others() {
            self.send(host, FleetMsg::Seen(card.clone()));
        }
    }

    /// Takes in what a target is, wherever it comes from.
    fn know_target(&mut self, now: Duration, card: &TargetCard) {
        self.note_target(card);
        if let Some(leading) = &mut self.leading {
            leading.loads.target(now, card);
        }
        self.out.push(Output::Wake);
    }

    fn alive(&mut self, now: Duration, card: &TargetCard, _held: &[(String, u64)]) {
        self.note_target(card);
        let known = self.targets.get(&card.id).map(|it| it.card.clone());
        if let (Some(leading), Some(card)) = (&mut self.leading, known) {
            leading.loads.target(now, &card);
        }
    }

    /// Merges a target's card. Returns whether it changed anything.
    fn note_target(&mut self, card: &TargetCard) -> bool {
        let changed = self.targets.merge(card);
        if changed {
            self.log(Event::Target {
                target: card.id.clone(),
                service: card.service.clone(),
                addr: card.addr.clone(),
                state: format!("{:?}", card.state).to_lowercase(),
            });
        }
        changed
    }

    fn reload(&mut self, settings: Settings) {
        self.settings.seeds = settings.seeds;
        self.settings.bounds = settings.bounds;
        self.settings.tolerated = settings.tolerated;
        self.log(Event::Reloaded);
    }

    fn stop(&mut self, now: Duration) {
        self.stopping = true;
        self.log(Event::Stopping);
        self.hosts.set_ready(false);
        let leaving = FleetMsg::Leaving { run: self.run, within: self.settings.bounds.grace };
        for host in self.hosts.heard(now) {
            self.send(host, leaving.clone());
        }
        let card = self.hosts.own().clone();
        self.tell_card(card);
    }

    fn sync_failed(&mut self, now: Duration, reason: String) {
        self.log(Event::DiskFailed { reason: reason.clone() });
        self.step_log(now, LogInput::SyncFailed(reason));
        self.out.push(Output::Reopen(REOPEN));
    }

    /// Goes on with the folder as it was found, as after a restart.
    fn reopened(&mut self, now: Duration, disk: Recovered) {
        self.log(Event::DiskBack);
        let seed = now.as_nanos() as u64;
        let (replica, outputs) = Replica::new(now, log_settings(&self.settings, seed), Some(disk));
        self.replica = replica;
        self.carry_out(now, outputs);
        self.share_hosts(now);
    }

    /// Takes one step of the log.
    pub(crate) fn step_log(&mut self, now: Duration, input: LogInput) {
        let outputs = self.replica.handle(now, input);
        self.carry_out(now, outputs);
    }

    fn carry_out(&mut self, now: Duration, outputs: Vec<LogOutput>) {
        let mut snapshot_due = false;
        for output in outputs {
            match output {
                LogOutput::Send { to, msg } => {
                    self.out.push(Output::Send { to, msg: PeerMsg::Log(msg) });
                }
                LogOutput::Write(write) => self.out.push(Output::Write(write)),
                LogOutput::Apply(entry) => self.apply(now, entry),
                LogOutput::Restore(snapshot) => self.restore(now, &snapshot),
                LogOutput::SnapshotDue => snapshot_due = true,
                LogOutput::Leader { leader, term } => {
                    self.leader = leader;
                    self.log(Event::Leader { leader, term });
                    self.desk.hurry();
                    self.joined = None;
                }
                LogOutput::Alarm(alarm) => self.log(Event::Alarm { what: format!("{alarm:?}") }),
            }
        }
        if snapshot_due {
            let state = encode(&self.desired).into();
            let index = self.replica.status().applied;
            self.step_log(now, LogInput::Compact { index, state });
        }
    }

    fn apply(&mut self, now: Duration, entry: Entry) {
        let EntryBody::Data(bytes) = entry.body else { return };
        let command: Command = match decode_state(&bytes) {
            Ok(command) => command,
            Err(error) => {
                let what = format!("could not read log entry {}: {error}", entry.index);
                return self.log(Event::Alarm { what });
            }
        };
        let version = match &command {
            Command::Version { adapter, version } => Some((adapter.clone(), *version)),
            _ => None,
        };
        match self.desired.apply(entry.index, command) {
            Applied::Config => self.configured(entry.index),
            Applied::Version => {
                let (adapter, version) = version.expect("a version was applied");
                self.named.insert(adapter.clone(), now);
                self.log(Event::Version { adapter, version });
                self.out.push(Output::Wake);
            }
            Applied::Holder => self.held_by(now),
            Applied::Nothing => {}
        }
        self.configure_loads();
    }

    fn restore(&mut self, now: Duration, snapshot: &Snapshot) {
        if snapshot.state.is_empty() {
            return;
        }
        match decode_state::<Desired>(&snapshot.state) {
            Ok(desired) => {
                let newer = desired.number() > self.desired.number();
                for (adapter, version) in &desired.versions {
                    if self.desired.versions.get(adapter) != Some(version) {
                        self.named.insert(adapter.clone(), now);
                    }
                }
                self.desired = desired;
                if newer {
                    self.configured(snapshot.index);
                }
            }
            Err(error) => {
                let what = format!("could not read snapshot {}: {error}", snapshot.index);
                self.log(Event::Alarm { what });
            }
        }
    }

    /// Hands the new document to the process, which reads it.
    fn configured(&mut self, index: Index) {
        let Some(document) = &self.desired.config else { return };
        let (number, body): (u64, Bytes) = (document.number, document.body.clone());
        self.log(Event::Config { number, index });
        self.out.push(Output::Config(body));
    }

    /// Takes the configuration as it was read from the document in force.
    pub fn set_config(&mut self, config: Config) {
        self.routes = Arc::new(Routes::new(&config));
        self.config = Some(Arc::new(config));
        self.configure_loads();
    }
}

/// The last host that was made the holder, by what is on disk. Whether that was
/// committed does not matter for a preference.
fn last_holder(disk: &Recovered) -> Option<HostId> {
    for entry in disk.entries.iter().rev() {
        let EntryBody::Data(bytes) = &entry.body else { continue };
        if let Ok(Command::Hold { host, .. }) = decode_state(bytes) {
            return Some(host);
        }
    }
    let state = &disk.snapshot.as_ref()?.state;
    decode_state::<Desired>(state).ok()?.holder.map(|it| it.host)
}

fn log_settings(settings: &Settings, seed: u64) -> replog::Settings {
    replog::Settings {
        host: settings.host,
        founders: Vec::new(),
        hosts: settings.seeds.clone(),
        election: ELECTION,
        heartbeat: HEARTBEAT,
        snapshot_after: SNAPSHOT_AFTER,
        seed,
    }
}

pub(crate) fn election() -> Duration {
    ELECTION
}
