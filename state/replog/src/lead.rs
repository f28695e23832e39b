//! What a leader does: heartbeats, replication, commit.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use bytes::Bytes;
use wire::{EntryBody, HostId, Index, LogBody, Snapshot, Term, VoterId};

use crate::{
    Replica,
    group::{is_voter, member, quorum_value, voters, within},
    peer::{Peer, Transfer},
    replica::Role,
};

/// Bytes of entries in one message, unless a single entry is larger.
const MAX_BATCH_BYTES: usize = 1024 * 1024;
/// Bytes of a snapshot in one message.
const CHUNK_BYTES: u64 = 256 * 1024;
/// Heartbeat rounds whose send times are remembered.
const MAX_ROUNDS: usize = 256;
/// Rounds after which an observer without entries to receive gets one.
pub(crate) const OBSERVER_ROUNDS: u32 = 10;
/// Rounds of a new leader that all hosts get.
const FIRST_ROUNDS: u64 = 2;
/// Election times after which a silent observer is no longer served.
pub(crate) const OBSERVER_ELECTIONS: u32 = 10;

/// A leader's state.
#[derive(Debug)]
pub(crate) struct Lead {
    /// The first index of the leader's term.
    pub(crate) start: Index,
    since: Duration,
    round: u64,
    rounds: VecDeque<(u64, Duration)>,
    heartbeat_at: Duration,
    pub(crate) peers: BTreeMap<HostId, Peer>,
    /// The commit index at the last heartbeat; a learner there has caught up.
    pub(crate) goal: Index,
    /// The hosts that should vote.
    pub(crate) want: Option<Vec<HostId>>,
    /// Data folders that are not members, by host.
    pub(crate) arrivals: BTreeMap<HostId, Arrival>,
}

/// A data folder seen on a host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Arrival {
    pub(crate) voter: VoterId,
    pub(crate) at: Duration,
}

/// What all answers to a leader carry.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) voter: Option<VoterId>,
    pub(crate) term: Term,
    pub(crate) round: u64,
}

impl Lead {
    fn sent_at(&self, round: u64) -> Option<Duration> {
        let found = self.rounds.iter().find(|&&(r, _)| r == round);
        found.map(|&(_, at)| at)
    }
}

impl Replica {
    /// Starts to lead the current term.
    pub(crate) fn lead(&mut self) {
        let first = self.log.last() == 0;
        self.leader = Some(self.settings.host);
        self.role = Role::Leader(Box::new(Lead {
            start: self.log.last() + 1,
            since: self.now,
            round: 0,
            rounds: VecDeque::new(),
            heartbeat_at: self.now,
            peers: BTreeMap::new(),
            goal: Index::MAX,
            want: None,
            arrivals: BTreeMap::new(),
        }));
        self.sync_peers();
        // The founding membership stands in the log for those who did not hear
        // of the founding.
        let members = self.log.members().clone();
        self.append_body(if first { EntryBody::Members(members) } else { EntryBody::Noop });
        self.heartbeat();
    }

