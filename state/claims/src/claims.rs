//! The claims table.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::{
    Claim, ClaimKey, ErrorKind, Fingerprint, HostId, Incarnation, Outcome, RequestId, Settle,
};

/// How far ahead of the table's clock a key may have been made, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 60 * 60 * 1000;

/// How long outcomes are kept, and how many.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Age after which an ended claim is dropped.
    pub age: Duration,
    /// Ended claims kept at most.
    pub count: usize,
    /// Bytes of answers kept at most.
    pub bytes: usize,
}

/// What a claim or a resend is told.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimer may send once.
    Granted,
    /// The call ran: this is its answer.
    Done {
        /// HTTP status.
        status: u16,
        /// Body.
        body: Bytes,
    },
    /// The call is refused with this kind.
    Refused(ErrorKind),
}

/// One claim and who holds or held it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    print: Fingerprint,
    host: HostId,
    incarnation: Incarnation,
    request: RequestId,
    /// The latest time given for the key, in milliseconds since the epoch.
    made: u64,
    /// How the claim ended; none while it is open.
    outcome: Option<Outcome>,
}

/// Claims by key.
///
/// A key that is not in the table is granted only if it was made after every
/// key that was ever dropped could have been: see [`Claims::claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    retention: Retention,
    entries: BTreeMap<ClaimKey, Entry>,
    /// Keys of open claims.
    open: BTreeSet<ClaimKey>,
    /// Keys of ended claims by the time they were made.
    ended: BTreeSet<(u64, ClaimKey)>,
    /// Bytes of kept answers.
    bytes: usize,
    /// The latest time seen in the log, in milliseconds since the epoch.
    clock: u64,
    /// Unknown keys made at this time or before are refused.
    floor: u64,
}

impl Claims {
    /// An empty table.
    pub fn new(retention: Retention) -> Claims {
        Claims {
            retention,
            entries: BTreeMap::new(),
            open: BTreeSet::new(),
            ended: BTreeSet::new(),
            bytes: 0,
            clock: 0,
            floor: 0,
        }
    }

    /// Applies a claim made at wall-clock time `at` (milliseconds since the epoch).
    ///
    /// An unknown key is refused if it was made at or before the floor, or too
    /// far ahead of the clock: it may have run and been dropped, or could not
    /// be told from such a key later.
    pub fn claim(&mut self, at: u64, claim: &Claim) -> ClaimReply {
        self.advance(at);
        let Some(entry) = self.entries.get(&claim.key) else {
            return self.grant_new(claim);
        };
        if entry.print != claim.print {
            return ClaimReply::Refused(ErrorKind::KeyReused);
        }
        let same = entry.held_by(claim);
        let reply = match &entry.outcome {
            None if same => ClaimReply::Granted,
            None => ClaimReply::Refused(ErrorKind::KeyBusy),
            Some(Outcome::Done { status, body }) => {
                ClaimReply::Done { status: *status, body: body.clone() }
            }
            Some(Outcome::InDoubt) => ClaimReply::Refused(ErrorKind::InDoubt),
            // The claimer has said that it never sends.
            Some(Outcome::NotRun(kind)) if same => ClaimReply::Refused(*kind),
            Some(Outcome::NotRun(_)) => {
                self.reopen(claim);
                return ClaimReply::Granted;
            }
        };
        self.remake(&claim.key, claim.made);
        reply
    }

    /// Applies the end of a claim. Returns false if the request does not hold it.
    ///
    /// An answer that arrives after its claim was put in doubt is still taken:
    /// it comes from the only request that ever sent the call.
    pub fn settle(&mut self, at: u64, settle: &Settle) -> bool {
        self.advance(at);
        let Some(entry) = self.entries.get(&settle.key) else { return false };
        if entry.request != settle.request {
            return false;
        }
        match (&entry.outcome, &settle.outcome) {
            (None, _) | (Some(Outcome::InDoubt), Outcome::Done { .. }) => (),
            (Some(old), new) => return old == new,
        }
        self.end(&settle.key, settle.outcome.clone());
        self.trim();
        true
    }

    /// Puts the open claims of a host's runs before `before` in doubt.
    pub fn host_lost(&mut self, at: u64, host: HostId, before: Incarnation) {
        self.advance(at);
        let mut lost = Vec::new();
        for key in &self.open {
            let Some(entry) = self.entries.get(key) else { continue };
            if entry.host == host && entry.incarnation < before {
                lost.push(key.clone());
            }
        }
        for key in lost {
            self.end(&key, Outcome::InDoubt);
        }
        self.trim();
    }

