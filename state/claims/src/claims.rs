//! The claims table: which request may send a non-idempotent call, and how the call ended.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use wire::{
    Claim, ClaimKey, ErrorKind, Fingerprint, HostId, Incarnation, Outcome, RequestId, Settle,
};

/// Maximum time by which a new key's creation time may be ahead of the table's clock, in
/// milliseconds.
pub const MAX_AHEAD_MS: u64 = 60 * 60 * 1000;

/// Bounds on the ended claims that are kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Retention {
    /// Time after the key was made when an ended claim is dropped.
    pub age: Duration,
    /// Maximum number of ended claims.
    pub count: usize,
    /// Maximum total size of the kept responses, in bytes.
    pub bytes: usize,
}

/// The reply to a claim, which may be the first one for its key or a resend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimer may send the call once.
    Granted,
    /// The call ran; the kept response is returned.
    Done {
        /// HTTP status of the response.
        status: u16,
        /// Body of the response.
        body: Bytes,
    },
    /// The call is refused with this kind of error.
    Refused(ErrorKind),
}

/// One claim and the request that holds or held it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    fingerprint: Fingerprint,
    host: HostId,
    incarnation: Incarnation,
    request: RequestId,
    /// The latest creation time given for the key, in milliseconds since the epoch.
    made: u64,
    /// How the claim ended; `None` while it is open.
    outcome: Option<Outcome>,
}

/// Claims by key.
///
/// A key that is not in the table is granted only if it was made later than every key that
/// may have been dropped: see [`Claims::claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claims {
    retention: Retention,
    entries: BTreeMap<ClaimKey, Entry>,
    /// Keys of open claims.
    open: BTreeSet<ClaimKey>,
    /// Keys of ended claims, in order of their creation times.
    ended: BTreeSet<(u64, ClaimKey)>,
    /// Total size of the kept responses, in bytes.
    bytes: usize,
    /// The latest time applied from the log, in milliseconds since the epoch.
    clock: u64,
    /// Unknown keys made at or before this time are refused, in milliseconds since the epoch.
    floor: u64,
}

impl Claims {
    /// Creates an empty table.
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

    /// Applies a claim committed with wall-clock time `at` (milliseconds since the epoch).
    ///
    /// An unknown key is refused with [`ErrorKind::KeyExpired`] if it was made at or before the
    /// floor, because its call may have run and its claim been dropped, or more than
    /// [`MAX_AHEAD_MS`] ahead of the clock, because dropping its claim would raise the floor that
    /// far.
    pub fn claim(&mut self, at: u64, claim: &Claim) -> ClaimReply {
        self.advance(at);
        let Some(entry) = self.entries.get(&claim.key) else {
            return self.grant_new(claim);
        };
        if entry.fingerprint != claim.fingerprint {
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
            // This claimer has already reported that it never sends the call.
            Some(Outcome::NotRun(kind)) if same => ClaimReply::Refused(*kind),
            Some(Outcome::NotRun(_)) => {
                self.reopen(claim);
                return ClaimReply::Granted;
            }
        };
        self.update_made(&claim.key, claim.made_at);
        reply
    }

    /// Applies the end of a claim at wall-clock time `at` (milliseconds since the epoch).
    ///
    /// Returns false if the request does not hold the claim or the claim ended with another
    /// outcome. A response that arrives after its claim was put in doubt is still accepted: it
    /// comes from the only request that ever sent the call.
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

    /// Puts the open claims of a host's incarnations before `before` in doubt. `at` is in
    /// milliseconds since the epoch.
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

    /// Returns the incarnations of hosts that hold open claims, in ascending order and without
    /// duplicates.
    pub fn holders(&self) -> Vec<(HostId, Incarnation)> {
        let entries = self.open.iter().filter_map(|key| self.entries.get(key));
        let holders: BTreeSet<_> = entries.map(|entry| (entry.host, entry.incarnation)).collect();
        holders.into_iter().collect()
    }

