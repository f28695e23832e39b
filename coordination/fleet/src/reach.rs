//! Whether this host reaches targets itself, and which hosts do.
//!
//! A connection that fails speaks of the path from this host to the target. If another host opens one
//! to the same target, the path is at fault. A host that finds so for [`CUT_TARGETS`] targets, and
//! reaches none itself meanwhile, is cut off: it sends all requests through other hosts and gives no
//! orders, until it reaches targets itself again. The leader tells all hosts which are cut off.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use wire::{DomainId, FeedChange, Fence, FleetMsg, HostId, TargetState};

use crate::{Event, Host, io::Output};

/// Number of targets that only other hosts reach from which a host is cut off.
const CUT_TARGETS: usize = 2;
/// How long such a target counts.
const MISSED_TTL: Duration = Duration::from_secs(3);
/// Time after a connection to any target was opened during which the paths from here are sound.
const SOUND_PATH: Duration = Duration::from_millis(300);
/// Time between two probes of the own paths while the host is cut off.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two messages to the leader that the host is cut off.
const TELL_INTERVAL: Duration = Duration::from_millis(1000);
/// Number of connections in a row that end a cut.
const REGAINED: u32 = 2;
/// Time after a host last said that it is cut off until the leader takes it for reachable again.
const CUT_TTL: Duration = Duration::from_secs(4);
/// Time between two messages of the leader to all hosts about hosts that are cut off.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum number of hosts that are asked in turn to open a connection.
const MAX_RELAYS: usize = 2;

/// What this host knows of its own paths to targets.
#[derive(Debug, Default)]
pub(crate) struct Reach {
    /// When a connection to a target was last opened from here.
    opened: Option<Duration>,
    /// Targets that only another host reached since then.
    missed: BTreeMap<String, Duration>,
    /// Whether this host is cut off from the targets.
    cut: bool,
    /// Connections opened from here in a row while it is cut off.
    regained: u32,
    probed: Duration,
    /// Number of probes, by which they go round the targets.
    probes: usize,
    /// When it last became cut off, or ceased to be.
    changed: Option<Duration>,
    told: Option<Duration>,
}

/// How to open a connection to a target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Way {
    /// From here.
    Direct,
    /// Through one of these hosts.
    ByHost(Vec<HostId>),
}

impl Host {
    /// Returns how to open the next connection to a target. `draw` is a random number.
    pub fn way(&self, draw: u64) -> Way {
        match self.reach.cut {
            true => Way::ByHost(self.relays(draw)),
            false => Way::Direct,
        }
    }

    /// Whether a failed or slow connection may be due to the path from here: none was opened to any
    /// target shortly before.
    pub fn is_path_doubtful(&self, now: Duration) -> bool {
        self.reach.opened.is_none_or(|at| now >= at + SOUND_PATH)
    }

    /// Whether this host is cut off from the targets.
    pub fn is_cut_off(&self) -> bool {
        self.reach.cut
    }

    /// Whether this host may open a connection to a target for another host: it reaches targets, and
    /// the target at this address neither leaves nor has asked this host for a pause.
    pub fn may_relay(&self, now: Duration, target: &str, addr: &str) -> bool {
        let Some(target) = self.targets.get(target) else { return false };
        let is_open = target.record.state == TargetState::Ready && !target.is_paused(now);
        !self.reach.cut && is_open && target.record.addr == addr
    }

    /// Returns the hosts that may open connections for this one, best first: those of its failure
    /// domain, chosen by their processor time. `draw` is a random number.
    pub fn relays(&self, draw: u64) -> Vec<HostId> {
        self.rank_relays(draw, true)
    }

    /// Returns the hosts whose paths to targets have least in common with the own ones, best first:
    /// those of other failure domains. `draw` is a random number.
    pub fn witnesses(&self, draw: u64) -> Vec<HostId> {
        self.rank_relays(draw, false)
    }

    fn rank_relays(&self, draw: u64, near_first: bool) -> Vec<HostId> {
        let own = self.hosts.own();
        let mut ranked = Vec::new();
        for record in self.hosts.ready() {
            if record.host == own.host || self.hosts.is_cut(record.host) {
                continue;
            }
            let weight = f64::from(record.cpu_millis.max(1));
            let share = crate::stable_hash(&(draw, record.host)) as f64 / u64::MAX as f64;
            ranked.push((
                (record.domain == own.domain) != near_first,
                -share.max(f64::MIN_POSITIVE).powf(1.0 / weight),
                record.host,
            ));
        }
        ranked.sort_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        ranked.into_iter().map(|(_, _, host)| host).take(MAX_RELAYS).collect()
    }

