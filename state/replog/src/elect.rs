//! Elections, with a pre-vote before each.

use std::collections::BTreeSet;

use wire::{DiskId, HostId, Index, LogBody, Term};

use crate::{
    Replica,
    group::{is_quorum, is_voter, voters, within},
    replica::Role,
};

impl Replica {
    /// Requests pre-votes: asks the other voters whether they would grant a vote, without raising
    /// the term.
    pub(crate) fn start_pre_vote(&mut self) {
        self.reset_election_deadline();
        self.leader = None;
        self.role = Role::PreCandidate(BTreeSet::from([self.settings.host]));
        let (last, last_term) = (self.log.last(), self.log.last_term());
        let term = self.hard.term + 1;
        for host in self.other_voters() {
            let msg = self.msg(term, LogBody::PreVote { last, last_term });
            self.queue.hold(host, msg, &mut self.out);
        }
        self.count_pre_votes();
    }

    fn other_voters(&self) -> Vec<HostId> {
        let hosts = voters(self.log.membership()).map(|m| m.host);
        hosts.filter(|&h| h != self.settings.host).collect()
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(votes) = &self.role else {
            return;
        };
        if is_quorum(self.log.membership(), votes.len()) {
            self.start_election();
        }
    }

    /// Raises the term, votes for this replica and requests votes. The requests are sent once both
    /// are on disk.
    fn start_election(&mut self) {
        self.hard.term += 1;
        self.hard.voted_for = self.disk;
        self.save_hard_state();
        self.role = Role::Candidate(BTreeSet::new());
        self.reset_election_deadline();
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for host in self.other_voters() {
            self.send_after_sync(host, LogBody::Vote { last, last_term });
        }
    }

    /// Counts the candidate's vote for itself, once it is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        let host = self.settings.host;
        self.count_vote(host);
    }

    fn count_vote(&mut self, host: HostId) {
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        votes.insert(host);
        // The candidate's own vote is counted once its term is on disk; it must not lead before
        // that.
        let own = votes.contains(&self.settings.host);
        if own && is_quorum(self.log.membership(), votes.len()) {
            self.become_leader();
        }
    }

    /// Returns whether this replica leads, or a leader may still rely on it to refuse other
    /// candidates: within an election timeout of the last contact with a leader or of the start.
    fn in_leader_lease(&self) -> bool {
        matches!(self.role, Role::Leader(_))
            || within(self.now, self.leader_contact, self.settings.election)
    }

    /// Returns whether a candidate's log is at least as up to date as this replica's.
    fn is_up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    pub(crate) fn on_pre_vote(&mut self, from: HostId, term: Term, last: Index, last_term: Term) {
        if self.disk.is_none() || self.hard.group == 0 || self.queue.failed() {
            return;
        }
        let granted =
            term > self.hard.term && !self.in_leader_lease() && self.is_up_to_date(last, last_term);
        let reply_term = if granted { term } else { self.hard.term };
        let msg = self.msg(reply_term, LogBody::PreVoted { granted });
        self.queue.hold(from, msg, &mut self.out);
    }

    pub(crate) fn on_pre_voted(
        &mut self,
        from: HostId,
        disk: Option<DiskId>,
        term: Term,
        granted: bool,
    ) {
        if !self.is_from_voter(from, disk) {
            return;
        }
        if !granted {
            self.enter_term(term);
            return;
        }
        if term != self.hard.term + 1 {
            return;
        }
        if let Role::PreCandidate(votes) = &mut self.role {
            votes.insert(from);
            self.count_pre_votes();
        }
    }

    /// Returns whether a data folder on a host is that of a current voter.
    pub(crate) fn is_from_voter(&self, from: HostId, disk: Option<DiskId>) -> bool {
        disk.is_some_and(|v| is_voter(self.log.membership(), from, v))
    }

    pub(crate) fn on_vote(
        &mut self,
        from: HostId,
        disk: Option<DiskId>,
        term: Term,
        last: Index,
        last_term: Term,
    ) {
        if self.disk.is_none() || self.hard.group == 0 || self.queue.failed() {
            return;
        }
        if term < self.hard.term || self.in_leader_lease() {
            self.send_after_sync(from, LogBody::Voted { granted: false });
            return;
        }
        self.enter_term(term);
        let free = self.hard.voted_for.is_none() || self.hard.voted_for == disk;
        let granted = disk.is_some() && free && self.is_up_to_date(last, last_term);
        if granted {
            self.grant_vote(disk);
        }
        self.send_after_sync(from, LogBody::Voted { granted });
    }

    fn grant_vote(&mut self, disk: Option<DiskId>) {
        self.reset_election_deadline();
        if self.hard.voted_for == disk {
            return;
        }
        self.hard.voted_for = disk;
        self.save_hard_state();
    }

    pub(crate) fn on_voted(
        &mut self,
        from: HostId,
        disk: Option<DiskId>,
        term: Term,
        granted: bool,
    ) {
        if !self.is_from_voter(from, disk) {
            return;
        }
        if term > self.hard.term {
            self.enter_term(term);
        } else if term == self.hard.term && granted {
            self.count_vote(from);
        }
    }
}
