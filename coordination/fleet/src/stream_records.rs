//! Which software version began a stream, known to any host, also after all of them were killed.
//!
//! What two versions of a target's software write does not fit together, so a stream that its caller
//! takes up again may go on only at the version that began it. The replicated log holds the default
//! version of each service. A stream that begins at another version is recorded at a majority of the
//! voters before its first event goes out. A host that takes a stream up asks the voters: without a
//! record at so many of them that no majority of the voters in the life of a record can be without
//! them, the default version began it. Voters that may have lost records say
//! so and do not count. Nothing is joined to a stream of which this does not tell the version.
//!
//! The default changes in three steps, see [`crate::software`], so that a host that knows an earlier
//! one neither leaves out a record that others miss nor assumes a default that is not the stream's.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};

use wire::{FleetMsg, FoundRecord, HostId, Role, SoftwareHash, StreamHash};

use crate::{Event, Host, io::Output, targets::stable_hash};

/// Longest time from a stream's beginning until its caller takes it up again.
pub(crate) const STREAM_LIFE: Duration = Duration::from_secs(120);
/// Time for which records are kept at least: the life of a stream and a margin for hosts that learn
/// of the voters late.
const RECORD_TTL: Duration = STREAM_LIFE.saturating_add(Duration::from_secs(30));
/// Age of a host's view of the log up to which it leaves out records of the default version.
pub(crate) const MAX_VIEW_AGE: Duration = Duration::from_secs(180);
/// Age of a host's view of the log up to which it takes a stream without a record for one of the
/// default version.
const MAX_READ_AGE: Duration = Duration::from_secs(10);
/// Maximum number of records in one generation, about 16 MB.
const MAX_RECORDS: usize = 400_000;
/// Time before a message about a record is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(120);
/// Time after the first start of the system within which new voters have missed no records.
const FOUNDING_TIME: Duration = Duration::from_secs(60);

/// A stream, or a service, and a software version.
type Record = (StreamHash, SoftwareHash);

/// Returns the hash under which a stream is recorded, from its service and the id of the attempt
/// that brought its first event.
pub fn stream_hash(service: &str, attempt: &str) -> StreamHash {
    stable_hash(&(service, attempt))
}

/// Returns the hash under which it is recorded that any stream of a service has a record.
fn service_hash(service: &str) -> StreamHash {
    stable_hash(&(service,))
}

/// The records that a voter keeps, in two generations: a record lives for one to two times
/// [`RECORD_TTL`].
#[derive(Debug, Default)]
pub(crate) struct Recorder {
    newer: HashMap<StreamHash, SoftwareHash>,
    older: HashMap<StreamHash, SoftwareHash>,
    rotated_at: Duration,
    /// Records before this time may be missing; `None` while this host is no voter.
    complete_from: Option<Duration>,
    /// Whether the disk has all records that this host confirmed as a voter.
    kept_all: bool,
    /// Records that are being written: by ticket, the host to confirm them to.
    writing: BTreeMap<u64, (HostId, StreamHash)>,
    last_ticket: u64,
}

impl Recorder {
    fn find(&self, stream: StreamHash) -> Option<SoftwareHash> {
        self.newer.get(&stream).or(self.older.get(&stream)).copied()
    }

    fn add(&mut self, stream: StreamHash, software: SoftwareHash) {
        self.newer.insert(stream, software);
    }

    /// Drops the older generation if the newer one is old enough or full. Returns whether it did.
    fn rotate(&mut self, now: Duration) -> bool {
        let is_full = self.newer.len() >= MAX_RECORDS;
        if self.newer.is_empty() || (!is_full && now < self.rotated_at + RECORD_TTL) {
            return false;
        }
        if is_full && now < self.rotated_at + RECORD_TTL {
            self.complete_from = self.complete_from.map(|_| now + RECORD_TTL);
        }
        self.older = std::mem::take(&mut self.newer);
        self.rotated_at = now;
        true
    }

