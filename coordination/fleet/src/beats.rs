//! What targets say of themselves, and telling it to the other hosts.

use std::time::Duration;

use wire::{FleetMsg, TargetCard, TargetState};

use crate::{Event, Host, io::Output};

impl Host {
    /// Takes in what a target said to this host.
    pub(crate) fn beat(&mut self, now: Duration, card: TargetCard) {
        if self.note_target(&card) {
            if card.state != TargetState::Ready {
                self.tell_all_seen(&card);
            }
            self.out.push(Output::Wake);
        }
        let holder = self.holder(&card.domain).or(self.leader);
        if !self.hold_known(now, &card.id)
            && let Some(holder) = holder
        {
            self.send(holder, FleetMsg::Alive(card));
        }
    }

    pub(crate) fn left(&mut self, now: Duration, id: &str) {
        let Some(target) = self.targets.get(id) else { return };
        let card = TargetCard { state: TargetState::Gone, ..target.card.clone() };
        self.tell_all_seen(&card);
        self.know_target(now, &card);
    }

    /// Tells every host that a target takes no more requests, without waiting for
    /// a leader that may just be lost.
    pub(crate) fn tell_all_seen(&mut self, card: &TargetCard) {
        for host in self.hosts.others() {
            self.send(host, FleetMsg::Seen(card.clone()));
        }
    }

    /// Takes in what a target is, wherever it comes from.
    pub(crate) fn know_target(&mut self, now: Duration, card: &TargetCard) {
        self.note_target(card);
        self.hold_target(now, card);
        self.out.push(Output::Wake);
    }

    pub(crate) fn alive(&mut self, now: Duration, card: &TargetCard) {
        self.note_target(card);
        self.hold_known(now, &card.id);
    }

    /// Takes in that a target is alive, if this host holds its failure domain.
    fn hold_known(&mut self, now: Duration, id: &str) -> bool {
        let Some(card) = self.targets.get(id).map(|it| it.card.clone()) else { return false };
        self.hold_target(now, &card)
    }

    /// Merges a target's card. Returns whether it changed anything.
    pub(crate) fn note_target(&mut self, card: &TargetCard) -> bool {
        let changed = self.targets.merge(card);
        if changed {
            self.log(Event::Target {
                target: card.id.clone(),
                service: card.service.clone(),
                addr: card.addr.clone(),
                state: format!("{:?}", card.state).to_lowercase(),
            });
        }
        changed
    }
}
