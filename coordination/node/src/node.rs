//! The host: its components, and the dispatch of each input to them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use admit::QueueLimits;
use decl::Settings;
use lease::LeaseSettings;
use place::{PlannerSettings, PolicySettings, owner_policy};
use replog::Replica;
use route::Directory;
use wire::{Command, Fence, HostId, Incarnation, PeerMsg, Piece, TargetReport};

use crate::{
    Input, Output, Start,
    effect::{Effect, Effects},
    entry::EntryHost,
    leases::Leases,
    lifecycle::Lifecycle,
    machine::{AppliedCommand, CommandResult, Machine},
    owner::Owner,
    publisher::Publisher,
    replicated::Replicated,
    view::{Ctx, View},
};

const DRIFT_MARGIN: Duration = Duration::from_millis(200);
const LOAD_SLOT_TERM: Duration = Duration::from_secs(10);
const EXPECTED_LOAD_TIME: Duration = Duration::from_millis(250);
/// Ticks between two scans of all requests.
const TICKS_PER_SCAN: u64 = 5;

/// A part of the work of one step.
enum Task {
    Input(Input),
    Propose(Command),
    Applied(Box<AppliedCommand>),
    ViewChanged,
}

/// One host of the system.
///
/// Lock order: a thread holds at most one of `replicated`, `leases`, `owner`, `entry`, `publisher`
/// and `lifecycle` at a time, each for one decision. `directory` and `view` are acquired last,
/// possibly while one of the others is held, and no other lock is acquired while they are held.
/// `routed_view` is acquired while none of the others is held, and `directory` while `routed_view`
/// is held.
pub struct Node {
    host: HostId,
    incarnation: Incarnation,
    replicated: Mutex<Replicated>,
    leases: Mutex<Leases>,
    owner: Mutex<Owner>,
    entry: Mutex<EntryHost>,
    publisher: Mutex<Publisher>,
    lifecycle: Mutex<Lifecycle>,
    directory: RwLock<Directory>,
    view: RwLock<Arc<View>>,
    /// The view from which the directory's targets were set.
    routed_view: Mutex<Arc<View>>,
}

impl Node {
    /// Starts a host at the time `now`. Returns it with its first outputs.
    pub fn new(now: Duration, settings: Settings, start: Start) -> (Node, Vec<Output>) {
        let host = settings.host;
        let incarnation = start.incarnation;
        let (replica, outputs) = Replica::new(now, log_settings(&settings), start.recovered);
        let machine = Machine::new(settings.limits.claim_age, settings.limits.claim_count);
        let mut replicated = Replicated::new(host, incarnation, replica, machine, start.wall_ms);
        let mut fx = Effects::default();
        replicated.handle_outputs(now, outputs, &mut fx);

        let terms = LeaseSettings {
            lease: settings.timing.lease,
            margin: DRIFT_MARGIN,
            lag: settings.timing.lag,
        };
        let planner = PlannerSettings {
            rate: settings.limits.store_rate,
            max_loads: settings.limits.store_loads,
            slot_term: LOAD_SLOT_TERM,
        };
        let policy = owner_policy(policy_settings(&settings));
        let mut directory = Directory::default();
        let hosts = settings.peers.iter().map(|peer| (peer.host, peer.domain.clone()));
        directory.set_hosts(hosts.collect());
        let hosts = settings.peers.iter().map(|peer| peer.host).collect();
        let view = replicated.view();
        let node = Node {
            host,
            incarnation,
            replicated: Mutex::new(replicated),
            leases: Mutex::new(Leases::new(hosts, incarnation, &settings.domain, terms, planner)),
            owner: Mutex::new(Owner::new(host, incarnation, policy)),
            entry: Mutex::new(EntryHost::new(
                host,
                incarnation,
                &settings.domain,
                settings.limits.retry_percent,
            )),
            publisher: Mutex::new(Publisher::default()),
            lifecycle: Mutex::new(Lifecycle {
                drain: settings.timing.drain,
                ..Lifecycle::default()
            }),
            directory: RwLock::new(directory),
            view: RwLock::new(Arc::new(view)),
            routed_view: Mutex::default(),
        };
        let mut outputs = Vec::new();
        let mut tasks = VecDeque::new();
        node.dispatch(fx, &mut tasks, &mut outputs);
        node.run_tasks(now, tasks, &mut outputs);
        (node, outputs)
    }

    /// Handles an input at the time `now` and returns the outputs, to be carried out in order.
    /// Several threads may call it at once.
    pub fn handle(&self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.run_tasks(now, VecDeque::from([Task::Input(input)]), &mut outputs);
        outputs
    }

    fn run_tasks(&self, now: Duration, mut tasks: VecDeque<Task>, outputs: &mut Vec<Output>) {
        while let Some(task) = tasks.pop_front() {
            let mut fx = Effects::default();
            self.run_task(now, task, &mut fx);
            self.dispatch(fx, &mut tasks, outputs);
        }
    }

