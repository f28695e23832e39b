//! The leader's side of replication: heartbeats, entries, snapshots and commit.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use wire::{DiskId, EntryBody, HostId, Index, LogBody, Term};

use crate::{
    Replica,
    group::{is_voter, member, quorum_value, voters, within},
    peer::{Peer, ResendPace},
    replica::Role,
};

/// Most bytes of entries in one message, unless a single entry is larger.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Rounds that are kept.
const MAX_ROUNDS: usize = 256;
/// Heartbeats from one empty append to a non-member to the next.
pub(crate) const NON_MEMBER_INTERVAL: u32 = 10;
/// Heartbeats of a new leader that are sent to all hosts.
const INITIAL_HEARTBEATS: u64 = 2;
/// A peer that lacks entries is asked again after the heartbeat interval divided by this.
const ASK_DIVISOR: u32 = 2;
/// Election timeouts after which a silent non-member is no longer a peer.
pub(crate) const NON_MEMBER_EXPIRY: u32 = 10;

/// The state that a replica keeps while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    /// The index of the first entry of the leader's term.
    pub(crate) first_index: Index,
    /// When the replica became leader.
    elected_at: Duration,
    /// Number of heartbeats.
    heartbeats: u64,
    /// Number of the current round, counted from 1.
    pub(crate) round: u64,
    /// The latest rounds in order of their numbers; the current one is the last.
    rounds: VecDeque<Round>,
    next_heartbeat: Duration,
    pub(crate) peers: BTreeMap<HostId, Peer>,
    /// The commit index at the last heartbeat, or `Index::MAX` if the term's first entry was not
    /// committed then. A learner that holds it has caught up.
    pub(crate) catchup_index: Index,
    /// The hosts that should vote, if set with [`crate::Input::SetVoters`].
    pub(crate) desired_voters: Option<Vec<HostId>>,
    /// Data folders that are not members, by the host that reported them.
    pub(crate) non_members: BTreeMap<HostId, NonMember>,
}

/// The appends that a leader sends from one time to the next. A reply names its round.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Round {
    /// When the round began; none of its appends was sent before.
    pub(crate) sent_at: Duration,
    /// The commit index then; all its appends name at least this one.
    commit: Index,
}

/// A data folder that a host reported and that is not a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NonMember {
    pub(crate) disk: DiskId,
    /// When the host last reported it.
    pub(crate) seen_at: Duration,
}

/// Fields that all replies to a leader have in common.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ReplyHeader {
    pub(crate) disk: Option<DiskId>,
    pub(crate) term: Term,
    pub(crate) round: u64,
}

impl LeaderState {
    /// Returns a round, or `None` if it is no longer known.
    fn round(&self, number: u64) -> Option<Round> {
        let age = self.round.checked_sub(number)?;
        let place = self.rounds.len().checked_sub(1 + age as usize)?;
        self.rounds.get(place).copied()
    }
}

impl Replica {
    /// Becomes leader of the current term and opens it with an entry.
    pub(crate) fn become_leader(&mut self) {
        let first = self.log.last() == 0;
        self.leader = Some(self.settings.host);
        self.role = Role::Leader(Box::new(LeaderState {
            first_index: self.log.last() + 1,
            elected_at: self.now,
            heartbeats: 0,
            round: 0,
            rounds: VecDeque::new(),
            next_heartbeat: self.now,
            peers: BTreeMap::new(),
            catchup_index: Index::MAX,
            desired_voters: None,
            non_members: BTreeMap::new(),
        }));
        self.update_peers();
        // The first entry of the log is the founding membership, for replicas that did not receive
        // the message about the founding.
        let members = self.log.membership().clone();
        self.append_body(if first { EntryBody::Members(members) } else { EntryBody::Noop });
        self.heartbeat();
    }

    /// Updates the peers after a change of membership.
    pub(crate) fn update_peers(&mut self) {
        let mut hosts = self.other_hosts();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let had_no_peers = lead.peers.is_empty();
        hosts.extend(lead.peers.keys().copied());
        let members = self.log.membership();
        for host in hosts {
            let member = member(members, host);
            let role = member.map(|m| m.role);
            let is_unchanged = match (lead.peers.get(&host), member) {
                (Some(peer), Some(member)) => peer.disk == Some(member.disk),
                (Some(_), None) => true,
                // All hosts become peers while there are none, as on a new leader. Later, a dropped
                // non-member comes back with its hello.
                (None, None) => !had_no_peers,
                (None, Some(_)) => false,
            };
            if !is_unchanged {
                let last = if role.is_some() { self.log.last() } else { self.commit };
                let peer = Peer::new(self.now, member.map(|m| m.disk), role, last);
                lead.peers.insert(host, peer);
            } else if let Some(peer) = lead.peers.get_mut(&host) {
                peer.role = role;
            }
        }
    }

