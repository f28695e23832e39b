//! The replica of one host.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{Entry, EntryBody, GroupId, HostId, Index, LogBody, LogMsg, Snapshot, Term, VoterId};

use crate::{
    Alarm, HardState, Input, Op, Output, Recovered, Settings, Status,
    found::Fresh,
    group::{is_voter, within},
    lead::{Lead, OBSERVER_ROUNDS},
    log::{Log, entry_bytes},
    queue::Queue,
};

/// Share of the entries kept in memory after a snapshot for hosts that lag.
const KEEP_SHARE: u64 = 4;
/// Messages to an observer that may be lost before its leader counts as silent.
const MISSED_ROUNDS: u32 = 3;

/// A voter's, learner's or observer's part of the group.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    /// The data folder's identity; none for an observer.
    pub(crate) voter: Option<VoterId>,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<HostId>,
    /// When a live leader was last heard, or the start.
    pub(crate) heard: Duration,
    /// When to stand for election if no leader is heard.
    pub(crate) deadline: Duration,
    /// When to ask to be served next.
    pub(crate) hello_at: Duration,
    /// Counts the times it asked to be served.
    pub(crate) hellos: usize,
    /// A host that is said to lead.
    pub(crate) hint: Option<HostId>,
    pub(crate) queue: Queue,
    /// The snapshot that is arriving.
    pub(crate) incoming: Option<Incoming>,
    /// The newest round answered, by term.
    pub(crate) answered: (Term, u64),
    pub(crate) fresh: BTreeMap<HostId, Fresh>,
    pub(crate) now: Duration,
    pub(crate) out: Vec<Output>,
    rng: ChaCha8Rng,
    announced: (Option<HostId>, Term),
    alarmed: BTreeSet<Alarm>,
    snapshot_due: bool,
    /// Bytes of entries applied since the last snapshot.
    grown: usize,
}

/// What a replica does in its term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Asks whether votes would be given.
    PreCandidate(BTreeSet<HostId>),
    /// Asks for votes.
    Candidate(BTreeSet<HostId>),
    Leader(Box<Lead>),
}

/// A snapshot of which chunks arrive.
#[derive(Debug)]
pub(crate) struct Incoming {
    pub(crate) head: Snapshot,
    pub(crate) bytes: Vec<u8>,
}