    fn is_complete(&self, now: Duration) -> bool {
        self.complete_from.is_some_and(|at| now >= at)
    }
}

/// A record that is on its way to the voters.
#[derive(Debug)]
struct PendingRecord {
    service: StreamHash,
    software: SoftwareHash,
    acked: BTreeSet<HostId>,
    sent: Duration,
}

/// The highest number of voters over the last one to two times [`RECORD_TTL`]. A record may be at a
/// majority of as many.
#[derive(Debug, Default)]
struct VoterPeak {
    newer: usize,
    older: usize,
    rotated_at: Duration,
}

impl VoterPeak {
    fn add(&mut self, now: Duration, voters: usize) {
        if now >= self.rotated_at + RECORD_TTL {
            self.older = std::mem::take(&mut self.newer);
            self.rotated_at = now;
        }
        self.newer = self.newer.max(voters);
    }

    fn get(&self) -> usize {
        self.newer.max(self.older)
    }
}

/// A stream whose software version the voters are asked for.
#[derive(Debug)]
struct PendingSearch {
    service: String,
    /// Highest number of voters that an answer names.
    peak: usize,
    /// Voters without a record of it that have missed none.
    absent: BTreeSet<HostId>,
    sent: Duration,
}

/// What this host does about records of streams.
#[derive(Debug, Default)]
pub(crate) struct StreamRecords {
    pub(crate) recorder: Recorder,
    voter_peak: VoterPeak,
    pending: BTreeMap<StreamHash, PendingRecord>,
    searches: BTreeMap<StreamHash, PendingSearch>,
}

impl Host {
    /// Takes over the records that the disk kept. Without `is_complete` some may be missing.
    pub fn restore_records(&mut self, now: Duration, records: Vec<Record>, is_complete: bool) {
        let recorder = &mut self.records.recorder;
        recorder.kept_all = is_complete;
        recorder.older = records.into_iter().collect();
        recorder.rotated_at = now;
        if !is_complete && self.settings.data_dir.is_some() && !self.settings.first_start {
            let what = "records of streams may be missing from the data folder".to_owned();
            self.log(Event::Alarm { what });
        }
    }

    /// Returns the voters, and the number of them that must hold a record.
    fn record_voters(&self) -> (Vec<HostId>, usize) {
        let members = self.replica.status().members.members;
        let voters = members.into_iter().filter(|it| it.role == Role::Voter);
        let voters: Vec<HostId> = voters.map(|it| it.host).collect();
        let majority = self.record_majority(voters.len());
        (voters, majority)
    }

    /// Returns how many of `voters` voters must hold a record.
    fn record_majority(&self, voters: usize) -> usize {
        (voters / 2 + 1).max(self.settings.tolerated_losses + 1)
    }

    /// Whether a stream that begins at this software version must be recorded.
    pub fn needs_record(&self, now: Duration, service: &str, software: SoftwareHash) -> bool {
        let is_default = self
            .desired
            .software
            .get(service)
            .is_some_and(|it| it.default == software && !it.records_all);
        !is_default || !self.has_view(now, MAX_VIEW_AGE)
    }

    /// Records which software version began a stream. [`Output::StreamRecorded`] follows once the
    /// record outlives all tolerated losses, unless it is given up before.
    pub fn record_stream(
        &mut self,
        now: Duration,
        stream: StreamHash,
        service: &str,
        software: SoftwareHash,
    ) -> Vec<Output> {
        let pending = PendingRecord {
            service: service_hash(service),
            software,
            acked: BTreeSet::new(),
            sent: now,
        };
        self.records.pending.insert(stream, pending);
        self.send_record(now, stream);
        self.finish(now)
    }

    /// Gives a record up that is not confirmed yet.
    pub fn give_up_record(&mut self, stream: StreamHash) {
        self.records.pending.remove(&stream);
    }

