//! Duties of the leader in addition to the log: it assigns the voters and the holders of order
//! leases, and writes the feed of hosts.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use desired::Command;
use replog::Input as LogInput;
use wire::{
    DomainId, FeedChange, Fence, FleetMsg, HostId, HostRecord, Incarnation, Index, Renewal, Topic,
    encode,
};

use crate::{
    Event, Host,
    confirm::{Confirmations, ConfirmedWhen},
    feed::FeedWriter,
    holder::{HOLD_LEASES, HOLDER_MARGIN},
    io::Tag,
    operator::PendingRead,
    replicated::ELECTION_TIMEOUT,
    software::SoftwareWatch,
    targets::stable_hash,
};

/// Time between two updates of the voters.
const VOTER_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two checks of the holders.
const HOLDER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A host is weak if it has less than `1 / WEAK_DIVISOR` of the processor time of the strongest
/// host in the failure domain. It becomes the holder only if no stronger host there can.
const WEAK_DIVISOR: u32 = 2;
/// Time before a holder is proposed again for the same failure domain.
const ASSIGN_RETRY_INTERVAL: Duration = Duration::from_millis(1000);
/// Time that a new leader waits for enough voters before it accepts changes with fewer. After the
/// bootstrap of the group, the founder is the only voter.
const VOTERS_WAIT: Duration = Duration::from_secs(8);

/// State that a host keeps while it leads.
#[derive(Debug)]
pub(crate) struct Leading {
    pub(crate) feed: FeedWriter,
    pub(crate) since: Duration,
    voters_checked: Duration,
    holders_checked: Duration,
    /// When a holder was last proposed for each failure domain.
    holder_proposed: BTreeMap<DomainId, Duration>,
    /// When each host's renewal was last granted.
    renewal_granted: BTreeMap<HostId, Duration>,
    /// Incarnations that announced their end and send no more orders.
    pub(crate) ended: BTreeSet<(HostId, Incarnation)>,
    proposals: BTreeMap<(HostId, Tag), Command>,
    pub(crate) confirmations: Confirmations,
    /// The hosts that are cut off from the targets, and when they last said so.
    pub(crate) cut: BTreeMap<HostId, Duration>,
    /// When the hosts that are cut off were last compared with those that were published.
    pub(crate) reach_published: Duration,
    /// Failure domains and fencing numbers whose holders have resigned.
    pub(crate) resigned: BTreeSet<(DomainId, Fence)>,
    /// The latest proposed change of the list of hosts.
    pub(crate) list_proposed: Option<Command>,
    /// A log index, and when departures up to it were known here.
    pub(crate) departures_seen: Option<(Duration, Index)>,
    pending_reads: Vec<PendingRead>,
    pub(crate) software: SoftwareWatch,
}

impl Host {
    /// Starts or stops leading according to the status of the log, and answers pending reads.
    pub(crate) fn update_leading(&mut self, now: Duration) {
        let status = self.replica.status();
        if status.leading && self.leading.is_none() {
            self.start_leading(now, status.term);
        } else if !status.leading && self.leading.is_some() {
            self.leading = None;
        }
        self.take_applied_proposals(now, status.applied);
        self.confirm_changes(now);
        self.answer_reads(status.quorum_at, status.commit);
    }

    fn start_leading(&mut self, now: Duration, term: wire::Term) {
        let epoch = (term, self.incarnation);
        let mut leading = Leading {
            feed: FeedWriter::new(Topic::Hosts, epoch),
            since: now,
            voters_checked: Duration::ZERO,
            holders_checked: Duration::ZERO,
            holder_proposed: BTreeMap::new(),
            renewal_granted: BTreeMap::new(),
            ended: BTreeSet::new(),
            proposals: BTreeMap::new(),
            confirmations: Confirmations::default(),
            cut: self.hosts.cut().map(|host| (host, now)).collect(),
            reach_published: Duration::ZERO,
            resigned: BTreeSet::new(),
            list_proposed: None,
            departures_seen: None,
            pending_reads: Vec::new(),
            software: SoftwareWatch::default(),
        };
        for change in self.hosts_table() {
            leading.feed.push(change);
        }
        self.position = crate::feed::Position { epoch, last: 0 };
        self.leading = Some(leading);
        self.update_log_hosts(now);
    }