    pub(crate) fn propose(&mut self, data: Bytes) {
        if !matches!(self.role, Role::Leader(_)) {
            return;
        }
        self.append_body(EntryBody::Data(data));
        self.replicate_all();
    }

    pub(crate) fn replicate_all(&mut self) {
        for host in self.peer_hosts() {
            self.replicate(host);
        }
    }

    fn peer_hosts(&self) -> Vec<HostId> {
        match &self.role {
            Role::Leader(lead) => lead.peers.keys().copied().collect(),
            _ => Vec::new(),
        }
    }

    pub(crate) fn tick_leader(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let confirmed = self.quorum_at(lead).map_or(lead.elected_at, |at| at.max(lead.elected_at));
        if !within(self.now, confirmed, self.settings.election) {
            self.step_down();
            return;
        }
        if self.now >= lead.next_heartbeat {
            self.heartbeat();
        }
        self.ask_late_peers();
        self.advance_membership();
    }

    /// Returns when the newest round that a quorum has answered was sent.
    pub(crate) fn quorum_at(&self, lead: &LeaderState) -> Option<Duration> {
        let mut times = Vec::new();
        for member in voters(self.log.membership()) {
            if member.host == self.settings.host {
                times.push(Some(self.now));
                continue;
            }
            times.push(lead.peers.get(&member.host).and_then(|p| p.acked_at));
        }
        quorum_value(times).flatten()
    }

    fn begin_round(&mut self) {
        let round = Round { sent_at: self.now, commit: self.commit };
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.round += 1;
        lead.rounds.push_back(round);
        if lead.rounds.len() > MAX_ROUNDS {
            lead.rounds.pop_front();
        }
    }

    /// Returns how long a peer has to answer before it is asked again.
    fn ask_pause(&self) -> Duration {
        self.settings.heartbeat / ASK_DIVISOR
    }

    /// Sends a heartbeat and drops non-members that have been silent too long.
    fn heartbeat(&mut self) {
        self.begin_round();
        let now = self.now;
        let silent = self.settings.election * NON_MEMBER_EXPIRY;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.heartbeats += 1;
        lead.next_heartbeat = now + self.settings.heartbeat;
        lead.catchup_index = if self.commit >= lead.first_index { self.commit } else { Index::MAX };
        lead.peers.retain(|_, p| p.role.is_some() || within(now, p.last_contact, silent));
        for host in self.peer_hosts() {
            self.resend_chunk(host);
            if !self.send_entries(host) && self.gets_empty_append(host) {
                self.send_empty_append(host);
            }
        }
    }

    /// Asks the peers that have not confirmed all that they are due, and that nothing was sent to
    /// for a while, how far their log goes: entries or their reply may have been lost.
    fn ask_late_peers(&mut self) {
        let pause = self.ask_pause();
        let (now, commit, last) = (self.now, self.commit, self.log.last());
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let is_late = |peer: &Peer| {
            let lacks_entries = peer.role.is_some() && peer.match_index < last;
            let is_silent = peer.appended_at.is_none_or(|at| now >= at + pause);
            (lacks_entries || peer.obeyed < commit) && is_silent && peer.install.is_none()
        };
        let late = |(_, peer): &(&HostId, &Peer)| is_late(peer) && self.is_reachable(peer);
        let hosts: Vec<HostId> = lead.peers.iter().filter(late).map(|(&host, _)| host).collect();
        if hosts.is_empty() {
            return;
        }
        self.begin_round();
        for host in hosts {
            self.send_empty_append(host);
        }
    }

    /// Returns whether a host receives the current heartbeat even without entries. Non-members
    /// receive few of them: they neither vote nor count for a quorum, and entries are sent to them
    /// at once.
    fn gets_empty_append(&self, host: HostId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let is_member = lead.peers.get(&host).is_some_and(|peer| peer.role.is_some());
        let phase = (lead.heartbeats + u64::from(host)) % u64::from(NON_MEMBER_INTERVAL);
        is_member || lead.heartbeats <= INITIAL_HEARTBEATS || phase == 0
    }

    /// Sends entries until there are no more or the limit of unanswered messages is reached.
    pub(crate) fn replicate(&mut self, host: HostId) {
        while self.send_entries(host) {}
    }

