//! Holders: the hosts that give the orders to the targets of a failure domain, one
//! for each. A holder needs no leader to go on for a while, so orders are given
//! through an election, and the loss of one holder concerns one failure domain.
//!
//! The leader names holders in the log. A holder gives orders for
//! [`HOLD_LEASES`] lease times after it sent the last renewal that a leader with a
//! quorum answered. The leader names another host only once that time has passed
//! since its last answer to the holder, or since it began to lead. The new holder
//! waits one lease time more.

use std::{collections::BTreeMap, time::Duration};

use desired::{Command, Holder};
use wire::{DomainId, Fence, FleetMsg, HostId, Renewal, TargetCard, Topic};

use crate::{
    Event, Host,
    elsewhere::Elsewhere,
    feed::{FeedWriter, Position},
    loads::{Loads, LoadsSettings},
    machine::SILENT_BEATS,
};

/// Lease times that a holder goes on after its last renewal.
pub(crate) const HOLD_LEASES: u32 = 2;
/// Added to the times between two holders, for clocks and queues.
pub(crate) const HOLDER_MARGIN: Duration = Duration::from_millis(300);
/// Time between two renewals of a holder.
const RENEW: Duration = Duration::from_millis(250);
/// The same of a host that holds nothing.
const RENEW_AT_REST: Duration = Duration::from_millis(1000);
/// Time between two looks at the targets of other failure domains.
const LOOK: Duration = Duration::from_millis(250);
/// Time between two tries to say that a holder begins.
const BEGIN_AGAIN: Duration = Duration::from_millis(1000);

/// What a holder keeps of its failure domain.
#[derive(Debug)]
pub(crate) struct Holding {
    pub(crate) loads: Loads,
    pub(crate) feed: FeedWriter,
    fence: Fence,
    /// From when on orders may be given.
    from: Duration,
    /// When it was last said that it begins.
    begun: Option<Duration>,
    pub(crate) boarded: Duration,
    /// When the feed was last sent.
    pub(crate) flushed: Duration,
    looked: Duration,
    /// Whether orders could be given at the last look.
    ordering: bool,
}

impl Host {
    /// Returns the holder of a failure domain.
    pub fn holder(&self, domain: &str) -> Option<HostId> {
        self.desired.holders.get(domain).map(|it| it.host)
    }

    /// Begins and ends to hold as the replicated state says.
    pub(crate) fn follow_holders(&mut self, now: Duration) {
        let (host, run) = (self.settings.host, self.run);
        let holders = &self.desired.holders;
        self.holding.retain(|domain, it| {
            holders.get(domain).is_some_and(|holder| holder.fence == it.fence && holder.run == run)
        });
        let mut new = Vec::new();
        for (domain, holder) in holders {
            if (holder.host, holder.run) == (host, run) && !self.holding.contains_key(domain) {
                new.push((domain.clone(), *holder));
            }
        }
        for (domain, holder) in new {
            self.begin_to_hold(now, domain, holder);
        }
    }

    fn begin_to_hold(&mut self, now: Duration, domain: DomainId, holder: Holder) {
        let wait =
            if holder.waits { self.settings.bounds.lease + HOLDER_MARGIN } else { Duration::ZERO };
        let epoch = (holder.fence, self.run);
        let mut loads = Loads::new(LoadsSettings {
            domain: domain.clone(),
            window: self.settings.bounds.load_window,
            silence: self.settings.beat * SILENT_BEATS,
        });
        for target in self.targets.iter().filter(|it| it.card.domain == domain) {
            loads.target(now, &target.card);
        }
        let holding = Holding {
            loads,
            feed: FeedWriter::new(Topic::Targets(domain.clone()), epoch),
            fence: holder.fence,
            from: now + wait,
            begun: None,
            boarded: now,
            flushed: Duration::ZERO,
            looked: Duration::ZERO,
            ordering: false,
        };
        self.targets.clear_feed(&domain);
        self.followed.entry(domain.clone()).or_default().position = Position { epoch, last: 0 };
        self.holding.insert(domain, holding);
        self.configure_loads();
    }

    /// Gives the accounts the engines and versions in force.
    pub(crate) fn configure_loads(&mut self) {
        let Some(config) = &self.config else { return };
        if self.holding.is_empty() {
            return;
        }
        let mut engines = BTreeMap::new();
        for service in config.services.values() {
            if let Some(engine) = &service.engine {
                engines.insert(service.name.clone(), engine.clone());
            }
        }
        for holding in self.holding.values_mut() {
            holding.loads.configure(engines.clone(), self.desired.versions.clone());
        }
    }

