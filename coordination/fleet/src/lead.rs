//! What the leader does besides the log: it names the voters and the holders of
//! orders, and writes the feed of the hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use desired::Command;
use replog::Input as LogInput;
use wire::{
    DomainId, FeedChange, FleetMsg, HostCard, HostId, Incarnation, Index, Renewal, Topic, encode,
};

use crate::{
    Event, Host,
    feed::FeedWriter,
    hold::{HOLD_LEASES, HOLDER_MARGIN},
    io::Tag,
    operator::Confirming,
    replicated::ELECTION,
    strikes::Strikes,
    targets::digest,
};

/// Time between two looks at the voters.
const VOTERS: Duration = Duration::from_millis(500);
/// Time between two looks at the holders.
const HOLDERS: Duration = Duration::from_millis(100);
/// A host with less than this part of the processor time of another one in its
/// failure domain holds no orders while that one can.
const WEAK: u32 = 2;
/// Time between two tries to name a failure domain's holder.
const NAME_AGAIN: Duration = Duration::from_millis(1000);
/// How long a first founder waits for enough voters before it takes changes.
const FIRST_VOTERS: Duration = Duration::from_secs(8);

/// A leader's tables.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) feed: FeedWriter,
    since: Duration,
    looked: Duration,
    named: Duration,
    /// When each failure domain's holder was last named.
    naming: BTreeMap<DomainId, Duration>,
    /// When each host's renewal was last answered.
    answered: BTreeMap<HostId, Duration>,
    /// Runs that have said that they end, and give no more orders.
    left: BTreeSet<(HostId, Incarnation)>,
    pub(crate) strikes: Strikes,
    proposed: BTreeMap<(HostId, Tag), Command>,
    reads: Vec<Confirming>,
}

impl Host {
    /// Begins and ends to lead as the log says.
    pub(crate) fn lead_on(&mut self, now: Duration) {
        let status = self.replica.status();
        if status.leading && self.leading.is_none() {
            self.begin_to_lead(now, status.term);
        } else if !status.leading && self.leading.is_some() {
            self.leading = None;
        }
        self.forget_met();
        self.answer_reads(status.quorum_at, status.commit);
    }

    fn begin_to_lead(&mut self, now: Duration, term: wire::Term) {
        let epoch = (term, self.run);
        let mut leading = Leading {
            feed: FeedWriter::new(Topic::Hosts, epoch),
            since: now,
            looked: Duration::ZERO,
            named: Duration::ZERO,
            naming: BTreeMap::new(),
            answered: BTreeMap::new(),
            left: BTreeSet::new(),
            strikes: Strikes::default(),
            proposed: BTreeMap::new(),
            reads: Vec::new(),
        };
        for change in self.hosts_table() {
            leading.feed.push(change);
        }
        self.position = crate::feed::Position { epoch, last: 0 };
        self.leading = Some(leading);
    }

    /// Whether a quorum followed this leader so lately that no other one can have
    /// been elected since.
    fn leads_surely(&self, now: Duration) -> bool {
        let quorum_at = self.replica.status().quorum_at;
        self.leading.is_some() && quorum_at.is_some_and(|at| now < at + ELECTION / 2)
    }

    /// Whether a host that holds orders may go on; then it is noted that it may.
    pub(crate) fn answers_renewal(&mut self, now: Duration, host: HostId) -> bool {
        let surely = self.leads_surely(now);
        if let Some(leading) = self.leading.as_mut().filter(|_| surely) {
            leading.answered.insert(host, now);
        }
        surely
    }