    /// Returns the number of open claims and the number of ended claims.
    pub fn counts(&self) -> (usize, usize) {
        (self.open.len(), self.ended.len())
    }

    /// Returns the total size of the kept responses, in bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the time at or before which unknown keys are refused, in milliseconds since the
    /// epoch.
    pub fn floor(&self) -> u64 {
        self.floor
    }

    fn grant_new(&mut self, claim: &Claim) -> ClaimReply {
        if claim.made_at <= self.floor || claim.made_at > self.latest_made() {
            return ClaimReply::Refused(ErrorKind::KeyExpired);
        }
        self.entries.insert(claim.key.clone(), Entry::new(claim));
        self.open.insert(claim.key.clone());
        ClaimReply::Granted
    }

    /// Grants a claim whose call was not run to a new claimer.
    fn reopen(&mut self, claim: &Claim) {
        let Some(old) = self.entries.remove(&claim.key) else { return };
        self.ended.remove(&(old.made, claim.key.clone()));
        let mut entry = Entry::new(claim);
        entry.made = old.made.max(claim.made_at.min(self.latest_made()));
        self.entries.insert(claim.key.clone(), entry);
        self.open.insert(claim.key.clone());
    }

    /// Records the latest creation time given for a key. The entry is dropped by this time, so
    /// it is kept as long as a resend with that time would pass the floor.
    fn update_made(&mut self, key: &ClaimKey, made: u64) {
        let made = made.min(self.latest_made());
        let Some(entry) = self.entries.get_mut(key) else { return };
        if made <= entry.made {
            return;
        }
        if self.ended.remove(&(entry.made, key.clone())) {
            self.ended.insert((made, key.clone()));
        }
        entry.made = made;
    }

    /// Returns the latest creation time that a key may have now.
    fn latest_made(&self) -> u64 {
        self.clock.saturating_add(MAX_AHEAD_MS)
    }

    fn end(&mut self, key: &ClaimKey, outcome: Outcome) {
        let Some(entry) = self.entries.get_mut(key) else { return };
        self.bytes -= entry.bytes();
        entry.outcome = Some(outcome_to_keep(outcome, self.retention.bytes));
        self.bytes += entry.bytes();
        self.open.remove(key);
        self.ended.insert((entry.made, key.clone()));
    }

    /// Advances the clock, which never goes back, raises the floor to the retention age and drops
    /// ended claims at or below it.
    fn advance(&mut self, at: u64) {
        self.clock = self.clock.max(at);
        let age = self.retention.age.as_millis() as u64;
        let oldest = self.clock.saturating_sub(age);
        self.floor = self.floor.max(oldest.saturating_sub(1));
        while self.ended.first().is_some_and(|(made, _)| *made <= self.floor) {
            self.drop_first();
        }
    }

    /// Drops ended claims above the retention bounds, those with the oldest keys first.
    fn trim(&mut self) {
        while self.ended.len() > self.retention.count || self.bytes > self.retention.bytes {
            if !self.drop_first() {
                return;
            }
        }
    }

    /// Drops the ended claim with the oldest key and raises the floor to its creation time.
    /// Returns false if there is none.
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
            fingerprint: claim.fingerprint,
            host: claim.host,
            incarnation: claim.incarnation,
            request: claim.request,
            made: claim.made_at,
            outcome: None,
        }
    }

    fn held_by(&self, claim: &Claim) -> bool {
        let holder = (self.host, self.incarnation, self.request);
        holder == (claim.host, claim.incarnation, claim.request)
    }

    fn bytes(&self) -> usize {
        match &self.outcome {
            Some(Outcome::Done { body, .. }) => body.len(),
            _ => 0,
        }
    }
}

/// Returns the outcome to keep. A response larger than `max_bytes` is not kept, and a resend is
/// refused as in doubt.
fn outcome_to_keep(outcome: Outcome, max_bytes: usize) -> Outcome {
    match outcome {
        Outcome::Done { body, .. } if body.len() > max_bytes => Outcome::InDoubt,
        outcome => outcome,
    }
}
