//! State machine of a whole host, without the transfer of callers' requests and answers.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use desired::{Command, Desired};
use replog::{Input as LogInput, Recovered, Replica};
use wire::{
    DomainId, FleetMsg, HostId, HostRecord, Incarnation, Index, LogMsg, PeerMsg, decode, encode,
};

use crate::{
    Config, Event, PrefillScheduler, Routes, Settings, Targets,
    exchange::HolderView,
    feed::Position,
    heartbeats::Ending,
    holder::HeldDomain,
    hosts::Hosts,
    io::{Input, Output, Tag},
    lead::Leading,
    operator::{LeaderRequest, OperatorCalls},
    placement::Demand,
    quarantine::Quarantine,
    reach::Reach,
    replicated::log_settings,
    request::Requests,
    row_limits::BrittleReport,
    shutdown::{AnswerTimes, Shutdown},
    stream_records::StreamRecords,
    versions::Versions,
    view::View,
};

/// Number of missed heartbeats after which a target counts as lost.
pub(crate) const MISSED_HEARTBEATS: u32 = 4;

/// The state of one host.
#[derive(Debug)]
pub struct Host {
    pub(crate) settings: Settings,
    pub(crate) incarnation: Incarnation,
    pub(crate) replica: Replica,
    pub(crate) desired: Desired,
    pub(crate) versions: Versions,
    pub(crate) config: Option<Arc<Config>>,
    pub(crate) routes: Arc<Routes>,
    pub(crate) hosts: Hosts,
    pub(crate) targets: Targets,
    /// Position in the leader's feed.
    pub(crate) position: Position,
    /// Position of the leader's feed when it last answered a renewal.
    pub(crate) renewed_position: Position,
    /// Local view of the holder of each failure domain.
    pub(crate) holder_views: BTreeMap<DomainId, HolderView>,
    /// The failure domains whose order lease this host holds.
    pub(crate) held_domains: BTreeMap<DomainId, HeldDomain>,
    /// When the last renewal that a leader answered was sent.
    pub(crate) renewed_at: Option<Duration>,
    /// When the last renewal was sent.
    pub(crate) renewal_sent: Option<Duration>,
    pub(crate) quarantine: Quarantine,
    pub(crate) records: StreamRecords,
    pub(crate) view: View,
    /// When the host started.
    pub(crate) started_at: Duration,
    /// Targets of whose end other hosts are told again.
    pub(crate) endings: Vec<Ending>,
    pub(crate) requests: Requests,
    pub(crate) reach: Reach,
    pub(crate) leading: Option<Leading>,
    pub(crate) operator_calls: OperatorCalls,
    /// Whether the applied state has reached a leader's commit index since the start, and lists this
    /// host.
    pub(crate) caught_up: bool,
    /// Set once the process was told to end.
    pub(crate) shutdown: Option<Shutdown>,
    pub(crate) answer_times: AnswerTimes,
    pub(crate) join_sent: Option<Duration>,
    pub(crate) statuses_sent: Duration,
    pub(crate) resync_sent: Option<Duration>,
    pub(crate) leader: Option<HostId>,
    /// When the leader or the term last changed.
    pub(crate) leader_since: Option<Duration>,
    /// When a configuration last came into force here.
    pub(crate) configured_at: Option<Duration>,
    pub(crate) prefill: PrefillScheduler,
    pub(crate) prompts_logged: Duration,
    pub(crate) sends_logged: Duration,
    /// The leader according to another host.
    pub(crate) leader_hint: Option<HostId>,
    pub(crate) out: Vec<Output>,
}