    /// Whether a quorum followed this leader so recently that no other leader can have been elected
    /// since.
    fn has_recent_quorum(&self, now: Duration) -> bool {
        let quorum_at = self.replica.status().quorum_at;
        self.leading.is_some() && quorum_at.is_some_and(|at| now < at + ELECTION_TIMEOUT / 2)
    }

    /// Returns whether the renewal of a host is granted, and records the time if it is.
    pub(crate) fn grant_renewal(&mut self, now: Duration, host: HostId) -> bool {
        let granted = self.has_recent_quorum(now);
        if let Some(leading) = self.leading.as_mut().filter(|_| granted) {
            leading.renewal_granted.insert(host, now);
        }
        granted
    }

    /// Handles a renewal: answers it, and publishes a change of the host's readiness or
    /// incarnation.
    pub(crate) fn handle_renewal(&mut self, now: Duration, from: HostId, renewal: &Renewal) {
        if self.leading.is_none() {
            return;
        }
        if self.grant_renewal(now, from)
            && let Some(leading) = &self.leading
        {
            let (epoch, last) = (leading.feed.epoch, leading.feed.last);
            let commit = self.replica.status().commit;
            self.send(from, FleetMsg::Renewed { sent_ms: renewal.sent_ms, epoch, last, commit });
        }
        let Some(record) = self.hosts.record(from) else { return };
        if record.ready == renewal.ready && record.incarnation == renewal.incarnation {
            return;
        }
        let record =
            HostRecord { ready: renewal.ready, incarnation: renewal.incarnation, ..record.clone() };
        self.hosts.merge(&record);
        self.log(Event::Host { peer: from, ready: record.ready });
        if let Some(leading) = &mut self.leading {
            leading.feed.push(FeedChange::Host(record));
        }
    }

    /// Records that an incarnation sends no more orders.
    pub(crate) fn record_ended(&mut self, host: HostId, run: Incarnation) {
        if let Some(leading) = &mut self.leading {
            leading.ended.insert((host, run));
        }
    }

    /// Returns the failure domains that have hosts or targets.
    pub(crate) fn domains(&self) -> BTreeSet<DomainId> {
        let mut domains: BTreeSet<DomainId> =
            self.hosts.records().into_iter().map(|it| it.domain).collect();
        for target in self.targets.iter() {
            if !domains.contains(&target.record.domain) {
                domains.insert(target.record.domain.clone());
            }
        }
        domains
    }