    /// Lets the process try the own path to a ready target, a different one each time, while this host
    /// is cut off.
    fn probe_paths(&mut self, now: Duration) {
        if !self.reach.cut || now < self.reach.probed + PROBE_INTERVAL {
            return;
        }
        self.reach.probed = now;
        self.reach.probes += 1;
        let mut ready = Vec::new();
        for target in self.targets.iter() {
            if target.record.state == TargetState::Ready {
                ready.push(&target.record);
            }
        }
        let Some(record) = ready.get(self.reach.probes % ready.len().max(1)) else { return };
        let (target, addr) = (record.id.clone(), record.addr.clone());
        self.out.push(Output::ProbePath { target, addr });
    }

    /// Records that a connection to a target was opened from here.
    pub fn path_opened(&mut self, now: Duration) -> Vec<Output> {
        let reach = &mut self.reach;
        reach.opened = Some(now);
        reach.missed.clear();
        if !reach.cut {
            return Vec::new();
        }
        reach.regained += 1;
        if reach.regained >= REGAINED {
            self.set_cut(now, false);
        }
        self.finish(now)
    }

    /// Records that the own path to a target failed while this host is cut off.
    pub fn probe_failed(&mut self) {
        self.reach.regained = 0;
    }

    /// Records that only another host reached a target.
    pub fn path_missed(&mut self, now: Duration, target: &str) -> Vec<Output> {
        let reach = &mut self.reach;
        if reach.cut {
            return Vec::new();
        }
        reach.missed.insert(target.to_owned(), now);
        reach.missed.retain(|_, at| now < *at + MISSED_TTL);
        let needed = CUT_TARGETS.min(self.targets.iter().count().max(1));
        if self.reach.missed.len() >= needed {
            self.set_cut(now, true);
        }
        self.finish(now)
    }

    fn set_cut(&mut self, now: Duration, cut: bool) {
        self.reach.cut = cut;
        self.reach.changed = Some(now);
        self.reach.regained = 0;
        self.reach.probed = now;
        self.reach.missed.clear();
        self.log(Event::Reach { cut });
        if cut {
            for held in self.held_domains.values_mut() {
                held.resigned = true;
            }
            self.targets.forget_misses();
            self.out.push(Output::DropConnections);
        }
        self.tell_reach(now);
    }

    /// Tells the leader whether this host is cut off, and which failure domains need another holder.
    fn tell_reach(&mut self, now: Duration) {
        self.reach.told = Some(now);
        let cut = self.reach.cut;
        let resigned = self.resigned_domains();
        let own = self.settings.host;
        match self.leader {
            Some(leader) if leader == own => self.handle_reach(now, own, cut, resigned),
            Some(leader) => self.send(leader, FleetMsg::Reach { cut, resigned }),
            None => {}
        }
    }

    fn resigned_domains(&self) -> Vec<(DomainId, Fence)> {
        let resigned = self.held_domains.iter().filter(|(_, held)| held.resigned);
        resigned.map(|(domain, held)| (domain.clone(), held.fence)).collect()
    }

    /// Whether the leader needs this host's message: it may lack one, or forgets it without another.
    fn has_news(&self, now: Duration) -> bool {
        let has_changed = self.reach.changed.is_some_and(|at| now < at + CUT_TTL);
        self.reach.cut || has_changed || self.held_domains.values().any(|it| it.resigned)
    }

    /// Probes the own paths, and repeats to the leader that this host is cut off, or that it has
    /// resigned.
    pub(crate) fn tick_reach(&mut self, now: Duration) {
        self.probe_paths(now);
        let is_told = self.reach.told.is_some_and(|at| now < at + TELL_INTERVAL);
        if !is_told && self.has_news(now) {
            self.tell_reach(now);
        }
        self.publish_reach(now);
    }

    /// Publishes which hosts are cut off, if this host leads and any has changed. Those that have fallen
    /// silent count as reaching targets.
    fn publish_reach(&mut self, now: Duration) {
        let Some(leading) = &mut self.leading else { return };
        if now < leading.reach_published + PUBLISH_INTERVAL {
            return;
        }
        leading.reach_published = now;
        leading.cut.retain(|_, at| now < *at + CUT_TTL);
        let cut: BTreeSet<HostId> = leading.cut.keys().copied().collect();
        let known: BTreeSet<HostId> = self.hosts.cut().collect();
        for &host in cut.symmetric_difference(&known) {
            let is_cut = cut.contains(&host);
            leading.feed.push(FeedChange::Reach(host, is_cut));
            self.hosts.set_cut(host, is_cut);
        }
    }

    /// Handles a host's message about its paths to targets, if this host leads.
    pub(crate) fn handle_reach(
        &mut self,
        now: Duration,
        from: HostId,
        cut: bool,
        resigned: Vec<(DomainId, Fence)>,
    ) {
        let Some(leading) = &mut self.leading else { return };
        leading.resigned.extend(resigned);
        if cut {
            leading.cut.insert(from, now);
        } else {
            leading.cut.remove(&from);
        }
    }

    /// Returns the hosts that the leader of this feed takes for cut off.
    pub(crate) fn cut_hosts(&self) -> BTreeSet<HostId> {
        self.leading.iter().flat_map(|it| it.cut.keys().copied()).collect()
    }
}