impl Host {
    /// Creates a host and returns it with its first outputs. `seed` seeds its random choices.
    pub fn new(
        now: Duration,
        settings: Settings,
        incarnation: Incarnation,
        disk: Option<Recovered>,
        seed: u64,
    ) -> (Host, Vec<Output>) {
        let record = HostRecord {
            host: settings.host,
            incarnation,
            domain: settings.domain.clone(),
            disk: disk.is_some(),
            cpu_millis: settings.cpu_millis,
            ready: false,
        };
        let (replica, outputs) = Replica::new(now, log_settings(&settings, seed), disk);
        let mut host = Host {
            hosts: Hosts::new(record),
            incarnation,
            replica,
            desired: Desired::default(),
            versions: Versions::default(),
            config: None,
            routes: Arc::default(),
            targets: Targets::default(),
            position: Position::default(),
            renewed_position: Position::default(),
            holder_views: BTreeMap::new(),
            held_domains: BTreeMap::new(),
            renewed_at: None,
            renewal_sent: None,
            quarantine: Quarantine::default(),
            records: StreamRecords::default(),
            view: View::default(),
            started_at: now,
            endings: Vec::new(),
            requests: Requests::default(),
            reach: Reach::default(),
            leading: None,
            operator_calls: OperatorCalls::default(),
            caught_up: false,
            shutdown: None,
            answer_times: AnswerTimes::default(),
            join_sent: None,
            statuses_sent: now,
            resync_sent: None,
            leader: None,
            leader_since: None,
            configured_at: None,
            prefill: PrefillScheduler::default(),
            prompts_logged: now,
            sends_logged: now,
            leader_hint: None,
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

    /// Handles an input and returns the resulting outputs.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.tick(now),
            Input::Peer { from, msg } => self.handle_peer(now, from, msg),
            Input::Synced(ticket) => self.step_log(now, LogInput::Synced(ticket)),
            Input::RecordsSynced(first, last) => self.records_synced(first, last),
            Input::RecordsFailed(reason) => self.log(Event::DiskFailed { reason }),
            Input::SyncFailed(reason) => self.sync_failed(now, reason),
            Input::Reopened(disk) => self.reopened(now, *disk),
            Input::Heartbeat { record } => self.handle_heartbeat(now, record),
            Input::Leaves { tag, record } => self.handle_leaving_target(now, tag, record),
            Input::Deregistered { tag, id, started_at, arrived_at } => {
                self.handle_deregistration(now, tag, &id, started_at, arrived_at);
            }
            Input::Change { tag, command } => self.operator_calls.change(now, tag, command),
            Input::Read { tag } => self.operator_calls.read(now, tag),
            Input::OrderEnded { order, outcome } => {
                if let Some(placement) = self.placement_of(&order.target) {
                    placement.handle_outcome(now, &order, outcome);
                }
                self.tick_placement(now);
            }
            Input::LoadChecked { order, outcome } => {
                let may_order = self.may_order(now, &order);
                if let Some(placement) = self.placement_of(&order.target) {
                    placement.handle_load_check(now, &order, outcome, may_order);
                }
                self.tick_placement(now);
            }
            Input::ReportReceived { target, request, report } => {
                if let Some(placement) = self.placement_of(&target) {
                    placement.handle_report(now, &target, request, report.as_ref());
                }
                self.tick_placement(now);
            }
            Input::Reload(settings) => self.reload(*settings),
            Input::Stop => self.stop(now),
        }
        self.finish(now)
    }

    /// Returns the ages of the local view, by name: the times since the leader or the term last
    /// changed, since a configuration last came into force here, since the last answered renewal
    /// was sent, and since the domain loads of each holder last arrived.
    pub fn view_ages(&self, now: Duration) -> Vec<(String, Duration)> {
        let mut ages = Vec::new();
        let mut add = |name: String, at: Option<Duration>| {
            ages.extend(at.map(|at| (name, now.saturating_sub(at))));
        };
        add("leader".to_owned(), self.leader_since);
        add("config".to_owned(), self.configured_at);
        add("renewal".to_owned(), self.renewed_at);
        for (domain, followed) in &self.holder_views {
            add(format!("holder of {domain}"), followed.loads_at);
        }
        ages
    }

    /// Whether the host accepts callers' requests.
    pub fn is_ready(&self) -> bool {
        self.knows_config() && !self.view.is_behind && self.shutdown.is_none()
    }

    /// Whether the host knows the configuration in force: it has one, its state has caught up with a
    /// leader's since the start, and leaders wait for it before they acknowledge another one.
    pub fn knows_config(&self) -> bool {
        self.caught_up && self.config.is_some()
    }

