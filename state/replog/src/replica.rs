//! The replica that runs on one host: its state, inputs and status.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wire::{DiskId, Entry, EntryBody, GroupId, HostId, Index, LogBody, LogMsg, Snapshot, Term};

use crate::{
    Alarm, HardState, Input, Op, Output, Progress, Recovered, Settings, Status,
    founding::FreshHost,
    group::{is_voter, member, within},
    lead::{LeaderState, NON_MEMBER_INTERVAL},
    log::{Log, entry_bytes},
    peer::Peer,
    queue::WriteQueue,
};

/// Divides `Settings::snapshot_after` to give the number of covered entries that stay in memory
/// after a snapshot, for hosts that lag behind.
const RETAIN_DIVISOR: u64 = 4;
/// Intervals of [`NON_MEMBER_INTERVAL`] rounds without contact after which a leader and a
/// non-member count as silent to each other.
const MAX_MISSED_INTERVALS: u32 = 3;

/// One participant of a group: a voter, learner or observer.
#[derive(Debug)]
pub struct Replica {
    pub(crate) settings: Settings,
    /// The identity of the data folder; `None` for an observer.
    pub(crate) disk: Option<DiskId>,
    pub(crate) hard: HardState,
    pub(crate) log: Log,
    pub(crate) commit: Index,
    pub(crate) applied: Index,
    pub(crate) role: Role,
    pub(crate) leader: Option<HostId>,
    /// When a message from a leader last arrived; the time of the start before that.
    pub(crate) leader_contact: Duration,
    /// When to start a pre-vote unless a leader's message arrives before.
    pub(crate) election_deadline: Duration,
    /// When the next hello is due.
    pub(crate) next_hello: Duration,
    /// Number of hello rounds so far; selects which of all hosts receives the next one.
    pub(crate) hello_count: usize,
    /// A host that is reported to lead.
    pub(crate) leader_hint: Option<HostId>,
    pub(crate) queue: WriteQueue,
    /// The snapshot that a leader is sending.
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// The term and round of the append answered last.
    pub(crate) answered_round: (Term, u64),
    /// Hosts that announced a data folder without a group, while this replica has no group either.
    pub(crate) fresh_hosts: BTreeMap<HostId, FreshHost>,
    pub(crate) now: Duration,
    pub(crate) out: Vec<Output>,
    rng: ChaCha8Rng,
    /// The leader and term last reported with [`Output::Leader`].
    announced: (Option<HostId>, Term),
    raised_alarms: BTreeSet<Alarm>,
    /// Whether [`Output::SnapshotDue`] is still unanswered.
    snapshot_requested: bool,
    /// Approximate bytes of the entries applied since this replica last took a snapshot.
    applied_bytes: usize,
}

/// A replica's role in the current term.
#[derive(Debug)]
pub(crate) enum Role {
    Follower,
    /// Collects pre-votes; holds the hosts that granted one.
    PreCandidate(BTreeSet<HostId>),
    /// Collects votes; holds the hosts that granted one.
    Candidate(BTreeSet<HostId>),
    Leader(Box<LeaderState>),
}

/// A snapshot that arrives in chunks.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    /// The snapshot without its state.
    pub(crate) head: Snapshot,
    /// The part of the state that has arrived.
    pub(crate) bytes: Vec<u8>,
}

impl Replica {
    /// Creates a replica. Without a disk it is an observer, which receives the log and never votes.
    /// The outputs restore the recovered snapshot.
    pub fn new(
        now: Duration,
        settings: Settings,
        recovered: Option<Recovered>,
    ) -> (Replica, Vec<Output>) {
        let disk = recovered.as_ref().map(|d| d.disk);
        let (hard, snapshot, entries) = match recovered {
            Some(d) => (d.hard, d.snapshot, d.entries),
            None => (HardState::default(), None, Vec::new()),
        };
        let log = Log::new(hard.founders.clone(), snapshot.clone(), entries);
        let rng = ChaCha8Rng::seed_from_u64(settings.seed ^ (u64::from(settings.host) << 32));
        let index = snapshot.as_ref().map_or(0, |s| s.index);
        let mut replica = Replica {
            queue: WriteQueue::new(disk.is_some(), log.last()),
            announced: (None, hard.term),
            settings,
            disk,
            hard,
            log,
            commit: index,
            applied: index,
            role: Role::Follower,
            leader: None,
            leader_contact: now,
            election_deadline: now,
            next_hello: now,
            hello_count: 0,
            leader_hint: None,
            incoming: None,
            answered_round: (0, 0),
            fresh_hosts: BTreeMap::new(),
            now,
            out: Vec::new(),
            rng,
            raised_alarms: BTreeSet::new(),
            snapshot_requested: false,
            applied_bytes: 0,
        };
        replica.reset_election_deadline();
        replica.out.extend(snapshot.map(Output::Restore));
        let out = replica.finish_step();
        (replica, out)
    }

