//! The host: its tables, and the way of each input through them.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::Duration,
};

use admit::Bounds;
use decl::Settings;
use lease::Terms;
use place::{PlannerSettings, PolicySettings, owner_policy};
use replog::Replica;
use route::Directory;
use wire::{
    Answer, Ask, Command, Credit, Fence, HostId, Incarnation, PeerMsg, Piece, RequestId,
    TargetReport,
};

use crate::{
    Input, Output, Start,
    core::Core,
    desk::Desk,
    effect::{Effect, Effects},
    entry::Entry,
    life::Life,
    machine::{Applied, Event, Machine},
    member::Member,
    owner::Owner,
    view::{Ctx, View},
};

const DRIFT_MARGIN: Duration = Duration::from_millis(200);
const LOAD_TERM: Duration = Duration::from_secs(10);
const EXPECTED_LOAD: Duration = Duration::from_millis(250);
/// Ticks between two looks at all requests.
const SLOW_TICKS: u64 = 5;

/// What is still to be done within one step.
enum Job {
    Input(Input),
    Propose(Command),
    Applied(Box<Event>),
    Viewed,
}

/// One host of the system.
///
/// Lock order: a thread holds one of `core`, `member`, `owner`, `entry`,
/// `desk` and `life` at a time, each for one decision. `directory` and `view`
/// are taken last, also under one of the others, and nothing is locked under
/// them. `routed` is taken alone, and `directory` under it.
pub struct Node {
    host: HostId,
    run: Incarnation,
    core: Mutex<Core>,
    member: Mutex<Member>,
    owner: Mutex<Owner>,
    entry: Mutex<Entry>,
    desk: Mutex<Desk>,
    life: Mutex<Life>,
    directory: RwLock<Directory>,
    view: RwLock<Arc<View>>,
    /// The view that the directory's targets come from.
    routed: Mutex<Arc<View>>,
}

impl Node {
    /// Starts a host.
    pub fn new(now: Duration, settings: Settings, start: Start) -> (Node, Vec<Output>) {
        let host = settings.host;
        let run = start.incarnation;
        let (replica, outputs) = Replica::new(now, log_settings(&settings), start.disk);
        let machine = Machine::new(settings.limits.claim_age, settings.limits.claim_count);
        let mut core = Core::new(host, run, replica, machine, start.wall);
        let mut fx = Effects::default();
        core.carry_out(now, outputs, &mut fx);

        let terms =
            Terms { lease: settings.timing.lease, margin: DRIFT_MARGIN, lag: settings.timing.lag };
        let planner = PlannerSettings {
            rate: settings.limits.store_rate,
            loads: settings.limits.store_loads,
            term: LOAD_TERM,
        };
        let policy = owner_policy(policy_settings(&settings));
        let mut directory = Directory::default();
        let hosts = settings.peers.iter().map(|peer| (peer.host, peer.domain.clone()));
        directory.set_hosts(hosts.collect());
        let hosts = settings.peers.iter().map(|peer| peer.host).collect();
        let view = core.view();
        let node = Node {
            host,
            run,
            core: Mutex::new(core),
            member: Mutex::new(Member::new(hosts, run, &settings.domain, terms, planner)),
            owner: Mutex::new(Owner::new(host, run, policy)),
            entry: Mutex::new(Entry::new(
                host,
                run,
                &settings.domain,
                settings.limits.retry_percent,
            )),
            desk: Mutex::new(Desk::default()),
            life: Mutex::new(Life { drain: settings.timing.drain, ..Life::default() }),
            directory: RwLock::new(directory),
            view: RwLock::new(Arc::new(view)),
            routed: Mutex::default(),
        };
        let mut outputs = Vec::new();
        let mut jobs = VecDeque::new();
        node.sort(fx, &mut jobs, &mut outputs);
        node.run_jobs(now, jobs, &mut outputs);
        (node, outputs)
    }

    /// Takes one step. Several threads may call it side by side.
    pub fn handle(&self, now: Duration, input: Input) -> Vec<Output> {
        let mut outputs = Vec::new();
        self.run_jobs(now, VecDeque::from([Job::Input(input)]), &mut outputs);
        outputs
    }