    /// Returns the settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Returns the configuration in force here; `None` before the first one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.clone()
    }

    /// Returns the leader; `None` if unknown.
    pub fn leader(&self) -> Option<HostId> {
        self.leader
    }

    /// Returns the targets that this host knows.
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Returns the hosts that callers may use: those in `domain` if at least two of them are ready,
    /// otherwise all ready hosts; those that are cut off from the targets only if all are.
    pub fn entries(&self, domain: Option<&str>) -> Vec<HostId> {
        let mut all: Vec<&HostRecord> = self.hosts.ready().collect();
        if all.iter().any(|it| !self.hosts.is_cut(it.host)) {
            all.retain(|it| !self.hosts.is_cut(it.host));
        }
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
        self.send_leader_requests(now);
        self.update_view();
        self.update_leading(now);
        self.run_placement_steps();
        self.flush_feeds(now);
        let applied = self.replica.status().applied;
        for (tag, reply) in self.operator_calls.take_replies(now, applied, &self.desired) {
            self.out.push(Output::Answer { tag, reply });
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Duration) {
        self.step_log(now, LogInput::Tick);
        self.watch_view(now);
        self.update_readiness();
        self.join(now);
        self.renew(now);
        self.repeat_endings(now);
        self.send_statuses(now);
        self.tick_leading(now);
        self.tick_reach(now);
        self.tick_holding(now);
        self.tick_requests(now);
        self.tick_quarantine(now);
        self.tick_records(now);
        let granted = self.prefill.tick(now);
        self.send_permits(granted, 0);
        self.log_prompts(now);
        self.tick_limits(now);
        self.tick_pauses(now);
    }

    /// Checks whether the state has caught up with a leader's, and announces a change of readiness.
    fn update_readiness(&mut self) {
        let status = self.replica.status();
        if !self.caught_up
            && status.leader.is_some()
            && status.commit > 0
            && status.applied >= status.commit
            && self.is_listed()
        {
            self.caught_up = true;
        }
        let ready = self.is_ready();
        if self.hosts.own().ready != ready {
            self.hosts.set_ready(ready);
            let record = self.hosts.own().clone();
            self.log(Event::Host { peer: record.host, ready });
            self.announce_host(record);
        }
    }

    /// Sends the leader the requests that are due for operators' calls.
    fn send_leader_requests(&mut self, now: Duration) {
        let Some(leader) = self.leader else { return };
        let own = self.settings.host;
        for request in self.operator_calls.due(now) {
            match request {
                LeaderRequest::Propose(tag, command) => self.forward_command(now, tag, command),
                LeaderRequest::ReadIndex(tag) if leader == own => {
                    self.queue_read_index(now, own, tag)
                }
                LeaderRequest::ReadIndex(tag) => self.send(leader, FleetMsg::ReadIndex { tag }),
            }
        }
    }

    /// Passes a command to the leader, if one is known.
    pub(crate) fn forward_command(&mut self, now: Duration, tag: Tag, command: Command) {
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

    pub(crate) fn read_index_received(&mut self, tag: Tag, index: Index) {
        self.operator_calls.set_read_index(tag, index);
    }

    fn handle_peer(&mut self, now: Duration, from: HostId, msg: PeerMsg) {
        self.hosts.record_message(now, from);
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
            FleetMsg::Join(record) => self.handle_join(now, from, &record),
            FleetMsg::Roster { leader, founder, records } => {
                self.handle_roster(now, leader, founder, &records);
            }
            FleetMsg::Renew(renewal) => self.handle_renewal(now, from, &renewal),
            FleetMsg::Renewed { sent_ms, epoch, last, commit } => {
                self.handle_renewed(now, sent_ms, commit);
                self.check_position(now, from, Position { epoch, last });
            }
            FleetMsg::Status(status) => self.handle_status(now, from, &status),
            FleetMsg::DomainLoads(loads) => self.handle_domain_loads(now, from, &loads),
            FleetMsg::LimitNamed { target, started_at, limit, change } => {
                self.handle_limit_named(now, &target, started_at, limit, change);
            }
            FleetMsg::RecordStream { stream, service, software } => {
                self.handle_record(from, stream, service, software);
            }
            FleetMsg::StreamRecorded { stream } => self.handle_recorded(from, stream),
            FleetMsg::FindStream { stream } => self.handle_search(now, from, stream),
            FleetMsg::StreamFound(found) => self.handle_found(now, from, &found),
            FleetMsg::PlaceRequest(request) => self.handle_place_request(now, from, &request),
            FleetMsg::PlaceReply(reply) => self.handle_place_reply(now, &reply),
            FleetMsg::PlacesUnused { target, started_at, places } => {
                self.handle_returned_places(now, from, &target, started_at, places);
            }
            FleetMsg::PrefillRequest(request) => self.handle_prefill_request(now, from, &request),
            FleetMsg::PrefillReply { permit_id, granted, backlog } => {
                self.out.push(Output::PrefillReply { permit_id, granted, backlog });
            }
            FleetMsg::PrefillEnded { permit_id, target, prefilled } => {
                let granted = self.prefill.release(now, (from, permit_id), &target, prefilled);
                self.send_permits(granted, self.prefill.backlog(&target));
            }
            FleetMsg::Feed(feed) => self.handle_feed(now, from, &feed),
            // A former holder's numbers stand for other targets.
            FleetMsg::AdapterReady { domain, placement } if self.holder(&domain) == Some(from) => {
                self.apply_placement(&domain, &placement)
            }
            FleetMsg::AdapterReady { .. } => {}
            FleetMsg::Resync(topic) => self.send_table(from, &topic),
            FleetMsg::TargetEnding(record) => self.update_target(now, &record),
            FleetMsg::TargetAlive(record) => self.handle_alive(now, from, &record),
            FleetMsg::AdapterDemand { domain, service, adapter, software, waiting } => {
                let demand = Demand { adapter, software };
                self.handle_demand(now, from, &domain, &service, demand, waiting);
            }
            FleetMsg::Crashed { crash, suspects, trials } => {
                self.handle_crash(now, from, crash, &suspects, &trials);
            }
            FleetMsg::LostAlone { crash, suspects } => {
                self.record_loss(now, from, crash, suspects);
            }
            FleetMsg::CrashCounted { crash } => self.crash_counted(crash),
            FleetMsg::Sound { suspects } => self.publish_cleared(&suspects),
            FleetMsg::TrialRequest { suspects } => self.handle_trial_request(now, from, &suspects),
            FleetMsg::TrialGranted { suspects } => self.trial_granted(now, &suspects),
            FleetMsg::TrialEnded { suspects } => self.trial_ended(from, &suspects),
            FleetMsg::Propose { tag, command } => {
                if let Ok(command) = decode::<Command>(&command) {
                    self.propose(now, from, tag, command);
                }
            }
            FleetMsg::Reach { cut, resigned } => self.handle_reach(now, from, cut, resigned),
            FleetMsg::Brittle { target, started_at, refusals, turned_away, load } => {
                let report = BrittleReport { refusals, turned_away, load };
                self.handle_brittle(now, &target, started_at, report);
            }
            FleetMsg::PauseAsked { target, started_at, id, span_ms } => {
                let span = Duration::from_millis(span_ms);
                self.pause_target(now, &target, started_at, &id, span);
            }
            FleetMsg::Confirmed { tag } => self.operator_calls.confirm(tag),
            FleetMsg::ReadIndex { tag } => self.queue_read_index(now, from, tag),
            FleetMsg::ReadIndexReply { tag, index } => self.read_index_received(tag, index),
            FleetMsg::Leaving { incarnation } => self.handle_leaving(now, from, incarnation),
        }
    }

    fn reload(&mut self, settings: Settings) {
        self.settings.seeds = settings.seeds;
        self.settings.bounds = settings.bounds;
        self.settings.tolerated_losses = settings.tolerated_losses;
        self.log(Event::Reloaded);
    }

    fn stop(&mut self, now: Duration) {
        self.begin_shutdown(now);
        self.hosts.set_ready(false);
        let leaving = FleetMsg::Leaving { incarnation: self.incarnation };
        for host in self.hosts.live(now) {
            self.send(host, leaving.clone());
        }
        let record = self.hosts.own().clone();
        self.announce_host(record);
    }

    /// Uses the parsed configuration whose log entry was applied; [`Output::Config`] contained it.
    pub fn set_config(&mut self, config: Config) {
        self.answer_times.keep_routes(config.routes.iter().map(|it| it.name.as_str()));
        self.routes = Arc::new(Routes::new(&config));
        self.config = Some(Arc::new(config));
        self.configure_placement();
    }
}
