//! The targets in the local view of one host.

use std::{
    collections::{BTreeMap, HashMap},
    hash::{Hash, Hasher},
    time::Duration,
};

use siphasher::sip::SipHasher13;
use wire::{
    AdapterHash, DomainLoads, Running, SoftwareHash, TargetNumber, TargetRecord, TargetState,
};

use crate::{LimitView, former::FormerTargets};

/// Weight of the newest answer in the moving averages of a target's health.
const NEWEST_WEIGHT: f64 = 0.15;
/// Time for which a target is avoided after a first failure to reach it; doubled by each further
/// one.
const MIN_AVOIDED: Duration = Duration::from_millis(250);
/// Maximum time for which a target is avoided.
const MAX_AVOIDED: Duration = Duration::from_secs(4);

/// Returns a hash that is the same on all hosts: SipHash-1-3 with an all-zero key.
pub fn stable_hash(value: &impl Hash) -> u64 {
    let mut hasher = SipHasher13::new();
    value.hash(&mut hasher);
    hasher.finish()
}

/// Returns the short hash of an adapter's name; never zero.
pub fn adapter_hash(name: &str) -> AdapterHash {
    (stable_hash(&name) as AdapterHash).max(1)
}

/// Health of a target, from its answers to requests of this host.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Moving average of the share of failed answers, from 0 to 1.
    pub failure_rate: f64,
    /// Moving average of the time to the first byte, in milliseconds; zero before the first answer.
    pub delay_ms: f64,
    /// The target is avoided before this time.
    pub avoid_until: Duration,
    /// Number of consecutive failures to reach the target.
    misses: u32,
}

impl Health {
    /// Records an answer; `delay` is the time to its first byte, ignored for a failed one.
    pub fn answered(&mut self, failed: bool, delay: Duration) {
        self.misses = 0;
        self.avoid_until = Duration::ZERO;
        self.failure_rate += NEWEST_WEIGHT * (f64::from(u8::from(failed)) - self.failure_rate);
        if !failed {
            let ms = delay.as_secs_f64() * 1000.0;
            self.delay_ms = if self.delay_ms == 0.0 {
                ms
            } else {
                self.delay_ms + NEWEST_WEIGHT * (ms - self.delay_ms)
            };
        }
    }

    /// Forgets that the target could not be reached.
    fn forget_misses(&mut self) {
        self.misses = 0;
        self.avoid_until = Duration::ZERO;
    }

    /// Records that the target could not be reached or broke off.
    pub fn missed(&mut self, now: Duration) {
        let span = MIN_AVOIDED * 2u32.saturating_pow(self.misses.min(8));
        self.misses += 1;
        self.failure_rate += NEWEST_WEIGHT * (1.0 - self.failure_rate);
        self.avoid_until = now + span.min(MAX_AVOIDED);
    }
}

/// The time for which a target wants no request from this host.
#[derive(Debug, Clone)]
pub struct Pause {
    /// When the target first asked for it.
    pub since: Duration,
    /// When it ends.
    pub until: Duration,
    /// The attempt whose answer first asked for it.
    pub id: String,
}

/// One target in the local view of a host.
#[derive(Debug, Clone)]
pub struct Target {
    /// Its record, as it announced it last.
    pub record: TargetRecord,
    /// Hash of its software version.
    pub software: SoftwareHash,
    /// Its number in the feed of its failure domain; `None` while the feed has not named it.
    pub number: Option<TargetNumber>,
    /// Requests of this host in progress, by adapter; zero stands for no adapter.
    pub running: BTreeMap<AdapterHash, u32>,
    /// Requests of other hosts in progress, from the last domain loads.
    pub others: u32,
    /// Last known prefill backlog in tokens.
    pub backlog: u32,
    /// The models and adapters that can be used there, with their versions.
    pub adapters: HashMap<String, u64>,
    /// Failures and delays of its answers to this host.
    pub health: Health,
    /// The limit of requests that it names.
    pub limit: LimitView,
    /// The pause that it asked this host for.
    pub pause: Option<Pause>,
}

impl Target {
    fn new(record: TargetRecord) -> Target {
        Target {
            software: stable_hash(&record.software),
            record,
            number: None,
            running: BTreeMap::new(),
            others: 0,
            backlog: 0,
            adapters: HashMap::new(),
            health: Health::default(),
            limit: LimitView::default(),
            pause: None,
        }
    }