    /// Turns effects into outputs and further tasks.
    fn dispatch(&self, fx: Effects, tasks: &mut VecDeque<Task>, outputs: &mut Vec<Output>) {
        for effect in fx {
            match effect {
                Effect::Output(output) => outputs.push(output),
                Effect::Send(to, msg) if to == self.host => {
                    tasks.push_back(Task::Input(Input::Peer { from: to, msg }));
                }
                Effect::Send(to, msg) => outputs.push(Output::Send { to, msg }),
                Effect::Propose(command) => tasks.push_back(Task::Propose(command)),
                Effect::Applied(applied) => tasks.push_back(Task::Applied(applied)),
                Effect::ViewChanged => tasks.push_back(Task::ViewChanged),
            }
        }
    }

    pub(crate) fn replicated(&self) -> MutexGuard<'_, Replicated> {
        lock(&self.replicated)
    }

    pub(crate) fn leases(&self) -> MutexGuard<'_, Leases> {
        lock(&self.leases)
    }

    pub(crate) fn owner(&self) -> MutexGuard<'_, Owner> {
        lock(&self.owner)
    }

    pub(crate) fn entry(&self) -> MutexGuard<'_, EntryHost> {
        lock(&self.entry)
    }

    pub(crate) fn publisher(&self) -> MutexGuard<'_, Publisher> {
        lock(&self.publisher)
    }

    pub(crate) fn lifecycle(&self) -> MutexGuard<'_, Lifecycle> {
        lock(&self.lifecycle)
    }

    pub(crate) fn host(&self) -> HostId {
        self.host
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(crate) fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut Directory)) {
        change(&mut self.directory.write().unwrap_or_else(PoisonError::into_inner));
    }

    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn ctx(&self, now: Duration) -> Ctx {
        let view = self.view();
        let lease = self.leases().lease_end(now, view.applied);
        Ctx { now, view, lease }
    }

    fn run_task(&self, now: Duration, task: Task, fx: &mut Effects) {
        match task {
            Task::Input(input) => self.handle_input(now, input, fx),
            Task::Propose(command) => {
                self.with_replicated(fx, |state, fx| state.propose(now, command, fx))
            }
            Task::Applied(applied) => self.handle_applied(now, &applied, fx),
            Task::ViewChanged => self.handle_view_change(now, fx),
        }
    }

    /// Calls `work` with the replicated state, then updates the view.
    pub(crate) fn with_replicated(
        &self,
        fx: &mut Effects,
        work: impl FnOnce(&mut Replicated, &mut Effects),
    ) {
        let mut replicated = self.replicated();
        work(&mut replicated, fx);
        let view = Arc::new(replicated.view());
        // Stored while the replicated state is locked, so that an older view never replaces a later
        // one.
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    fn handle_input(&self, now: Duration, input: Input, fx: &mut Effects) {
        match input {
            Input::Tick { wall_ms } => self.tick(now, wall_ms, fx),
            Input::Peer { from, msg } => self.handle_message(now, from, msg, fx),
            Input::PeerLost(host) => self.peer_lost(now, host, fx),
            Input::Undelivered { to, request } => self.undelivered(now, to, request, fx),
            Input::Synced(ticket) => {
                self.with_replicated(fx, |state, fx| {
                    state.step_log(now, replog::Input::Synced(ticket), fx)
                });
            }
            Input::SyncFailed(text) => {
                self.with_replicated(fx, |state, fx| {
                    state.step_log(now, replog::Input::SyncFailed(text), fx)
                });
            }
            Input::Report(report) => self.handle_report(now, report, fx),
            Input::Request { tag, caller } => {
                let ctx = self.ctx(now);
                self.with_entry(|entry, dir| entry.handle_request(&ctx, dir, tag, caller, fx));
            }
            Input::AnswerConsumed { tag, bytes } => self.entry().consumed(tag, bytes, fx),
            Input::CallerLeft(tag) => self.entry().caller_left(tag, fx),
            Input::CallHead { request, status, ran, incarnation } => {
                let ctx = self.ctx(now);
                self.owner().call_head(&ctx, request, status, ran, incarnation, fx);
            }
            Input::CallPiece { request, offset, bytes, last } => {
                let ctx = self.ctx(now);
                self.owner().call_piece(&ctx, Piece { request, offset, bytes, last }, fx);
            }
            Input::CallFailed { request, failure } => {
                let ctx = self.ctx(now);
                self.owner().call_failed(&ctx, request, failure, fx);
            }
            Input::OrderEnded { order, result } => {
                let ctx = self.ctx(now);
                self.owner().order_ended(&ctx, order, &result, fx);
            }
            Input::Publish { tag, publish } => {
                let ctx = self.ctx(now);
                self.publisher().publish(&ctx, tag, publish, fx);
            }
            Input::Shutdown => self.shutdown(now, fx),
        }
    }

    pub(crate) fn with_entry(&self, work: impl FnOnce(&mut EntryHost, &Directory)) {
        let mut entry = self.entry();
        let dir = self.directory.read().unwrap_or_else(PoisonError::into_inner);
        work(&mut entry, &dir);
    }

    /// Registers the target of a report if needed, and passes the report to the target's owner.
    pub(crate) fn handle_report(&self, now: Duration, report: TargetReport, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.publisher().register(&ctx, &report.info, fx);
        let Some(target) = ctx.view.registry.by_name(&report.info.name) else { return };
        match target.owner {
            Some(owner) if owner == (self.host, self.incarnation) => {
                self.owner().handle_report(&ctx, &report, fx);
            }
            Some((host, _)) if host != self.host => {
                fx.send(host, PeerMsg::Report(Box::new(report)));
            }
            _ => {}
        }
    }

    fn tick(&self, now: Duration, wall: u64, fx: &mut Effects) {
        self.with_replicated(fx, |state, fx| state.tick(now, wall, fx));
        let ctx = self.ctx(now);
        let digest = self.owner().digest(now);
        self.change_directory(|dir| dir.set_own_digest(self.host, digest.clone()));
        self.leases().tick(&ctx, &digest, fx);
        self.publisher().tick(&ctx, fx);
        self.owner().tick(&ctx, fx);
        let ticks = {
            let mut lifecycle = self.lifecycle();
            lifecycle.ticks += 1;
            lifecycle.ticks
        };
        if ticks.is_multiple_of(TICKS_PER_SCAN) {
            self.owner().tick_attempts(&ctx, fx);
            self.with_entry(|entry, dir| entry.tick(&ctx, dir, fx));
            if ctx.view.leading {
                let claimers = self.replicated().machine().claims.holders();
                self.leases().mark_in_doubt(&ctx, &claimers, fx);
            }
        }
        self.try_exit(now, fx);
    }

    /// Handles a change of the view.
    fn handle_view_change(&self, now: Duration, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.owner().sync_targets(&ctx, fx);
        self.update_directory(&ctx.view);
        let voters = ctx.view.config.voters.clone();
        if ctx.view.leading && !voters.is_empty() {
            self.with_replicated(fx, |state, fx| {
                state.step_log(now, replog::Input::SetVoters(voters), fx)
            });
        }
    }

    /// Updates the targets and owners in the directory if they changed. The directory is locked
    /// while `routed_view` is locked, so that an older view never replaces a later one.
    fn update_directory(&self, view: &Arc<View>) {
        let mut routed_view = lock(&self.routed_view);
        if view.applied <= routed_view.applied || Arc::ptr_eq(&view.registry, &routed_view.registry)
        {
            return;
        }
        *routed_view = Arc::clone(view);
        let targets = view.owned_targets();
        self.change_directory(|dir| dir.set_targets(targets));
    }

    /// Passes the result of an applied command to the component that waits for it.
    fn handle_applied(&self, now: Duration, applied: &AppliedCommand, fx: &mut Effects) {
        let proposal = &applied.proposal;
        if is_awaited_everywhere(&proposal.command) {
            self.leases().renew_now();
        }
        if proposal.host != self.host || proposal.incarnation != self.incarnation {
            return;
        }
        let ctx = self.ctx(now);
        match (&proposal.command, &applied.result) {
            (Command::Publish(publish), CommandResult::Publish(result)) => {
                self.publisher().published(&ctx, publish, result, fx);
            }
            (Command::Claim(claim), CommandResult::Claim(reply)) => {
                self.with_entry(|entry, dir| entry.claim_applied(&ctx, dir, claim, reply, fx));
            }
            (Command::Settle(settle), _) => self.entry().outcome_applied(settle, fx),
            (Command::Intent(intent), CommandResult::Accepted(accepted)) => {
                self.owner().intent_applied(&ctx, intent, applied.index, *accepted, fx);
            }
            (Command::Strike(fingerprint), _) => {
                self.owner().strike_applied(&ctx, *fingerprint, applied.index, fx)
            }
            _ => {}
        }
    }

    /// Returns the host to which a target should report, and the fencing number of that host's
    /// orders. None if the target is not registered or has no owner.
    pub fn report_destination(&self, target: &str) -> Option<(HostId, Fence)> {
        let view = self.view();
        let target = view.registry.by_name(target)?;
        let (host, _) = target.owner?;
        Some((host, target.fence))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether some host waits until every host has applied a command.
fn is_awaited_everywhere(command: &Command) -> bool {
    matches!(command, Command::Publish(_) | Command::Assign(_) | Command::Strike(_))
}

fn log_settings(settings: &Settings) -> replog::Settings {
    replog::Settings {
        host: settings.host,
        founders: settings.founders.clone(),
        hosts: settings.peers.iter().map(|peer| peer.host).collect(),
        election: settings.timing.election,
        heartbeat: settings.timing.heartbeat,
        snapshot_after: settings.limits.snapshot_after,
        seed: settings.seed,
    }
}

fn policy_settings(settings: &Settings) -> PolicySettings {
    PolicySettings {
        bounds: QueueLimits {
            max_total: settings.limits.queue,
            max_per_caller: settings.limits.caller_queue,
        },
        stall: settings.weights.stall,
        batch: settings.weights.batch,
        load: EXPECTED_LOAD_TIME,
        seed: settings.seed,
    }
}
