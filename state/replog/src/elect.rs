//! Elections.

use std::collections::BTreeSet;

use wire::{HostId, Index, LogBody, Term, VoterId};

use crate::{
    Replica,
    group::{is_quorum, is_voter, voters, within},
    replica::Role,
};

impl Replica {
    /// Asks whether votes would be given, without raising the term.
    pub(crate) fn ask_pre_votes(&mut self) {
        self.set_deadline();
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
        let hosts = voters(self.log.members()).map(|m| m.host);
        hosts.filter(|&h| h != self.settings.host).collect()
    }

    fn count_pre_votes(&mut self) {
        let Role::PreCandidate(votes) = &self.role else {
            return;
        };
        if is_quorum(self.log.members(), votes.len()) {
            self.ask_votes();
        }
    }

    fn ask_votes(&mut self) {
        self.hard.term += 1;
        self.hard.vote = self.voter;
        self.save_hard();
        self.role = Role::Candidate(BTreeSet::new());
        self.set_deadline();
        let (last, last_term) = (self.log.last(), self.log.last_term());
        for host in self.other_voters() {
            self.send_synced(host, LogBody::Vote { last, last_term });
        }
    }

    /// Counts the candidate's vote for itself, which is on disk.
    pub(crate) fn count_own_vote(&mut self) {
        let host = self.settings.host;
        self.count_vote(host);
    }

    fn count_vote(&mut self, host: HostId) {
        let Role::Candidate(votes) = &mut self.role else {
            return;
        };
        votes.insert(host);
        // The own vote stands for the synced term, without which none may lead.
        let own = votes.contains(&self.settings.host);
        if own && is_quorum(self.log.members(), votes.len()) {
            self.lead();
        }
    }

    /// Tells whether a leader may still count on this replica's refusal of
    /// other candidates.
    fn bound_to_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_)) || within(self.now, self.heard, self.settings.election)
    }

    fn up_to_date(&self, last: Index, last_term: Term) -> bool {
        (last_term, last) >= (self.log.last_term(), self.log.last())
    }

    pub(crate) fn on_pre_vote(&mut self, from: HostId, term: Term, last: Index, last_term: Term) {
        if self.voter.is_none() || self.hard.group == 0 || self.queue.failed() {
            return;
        }
        let granted =
            term > self.hard.term && !self.bound_to_leader() && self.up_to_date(last, last_term);
        let answer = if granted { term } else { self.hard.term };
        let msg = self.msg(answer, LogBody::PreVoted { granted });
        self.queue.hold(from, msg, &mut self.out);
    }

    pub(crate) fn on_pre_voted(
        &mut self,
        from: HostId,
        voter: Option<VoterId>,
        term: Term,
        granted: bool,
    ) {
        if !self.is_from_voter(from, voter) {
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

    pub(crate) fn is_from_voter(&self, from: HostId, voter: Option<VoterId>) -> bool {
        voter.is_some_and(|v| is_voter(self.log.members(), from, v))
    }

    pub(crate) fn on_vote(
        &mut self,
        from: HostId,
        voter: Option<VoterId>,
        term: Term,
        last: Index,
        last_term: Term,
    ) {
        if self.voter.is_none() || self.hard.group == 0 || self.queue.failed() {
            return;
        }
        if term < self.hard.term || self.bound_to_leader() {
            self.send_synced(from, LogBody::Voted { granted: false });
            return;
        }
        self.enter_term(term);
        let free = self.hard.vote.is_none() || self.hard.vote == voter;
        let granted = voter.is_some() && free && self.up_to_date(last, last_term);
        if granted {
            self.grant(voter);
        }
        self.send_synced(from, LogBody::Voted { granted });
    }

    fn grant(&mut self, voter: Option<VoterId>) {
        self.set_deadline();
        if self.hard.vote == voter {
            return;
        }
        self.hard.vote = voter;
        self.save_hard();
    }

    pub(crate) fn on_voted(
        &mut self,
        from: HostId,
        voter: Option<VoterId>,
        term: Term,
        granted: bool,
    ) {
        if !self.is_from_voter(from, voter) {
            return;
        }
        if term > self.hard.term {
            self.enter_term(term);
        } else if term == self.hard.term && granted {
            self.count_vote(from);
        }
    }
}