    /// The fencing number under which orders may be given now.
    pub(crate) fn order_fence(&self, now: Duration, domain: &str) -> Option<Fence> {
        let holding = self.holding.get(domain)?;
        let lapses = self.renewed? + self.settings.bounds.lease * HOLD_LEASES;
        (!self.stopping && now >= holding.from && now < lapses).then_some(holding.fence)
    }

    /// Tells the leader that this host is there.
    pub(crate) fn renew(&mut self, now: Duration) {
        let span = if self.holding.is_empty() { RENEW_AT_REST } else { RENEW };
        if self.renewing.is_some_and(|at| now < at + span) {
            return;
        }
        self.renewing = Some(now);
        let own = self.settings.host;
        let Some(leader) = self.leader else { return };
        if leader != own {
            let sent_ms = now.as_millis() as u64;
            let renewal = Renewal { run: self.run, ready: self.is_ready(), sent_ms };
            self.send(leader, FleetMsg::Renew(renewal));
        } else if self.answers_renewal(now, own) {
            self.renewed = Some(now);
        }
    }

    /// Takes in that a leader answered the renewal that was sent at a time.
    pub(crate) fn renewal_answered(&mut self, sent_ms: u64) {
        self.renewed = self.renewed.max(Some(Duration::from_millis(sent_ms)));
    }

    /// Lets the accounts take the steps that are due.
    pub(crate) fn tick_loads(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.holding.keys().cloned().collect();
        for domain in domains {
            let fence = self.order_fence(now, &domain);
            if let Some(holding) = self.holding.get_mut(&domain) {
                holding.loads.tick(now, fence);
            }
        }
    }

    pub(crate) fn tick_holding(&mut self, now: Duration) {
        let domains: Vec<DomainId> = self.holding.keys().cloned().collect();
        for domain in domains {
            self.look_elsewhere(now, &domain);
            self.note_ordering(now, &domain);
            self.say_begun(now, &domain);
            self.send_board(now, &domain);
        }
        self.tick_loads(now);
        self.ask_tables(now);
    }

    fn look_elsewhere(&mut self, now: Duration, domain: &str) {
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if now < holding.looked + LOOK {
            return;
        }
        holding.looked = now;
        let elsewhere = Elsewhere::new(domain, &self.targets, self.domains().len());
        if let Some(holding) = self.holding.get_mut(domain) {
            holding.loads.set_elsewhere(elsewhere);
        }
    }

    fn note_ordering(&mut self, now: Duration, domain: &str) {
        let ordering = self.order_fence(now, domain).is_some();
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if std::mem::replace(&mut holding.ordering, ordering) == ordering {
            return;
        }
        let fence = holding.fence;
        let age = self.renewed.map(|at| now.saturating_sub(at).as_millis() as u64);
        let domain = domain.to_owned();
        self.log(Event::Orders { domain, may: ordering, fence, renewed_ms: age });
    }

    /// Has it written that a holder began, so that a later run of this host need
    /// not wait.
    fn say_begun(&mut self, now: Duration, domain: &str) {
        if self.order_fence(now, domain).is_none() {
            return;
        }
        let waits = self.desired.holders.get(domain).is_some_and(|it| it.waits);
        let Some(holding) = self.holding.get_mut(domain) else { return };
        if !waits || holding.begun.is_some_and(|at| now < at + BEGIN_AGAIN) {
            return;
        }
        holding.begun = Some(now);
        let command = Command::Begin { domain: domain.to_owned(), fence: holding.fence };
        // Operators' calls are numbered from one.
        let tag = u64::MAX - holding.fence;
        self.hand_in(now, tag, command);
    }

    /// Takes in what a target is, if this host holds its failure domain.
    pub(crate) fn hold_target(&mut self, now: Duration, card: &TargetCard) -> bool {
        let Some(holding) = self.holding.get_mut(&card.domain) else { return false };
        holding.loads.target(now, card);
        true
    }

    /// Takes in that requests of a host wait for an adapter.
    pub(crate) fn wanted(
        &mut self,
        now: Duration,
        from: HostId,
        domain: &str,
        service: &str,
        adapter: &str,
        waiting: u16,
    ) {
        if let Some(holding) = self.holding.get_mut(domain) {
            holding.loads.want(now, from, service, adapter, waiting);
        }
        self.tick_loads(now);
    }

    /// The account of a target's places, if this host keeps it.
    pub(crate) fn loads_of(&mut self, target: &str) -> Option<&mut Loads> {
        self.holding.values_mut().map(|it| &mut it.loads).find(|it| it.has(target))
    }
}