    /// Brings the peers in line with the membership.
    pub(crate) fn sync_peers(&mut self) {
        let mut hosts = self.all_hosts();
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let first = lead.peers.is_empty();
        hosts.extend(lead.peers.keys().copied());
        let members = self.log.members();
        for host in hosts {
            let member = member(members, host);
            let role = member.map(|m| m.role);
            let same = match (lead.peers.get(&host), member) {
                (Some(peer), Some(member)) => peer.voter == Some(member.voter),
                (Some(_), None) => true,
                (None, None) => !first,
                (None, Some(_)) => false,
            };
            if !same {
                let last = if role.is_some() { self.log.last() } else { self.commit };
                let peer = Peer::new(self.now, member.map(|m| m.voter), role, last);
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
        let confirmed = self.quorum_at(lead).map_or(lead.since, |at| at.max(lead.since));
        if !within(self.now, confirmed, self.settings.election) {
            self.step_down();
            return;
        }
        if self.now >= lead.heartbeat_at {
            self.heartbeat();
        }
        self.step_members();
    }

    /// Returns the send time of the newest round that a quorum has answered.
    pub(crate) fn quorum_at(&self, lead: &Lead) -> Option<Duration> {
        let mut times = Vec::new();
        for member in voters(self.log.members()) {
            if member.host == self.settings.host {
                times.push(Some(self.now));
                continue;
            }
            times.push(lead.peers.get(&member.host).and_then(|p| p.acked));
        }
        quorum_value(times).flatten()
    }

    fn heartbeat(&mut self) {
        let now = self.now;
        let silent = self.settings.election * OBSERVER_ELECTIONS;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        lead.round += 1;
        lead.rounds.push_back((lead.round, now));
        if lead.rounds.len() > MAX_ROUNDS {
            lead.rounds.pop_front();
        }
        lead.heartbeat_at = now + self.settings.heartbeat;
        lead.goal = if self.commit >= lead.start { self.commit } else { Index::MAX };
        lead.peers.retain(|_, p| p.role.is_some() || within(now, p.heard, silent));
        for host in self.peer_hosts() {
            self.resend_chunk(host);
            if !self.send_entries(host) && self.is_noticed(host) {
                self.send_notice(host);
            }
        }
    }

    /// Returns whether a host gets this round without entries. Observers get
    /// few: they neither vote nor confirm anything, and entries reach them at
    /// once.
    fn is_noticed(&self, host: HostId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let is_member = lead.peers.get(&host).is_some_and(|peer| peer.role.is_some());
        let turn = (lead.round + u64::from(host)) % u64::from(OBSERVER_ROUNDS);
        is_member || lead.round <= FIRST_ROUNDS || turn == 0
    }

    /// Sends as many entries as the host may have unanswered.
    fn replicate(&mut self, host: HostId) {
        while self.send_entries(host) {}
    }

    /// Sends the next entries and tells whether there were any to send.
    pub(crate) fn send_entries(&mut self, host: HostId) -> bool {
        let Role::Leader(lead) = &mut self.role else {
            return false;
        };
        let Some(peer) = lead.peers.get_mut(&host) else {
            return false;
        };
        let limit = if peer.role.is_some() { self.log.last() } else { self.commit };
        peer.limit(limit);
        if peer.install.is_some() || peer.next > limit {
            return false;
        }
        let prev = peer.next - 1;
        let Some(prev_term) = self.log.term_at(prev) else {
            self.start_install(host);
            return false;
        };
        if !peer.may_send() {
            return false;
        }
        let entries = self.log.slice(peer.next, limit, MAX_BATCH_BYTES);
        let last = prev + entries.len() as u64;
        peer.next = last + 1;
        peer.unacked.push_back(last);
        let (round, commit) = (lead.round, self.commit);
        self.send(host, LogBody::Append { round, prev, prev_term, entries, commit });
        true
    }

    /// Sends the round and the commit index without entries.
    pub(crate) fn send_notice(&mut self, host: HostId) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let Some(peer) = lead.peers.get(&host) else {
            return;
        };
        let prev = (peer.next - 1).max(self.log.base());
        let Some(prev_term) = self.log.term_at(prev) else {
            return;
        };
        let (round, commit) = (lead.round, self.commit);
        self.send(host, LogBody::Append { round, prev, prev_term, entries: Vec::new(), commit });
    }

    /// Takes in that a host answered. Returns whether its answer counts.
    fn answered(&mut self, from: HostId, answer: Answer) -> bool {
        if answer.term > self.hard.term && self.is_from_voter(from, answer.voter) {
            self.enter_term(answer.term);
        }
        if !matches!(self.role, Role::Leader(_)) || answer.term != self.hard.term {
            return false;
        }
        self.note_arrival(from, answer.voter);
        let (now, commit) = (self.now, self.commit);
        let Role::Leader(lead) = &mut self.role else {
            return false;
        };
        let sent = lead.sent_at(answer.round);
        let Some(peer) = lead.peers.get_mut(&from) else {
            return false;
        };
        if peer.role.is_none() && peer.voter != answer.voter {
            *peer = Peer::new(now, answer.voter, None, commit);
        }
        if peer.voter != answer.voter {
            return false;
        }
        peer.heard = now;
        peer.acked = peer.acked.max(sent);
        true
    }

    pub(crate) fn on_appended(&mut self, from: HostId, answer: Answer, index: Index, taken: bool) {
        if !self.answered(from, answer) {
            return;
        }
        let (base, last) = (self.log.base(), self.log.last());
        let (now, pause) = (self.now, self.settings.election / 2);
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        let mut retry = false;
        if taken && index <= last {
            peer.advance(index);
            peer.install.take_if(|_| index >= base);
        } else if peer.install.is_none() {
            retry = peer.retreat(now, index, pause);
        }
        if retry {
            self.resume(from);
        }
        self.replicate(from);
        self.advance_commit();
        self.step_members();
    }

    /// Returns whether a host was heard of as lately as its role demands.
    fn is_near(&self, peer: &Peer) -> bool {
        let patience = match peer.role {
            Some(_) => self.settings.election,
            None => self.observer_patience(),
        };
        within(self.now, peer.heard, patience)
    }

    fn start_install(&mut self, host: HostId) {
        let Some(snapshot) = self.log.snapshot().cloned() else {
            return;
        };
        let now = self.now;
        let Role::Leader(lead) = &self.role else {
            return;
        };
        if !lead.peers.get(&host).is_some_and(|peer| self.is_near(peer)) {
            return;
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&host) else {
            return;
        };
        peer.install = Some(Transfer { snapshot, offset: 0, sent: now });
        self.send_chunk(host);
    }

    fn send_chunk(&mut self, host: HostId) {
        let now = self.now;
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let round = lead.round;
        let Some(transfer) = lead.peers.get_mut(&host).and_then(|p| p.install.as_mut()) else {
            return;
        };
        transfer.sent = now;
        let state = &transfer.snapshot.state;
        let total = state.len() as u64;
        let offset = transfer.offset.min(total);
        let end = total.min(offset + CHUNK_BYTES);
        let chunk = state.slice(offset as usize..end as usize);
        let head = Snapshot { state: Bytes::new(), ..transfer.snapshot.clone() };
        let commit = self.commit;
        self.send(host, LogBody::Install { round, head, total, offset, chunk, commit });
    }

    /// Sends a chunk again that a live host did not answer for half an election
    /// time.
    fn resend_chunk(&mut self, host: HostId) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let election = self.settings.election;
        let peer = lead.peers.get(&host).filter(|peer| self.is_near(peer));
        let Some(transfer) = peer.and_then(|p| p.install.as_ref()) else {
            return;
        };
        if !within(self.now, transfer.sent, election / 2) {
            self.send_chunk(host);
        }
    }