    /// Sends the next message with entries and returns whether one was sent. Starts a snapshot
    /// transfer if the log no longer holds the entry before them.
    pub(crate) fn send_entries(&mut self, host: HostId) -> bool {
        let Role::Leader(lead) = &mut self.role else {
            return false;
        };
        let Some(peer) = lead.peers.get_mut(&host) else {
            return false;
        };
        let limit = if peer.role.is_some() { self.log.last() } else { self.commit };
        peer.forget_after(limit);
        if peer.install.is_some() || peer.next_index > limit {
            return false;
        }
        let prev = peer.next_index - 1;
        let Some(prev_term) = self.log.term_at(prev) else {
            self.start_install(host);
            return false;
        };
        if !peer.may_send() {
            return false;
        }
        let entries = self.log.slice(peer.next_index, limit, MAX_BATCH_BYTES);
        let last = prev + entries.len() as u64;
        peer.record_sent(self.now, last);
        let (round, commit) = (lead.round, self.commit);
        self.send(host, LogBody::Append { round, prev, prev_term, entries, commit });
        true
    }

    /// Sends the current round and the commit index without entries.
    pub(crate) fn send_empty_append(&mut self, host: HostId) {
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&host) else {
            return;
        };
        let prev = (peer.next_index - 1).max(self.log.base());
        let Some(prev_term) = self.log.term_at(prev) else {
            return;
        };
        peer.appended_at = Some(self.now);
        let (round, commit) = (lead.round, self.commit);
        self.send(host, LogBody::Append { round, prev, prev_term, entries: Vec::new(), commit });
    }

    /// Records a host's reply. Returns whether it is valid: sent in the current term by the data
    /// folder that the peer stands for.
    pub(crate) fn record_reply(&mut self, from: HostId, reply: ReplyHeader) -> bool {
        if reply.term > self.hard.term && self.is_from_voter(from, reply.disk) {
            self.enter_term(reply.term);
        }
        if !matches!(self.role, Role::Leader(_)) || reply.term != self.hard.term {
            return false;
        }
        self.record_non_member(from, reply.disk);
        let (now, commit) = (self.now, self.commit);
        let Role::Leader(lead) = &mut self.role else {
            return false;
        };
        let sent = lead.round(reply.round).map(|it| it.sent_at);
        let Some(peer) = lead.peers.get_mut(&from) else {
            return false;
        };
        if peer.role.is_none() && peer.disk != reply.disk {
            *peer = Peer::new(now, reply.disk, None, commit);
        }
        if peer.disk != reply.disk {
            return false;
        }
        peer.last_contact = now;
        peer.acked_at = peer.acked_at.max(sent);
        true
    }

    pub(crate) fn on_appended(
        &mut self,
        from: HostId,
        reply: ReplyHeader,
        index: Index,
        taken: bool,
    ) {
        if !self.record_reply(from, reply) {
            return;
        }
        let (base, last) = (self.log.base(), self.log.last());
        let pace = ResendPace {
            now: self.now,
            first: self.ask_pause(),
            longest: self.settings.election / 2,
        };
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round = lead.round(reply.round);
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        let mut retry = false;
        if taken && index <= last {
            peer.advance(index, round.map_or(0, |it| it.commit));
            peer.install.take_if(|_| index >= base);
        } else if peer.install.is_none() {
            retry = peer.rewind(pace, index, round.map(|it| it.sent_at));
        }
        if retry {
            self.send_append(from);
        }
        self.replicate(from);
        self.advance_commit();
        self.advance_membership();
    }

    /// Returns whether a valid reply of a peer arrived, or the peer was created, within the timeout
    /// for its role.
    pub(crate) fn is_reachable(&self, peer: &Peer) -> bool {
        let timeout = match peer.role {
            Some(_) => self.settings.election,
            None => self.non_member_timeout(),
        };
        within(self.now, peer.last_contact, timeout)
    }

    /// Commits the entries that a quorum has on disk, if the last of them is of the current term.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let mut indexes = Vec::new();
        for member in voters(self.log.membership()) {
            if member.host == self.settings.host {
                indexes.push(self.queue.synced().min(self.log.last()));
                continue;
            }
            indexes.push(lead.peers.get(&member.host).map_or(0, |p| p.match_index));
        }
        let Some(index) = quorum_value(indexes) else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        self.begin_round();
        self.announce_commit();
        self.advance_membership();
        self.step_down_if_removed();
    }

    /// Sends newly committed entries to non-members, and the commit index to live members that have
    /// no entries to receive.
    fn announce_commit(&mut self) {
        for host in self.peer_hosts() {
            if self.send_entries(host) || !self.is_live_member(host) {
                continue;
            }
            self.send_empty_append(host);
        }
    }

    fn is_live_member(&self, host: HostId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let election = self.settings.election;
        let live = |p: &Peer| p.role.is_some() && within(self.now, p.last_contact, election);
        lead.peers.get(&host).is_some_and(live)
    }

    /// Steps down once the leader's removal from the voters is committed.
    fn step_down_if_removed(&mut self) {
        let Some(disk) = self.disk else {
            return;
        };
        let members = self.log.membership();
        let settled = self.log.membership_index() <= self.commit;
        if settled && !is_voter(members, self.settings.host, disk) {
            self.step_down();
        }
    }
}