    /// Handles an input at time `now` and returns the outputs it causes, in order. A time before
    /// that of an earlier input counts as that time.
    pub fn handle(&mut self, now: Duration, input: Input) -> Vec<Output> {
        self.now = self.now.max(now);
        match input {
            Input::Tick => self.tick(),
            Input::Msg { from, msg } => self.receive(from, msg),
            Input::Propose(data) => self.propose(data),
            Input::SetVoters(hosts) => self.set_voters(hosts),
            Input::SetHosts(hosts) => self.set_hosts(hosts),
            Input::LeaderSilent => self.drop_silent_leader(),
            Input::LeaderHint(host) => self.leader_hint = Some(host),
            Input::SetFounders(hosts) => self.settings.founders = hosts,
            Input::Synced(ticket) => self.on_synced(ticket),
            Input::SyncFailed(reason) => self.on_sync_failed(reason),
            Input::Compact { index, state } => self.compact(index, state),
        }
        self.finish_step()
    }

    /// Returns a summary of the replica's state.
    pub fn status(&self) -> Status {
        let lead = match &self.role {
            Role::Leader(lead) => Some(lead),
            _ => None,
        };
        Status {
            leader: self.leader,
            term: self.hard.term,
            group: self.hard.group,
            leading: lead.is_some_and(|l| self.commit >= l.first_index),
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            members: self.log.membership().clone(),
            quorum_at: lead.and_then(|l| self.quorum_at(l)),
        }
    }

    /// Returns when a message from a leader last arrived; the time of the start before that.
    pub fn leader_contact(&self) -> Duration {
        self.leader_contact
    }