    /// Returns the runs of hosts that hold open claims, each once, in order.
    pub fn holders(&self) -> Vec<(HostId, Incarnation)> {
        let entries = self.open.iter().filter_map(|key| self.entries.get(key));
        let holders: BTreeSet<_> = entries.map(|entry| (entry.host, entry.incarnation)).collect();
        holders.into_iter().collect()
    }

    /// Returns the number of open and of ended claims.
    pub fn counts(&self) -> (usize, usize) {
        (self.open.len(), self.ended.len())
    }

    /// Returns the bytes of kept answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time at or before which unknown keys are refused, in
    /// milliseconds since the epoch.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    fn grant_new(&mut self, claim: &Claim) -> ClaimReply {
        if claim.made <= self.floor || claim.made > self.horizon() {
            return ClaimReply::Refused(ErrorKind::KeyExpired);
        }
        self.entries.insert(claim.key.clone(), Entry::new(claim));
        self.open.insert(claim.key.clone());
        ClaimReply::Granted
    }

    /// Gives a claim that was not run to a new claimer.
    fn reopen(&mut self, claim: &Claim) {
        let Some(old) = self.entries.remove(&claim.key) else { return };
        self.ended.remove(&(old.made, claim.key.clone()));
        let mut entry = Entry::new(claim);
        entry.made = old.made.max(claim.made.min(self.horizon()));
        self.entries.insert(claim.key.clone(), entry);
        self.open.insert(claim.key.clone());
    }

    /// Takes the latest time given for a key. It decides when the key is
    /// dropped, so that a later time never outlives the entry.
    fn remake(&mut self, key: &ClaimKey, made: u64) {
        let made = made.min(self.horizon());
        let Some(entry) = self.entries.get_mut(key) else { return };
        if made <= entry.made {
            return;
        }
        if self.ended.remove(&(entry.made, key.clone())) {
            self.ended.insert((made, key.clone()));
        }
        entry.made = made;
    }

    /// Returns the latest time that a key may be made at.
    fn horizon(&self) -> u64 {
        self.clock.saturating_add(MAX_AHEAD_MS)
    }

    fn end(&mut self, key: &ClaimKey, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.bytes -= entry.bytes();
        entry.outcome = Some(kept(outcome, self.retention.bytes));
        self.bytes += entry.bytes();
        self.open.remove(key);
        self.ended.insert((entry.made, key.clone()));
    }

    /// Moves the clock, which never goes back, and drops what is too old.
    fn advance(&mut self, at: u64) {
        self.clock = self.clock.max(at);
        let age = self.retention.age.as_millis() as u64;
        let oldest = self.clock.saturating_sub(age);
        self.floor = self.floor.max(oldest.saturating_sub(1));
        while self.ended.first().is_some_and(|(made, _)| *made <= self.floor) {
            self.drop_first();
        }
    }

    /// Drops ended claims above the bounds, those made first before others.
    fn trim(&mut self) {
        while self.ended.len() > self.retention.count || self.bytes > self.retention.bytes {
            if !self.drop_first() {
                return;
            }
        }
    }

    /// Drops the ended claim that was made first and raises the floor to it.
    fn drop_first(&mut self) -> bool {
        let Some((made, key)) = self.ended.pop_first() else { return false };
        if let Some(entry) = self.entries.remove(&key) {
            self.bytes -= entry.bytes();
        }
        self.floor = self.floor.max(made);
        true
    }
}

impl Entry {
    fn new(claim: &Claim) -> Entry {
        Entry {
            print: claim.print,
            host: claim.host,
            incarnation: claim.incarnation,
            request: claim.request,
            made: claim.made,
            outcome: None,
        }
    }

    fn held_by(&self, claim: &Claim) -> bool {
        let run = (self.host, self.incarnation, self.request);
        run == (claim.host, claim.incarnation, claim.request)
    }

    fn bytes(&self) -> usize {
        match &self.outcome {
            Some(Outcome::Done { body, .. }) => body.len(),
            _ => 0,
        }
    }
}

/// Returns what is kept of an outcome. An answer above the bound is not, and a
/// resend is told that its call is in doubt.
fn kept(outcome: Outcome, bytes: usize) -> Outcome {
    match outcome {
        Outcome::Done { body, .. } if body.len() > bytes => Outcome::InDoubt,
        outcome => outcome,
    }
}
