//! The targets as one host knows them.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{Hash, Hasher},
    time::Duration,
};

use siphasher::sip::SipHasher13;
use wire::{AdapterPrint, Board, Running, TargetCard, TargetNumber, TargetState};

/// Weight of the newest answer in what is remembered of a target.
const FRESH: f64 = 0.15;
/// How long a target that could not be reached is avoided at first.
const FIRST_AVOIDED: Duration = Duration::from_millis(250);
/// How long it is avoided at most.
const LONGEST_AVOIDED: Duration = Duration::from_secs(4);
/// Targets that ended and are remembered, so that late heartbeats are known.
const REMEMBERED: usize = 4096;

/// Returns a digest that is the same on all hosts: SipHash-1-3 with a key of zeros.
pub fn digest(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the short digest of an adapter's name; never zero.
pub fn adapter_print(name: &str) -> AdapterPrint {
    (digest(&name) as AdapterPrint).max(1)
}

/// What was seen of a target's answers.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Share of the answers that failed, the newest counting most.
    pub failed: f64,
    /// Time to the first byte in milliseconds, the newest counting most.
    pub delay_ms: f64,
    /// Until when it is avoided.
    pub avoid: Duration,
    misses: u32,
}

impl Health {
    /// Takes in an answer.
    pub fn answered(&mut self, failed: bool, delay: Duration) {
        self.misses = 0;
        self.avoid = Duration::ZERO;
        self.failed += FRESH * (f64::from(u8::from(failed)) - self.failed);
        if !failed {
            let ms = delay.as_secs_f64() * 1000.0;
            self.delay_ms = if self.delay_ms == 0.0 {
                ms
            } else {
                self.delay_ms + FRESH * (ms - self.delay_ms)
            };
        }
    }

    /// Takes in that it could not be reached, or fell silent.
    pub fn missed(&mut self, now: Duration) {
        let pause = FIRST_AVOIDED * 2u32.saturating_pow(self.misses.min(8));
        self.misses += 1;
        self.failed += FRESH * (1.0 - self.failed);
        self.avoid = now + pause.min(LONGEST_AVOIDED);
    }
}

/// One target.
#[derive(Debug, Clone)]
pub struct Target {
    /// What it says of itself.
    pub card: TargetCard,
    /// Its number in the feed of its failure domain.
    pub number: Option<TargetNumber>,
    /// Requests of this host in progress, by adapter.
    pub running: BTreeMap<AdapterPrint, u32>,
    /// Requests of other hosts in progress, as last heard.
    pub others: u32,
    /// Prompt tokens that are read or wait there, as last heard.
    pub backlog: u32,
    /// The adapters that may be used there, with their versions.
    pub adapters: HashMap<String, u64>,
    /// What was seen of it.
    pub health: Health,
}

impl Target {
    fn new(card: TargetCard) -> Target {
        Target {
            card,
            number: None,
            running: BTreeMap::new(),
            others: 0,
            backlog: 0,
            adapters: HashMap::new(),
            health: Health::default(),
        }
    }

    /// Requests of this host in progress.
    pub fn own(&self) -> u32 {
        self.running.values().sum()
    }

    /// Requests in progress, as far as known.
    pub fn load(&self) -> u32 {
        self.own() + self.others
    }
}

/// All targets that are known.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    by_id: BTreeMap<String, Target>,
    ended: BTreeMap<String, u64>,
}

impl Targets {
    /// Returns a target.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// Returns a target for a change of what is counted of it.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.by_id.get_mut(id)
    }

    /// Returns all targets that did not end.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// Returns the targets of a service that take requests.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let mine =
            move |it: &&Target| it.card.state == TargetState::Ready && it.card.service == service;
        self.by_id.values().filter(mine)
    }

    /// Takes in what a target, or another host, said of it. Returns whether
    /// anything but its sequence changed. What a former run, or an earlier
    /// message, said changes nothing; a target that leaves does not come back
    /// under its name unless its process started again.
    pub fn merge(&mut self, card: &TargetCard) -> bool {
        if self.ended.get(&card.id).is_some_and(|&born| born >= card.born) {
            return false;
        }
        let Some(known) = self.by_id.get_mut(&card.id) else {
            match card.state {
                TargetState::Gone => {
                    self.end(&card.id, card.born);
                    return false;
                }
                TargetState::Silent => return false,
                TargetState::Ready | TargetState::Leaving => {}
            }
            if !self.claim_addr(card) {
                return false;
            }
            self.by_id.insert(card.id.clone(), Target::new(card.clone()));
            return true;
        };
        if card.born < known.card.born {
            return false;
        }
        if card.state == TargetState::Gone {
            self.end(&card.id, card.born);
            return true;
        }
        if card.state == TargetState::Silent {
            let silent = card.sequence >= known.card.sequence;
            if silent {
                self.by_id.remove(&card.id);
            }
            return silent;
        }
        if card.born > known.card.born {
            let number = known.number;
            let mut target = Target::new(card.clone());
            target.number = number;
            *known = target;
            return true;
        }
        if card.sequence <= known.card.sequence {
            return false;
        }
        let mut next = card.clone();
        if known.card.state == TargetState::Leaving {
            next.state = TargetState::Leaving;
        }
        let changed = TargetCard { sequence: 0, ..next.clone() }
            != TargetCard { sequence: 0, ..known.card.clone() };
        known.card = next;
        changed
    }

    /// Makes room for a target at an address that another one had. Returns false
    /// if the one that is known there started later.
    fn claim_addr(&mut self, card: &TargetCard) -> bool {
        let same = self.by_id.values().find(|it| it.card.addr == card.addr);
        let Some(other) = same else { return true };
        if other.card.born > card.born {
            return false;
        }
        let (id, born) = (other.card.id.clone(), other.card.born);
        self.end(&id, born);
        true
    }

    /// Forgets a target that ended.
    pub fn end(&mut self, id: &str, born: u64) {
        self.by_id.remove(id);
        self.ended.insert(id.to_owned(), born);
        while self.ended.len() > REMEMBERED {
            self.ended.pop_first();
        }
    }

    /// Forgets what a failure domain's feed said, before another one begins.
    pub fn clear_feed(&mut self, domain: &str) {
        for target in self.by_id.values_mut().filter(|it| it.card.domain == domain) {
            target.number = None;
            target.others = 0;
            target.adapters.clear();
        }
    }

    /// Takes in the loads of a failure domain's targets.
    pub(crate) fn take_loads(&mut self, board: &Board) {
        for target in self.by_id.values_mut().filter(|it| it.card.domain == board.domain) {
            let load = board.loads.iter().find(|(number, ..)| Some(*number) == target.number);
            let (load, backlog) = load.map_or((0, 0), |&(_, load, backlog)| (load, backlog));
            target.others = u32::from(load).saturating_sub(target.own());
            target.backlog = backlog;
        }
    }

    /// Returns this host's requests in progress at a failure domain's targets.
    pub(crate) fn running(&self, domain: &str) -> Vec<Running> {
        let mut running = Vec::new();
        for target in self.by_id.values().filter(|it| it.card.domain == domain) {
            let Some(number) = target.number else { continue };
            for (&adapter, &count) in &target.running {
                let count = u16::try_from(count).unwrap_or(u16::MAX);
                running.push(Running { target: number, adapter, count });
            }
        }
        running
    }

    /// Finds a target by its number in the feed of its failure domain.
    pub(crate) fn numbered(&mut self, domain: &str, number: TargetNumber) -> Option<&mut Target> {
        let there = |it: &&mut Target| it.number == Some(number) && it.card.domain == domain;
        self.by_id.values_mut().find(there)
    }
}