    /// On a leader: returns the hosts of the members whose data folder replied to a heartbeat round
    /// sent within the last election timeout, and which have not reported another data folder
    /// within that time. Empty on other replicas.
    pub fn responsive_members(&self) -> Vec<HostId> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let members = &self.log.membership().members;
        members.iter().filter(|it| self.is_responsive(lead, it)).map(|it| it.host).collect()
    }

    /// On a leader: returns the hosts that it sends the log to and that have not confirmed that they
    /// applied the entry at `index`. Empty on other replicas.
    pub fn hosts_behind(&self, index: Index) -> Vec<HostId> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let behind = lead.peers.iter().filter(|(_, peer)| peer.obeyed < index);
        behind.map(|(&host, _)| host).collect()
    }

    /// On a leader: returns how far a host that it sends the log to has confirmed it. `None` for
    /// other hosts and on other replicas.
    pub fn progress(&self, host: HostId) -> Option<Progress> {
        let Role::Leader(lead) = &self.role else { return None };
        let peer = lead.peers.get(&host)?;
        Some(Progress {
            confirmed: peer.obeyed,
            last_contact: peer.last_contact,
            unanswered: peer.unacked.len(),
            installing: peer.install.is_some(),
        })
    }

    /// On a leader: returns the hosts that should vote but are no members and have reported no data
    /// folder to this leader for as long as a silent non-member is kept as a peer. On a new leader,
    /// a host counts as missing until it reports one. Empty on other replicas.
    pub fn missing_voters(&self) -> Vec<HostId> {
        let Role::Leader(lead) = &self.role else { return Vec::new() };
        let hosts = lead.desired_voters.iter().flatten().copied();
        hosts.filter(|&host| self.is_missing(lead, host)).collect()
    }

    /// Applies newly committed entries, hands out the next write and returns all outputs.
    fn finish_step(&mut self) -> Vec<Output> {
        self.apply_committed();
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
        if self.leader.is_some() && !within(self.now, self.leader_contact, self.leader_timeout()) {
            self.leader = None;
        }
        if self.now >= self.next_hello {
            self.hello();
        }
        if self.is_electable() && self.now >= self.election_deadline {
            self.start_pre_vote();
        }
    }

    /// Replaces the list of all hosts. On a leader, hosts that are new in it become peers.
    fn set_hosts(&mut self, hosts: Vec<HostId>) {
        let former = std::mem::replace(&mut self.settings.hosts, hosts);
        let (now, commit, own) = (self.now, self.commit, self.settings.host);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let known: BTreeSet<HostId> = former.into_iter().collect();
        let mut new = Vec::new();
        for &host in &self.settings.hosts {
            if host == own || known.contains(&host) || lead.peers.contains_key(&host) {
                continue;
            }
            lead.peers.insert(host, Peer::new(now, None, None, commit));
            new.push(host);
        }
        for host in new {
            self.send_append(host);
        }
    }

    /// Looks for a leader with the next tick, if this replica is no member.
    fn drop_silent_leader(&mut self) {
        if self.is_member() || self.leader.is_none() {
            return;
        }
        self.leader = None;
        self.next_hello = self.now;
    }

    fn receive(&mut self, from: HostId, msg: LogMsg) {
        if from == self.settings.host || !self.accept_group(from, &msg) {
            return;
        }
        match msg.body {
            LogBody::Hello { last } => self.on_hello(from, msg.group, msg.disk, last),
            LogBody::Founding { group, members } => self.on_found(group, members),
            LogBody::PreVote { last, last_term } => {
                self.on_pre_vote(from, msg.term, last, last_term);
            }
            LogBody::PreVoted { granted } => self.on_pre_voted(from, msg.disk, msg.term, granted),
            LogBody::Vote { last, last_term } => {
                self.on_vote(from, msg.disk, msg.term, last, last_term);
            }
            LogBody::Voted { granted } => self.on_voted(from, msg.disk, msg.term, granted),
            LogBody::Append { .. } => self.on_append(from, msg),
            LogBody::Appended { round, index, accepted } => {
                let reply = crate::lead::ReplyHeader { disk: msg.disk, term: msg.term, round };
                self.on_appended(from, reply, index, accepted);
            }
            LogBody::Install { .. } => self.on_install(from, msg),
            LogBody::Installed { round, index, offset } => {
                let reply = crate::lead::ReplyHeader { disk: msg.disk, term: msg.term, round };
                self.on_installed(from, reply, index, offset);
            }
        }
    }

    /// Returns whether a message is to be handled: it is of this replica's group or of none, or
    /// this replica has no group and the message is a founding, an append or a snapshot chunk. An
    /// append or a chunk makes it join the sender's group. A host that says hello from a group is
    /// no longer a fresh host, and a group other than this replica's raises an alarm.
    fn accept_group(&mut self, from: HostId, msg: &LogMsg) -> bool {
        if msg.group == self.hard.group || msg.group == 0 {
            return true;
        }
        if self.hard.group != 0 {
            self.raise_alarm(Alarm::OtherGroup(msg.group));
            return false;
        }
        match msg.body {
            LogBody::Append { .. } | LogBody::Install { .. } => {
                self.join_group(msg.group);
                true
            }
            LogBody::Founding { .. } => true,
            LogBody::Hello { .. } => {
                self.fresh_hosts.remove(&from);
                false
            }
            _ => false,
        }
    }

    fn on_synced(&mut self, ticket: u64) {
        self.queue.complete(ticket, &mut self.out);
        match self.role {
            Role::Candidate(_) if self.queue.hard_synced() => self.count_own_vote(),
            Role::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    fn on_sync_failed(&mut self, reason: String) {
        self.queue.fail();
        self.role = Role::Follower;
        self.leader = None;
        self.raise_alarm(Alarm::DiskFailed(reason));
    }

    fn compact(&mut self, index: Index, state: Bytes) {
        self.snapshot_requested = false;
        if index > self.applied {
            return;
        }
        let keep = self.settings.snapshot_after / RETAIN_DIVISOR;
        if let Some(snap) = self.log.compact(index, state, keep) {
            self.queue.push(Op::Snapshot(snap));
            self.applied_bytes = 0;
        }
    }

    /// Returns whether a snapshot is due: enough entries were applied, and they are at least as
    /// large as the last snapshot, so that snapshots never cost more than the entries do.
    fn is_snapshot_due(&self) -> bool {
        let (covered, size) = self.log.snapshot().map_or((0, 0), |s| (s.index, s.state.len()));
        let enough = self.applied >= covered + self.settings.snapshot_after;
        enough && self.applied_bytes >= size && !self.snapshot_requested
    }

    fn apply_committed(&mut self) {
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else {
                break;
            };
            self.out.push(Output::Apply(entry.clone()));
            self.applied_bytes += entry_bytes(entry);
            self.applied += 1;
        }
        if self.disk.is_none() {
            self.log.discard(self.applied);
            return;
        }
        if self.is_snapshot_due() {
            self.snapshot_requested = true;
            self.out.push(Output::SnapshotDue);
        }
    }

    /// Reports an alarm, unless it has been reported before.
    pub(crate) fn raise_alarm(&mut self, alarm: Alarm) {
        if self.raised_alarms.insert(alarm.clone()) {
            self.out.push(Output::Alarm(alarm));
        }
    }

    /// Returns how long this replica considers a silent leader alive.
    pub(crate) fn leader_timeout(&self) -> Duration {
        match self.is_member() {
            true => self.settings.election,
            false => self.non_member_timeout(),
        }
    }

    /// Whether this replica votes or learns: the leader sends to it in each round.
    fn is_member(&self) -> bool {
        let member = member(self.log.membership(), self.settings.host);
        member.is_some_and(|it| Some(it.disk) == self.disk)
    }

    /// Returns how long a leader and a non-member may be without contact.
    pub(crate) fn non_member_timeout(&self) -> Duration {
        self.settings.heartbeat * NON_MEMBER_INTERVAL * MAX_MISSED_INTERVALS
    }

    /// Returns whether this replica is a voter that may stand for election.
    pub(crate) fn is_electable(&self) -> bool {
        let Some(disk) = self.disk else {
            return false;
        };
        self.hard.group != 0
            && !self.queue.failed()
            && is_voter(self.log.membership(), self.settings.host, disk)
    }

    /// Sets the deadline to one to two election timeouts from now, at random.
    pub(crate) fn reset_election_deadline(&mut self) {
        let election = self.settings.election;
        let share = self.rng.random::<f64>();
        self.election_deadline = self.now + election + election.mul_f64(share);
    }

    /// Enters a later term without casting a vote in it, and steps down. Does nothing if the term is
    /// not later than the current one.
    pub(crate) fn enter_term(&mut self, term: Term) {
        if term <= self.hard.term {
            return;
        }
        self.hard.term = term;
        self.hard.voted_for = None;
        self.save_hard_state();
        self.step_down();
    }

    pub(crate) fn step_down(&mut self) {
        if matches!(self.role, Role::Leader(_)) {
            self.reset_election_deadline();
        }
        self.role = Role::Follower;
        self.leader = None;
    }

    pub(crate) fn save_hard_state(&mut self) {
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
        LogMsg { group: self.hard.group, disk: self.disk, term, body }
    }

    /// Sends a message without waiting for the disk.
    pub(crate) fn send(&mut self, to: HostId, body: LogBody) {
        let msg = self.msg(self.hard.term, body);
        self.out.push(Output::Send { to, msg });
    }

    /// Sends a message once all changes so far are on disk.
    pub(crate) fn send_after_sync(&mut self, to: HostId, body: LogBody) {
        let msg = self.msg(self.hard.term, body);
        self.queue.hold(to, msg, &mut self.out);
    }

    pub(crate) fn join_group(&mut self, group: GroupId) {
        self.hard.group = group;
        self.fresh_hosts.clear();
        self.save_hard_state();
    }
}