    /// Whether it asked this host for no request now.
    pub(crate) fn is_paused(&self, now: Duration) -> bool {
        self.pause.as_ref().is_some_and(|it| now < it.until)
    }

    /// Returns the number of requests of this host in progress.
    pub fn own(&self) -> u32 {
        self.running.values().sum()
    }

    /// Returns the known number of requests in progress from all hosts.
    pub fn load(&self) -> u32 {
        self.own() + self.others
    }
}

/// All targets that a host knows.
#[derive(Debug, Clone, Default)]
pub struct Targets {
    by_id: BTreeMap<String, Target>,
    /// Targets that have ended or are silent.
    former: FormerTargets,
}

impl Targets {
    /// Returns a target; `None` if it is unknown or has ended.
    pub fn get(&self, id: &str) -> Option<&Target> {
        self.by_id.get(id)
    }

    /// Returns a target for changes to its counters and health.
    pub fn get_mut(&mut self, id: &str) -> Option<&mut Target> {
        self.by_id.get_mut(id)
    }

    /// Returns all known targets that have not ended.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.by_id.values()
    }

    /// Returns a target for changes, if the process that was started then still has its name.
    pub(crate) fn process_mut(&mut self, id: &str, started_at: u64) -> Option<&mut Target> {
        self.by_id.get_mut(id).filter(|it| it.record.started_at == started_at)
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.by_id.values_mut()
    }

    /// Returns the ready targets of a service.
    pub fn ready<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Target> {
        let matches = move |it: &&Target| {
            it.record.state == TargetState::Ready && it.record.service == service
        };
        self.by_id.values().filter(matches)
    }

    /// Merges a target's record, from the target or another host. Returns whether anything but its
    /// sequence changed. Records of an earlier incarnation or with an old sequence have no effect.
    /// A leaving target does not become ready again under its name unless its process restarted.
    pub fn merge(&mut self, now: Duration, record: &TargetRecord) -> bool {
        let Some(known) = self.by_id.get_mut(&record.id) else {
            return self.merge_unknown(now, record);
        };
        if record.started_at < known.record.started_at {
            return false;
        }
        if record.state == TargetState::Gone {
            self.by_id.remove(&record.id);
            self.former.keep_ended(now, record.clone());
            return true;
        }
        if record.state == TargetState::Silent {
            let silent = record.sequence >= known.record.sequence;
            if silent && let Some(target) = self.by_id.remove(&record.id) {
                self.former.keep_silent(now, target);
            }
            return silent;
        }
        if record.started_at > known.record.started_at {
            let number = known.number;
            let mut target = Target::new(record.clone());
            target.number = number;
            *known = target;
            return true;
        }
        let is_new_leave =
            known.record.state == TargetState::Ready && record.state == TargetState::Leaving;
        if record.sequence <= known.record.sequence {
            if is_new_leave {
                known.record.state = TargetState::Leaving;
            }
            return is_new_leave;
        }
        let mut next = record.clone();
        if known.record.state == TargetState::Leaving {
            next.state = TargetState::Leaving;
        }
        let changed = TargetRecord { sequence: 0, ..next.clone() }
            != TargetRecord { sequence: 0, ..known.record.clone() };
        known.software = stable_hash(&next.software);
        known.record = next;
        changed
    }

    /// Merges the record of a target that is not in use.
    fn merge_unknown(&mut self, now: Duration, record: &TargetRecord) -> bool {
        self.former.expire(now, &record.id);
        match record.state {
            TargetState::Gone => {
                self.former.keep_ended(now, record.clone());
                return false;
            }
            TargetState::Silent => return false,
            TargetState::Ready | TargetState::Leaving => {}
        }
        if self.former.get(&record.id).is_some_and(|it| it.has_ended(record.started_at)) {
            return false;
        }
        if !self.claim_addr(now, record) {
            return false;
        }
        let mut target = Target::new(record.clone());
        if let Some(former) = self.former.remove(&record.id)
            && former.record.started_at == record.started_at
        {
            target.limit = LimitView::known(former.limit);
            target.pause = former.pause;
            if former.record.state == TargetState::Leaving {
                target.record.state = TargetState::Leaving;
            }
        }
        self.by_id.insert(record.id.clone(), target);
        true
    }

    /// Returns what a target's process said last, whether it is in use, silent or has ended.
    pub(crate) fn last_record(&self, id: &str) -> Option<&TargetRecord> {
        let known = self.by_id.get(id).map(|it| &it.record);
        known.or_else(|| self.former.get(id).map(|it| &it.record))
    }

    /// Returns the record that ends a target's process and those before it, with what is known here in place
    /// of what a deregistration leaves out: it names the target, and at most the start of its process.
    pub(crate) fn complete_ending(&self, id: &str, started_at: u64) -> TargetRecord {
        let last = self.last_record(id).filter(|it| it.started_at <= started_at);
        if let Some(last) = last {
            return TargetRecord { started_at, state: TargetState::Gone, ..last.clone() };
        }
        TargetRecord {
            id: id.to_owned(),
            started_at,
            sequence: 0,
            service: String::new(),
            addr: String::new(),
            domain: String::new(),
            slots: 0,
            software: String::new(),
            state: TargetState::Gone,
        }
    }

    /// Whether a process of a target is known to leave, or to have ended.
    pub(crate) fn is_ending(&self, id: &str, started_at: u64) -> bool {
        self.ending(id, started_at).is_some()
    }

    /// Returns `Leaving` or `Gone` if a process of a target is known to leave or to have ended.
    pub(crate) fn ending(&self, id: &str, started_at: u64) -> Option<TargetState> {
        let Some(known) = self.by_id.get(id).map(|it| &it.record) else {
            return self.former.get(id)?.ending(started_at);
        };
        if known.started_at > started_at {
            return Some(TargetState::Gone);
        }
        let is_leaving = known.started_at == started_at && known.state == TargetState::Leaving;
        is_leaving.then_some(TargetState::Leaving)
    }

    /// Ends the target that is known at the address of a new one. Returns false, and changes
    /// nothing, if the known one started later.
    fn claim_addr(&mut self, now: Duration, record: &TargetRecord) -> bool {
        let same = self.by_id.values().find(|it| it.record.addr == record.addr);
        let Some(other) = same else { return true };
        if other.record.started_at > record.started_at {
            return false;
        }
        let ended = other.record.clone();
        self.by_id.remove(&ended.id);
        self.former.keep_ended(now, ended);
        true
    }

    /// Drops the state from a failure domain's feed, before a new feed begins.
    pub fn clear_feed(&mut self, domain: &str) {
        for target in self.by_id.values_mut().filter(|it| it.record.domain == domain) {
            target.number = None;
            target.others = 0;
            target.adapters.clear();
            target.limit.clear_published();
        }
    }

    /// Forgets which targets this host could not reach.
    pub(crate) fn forget_misses(&mut self) {
        for target in self.iter_mut() {
            target.health.forget_misses();
        }
    }

    /// Applies the domain loads of a holder to the targets of the failure domain.
    pub(crate) fn set_loads(&mut self, domain_loads: &DomainLoads) {
        for target in self.by_id.values_mut().filter(|it| it.record.domain == domain_loads.domain) {
            let load =
                domain_loads.loads.iter().find(|(number, ..)| Some(*number) == target.number);
            let (load, backlog) = load.map_or((0, 0), |&(_, load, backlog)| (load, backlog));
            target.others = u32::from(load).saturating_sub(target.own());
            target.backlog = backlog;
        }
    }

    /// Returns this host's requests in progress at the targets of a failure domain.
    pub(crate) fn running(&self, domain: &str) -> Vec<Running> {
        let mut running = Vec::new();
        for target in self.by_id.values().filter(|it| it.record.domain == domain) {
            let Some(number) = target.number else { continue };
            for (&adapter, &count) in &target.running {
                let count = u16::try_from(count).unwrap_or(u16::MAX);
                running.push(Running { target: number, adapter, count });
            }
        }
        running
    }

    /// Returns a target by its number in the feed of its failure domain.
    pub(crate) fn by_number(&mut self, domain: &str, number: TargetNumber) -> Option<&mut Target> {
        let matches = |it: &&mut Target| it.number == Some(number) && it.record.domain == domain;
        self.by_id.values_mut().find(matches)
    }
}