impl Replica {
    /// Starts a replica. Without a disk it observes: it receives the log and
    /// never votes. The outputs restore the recovered state.
    pub fn new(
        now: Duration,
        settings: Settings,
        disk: Option<Recovered>,
    ) -> (Replica, Vec<Output>) {
        let voter = disk.as_ref().map(|d| d.voter);
        let (hard, snapshot, entries) = match disk {
            Some(d) => (d.hard, d.snapshot, d.entries),
            None => (HardState::default(), None, Vec::new()),
        };
        let log = Log::new(hard.founders.clone(), snapshot.clone(), entries);
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ (u64::from(settings.host) << 32));
        let index = snapshot.as_ref().map_or(0, |s| s.index);
        let mut replica = Replica {
            queue: Queue::new(voter.is_some(), log.last()),
            announced: (None, hard.term),
            settings,
            voter,
            hard,
            log,
            commit: index,
            applied: index,
            role: Role::Follower,
            leader: None,
            heard: now,
            deadline: now,
            hello_at: now,
            hellos: 0,
            hint: None,
            incoming: None,
            answered: (0, 0),
            fresh: BTreeMap::new(),
            now,
            out: Vec::new(),
            rng,
            alarmed: BTreeSet::new(),
            snapshot_due: false,
            grown: 0,
        };
        replica.set_deadline();
        replica.out.extend(snapshot.map(Output::Restore));
        let out = replica.finish();
        (replica, out)
    }

    /// Takes one step.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Msg { from, msg } => self.receive(from, msg),
            Input::Propose(data) => self.propose(data),
            Input::SetVoters(hosts) => self.set_voters(hosts),
            Input::SetHosts(hosts) => self.settings.hosts = hosts,
            Input::Hint(host) => self.hint = Some(host),
            Input::SetFounders(hosts) => self.settings.founders = hosts,
            Input::Synced(ticket) => self.synced(ticket),
            Input::SyncFailed(reason) => self.sync_failed(reason),
            Input::Compact { index, state } => self.compact(index, state),
        }
        self.finish()
    }

    /// Returns the replica's state at a glance.
    pub fn status(&self) -> Status {
        let lead = match &self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        };
        Status {
            leader: self.leader,
            term: self.hard.term,
            group: self.hard.group,
            leading: lead.is_some_and(|l| self.commit >= l.start),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            members: self.log.members().clone(),
            quorum_at: lead.and_then(|l| self.quorum_at(l)),
        }
    }

    /// On a leader: the hosts of the members whose data folder answered what
    /// was sent within the last election time.
    pub fn hears(&self) -> Vec<HostId> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let members = &self.log.members().members;
        members.iter().filter(|it| self.is_heard(lead, it)).map(|it| it.host).collect()
    }

    /// On a leader: the hosts that should vote, are no members and have shown no
    /// data folder for as long as a silent observer is served.
    pub fn absent(&self) -> Vec<HostId> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let hosts = lead.want.iter().flatten().copied();
        hosts.filter(|&host| self.is_absent(lead, host)).collect()
    }

    fn finish(&mut self) -> Vec<Output> {
        self.apply();
        let last = self.log.last();
        self.queue.flush(last, &mut self.out);
        if self.announced != (self.leader, self.hard.term) {
            self.announced = (self.leader, self.hard.term);
            self.out.push(Output::Leader { leader: self.leader, term: self.hard.term });
        }
        std::mem::take(&mut self.out)
    }

    fn tick(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.tick_leader();
            return;
        }
        if self.leader.is_some() && !within(self.now, self.heard, self.patience()) {
            self.leader = None;
        }
        if self.now >= self.hello_at {
            self.hello();
        }
        if self.may_vote() && self.now >= self.deadline {
            self.ask_pre_votes();
        }
    }

    fn receive(&mut self, from: HostId, msg: LogMsg) {
        if from == self.settings.host || !self.same_group(from, &msg) {
            return;
        }
        match msg.body {
            LogBody::Hello { last } => self.on_hello(from, msg.group, msg.voter, last),
            LogBody::Found { group, members } => self.on_found(group, members),
            LogBody::PreVote { last, last_term } => {
                self.on_pre_vote(from, msg.term, last, last_term);
            }
            LogBody::PreVoted { granted } => self.on_pre_voted(from, msg.voter, msg.term, granted),
            LogBody::Vote { last, last_term } => {
                self.on_vote(from, msg.voter, msg.term, last, last_term);
            }
            LogBody::Voted { granted } => self.on_voted(from, msg.voter, msg.term, granted),
            LogBody::Append { .. } => self.on_append(from, msg),
            LogBody::Appended { round, index, taken } => {
                let answer = crate::lead::Answer { voter: msg.voter, term: msg.term, round };
                self.on_appended(from, answer, index, taken);
            }
            LogBody::Install { .. } => self.on_install(from, msg),
            LogBody::Installed { round, index, offset } => {
                let answer = crate::lead::Answer { voter: msg.voter, term: msg.term, round };
                self.on_installed(from, answer, index, offset);
            }
        }
    }

    /// Tells whether a message concerns this replica's group. A replica without
    /// a group joins the one whose leader serves it.
    fn same_group(&mut self, from: HostId, msg: &LogMsg) -> bool {
        if msg.group == self.hard.group || msg.group == 0 {
            return true;
        }
        if self.hard.group != 0 {
            self.alarm(Alarm::OtherGroup(msg.group));
            return false;
        }
        match msg.body {
            LogBody::Append { .. } | LogBody::Install { .. } => {
                self.join(msg.group);
                true
            }
            LogBody::Found { .. } => true,
            LogBody::Hello { .. } => {
                self.fresh.remove(&from);
                false
            }
            _ => false,
        }
    }

    fn synced(&mut self, ticket: u64) {
        self.queue.complete(ticket, &mut self.out);
        match self.role {
            Role::Candidate(_) if self.queue.hard_synced() => self.count_own_vote(),
            Role::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    fn sync_failed(&mut self, reason: String) {
        self.queue.fail();
        self.role = Role::Follower;
        self.leader = None;
        self.alarm(Alarm::DiskFailed(reason));
    }

    fn compact(&mut self, index: Index, state: Bytes) {
        self.snapshot_due = false;
        if index > self.applied {
            return;
        }
        let keep = self.settings.snapshot_after / KEEP_SHARE;
        if let Some(snap) = self.log.compact(index, state, keep) {
            self.queue.push(Op::Snapshot(snap));
            self.grown = 0;
        }
    }

    /// Tells whether a snapshot is due: enough entries came, and they hold at
    /// least as much as the last snapshot, so that snapshots never cost more than
    /// the entries do.
    fn is_snapshot_due(&self) -> bool {
        let (covered, size) = self.log.snapshot().map_or((0, 0), |s| (s.index, s.state.len()));
        let enough = self.applied >= covered + self.settings.snapshot_after;
        enough && self.grown >= size && !self.snapshot_due
    }

    fn apply(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.out.push(Output::Apply(entry.clone()));
            self.grown += entry_bytes(entry);
            self.applied += 1;
        }
        if self.voter.is_none() {
            self.log.forget(self.applied);
            return;
        }
        if self.is_snapshot_due() {
            self.snapshot_due = true;
            self.out.push(Output::SnapshotDue);
        }
    }

    pub(crate) fn alarm(&mut self, alarm: Alarm) {
        if self.alarmed.insert(alarm.clone()) {
            self.out.push(Output::Alarm(alarm));
        }
    }

    /// How long this replica takes a silent leader for alive.
    pub(crate) fn patience(&self) -> Duration {
        match self.voter {
            Some(_) => self.settings.election,
            None => self.observer_patience(),
        }
    }

    /// How long an observer and its leader may not hear of each other.
    pub(crate) fn observer_patience(&self) -> Duration {
        self.settings.heartbeat * OBSERVER_ROUNDS * MISSED_ROUNDS
    }

    /// Tells whether this replica is a voter that may stand for election.
    pub(crate) fn may_vote(&self) -> bool {
        let Some(voter) = self.voter else {
            return false;
        };
        self.hard.group != 0
            && !self.queue.failed()
            && is_voter(self.log.members(), self.settings.host, voter)
    }

    pub(crate) fn set_deadline(&mut self) {
        let election = self.settings.election;
        let share = self.rng.random::<f64>();
        self.deadline = self.now + election + election.mul_f64(share);
    }

    /// Enters a later term without a vote.
    pub(crate) fn enter_term(&mut self, term: Term) {
        if term <= self.hard.term {
            return;
        }
        self.hard.term = term;
        self.hard.vote = None;
        self.save_hard();
        self.step_down();
    }

    pub(crate) fn step_down(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.set_deadline();
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    pub(crate) fn save_hard(&mut self) {
        self.queue.push(Op::Hard(self.hard.clone()));
    }

    pub(crate) fn append(&mut self, entry: Entry) {
        self.log.append(entry.clone());
        self.queue.push(Op::Append(vec![entry]));
    }

    pub(crate) fn append_body(&mut self, body: EntryBody) {
        let index = self.log.last() + 1;
        self.append(Entry { term: self.hard.term, index, body });
    }

    pub(crate) fn msg(&self, term: Term, body: LogBody) -> LogMsg {
        LogMsg { group: self.hard.group, voter: self.voter, term, body }
    }

    /// Sends at once.
    pub(crate) fn send(&mut self, to: HostId, body: LogBody) {
        let msg = self.msg(self.hard.term, body);
        self.out.push(Output::Send { to, msg });
    }

    /// Sends once all changes so far are on disk.
    pub(crate) fn send_synced(&mut self, to: HostId, body: LogBody) {
        let msg = self.msg(self.hard.term, body);
        self.queue.hold(to, msg, &mut self.out);
    }

    pub(crate) fn join(&mut self, group: GroupId) {
        self.hard.group = group;
        self.fresh.clear();
        self.save_hard();
    }
}