    fn send_record(&mut self, now: Duration, stream: StreamHash) {
        let (voters, _) = self.record_voters();
        let Some(pending) = self.records.pending.get_mut(&stream) else { return };
        pending.sent = now;
        let (service, software) = (pending.service, pending.software);
        let missing: Vec<HostId> =
            voters.into_iter().filter(|it| !pending.acked.contains(it)).collect();
        for host in missing {
            if host == self.settings.host {
                self.handle_record(host, stream, service, software);
            } else {
                self.send(host, FleetMsg::RecordStream { stream, service, software });
            }
        }
    }

    /// Keeps a record for another host, or for this one.
    pub(crate) fn handle_record(
        &mut self,
        from: HostId,
        stream: StreamHash,
        service: StreamHash,
        software: SoftwareHash,
    ) {
        if self.records.recorder.complete_from.is_none() {
            return;
        }
        let recorder = &mut self.records.recorder;
        recorder.add(stream, software);
        recorder.add(service, software);
        recorder.last_ticket += 1;
        let ticket = recorder.last_ticket;
        recorder.writing.insert(ticket, (from, stream));
        let records = [(stream, software), (service, software)];
        self.out.push(Output::WriteRecord { ticket, records });
    }

    /// Confirms the records of these tickets to the hosts that asked for them. Earlier ones could not
    /// be written; they are asked for again.
    pub(crate) fn records_synced(&mut self, first: u64, last: u64) {
        let writing = &mut self.records.recorder.writing;
        let later = writing.split_off(&(last + 1));
        let synced = writing.split_off(&first);
        *writing = later;
        for (to, stream) in synced.into_values() {
            self.confirm_record(to, stream);
        }
    }

    fn confirm_record(&mut self, to: HostId, stream: StreamHash) {
        if to == self.settings.host {
            self.handle_recorded(to, stream);
        } else {
            self.send(to, FleetMsg::StreamRecorded { stream });
        }
    }

    /// Counts a voter that has recorded a stream of this host.
    pub(crate) fn handle_recorded(&mut self, from: HostId, stream: StreamHash) {
        let (voters, majority) = self.record_voters();
        let Some(pending) = self.records.pending.get_mut(&stream) else { return };
        pending.acked.insert(from);
        if voters.iter().filter(|it| pending.acked.contains(it)).count() >= majority {
            self.records.pending.remove(&stream);
            self.out.push(Output::StreamRecorded { stream });
        }
    }

    /// Asks which software version began a stream of a service; `attempt` brought its first event and
    /// is `None` if the caller does not name it. [`Output::StreamSoftware`] follows once that is
    /// known, unless it is given up before. Returns the hash that the output will have.
    pub fn find_stream(
        &mut self,
        now: Duration,
        service: &str,
        attempt: Option<&str>,
    ) -> (StreamHash, Vec<Output>) {
        let hash = attempt.map_or(service_hash(service), |it| stream_hash(service, it));
        let search = PendingSearch {
            service: service.to_owned(),
            peak: self.records.voter_peak.get(),
            absent: BTreeSet::new(),
            sent: now,
        };
        self.records.searches.insert(hash, search);
        self.send_search(now, hash);
        (hash, self.finish(now))
    }

    /// Gives up a search that has found nothing yet.
    pub fn give_up_search(&mut self, stream: StreamHash) {
        self.records.searches.remove(&stream);
    }

    fn send_search(&mut self, now: Duration, stream: StreamHash) {
        let (voters, _) = self.record_voters();
        if let Some(search) = self.records.searches.get_mut(&stream) {
            search.sent = now;
        }
        for host in voters {
            if host == self.settings.host {
                self.handle_search(now, host, stream);
            } else {
                self.send(host, FleetMsg::FindStream { stream });
            }
        }
    }