    /// Takes in that a host is there.
    pub(crate) fn renewed_by(&mut self, now: Duration, from: HostId, renewal: &Renewal) {
        if self.leading.is_none() {
            return;
        }
        if self.answers_renewal(now, from) {
            self.send(from, FleetMsg::Renewed { sent_ms: renewal.sent_ms });
        }
        let Some(card) = self.hosts.card(from) else { return };
        if card.ready == renewal.ready && card.run == renewal.run {
            return;
        }
        let card = HostCard { ready: renewal.ready, run: renewal.run, ..card.clone() };
        self.hosts.merge(&card);
        self.log(Event::Host { peer: from, ready: card.ready });
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(card));
        }
    }

    /// Notes that a run gives no more orders.
    pub(crate) fn note_left(&mut self, host: HostId, run: Incarnation) {
        if let Some(leading) = &mut self.leading {
            leading.left.insert((host, run));
        }
    }

    /// The failure domains with hosts or targets.
    pub(crate) fn domains(&self) -> BTreeSet<DomainId> {
        let mut domains: BTreeSet<DomainId> =
            self.hosts.cards().into_iter().map(|it| it.domain).collect();
        for target in self.targets.iter() {
            if !domains.contains(&target.card.domain) {
                domains.insert(target.card.domain.clone());
            }
        }
        domains
    }

    /// Names holders where there is none, or the one that is named can't be giving
    /// orders any more.
    fn name_holders(&mut self, now: Duration) {
        if !self.leads_surely(now) {
            return;
        }
        let Some(leading) = &mut self.leading else { return };
        if now < leading.named + HOLDERS {
            return;
        }
        leading.named = now;
        for domain in self.domains() {
            let named = self.leading.as_ref().and_then(|it| it.naming.get(&domain));
            if named.is_some_and(|at| now < *at + NAME_AGAIN) {
                continue;
            }
            let Some((host, run)) = self.next_holder(now, &domain) else { continue };
            if let Some(leading) = &mut self.leading {
                leading.naming.insert(domain.clone(), now);
            }
            let command = Command::Hold { domain, host, run };
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }

    /// The host to be named the holder of a failure domain; none if the present
    /// one goes on, or may still give orders.
    fn next_holder(&self, now: Duration, domain: &str) -> Option<(HostId, Incarnation)> {
        let Some(holder) = self.desired.holders.get(domain) else {
            return self.best_holder(now, domain, None);
        };
        let leading = self.leading.as_ref()?;
        let card = self.hosts.card(holder.host);
        let there =
            |it: &&HostCard| self.hosts.is_heard(now, it.host) && !self.has_left(it.host, it.run);
        let card = card.filter(there);
        if let Some(card) = card {
            // A later run of the same host is the same holder.
            return (card.run != holder.run).then_some((card.host, card.run));
        }
        let last = leading.answered.get(&holder.host).copied().unwrap_or(leading.since);
        let lapsed = last + self.settings.bounds.lease * HOLD_LEASES + HOLDER_MARGIN;
        let left = self.has_left(holder.host, holder.run);
        (left || now >= lapsed).then(|| self.best_holder(now, domain, Some(holder.host)))?
    }

    fn has_left(&self, host: HostId, run: Incarnation) -> bool {
        let own = host == self.settings.host && self.stopping;
        let leading = self.leading.as_ref();
        own || leading.is_some_and(|it| it.left.contains(&(host, run)))
    }

    /// The best host to hold a failure domain: one there that takes callers and
    /// has the fewest other duties, unless it is much weaker than others. Its feed
    /// goes to all hosts, which is more than a weak one can send.
    fn best_holder(
        &self,
        now: Duration,
        domain: &str,
        not: Option<HostId>,
    ) -> Option<(HostId, Incarnation)> {
        let held = |host| self.desired.holders.values().filter(|it| it.host == host).count();
        let cards = self.hosts.cards();
        let there = cards.iter().filter(|it| it.domain == domain);
        let most = there.map(|it| it.power).max().unwrap_or(0);
        let mut best = None;
        for card in cards {
            if !self.hosts.is_heard(now, card.host) || self.has_left(card.host, card.run) {
                continue;
            }
            if Some(card.host) == not {
                continue;
            }
            let leads = card.host == self.settings.host;
            let draw = digest(&(card.host, domain));
            let weak = card.power < most / WEAK;
            let far = card.domain != domain;
            let rank = (!card.ready, far, weak, held(card.host), card.disk, leads, draw);
            if best.as_ref().is_none_or(|(least, _, _)| rank < *least) {
                best = Some((rank, card.host, card.run));
            }
        }
        best.map(|(_, host, run)| (host, run))
    }

    pub(crate) fn tick_lead(&mut self, now: Duration) {
        if self.leading.is_none() {
            return;
        }
        for card in self.hosts.expire(now) {
            self.log(Event::HostSilent { peer: card.host });
            if let Some(leading) = &mut self.leading {
                leading.feed.push(FeedChange::Host(card));
            }
        }
        self.name_voters(now);
        self.name_holders(now);
    }

    /// Voters that bear the losses that must be borne at once.
    fn voters_needed(&self) -> usize {
        2 * self.settings.tolerated + 1
    }

    fn name_voters(&mut self, now: Duration) {
        let members: Vec<HostId> =
            self.replica.status().members.members.iter().map(|it| it.host).collect();
        let Some(leading) = &mut self.leading else { return };
        if now < leading.looked + VOTERS {
            return;
        }
        leading.looked = now;
        let needed = self.voters_needed();
        let voters = self.hosts.voters(now, &members, needed);
        self.step_log(now, LogInput::SetVoters(voters));
    }

    /// The whole table of the hosts, and of the requests that are barred.
    fn hosts_table(&self) -> Vec<FeedChange> {
        let cards = self.hosts.cards().into_iter().map(FeedChange::Host);
        cards.chain(self.barred.changes()).collect()
    }

    /// Sends a whole table to a host.
    pub(crate) fn send_table(&mut self, to: HostId, topic: &Topic) {
        let table = match topic {
            Topic::Hosts => self.leading.as_ref().map(|it| it.feed.table(self.hosts_table())),
            Topic::Targets(domain) => self.targets_table(domain),
        };
        if let Some(table) = table {
            self.send(to, FleetMsg::Feed(table));
        }
    }

    /// Takes a change, unless too few voters would keep it.
    pub(crate) fn propose(&mut self, now: Duration, from: HostId, tag: Tag, command: Command) {
        let voters = self.replica.status().members.members;
        let voters = voters.iter().filter(|it| it.role == wire::Role::Voter).count();
        let needed = self.voters_needed();
        let Some(leading) = &mut self.leading else { return };
        if voters < needed && now < leading.since + FIRST_VOTERS {
            return;
        }
        let waits = leading.proposed.values().any(|it| *it == command);
        leading.proposed.insert((from, tag), command.clone());
        if !waits && !self.desired.is_met(&command) {
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }

    /// Forgets the proposals that are in force.
    fn forget_met(&mut self) {
        let Some(leading) = &mut self.leading else { return };
        leading.proposed.retain(|_, command| !self.desired.is_met(command));
    }

    /// Notes a read, to be confirmed once a quorum has followed this leader after
    /// it was asked.
    pub(crate) fn confirm_read(&mut self, now: Duration, host: HostId, tag: Tag) {
        if let Some(leading) = &mut self.leading {
            leading.reads.push(Confirming { host, tag, asked: now });
        }
    }

    fn answer_reads(&mut self, quorum_at: Option<Duration>, commit: Index) {
        let Some(leading) = &mut self.leading else { return };
        let Some(quorum_at) = quorum_at else { return };
        let (ready, wait): (Vec<_>, Vec<_>) =
            leading.reads.drain(..).partition(|it| it.asked <= quorum_at);
        leading.reads = wait;
        for read in ready {
            if read.host == self.settings.host {
                self.confirmed_read(read.tag, commit);
            } else {
                self.send(read.host, FleetMsg::Confirmed { tag: read.tag, index: commit });
            }
        }
    }
}
