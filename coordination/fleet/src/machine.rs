//! A whole host as one state machine, without its callers' bytes.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use desired::{Command, Desired};
use replog::{Input as LogInput, Recovered, Replica};
use wire::{
    DomainId, FleetMsg, HostCard, HostId, Incarnation, Index, LogMsg, PeerMsg, decode, encode,
};

use crate::{
    Config, Event, Routes, Settings, Targets, Turns,
    board::Followed,
    feed::Position,
    hold::Holding,
    hosts::Hosts,
    io::{Input, Output, Tag},
    lead::Leading,
    operator::{Desk, Question},
    replicated::log_settings,
    request::Requests,
    strikes::Barred,
};

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
    /// Where this host stands in the leader's feed.
    pub(crate) position: Position,
    /// What it heard of the failure domains' holders.
    pub(crate) followed: BTreeMap<DomainId, Followed>,
    /// The failure domains that it holds.
    pub(crate) holding: BTreeMap<DomainId, Holding>,
    /// When the last renewal was sent that a leader answered.
    pub(crate) renewed: Option<Duration>,
    /// When the last renewal was sent.
    pub(crate) renewing: Option<Duration>,
    /// Requests that crash targets.
    pub(crate) barred: Barred,
    pub(crate) requests: Requests,
    pub(crate) leading: Option<Leading>,
    pub(crate) desk: Desk,
    /// Whether what is in force was confirmed since the start.
    pub(crate) confirmed: bool,
    pub(crate) stopping: bool,
    pub(crate) joined: Option<Duration>,
    pub(crate) reported: Duration,
    pub(crate) resynced: Option<Duration>,
    pub(crate) leader: Option<HostId>,
    /// When the leader last changed.
    pub(crate) led_since: Option<Duration>,
    /// When a configuration was last put in force here.
    pub(crate) configured_at: Option<Duration>,
    pub(crate) turns: Turns,
    pub(crate) noted_prompts: Duration,
    /// A leader that others named.
    pub(crate) hint: Option<HostId>,
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
            power: settings.power,
            ready: false,
        };
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
            followed: BTreeMap::new(),
            holding: BTreeMap::new(),
            renewed: None,
            renewing: None,
            barred: Barred::default(),
            requests: Requests::default(),
            leading: None,
            desk: Desk::default(),
            confirmed: false,
            stopping: false,
            joined: None,
            reported: now,
            resynced: None,
            leader: None,
            led_since: None,
            configured_at: None,
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
            Input::Beat { card } => self.beat(now, card),
            Input::Left { id } => self.left(now, &id),
            Input::Change { tag, command } => self.desk.change(now, tag, command),
            Input::Read { tag } => self.desk.read(now, tag),
            Input::Ordered { target, outcome } => {
                if let Some(loads) = self.loads_of(&target) {
                    loads.ordered(now, &target, outcome);
                }
                self.tick_loads(now);
            }
            Input::Reported { target, report } => {
                if let Some(loads) = self.loads_of(&target) {
                    loads.reported(now, &target, report.as_ref());
                }
                self.tick_loads(now);
            }
            Input::Reload(settings) => self.reload(*settings),
            Input::Stop => self.stop(now),
        }
        self.finish(now)
    }

    /// Returns how old each belief is: since when the leader is the same, since when
    /// the configuration is in force here, when the last renewal was sent that was
    /// answered, and when each holder was last heard.
    pub fn belief_ages(&self, now: Duration) -> Vec<(String, Duration)> {
        let mut ages = Vec::new();
        let mut add = |name: String, at: Option<Duration>| {
            ages.extend(at.map(|at| (name, now.saturating_sub(at))));
        };
        add("leader".to_owned(), self.led_since);
        add("config".to_owned(), self.configured_at);
        add("renewal".to_owned(), self.renewed);
        for (domain, followed) in &self.followed {
            add(format!("holder of {domain}"), followed.board);
        }
        ages
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
        self.carry_steps();
        self.flush_feeds(now);
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
        self.renew(now);
        self.report(now);
        self.tick_lead(now);
        self.tick_holding(now);
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
            self.log(Event::Host { peer: card.host, ready });
            self.tell_card(card);
        }
    }

    /// Sends operators' questions to the leader.
    fn ask_leader(&mut self, now: Duration) {
        let Some(leader) = self.leader else { return };
        let own = self.settings.host;
        for question in self.desk.due(now) {
            match question {
                Question::Propose(tag, command) => self.hand_in(now, tag, command),
                Question::Confirm(tag) if leader == own => self.confirm_read(now, own, tag),
                Question::Confirm(tag) => self.send(leader, FleetMsg::Confirm { tag }),
            }
        }
    }

    /// Hands a command to the leader, if one is known.
    pub(crate) fn hand_in(&mut self, now: Duration, tag: Tag, command: Command) {
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
            FleetMsg::Roster { leader, founder, cards } => {
                self.roster(now, leader, founder, &cards);
            }
            FleetMsg::Renew(renewal) => self.renewed_by(now, from, &renewal),
            FleetMsg::Renewed { sent_ms } => self.renewal_answered(sent_ms),
            FleetMsg::Status(status) => self.status_of(now, from, &status),
            FleetMsg::Board(board) => self.board(now, from, &board),
            FleetMsg::TurnAsk(ask) => self.turn_asked(now, from, &ask),
            FleetMsg::Turn { ticket, granted, backlog } => {
                self.out.push(Output::Turn { ticket, granted, backlog });
            }
            FleetMsg::TurnEnded { ticket, target, read } => {
                let granted = self.turns.end(now, (from, ticket), &target, read);
                self.tell_turns(granted, self.turns.backlog(&target));
            }
            FleetMsg::Feed(feed) => self.follow(now, from, &feed),
            FleetMsg::Arrived { domain, place } => self.arrived(&domain, &place),
            FleetMsg::Resync(topic) => self.send_table(from, &topic),
            FleetMsg::Seen(card) => self.know_target(now, &card),
            FleetMsg::Alive(card) => self.alive(now, &card),
            FleetMsg::Want { domain, service, adapter, waiting } => {
                self.wanted(now, from, &domain, &service, &adapter, waiting);
            }
            FleetMsg::Crashed { request, target } => self.strike(now, request, &target),
            FleetMsg::Propose { tag, command } => {
                if let Ok(command) = decode::<Command>(&command) {
                    self.propose(now, from, tag, command);
                }
            }
            FleetMsg::Confirm { tag } => self.confirm_read(now, from, tag),
            FleetMsg::Confirmed { tag, index } => self.confirmed_read(tag, index),
            FleetMsg::Leaving { run } => self.leaving(now, from, run),
        }
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
        let leaving = FleetMsg::Leaving { run: self.run };
        for host in self.hosts.heard(now) {
            self.send(host, leaving.clone());
        }
        let card = self.hosts.own().clone();
        self.tell_card(card);
    }

    /// Takes the configuration as it was read from the document in force.
    pub fn set_config(&mut self, config: Config) {
        self.routes = Arc::new(Routes::new(&config));
        self.config = Some(Arc::new(config));
        self.configure_loads();
    }
}
