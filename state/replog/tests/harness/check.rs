//! Steps of the simulated link, disks and state machines, and the invariants checked at each.

use wire::Membership;

use super::*;

impl Cluster {
    pub fn send(&mut self, from: HostId, to: HostId, msg: LogMsg) {
        self.check_synced(from, &msg);
        self.check_observer(from, to, &msg);
        self.sent += 1;
        if !matches!(msg.body, LogBody::Hello { .. }) {
            *self.sent_by.entry(from).or_default() += 1;
        }
        *self.bytes_by.entry(from).or_default() += wire::encode(&msg).len() as u64;
        if self.isolated.contains(&from)
            || self.isolated.contains(&to)
            || !self.hosts.contains_key(&to)
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.link.duplicate));
        for _ in 0..copies {
            if self.rng.random_bool(self.link.loss) {
                continue;
            }
            let jitter = self.link.jitter.mul_f64(self.rng.random::<f64>());
            self.schedule(self.link.delay + jitter, Event::Msg(from, to, msg.clone()));
        }
    }

    /// Checks that the state a message depends on is on the sender's disk.
    fn check_synced(&self, from: HostId, msg: &LogMsg) {
        let Some(disk) = &self.hosts[&from].disk else { return };
        let on_disk = &disk.synced;
        match msg.body {
            LogBody::Appended { index, accepted: true, .. } => {
                assert!(last(on_disk) >= index, "host {from} acknowledged {index} before sync");
                assert!(on_disk.hard.term >= msg.term, "term acknowledged before sync");
            }
            // With a later term on disk, the voter cannot vote again in this term.
            LogBody::Voted { granted: true } => {
                assert!(on_disk.hard.term >= msg.term, "host {from} voted before sync");
                assert!(on_disk.hard.term > msg.term || on_disk.hard.voted_for.is_some());
            }
            LogBody::Vote { .. } => {
                assert!(on_disk.hard.term >= msg.term, "host {from} requested a vote before sync");
                let own = on_disk.hard.voted_for == Some(on_disk.disk);
                assert!(on_disk.hard.term > msg.term || own);
            }
            LogBody::Founding { group, .. } => assert_eq!(on_disk.hard.group, group),
            _ => {}
        }
    }

    /// Checks that an observer receives committed entries only.
    fn check_observer(&self, from: HostId, to: HostId, msg: &LogMsg) {
        let LogBody::Append { entries, .. } = &msg.body else { return };
        if self.hosts.get(&to).is_some_and(|h| h.disk.is_none()) {
            let commit = self.status(from).commit;
            assert!(entries.iter().all(|e| e.index <= commit), "uncommitted entries to {to}");
        }
    }

    /// Checks that the outstanding write removes no entry up to `acknowledged`, which this step's
    /// messages acknowledge, and, on a leader, that at most one membership change is uncommitted.
    pub fn check_write(&self, host: HostId, acknowledged: Index) {
        let Some(disk) = &self.hosts[&host].disk else { return };
        let Some(status) = self.hosts[&host].replica.as_ref().map(Replica::status) else { return };
        let ops = disk.writing.iter().flat_map(|w| &w.ops);
        let mut changes = 0;
        let uncommitted =
            |e: &&Entry| !self.committed.contains_key(&e.index) && membership_change(e).is_some();
        for op in ops {
            match op {
                Op::Truncate(index) => {
                    assert!(*index > acknowledged, "host {host} removes acknowledged entries")
                }
                Op::Append(entries) => changes += entries.iter().filter(uncommitted).count(),
                _ => {}
            }
        }
        changes += disk.synced.entries.iter().filter(uncommitted).count();
        assert!(status.leader != Some(host) || changes <= 1, "two uncommitted membership changes");
    }

    /// Checks that an entry is on the disks of a quorum when it is first applied, and that a
    /// promoted learner holds the entry that made it one.
    fn check_quorum(&self, host: HostId, entry: &Entry) {
        if self.committed.contains_key(&entry.index) {
            return;
        }
        let mut before = self.committed.values().rev().filter_map(|(e, _)| membership_change(e));
        let before = before.next();
        let current = self.status(host).members;
        // A membership is in force once the leader has appended it, which may be before or after
        // this entry.
        let log = self.hosts[&host].disk.iter().flat_map(|d| &d.synced.entries);
        let mut memberships: Vec<&Membership> =
            log.filter_map(membership_change).map(|(_, m)| m).collect();
        memberships.extend(before.map(|(_, m)| m));
        memberships.extend(membership_change(entry).map(|(_, m)| m));
        memberships.push(&current);
        let on_quorum = memberships.iter().any(|m| self.is_on_quorum(m, entry));
        assert!(on_quorum, "{} applied too early", entry.index);
        let (Some((_, next)), Some((at, before))) = (membership_change(entry), before) else {
            return;
        };
        for member in &next.members {
            let promoted = before.members.iter().any(|m| m.disk == member.disk && m != member);
            let disk = self.hosts[&member.host].disk.as_ref().unwrap();
            if promoted && disk.synced.disk == member.disk {
                assert!(last(&disk.synced) >= at, "host {} votes too early", member.host);
            }
        }
    }

    /// Returns whether a quorum has an entry on disk. A lost disk counts, as it may have had it.
    fn is_on_quorum(&self, members: &Membership, entry: &Entry) -> bool {
        let voters = members.members.iter().filter(|m| m.role == wire::Role::Voter);
        let has_entry = |m: &&wire::Member| {
            let disk = self.hosts[&m.host].disk.as_ref();
            let same = |d: &&Disk| d.synced.disk == m.disk;
            self.lost_disks.contains(&m.disk)
                || disk.filter(same).is_some_and(|d| last(&d.synced) >= entry.index)
        };
        voters.clone().filter(has_entry).count() > voters.count() / 2
    }

    /// Checks that no other leader of the group may still rely on its quorum, which ends an
    /// election timeout after the last confirmed round.
    pub fn check_leases(&self, host: HostId) {
        let group = self.status(host).group;
        for (other, h) in &self.hosts {
            let Some(status) = h.replica.as_ref().map(Replica::status) else { continue };
            let Some(at) = status.quorum_at else { continue };
            if *other == host || status.group != group {
                continue;
            }
            assert!(self.now >= at + ELECTION, "host {host} leads within the lease of {other}");
        }
    }

    pub fn apply(&mut self, host: HostId, entry: Entry) {
        self.check_quorum(host, &entry);
        let now = self.now;
        let h = self.hosts.get_mut(&host).unwrap();
        assert_eq!(entry.index, h.applied + 1, "host {host} applies out of order");
        h.applied = entry.index;
        h.digest = digest(h.digest, &entry);
        let after = h.digest;
        self.committed_at.entry(entry.index).or_insert(now);
        self.applied_at.entry((host, entry.index)).or_insert(now);
        let known = self.committed.entry(entry.index).or_insert((entry.clone(), after));
        assert_eq!(known.0, entry, "host {host} applies another entry");
        assert_eq!(known.1, after, "host {host} has another digest");
    }

    pub fn restore(&mut self, host: HostId, snap: Snapshot) {
        let h = self.hosts.get_mut(&host).unwrap();
        assert!(snap.index >= h.applied, "host {host} restores an older snapshot");
        h.applied = snap.index;
        let (state, _): (u64, &[u8]) = postcard::take_from_bytes(&snap.state).unwrap();
        h.digest = state;
        assert_eq!(self.committed[&snap.index].1, state, "host {host} restores another state");
        self.snapshots += 1;
    }

    pub fn snapshot(&mut self, host: HostId) {
        let h = &self.hosts[&host];
        let mut state = postcard::to_stdvec(&h.digest).unwrap();
        // Large enough to be sent in several chunks.
        state.resize(600 * 1024, 0);
        let index = h.applied;
        self.input(host, Input::Compact { index, state: state.into() });
    }

    /// Returns the host that leads in the highest term, of those whose first entry of the term is
    /// committed.
    pub fn leader(&self) -> Option<HostId> {
        let mut best = None;
        for (&host, h) in &self.hosts {
            let Some(status) = h.replica.as_ref().map(Replica::status) else { continue };
            if status.leading {
                best = best.max(Some((status.term, host)));
            }
        }
        best.map(|(_, host)| host)
    }

    /// Runs until a host that is not isolated leads, for at most 30 s.
    pub fn await_leader(&mut self) -> HostId {
        for _ in 0..3000 {
            if let Some(host) = self.leader().filter(|h| !self.isolated.contains(h)) {
                return host;
            }
            self.run(TICK);
        }
        panic!("no leader within 30 s");
    }

    /// Proposes an entry on the leader, if there is one.
    pub fn propose(&mut self, text: &str) {
        if let Some(host) = self.leader() {
            self.input(host, Input::Propose(Bytes::copy_from_slice(text.as_bytes())));
        }
    }

    pub fn status(&self, host: HostId) -> replog::Status {
        self.hosts[&host].replica.as_ref().unwrap().status()
    }

    /// Checks that every host has applied all committed entries.
    pub fn check_converged(&self) {
        let last = self.committed.keys().next_back().copied().unwrap_or(0);
        for (host, h) in &self.hosts {
            assert_eq!(h.applied, last, "host {host} has not caught up");
            assert_eq!(h.digest, self.committed[&last].1, "host {host} differs");
        }
    }

    /// Checks that consecutive memberships differ in one member.
    pub fn check_membership_steps(&self) {
        let mut before: Option<&Membership> = None;
        for (entry, _) in self.committed.values() {
            let EntryBody::Members(next) = &entry.body else { continue };
            if let Some(before) = before {
                let hosts = |m: &Membership| m.members.iter().map(|m| m.host).collect::<Vec<_>>();
                let all: BTreeSet<HostId> =
                    [hosts(before), hosts(next)].concat().into_iter().collect();
                let of = |m: &Membership, h| m.members.iter().find(|m| m.host == h).copied();
                let changed = all.iter().filter(|&&h| of(before, h) != of(next, h)).count();
                assert_eq!(changed, 1, "{before:?} then {next:?}");
            }
            before = Some(next);
        }
    }

    /// Returns the data of all committed entries, in order.
    pub fn data(&self) -> Vec<String> {
        let mut out = Vec::new();
        for (entry, _) in self.committed.values() {
            if let EntryBody::Data(data) = &entry.body {
                out.push(String::from_utf8_lossy(data).into_owned());
            }
        }
        out
    }
}