    /// Proposes a holder for each failure domain that has none or whose holder can no longer send
    /// orders.
    fn assign_holders(&mut self, now: Duration) {
        if !self.has_recent_quorum(now) {
            return;
        }
        let Some(leading) = &mut self.leading else { return };
        if now < leading.holders_checked + HOLDER_CHECK_INTERVAL {
            return;
        }
        leading.holders_checked = now;
        for domain in self.domains() {
            let proposed = self.leading.as_ref().and_then(|it| it.holder_proposed.get(&domain));
            if proposed.is_some_and(|at| now < *at + ASSIGN_RETRY_INTERVAL) {
                continue;
            }
            let Some((host, incarnation)) = self.next_holder(now, &domain) else { continue };
            if let Some(leading) = &mut self.leading {
                leading.holder_proposed.insert(domain.clone(), now);
            }
            let command = Command::AssignHolder { domain, host, incarnation };
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }

    /// Returns the host to propose as the holder of a failure domain; `None` if the present holder
    /// stays or may still send orders.
    fn next_holder(&self, now: Duration, domain: &str) -> Option<(HostId, Incarnation)> {
        let Some(holder) = self.desired.holders.get(domain) else {
            return self.best_holder(now, domain, None);
        };
        let leading = self.leading.as_ref()?;
        if leading.resigned.contains(&(domain.to_owned(), holder.fence)) {
            let best = self.best_holder(now, domain, None);
            return best.filter(|(host, _)| !leading.cut.contains_key(host));
        }
        let record = self.hosts.record(holder.host);
        let live = |it: &&HostRecord| {
            self.hosts.is_live(now, it.host) && !self.has_ended(it.host, it.incarnation)
        };
        let record = record.filter(live);
        if let Some(record) = record {
            // A host that has restarted stays the holder under its new incarnation.
            return (record.incarnation != holder.incarnation)
                .then_some((record.host, record.incarnation));
        }
        let last = leading.renewal_granted.get(&holder.host).copied().unwrap_or(leading.since);
        let lapses_at = last + self.settings.bounds.lease * HOLD_LEASES + HOLDER_MARGIN;
        let ended = self.has_ended(holder.host, holder.incarnation);
        (ended || now >= lapses_at).then(|| self.best_holder(now, domain, Some(holder.host)))?
    }

    fn has_ended(&self, host: HostId, run: Incarnation) -> bool {
        let own = host == self.settings.host && self.shutdown.is_some();
        let leading = self.leading.as_ref();
        own || leading.is_some_and(|it| it.ended.contains(&(host, run)))
    }

    /// Returns the best host to hold a failure domain. Hosts that reach targets come first, then ready
    /// hosts, then hosts in the domain, then hosts that aren't weak: a holder sends its feed to all
    /// hosts, which is more than a weak host can send. Among these, hosts with the fewest other duties
    /// come first.
    fn best_holder(
        &self,
        now: Duration,
        domain: &str,
        excluded: Option<HostId>,
    ) -> Option<(HostId, Incarnation)> {
        let held = |host| self.desired.holders.values().filter(|it| it.host == host).count();
        let records = self.hosts.records();
        let in_domain = records.iter().filter(|it| it.domain == domain);
        let max_power = in_domain.map(|it| it.cpu_millis).max().unwrap_or(0);
        let mut best = None;
        for record in records {
            if !self.hosts.is_live(now, record.host)
                || self.has_ended(record.host, record.incarnation)
            {
                continue;
            }
            if Some(record.host) == excluded {
                continue;
            }
            let leads = record.host == self.settings.host;
            let tie_break = stable_hash(&(record.host, domain));
            let weak = record.cpu_millis < max_power / WEAK_DIVISOR;
            let far = record.domain != domain;
            let leading = self.leading.as_ref();
            let cut = leading.is_some_and(|it| it.cut.contains_key(&record.host));
            let rank =
                (cut, !record.ready, far, weak, held(record.host), record.disk, leads, tie_break);
            if best.as_ref().is_none_or(|(least, _, _)| rank < *least) {
                best = Some((rank, record.host, record.incarnation));
            }
        }
        best.map(|(_, host, run)| (host, run))
    }

    pub(crate) fn tick_leading(&mut self, now: Duration) {
        if self.leading.is_none() {
            return;
        }
        for record in self.hosts.expire(now) {
            self.log(Event::HostSilent { peer: record.host });
            if let Some(leading) = &mut self.leading {
                leading.feed.push(FeedChange::Host(record));
            }
        }
        self.update_voters(now);
        self.update_list(now);
        self.assign_holders(now);
        self.watch_software(now);
        self.drop_departures(now);
    }

    /// Number of voters needed to tolerate the loss of `tolerated` of them at once.
    fn voters_needed(&self) -> usize {
        2 * self.settings.tolerated_losses + 1
    }

    fn update_voters(&mut self, now: Duration) {
        let members: Vec<HostId> =
            self.replica.status().members.members.iter().map(|it| it.host).collect();
        let Some(leading) = &mut self.leading else { return };
        if now < leading.voters_checked + VOTER_CHECK_INTERVAL {
            return;
        }
        leading.voters_checked = now;
        let needed = self.voters_needed();
        let voters = self.hosts.voters(now, &members, needed);
        self.step_log(now, LogInput::SetVoters(voters));
    }

    /// Full table of the feed of hosts: all hosts, the suspects whose requests need trials, and the
    /// hosts that are cut off from the targets.
    fn hosts_table(&self) -> Vec<FeedChange> {
        let records = self.hosts.records().into_iter().map(FeedChange::Host);
        let cut = self.cut_hosts().into_iter().map(|host| FeedChange::Reach(host, true));
        records.chain(self.quarantine.changes()).chain(cut).collect()
    }

    /// Sends the full table of a topic to a host, if this host writes its feed.
    pub(crate) fn send_table(&mut self, to: HostId, topic: &Topic) {
        let table = match topic {
            Topic::Hosts => self.leading.as_ref().map(|it| it.feed.table(self.hosts_table())),
            Topic::Targets(domain) => self.targets_table(domain),
        };
        if let Some(table) = table {
            self.send(to, FleetMsg::Feed(table));
        }
    }

    /// Appends a command to the log, unless it is proposed or in force already, or too few voters
    /// would store it.
    pub(crate) fn propose(&mut self, now: Duration, from: HostId, tag: Tag, command: Command) {
        let voters = self.replica.status().members.members;
        let voters = voters.iter().filter(|it| it.role == wire::Role::Voter).count();
        let needed = self.voters_needed();
        let Some(leading) = &mut self.leading else { return };
        if voters < needed && now < leading.since + VOTERS_WAIT {
            return;
        }
        let is_proposed = leading.proposals.values().any(|it| *it == command);
        leading.proposals.insert((from, tag), command.clone());
        if !is_proposed && !self.desired.is_redundant(&command) {
            self.step_log(now, LogInput::Propose(encode(&command).into()));
        }
    }

    /// Drops the proposals that are in force, and confirms those that are waited for, or has them confirmed once
    /// the hosts obey them.
    fn take_applied_proposals(&mut self, now: Duration, applied: Index) {
        let Some(leading) = &mut self.leading else { return };
        let applied_proposals =
            leading.proposals.extract_if(.., |_, command| self.desired.is_redundant(command));
        let mut in_force = Vec::new();
        for ((host, tag), command) in applied_proposals {
            match ConfirmedWhen::of(&command) {
                ConfirmedWhen::Obeyed => leading.confirmations.add(now, host, tag, applied),
                ConfirmedWhen::InForce => in_force.push((host, tag)),
                ConfirmedWhen::Never => {}
            }
        }
        for (host, tag) in in_force {
            self.send_confirmed(host, tag);
        }
    }

    /// Queues a read index request. It is answered once a quorum has followed this leader after the
    /// request arrived.
    pub(crate) fn queue_read_index(&mut self, now: Duration, host: HostId, tag: Tag) {
        if let Some(leading) = &mut self.leading {
            leading.pending_reads.push(PendingRead { host, tag, requested: now });
        }
    }

    fn answer_reads(&mut self, quorum_at: Option<Duration>, commit: Index) {
        let Some(leading) = &mut self.leading else { return };
        let Some(quorum_at) = quorum_at else { return };
        let (ready, waiting): (Vec<_>, Vec<_>) =
            leading.pending_reads.drain(..).partition(|it| it.requested <= quorum_at);
        leading.pending_reads = waiting;
        for read in ready {
            if read.host == self.settings.host {
                self.read_index_received(read.tag, commit);
            } else {
                self.send(read.host, FleetMsg::ReadIndexReply { tag: read.tag, index: commit });
            }
        }
    }
}