    pub(crate) fn on_installed(&mut self, from: HostId, answer: Answer, index: Index, offset: u64) {
        if !self.answered(from, answer) {
            return;
        }
        let Role::Leader(lead) = &mut self.role else {
            return;
        };
        let Some(peer) = lead.peers.get_mut(&from) else {
            return;
        };
        let Some(transfer) = peer.install.as_mut().filter(|t| t.snapshot.index == index) else {
            return;
        };
        if offset >= transfer.snapshot.state.len() as u64 {
            peer.install = None;
            peer.next = index + 1;
            peer.unacked.clear();
            peer.advance(index);
        } else {
            transfer.offset = offset;
            self.send_chunk(from);
        }
        self.replicate(from);
        self.advance_commit();
        self.step_members();
    }

    /// Commits what a quorum has on disk, if it reaches into this term.
    pub(crate) fn advance_commit(&mut self) {
        let Role::Leader(lead) = &self.role else {
            return;
        };
        let mut indexes = Vec::new();
        for member in voters(self.log.members()) {
            if member.host == self.settings.host {
                indexes.push(self.queue.synced().min(self.log.last()));
                continue;
            }
            indexes.push(lead.peers.get(&member.host).map_or(0, |p| p.matched));
        }
        let Some(index) = quorum_value(indexes) else {
            return;
        };
        if index <= self.commit || self.log.term_at(index) != Some(self.hard.term) {
            return;
        }
        self.commit = index;
        self.announce_commit();
        self.step_members();
        self.leave_if_removed();
    }

    /// Sends new entries to observers and the commit index to live members.
    fn announce_commit(&mut self) {
        for host in self.peer_hosts() {
            if self.send_entries(host) || !self.is_live_member(host) {
                continue;
            }
            self.send_notice(host);
        }
    }

    fn is_live_member(&self, host: HostId) -> bool {
        let Role::Leader(lead) = &self.role else {
            return false;
        };
        let election = self.settings.election;
        let live = |p: &Peer| p.role.is_some() && within(self.now, p.heard, election);
        lead.peers.get(&host).is_some_and(live)
    }

    fn leave_if_removed(&mut self) {
        let Some(voter) = self.voter else {
            return;
        };
        let members = self.log.members();
        let settled = self.log.members_index() <= self.commit;
        if settled && !is_voter(members, self.settings.host, voter) {
            self.step_down();
        }
    }
}