/// Returns the index and membership of an entry that changes the membership.
fn membership_change(entry: &Entry) -> Option<(Index, &Membership)> {
    match &entry.body {
        EntryBody::Members(members) => Some((entry.index, members)),
        _ => None,
    }
}

/// Returns the last index on a disk.
pub fn last(disk: &Recovered) -> Index {
    let covered = disk.snapshot.as_ref().map_or(0, |s| s.index);
    disk.entries.last().map_or(covered, |e| e.index)
}

fn digest(before: u64, entry: &Entry) -> u64 {
    let mut hash = before ^ entry.index;
    for byte in wire::encode(entry) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash
}

pub fn apply_op(disk: &mut Recovered, op: &Op) {
    match op {
        Op::Hard(hard) => disk.hard = hard.clone(),
        Op::Append(entries) => {
            for entry in entries {
                assert_eq!(entry.index, last(disk) + 1, "gap in the log");
                disk.entries.push(entry.clone());
            }
        }
        Op::Truncate(index) => disk.entries.retain(|e| e.index < *index),
        Op::Snapshot(snap) => {
            let held = |e: &Entry| e.index == snap.index && e.term == snap.term;
            let holds = disk.entries.iter().any(held);
            disk.entries.retain(|e| holds && e.index > snap.index);
            disk.snapshot = Some(snap.clone());
        }
    }
}
