//! Turns at targets, as the hosts agree on them.

use std::time::Duration;

use wire::{FleetMsg, HostId, TargetNumber, TurnAsk};

use crate::{Ask, Event, Host, Pick, io::Output, targets::digest};

/// Time between two lines about the prompts that wait at a target.
const NOTE_PROMPTS: Duration = Duration::from_secs(2);

impl Host {
    /// Returns the host that gives out the turns of a target: one of its failure
    /// domain that takes callers, the same one for all hosts that know the same
    /// hosts. Where they differ, two hosts give out turns for a while, which costs
    /// pauses and nothing else.
    fn turn_giver(&self, target: &str) -> Option<HostId> {
        let domain = &self.targets.get(target)?.card.domain;
        let rank = |host: HostId| digest(&(host, target));
        let near = self.hosts.ready().filter(|it| it.domain == *domain).map(|it| it.host);
        let near = near.max_by_key(|&it| rank(it));
        near.or_else(|| self.hosts.ready().map(|it| it.host).max_by_key(|&it| rank(it)))
    }

    /// Asks for a request's turn, for the first time or again. Returns the host
    /// that was asked; none if nobody gives out turns.
    pub fn ask_turn(&mut self, now: Duration, ask: &TurnAsk) -> (Option<HostId>, Vec<Output>) {
        let giver = self.turn_giver(&ask.target);
        match giver {
            Some(host) if host == self.settings.host => self.turn_asked(now, host, ask),
            Some(host) => self.send(host, FleetMsg::TurnAsk(ask.clone())),
            None => {}
        }
        (giver, self.finish(now))
    }

    /// Gives a turn back to the host that was asked for it; `read` tells whether
    /// the prompt was read.
    pub fn end_turn(
        &mut self,
        now: Duration,
        giver: HostId,
        ticket: u64,
        target: &str,
        read: bool,
    ) -> Vec<Output> {
        if giver == self.settings.host {
            let granted = self.turns.end(now, (giver, ticket), target, read);
            self.tell_turns(granted, self.turns.backlog(target));
        } else {
            let target = target.to_owned();
            self.send(giver, FleetMsg::TurnEnded { ticket, target, read });
        }
        self.finish(now)
    }

    pub(crate) fn turn_asked(&mut self, now: Duration, from: HostId, ask: &TurnAsk) {
        let granted = self.turns.ask(now, from, ask);
        let backlog = self.turns.backlog(&ask.target);
        if !granted.contains(&(from, ask.ticket)) {
            self.tell_turn(from, ask.ticket, false, backlog);
        }
        self.tell_turns(granted, backlog);
    }

    pub(crate) fn tell_turns(&mut self, granted: Vec<(HostId, u64)>, backlog: u32) {
        for (host, ticket) in granted {
            self.tell_turn(host, ticket, true, backlog);
        }
    }

    fn tell_turn(&mut self, host: HostId, ticket: u64, granted: bool, backlog: u32) {
        if host == self.settings.host {
            self.out.push(Output::Turn { ticket, granted, backlog });
        } else {
            self.send(host, FleetMsg::Turn { ticket, granted, backlog });
        }
    }

    /// Takes in how many prompt tokens are read or wait at a target, and tells
    /// whether a request that waits there would now go to another one.
    pub fn is_better_elsewhere(
        &mut self,
        now: Duration,
        ask: &Ask,
        target: &str,
        backlog: u32,
    ) -> bool {
        if let Some(known) = self.targets.get_mut(target) {
            known.backlog = backlog;
        }
        match self.would_choose(now, ask, 0) {
            Pick::Target(id) => id != target,
            Pick::Load | Pick::Full | Pick::None => false,
        }
    }

    /// Prompt tokens that are read or wait at those targets of a failure domain
    /// whose turns this host gives out.
    pub(crate) fn backlogs(&self, domain: &str) -> Vec<(TargetNumber, u32)> {
        let mut backlogs = Vec::new();
        for (target, tokens) in self.turns.backlogs() {
            let target = self.targets.get(target).filter(|it| it.card.domain == domain);
            if let Some(number) = target.and_then(|it| it.number) {
                backlogs.push((number, tokens));
            }
        }
        backlogs
    }

    /// Writes what is believed of targets whose prompts wait, once in a while, and
    /// forgets targets that are gone.
    pub(crate) fn note_prompts(&mut self, now: Duration) {
        if now < self.noted_prompts + NOTE_PROMPTS {
            return;
        }
        self.noted_prompts = now;
        let targets = &self.targets;
        self.turns.retain(|target| targets.get(target).is_some());
        for (target, speed, backlog) in self.turns.beliefs() {
            let speed = speed.unwrap_or_default();
            self.log(Event::Prompts { target, speed, backlog });
        }
    }
}