    fn run_jobs(&self, now: Duration, mut jobs: VecDeque<Job>, outputs: &mut Vec<Output>) {
        while let Some(job) = jobs.pop_front() {
            let mut fx = Effects::default();
            self.step(now, job, &mut fx);
            self.sort(fx, &mut jobs, outputs);
        }
    }

    /// Sorts effects into outputs and further jobs.
    fn sort(&self, fx: Effects, jobs: &mut VecDeque<Job>, outputs: &mut Vec<Output>) {
        for effect in fx {
            match effect {
                Effect::Out(output) => outputs.push(output),
                Effect::Send(to, msg) if to == self.host => {
                    jobs.push_back(Job::Input(Input::Peer { from: to, msg }));
                }
                Effect::Send(to, msg) => outputs.push(Output::Send { to, msg }),
                Effect::Propose(command) => jobs.push_back(Job::Propose(command)),
                Effect::Applied(event) => jobs.push_back(Job::Applied(event)),
                Effect::Viewed => jobs.push_back(Job::Viewed),
            }
        }
    }

    pub(crate) fn core(&self) -> MutexGuard<'_, Core> {
        lock(&self.core)
    }

    pub(crate) fn member(&self) -> MutexGuard<'_, Member> {
        lock(&self.member)
    }

    pub(crate) fn owner(&self) -> MutexGuard<'_, Owner> {
        lock(&self.owner)
    }

    pub(crate) fn entry(&self) -> MutexGuard<'_, Entry> {
        lock(&self.entry)
    }

    pub(crate) fn life(&self) -> MutexGuard<'_, Life> {
        lock(&self.life)
    }

    pub(crate) fn host(&self) -> HostId {
        self.host
    }

    pub(crate) fn with_directory<T>(&self, read: impl FnOnce(&Directory) -> T) -> T {
        read(&self.directory.read().unwrap_or_else(PoisonError::into_inner))
    }

    fn change_directory(&self, change: impl FnOnce(&mut Directory)) {
        change(&mut self.directory.write().unwrap_or_else(PoisonError::into_inner));
    }

    pub(crate) fn view(&self) -> Arc<View> {
        Arc::clone(&self.view.read().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn ctx(&self, now: Duration) -> Ctx {
        let view = self.view();
        let lease = self.member().lease(now, view.applied);
        Ctx { now, view, lease }
    }

    fn step(&self, now: Duration, job: Job, fx: &mut Effects) {
        match job {
            Job::Input(input) => self.input(now, input, fx),
            Job::Propose(command) => self.on_core(fx, |core, fx| core.propose(now, command, fx)),
            Job::Applied(event) => self.applied(now, &event, fx),
            Job::Viewed => self.viewed(now, fx),
        }
    }

    /// Works on the replicated state and shows the others what came of it.
    fn on_core(&self, fx: &mut Effects, work: impl FnOnce(&mut Core, &mut Effects)) {
        let mut core = self.core();
        work(&mut core, fx);
        let view = Arc::new(core.view());
        // Stored under the lock of the core, so that views never go back.
        *self.view.write().unwrap_or_else(PoisonError::into_inner) = view;
    }

    fn input(&self, now: Duration, input: Input, fx: &mut Effects) {
        match input {
            Input::Tick { wall } => self.tick(now, wall, fx),
            Input::Peer { from, msg } => self.peer(now, from, msg, fx),
            Input::PeerLost(host) => self.peer_lost(now, host, fx),
            Input::Undelivered { to, request } => self.undelivered(now, to, request, fx),
            Input::Synced(ticket) => {
                self.on_core(fx, |core, fx| core.log(now, replog::Input::Synced(ticket), fx));
            }
            Input::SyncFailed(text) => {
                self.on_core(fx, |core, fx| core.log(now, replog::Input::SyncFailed(text), fx));
            }
            Input::Report(report) => self.report(now, report, fx),
            Input::Request { tag, caller } => {
                let ctx = self.ctx(now);
                self.on_entry(|entry, dir| entry.request(&ctx, dir, tag, caller, fx));
            }
            Input::Taken { tag, bytes } => self.entry().taken(tag, bytes, fx),
            Input::Gone(tag) => self.entry().gone(tag, fx),
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
                lock(&self.desk).publish(&ctx, tag, publish, fx);
            }
            Input::Shutdown => self.shutdown(now, fx),
        }
    }

    fn on_entry(&self, work: impl FnOnce(&mut Entry, &Directory)) {
        let mut entry = self.entry();
        let dir = self.directory.read().unwrap_or_else(PoisonError::into_inner);
        work(&mut entry, &dir);
    }

    fn peer(&self, now: Duration, from: HostId, msg: PeerMsg, fx: &mut Effects) {
        match msg {
            PeerMsg::Log(msg) => self.on_core(fx, |core, fx| core.message(now, from, msg, fx)),
            PeerMsg::Propose(proposal) => {
                self.on_core(fx, |core, fx| core.offered(now, &proposal, fx));
            }
            PeerMsg::Renew(renew) => {
                let ctx = self.ctx(now);
                self.member().asked(&ctx, from, renew, fx);
            }
            PeerMsg::Grant(grant) => self.granted(now, &grant, fx),
            PeerMsg::Report(report) => self.report(now, *report, fx),
            PeerMsg::Wants(wants) => self.member().wants(now, from, wants),
            PeerMsg::SlotDone(done) => self.member().slot_done(now, from, done),
            PeerMsg::Slots(grants) => {
                let ctx = self.ctx(now);
                self.owner().slots(&ctx, from, grants, fx);
            }
            PeerMsg::Forward(forward) => {
                let ctx = self.ctx(now);
                self.owner().forward(&ctx, from, forward, fx);
            }
            PeerMsg::Answer(answer) => self.answer(now, from, answer, fx),
            PeerMsg::Credit(credit) => self.credit(credit, fx),
            PeerMsg::Cancel(request) => {
                let ctx = self.ctx(now);
                self.owner().cancel(&ctx, request, fx);
            }
            PeerMsg::Ask(Ask::InForce { index, tag }) => self.asked(now, from, index, tag, fx),
            // Hosts of this kind do not send requests to targets of others.
            PeerMsg::Fleet(_) => {}
            PeerMsg::InForce { tag, commit: _, domains } => {
                lock(&self.desk).in_force(tag, &domains, fx);
                self.owner().strike_force(tag, &domains, fx);
            }
        }
    }

    fn answer(&self, now: Duration, from: HostId, answer: Answer, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.on_entry(|entry, dir| entry.answer(&ctx, dir, from, answer, fx));
    }

    fn credit(&self, credit: Credit, fx: &mut Effects) {
        self.owner().credit(credit, fx);
    }

    fn asked(&self, now: Duration, from: HostId, index: u64, tag: u64, fx: &mut Effects) {
        let commit = self.view().commit;
        if commit < index {
            return;
        }
        let Some(domains) = self.member().in_force(now, index) else { return };
        fx.send(from, PeerMsg::InForce { tag, commit, domains });
    }

    fn granted(&self, now: Duration, grant: &wire::Grant, fx: &mut Effects) {
        let ctx = self.ctx(now);
        if !self.member().granted(&ctx, grant, fx) {
            return;
        }
        self.change_directory(|dir| dir.granted(now, grant));
        let lost = {
            let mut life = self.life();
            let before = std::mem::replace(&mut life.suspect, grant.suspect.clone());
            let new = life.suspect.iter().filter(|host| !before.contains(host));
            new.copied().collect::<Vec<_>>()
        };
        for host in lost {
            let ctx = self.ctx(now);
            self.on_entry(|entry, dir| entry.owner_lost(&ctx, dir, host, fx));
        }
    }

    fn peer_lost(&self, now: Duration, host: HostId, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.change_directory(|dir| dir.suspect(now, host));
        self.on_entry(|entry, dir| entry.owner_lost(&ctx, dir, host, fx));
        self.owner().entry_lost(&ctx, host, fx);
    }

    fn undelivered(&self, now: Duration, to: HostId, request: RequestId, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.change_directory(|dir| dir.suspect(now, to));
        self.on_entry(|entry, dir| entry.undelivered(&ctx, dir, to, request, fx));
    }

    /// Passes a target's report to its owner.
    fn report(&self, now: Duration, report: TargetReport, fx: &mut Effects) {
        let ctx = self.ctx(now);
        lock(&self.desk).announce(&ctx, &report.info, fx);
        let Some(target) = ctx.view.registry.named(&report.info.name) else { return };
        match target.owner {
            Some(owner) if owner == (self.host, self.run) => {
                self.owner().report(&ctx, &report, fx);
            }
            Some((host, _)) if host != self.host => {
                fx.send(host, PeerMsg::Report(Box::new(report)));
            }
            _ => {}
        }
    }

    fn tick(&self, now: Duration, wall: u64, fx: &mut Effects) {
        self.on_core(fx, |core, fx| core.tick(now, wall, fx));
        let ctx = self.ctx(now);
        let digest = self.owner().digest(now);
        self.change_directory(|dir| dir.set_own(self.host, digest.clone()));
        self.member().tick(&ctx, &digest, fx);
        lock(&self.desk).tick(&ctx, fx);
        self.owner().tick(&ctx, fx);
        let ticks = {
            let mut life = self.life();
            life.ticks += 1;
            life.ticks
        };
        if ticks.is_multiple_of(SLOW_TICKS) {
            self.owner().tick_attempts(&ctx, fx);
            self.on_entry(|entry, dir| entry.tick(&ctx, dir, fx));
            if ctx.view.leading {
                let claimers = self.core().machine().claims.holders();
                self.member().doubt(&ctx, &claimers, fx);
            }
        }
        self.try_exit(now, fx);
    }

    /// Follows a change of the view.
    fn viewed(&self, now: Duration, fx: &mut Effects) {
        let ctx = self.ctx(now);
        self.owner().sync(&ctx, fx);
        self.follow_targets(&ctx.view);
        let voters = ctx.view.config.voters.clone();
        if ctx.view.leading && !voters.is_empty() {
            self.on_core(fx, |core, fx| core.log(now, replog::Input::SetVoters(voters), fx));
        }
    }

    /// Shows the directory the targets and their owners if they changed. Its
    /// lock is taken under that of the view it comes from, so that an older view
    /// never replaces a later one.
    fn follow_targets(&self, view: &Arc<View>) {
        let mut routed = lock(&self.routed);
        if view.applied <= routed.applied || Arc::ptr_eq(&view.registry, &routed.registry) {
            return;
        }
        *routed = Arc::clone(view);
        let targets = view.owned_targets();
        self.change_directory(|dir| dir.set_targets(targets));
    }

    /// Gives the result of an applied command to the table that waits for it.
    fn applied(&self, now: Duration, event: &Event, fx: &mut Effects) {
        let proposal = &event.proposal;
        if is_awaited(&proposal.command) {
            self.member().hurry();
        }
        if proposal.host != self.host || proposal.incarnation != self.run {
            return;
        }
        let ctx = self.ctx(now);
        match (&proposal.command, &event.result) {
            (Command::Publish(publish), Applied::Publish(result)) => {
                lock(&self.desk).published(&ctx, publish, result, fx);
            }
            (Command::Claim(claim), Applied::Claim(reply)) => {
                self.on_entry(|entry, dir| entry.claimed(&ctx, dir, claim, reply, fx));
            }
            (Command::Settle(settle), _) => self.entry().settled(settle, fx),
            (Command::Intent(intent), Applied::Taken(taken)) => {
                self.owner().intended(&ctx, intent, event.index, *taken, fx);
            }
            (Command::Strike(print), _) => self.owner().struck(&ctx, *print, event.index, fx),
            _ => {}
        }
    }

    /// Returns the host that a target should report to and its fencing number.
    pub fn report_to(&self, target: &str) -> Option<(HostId, Fence)> {
        let view = self.view();
        let target = view.registry.named(target)?;
        let (host, _) = target.owner?;
        Some((host, target.fence))
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns whether others wait until every host has applied a command.
fn is_awaited(command: &Command) -> bool {
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
        bounds: Bounds { total: settings.limits.queue, caller: settings.limits.caller_queue },
        stall: settings.weights.stall,
        batch: settings.weights.batch,
        load: EXPECTED_LOAD,
        seed: settings.seed,
    }
}