    /// Tells a host what this one has recorded of a stream.
    pub(crate) fn handle_search(&mut self, now: Duration, from: HostId, stream: StreamHash) {
        let recorder = &self.records.recorder;
        let software = recorder.find(stream);
        let is_complete = self.caught_up && recorder.is_complete(now);
        let peak = self.records.voter_peak.get() as u16;
        let found = FoundRecord { stream, software, is_complete, peak };
        if from == self.settings.host {
            self.handle_found(now, from, &found);
        } else {
            self.send(from, FleetMsg::StreamFound(found));
        }
    }

    /// Handles a voter's answer to a search.
    pub(crate) fn handle_found(&mut self, now: Duration, from: HostId, found: &FoundRecord) {
        let FoundRecord { stream, software, is_complete, peak } = *found;
        let (voters, _) = self.record_voters();
        let has_view = self.has_view(now, MAX_READ_AGE);
        let Some(search) = self.records.searches.get_mut(&stream) else { return };
        search.peak = search.peak.max(usize::from(peak)).max(voters.len());
        if software.is_none() && is_complete {
            search.absent.insert(from);
        }
        let most = search.peak;
        let absent = voters.iter().filter(|it| search.absent.contains(it)).count();
        let default = self.desired.software.get(&search.service).map(|it| it.default);
        // A record of a whole service does not tell which of its streams it is of.
        let told = software.filter(|_| stream != service_hash(&search.service));
        let majority = self.record_majority(most);
        let is_absent = most >= majority && absent > most - majority;
        let software = match told {
            Some(software) => software,
            None if software.is_none() && is_absent && has_view => {
                let Some(default) = default else { return };
                default
            }
            None => return,
        };
        self.records.searches.remove(&stream);
        self.out.push(Output::StreamSoftware { stream, software });
    }

    /// Follows whether this host is a voter, and repeats what was not answered.
    pub(crate) fn tick_records(&mut self, now: Duration) {
        self.update_recorder(now);
        let due = |sent: Duration| now >= sent + RESEND_INTERVAL;
        let records: Vec<StreamHash> =
            self.records.pending.iter().filter(|(_, it)| due(it.sent)).map(|(&it, _)| it).collect();
        for stream in records {
            self.send_record(now, stream);
        }
        let searches: Vec<StreamHash> = self
            .records
            .searches
            .iter()
            .filter(|(_, it)| due(it.sent))
            .map(|(&it, _)| it)
            .collect();
        for stream in searches {
            self.send_search(now, stream);
        }
    }

    /// Follows whether this host is a voter and which records it may have missed.
    fn update_recorder(&mut self, now: Duration) {
        let (voters, _) = self.record_voters();
        self.records.voter_peak.add(now, voters.len());
        let is_voter = voters.contains(&self.settings.host);
        let missed_none = self.settings.first_start && now < self.started_at + FOUNDING_TIME;
        let recorder = &mut self.records.recorder;
        let kept_all = recorder.kept_all;
        if is_voter && recorder.complete_from.is_none() {
            let from = if missed_none || kept_all { now } else { now + RECORD_TTL };
            recorder.complete_from = Some(from);
        } else if !is_voter && self.caught_up {
            recorder.complete_from = None;
            recorder.kept_all = false;
        }
        let rotated = recorder.rotate(now);
        recorder.kept_all |= recorder.is_complete(now);
        recorder.kept_all &= recorder.complete_from.is_none_or(|at| now >= at);
        let kept_now = recorder.kept_all;
        if kept_now != kept_all {
            self.out.push(Output::MarkRecords { complete: kept_now });
        }
        if rotated {
            self.out.push(Output::RotateRecords);
        }
    }

    /// Whether this host's state contains all that was committed `age` ago.
    fn has_view(&self, now: Duration, age: Duration) -> bool {
        self.caught_up && self.view.confirmed_at.is_some_and(|at| now < at + age)
    }

    pub(crate) fn log_default_software(&mut self, service: &str) {
        let Some(it) = self.desired.software.get(service) else { return };
        let (default, records_all) = (it.default, it.records_all);
        self.log(Event::DefaultSoftware { service: service.to_owned(), default, records_all });
    }
}
