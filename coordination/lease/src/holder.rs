//! A host's side of its lease.

use std::time::Duration;

use wire::{Digest, DomainId, Grant, Incarnation, Index, Renew, Term};

use crate::{RENEWALS_PER_LEASE, Terms, epoch};

/// Renewals within a lease's length while there is none, or no answer.
const RETRIES_PER_LEASE: u32 = 8;

/// A stretch of time that a grant allows.
#[derive(Debug, Clone, Copy)]
struct Stretch {
    /// When it ends.
    until: Duration,
    /// The index that must be applied for it to count.
    demand: Index,
}

/// A renewal that is under way.
#[derive(Debug, Clone)]
struct Asked {
    sent: Duration,
    digest: Option<Digest>,
}

/// Holds a host's lease.
///
/// Each grant adds time, which counts once the index it demands is applied; it
/// never shortens time granted before. The demand of the grant that began the
/// present unbroken lease holds for all of it.
#[derive(Debug)]
pub struct Holder {
    terms: Terms,
    domain: DomainId,
    incarnation: Incarnation,
    stretches: Vec<Stretch>,
    until: Option<Duration>,
    /// The demand of the grant that began the unbroken lease.
    start: Index,
    /// When the last renewal was sent.
    sent: Option<Duration>,
    /// The `sent` of the last grant that was taken.
    taken: Option<Duration>,
    /// When it was taken.
    taken_at: Duration,
    asked: Vec<Asked>,
    round: u64,
    /// The digest the leader has for certain, and that leader's term.
    confirmed: Option<(Digest, Term)>,
    /// When a digest was last sent.
    told: Option<Duration>,
    /// The highest demand seen in a grant.
    seen: Index,
    back: Option<(Index, Index)>,
    hurry: bool,
}

impl Holder {
    /// Starts without a lease.
    pub fn new(terms: Terms, domain: DomainId, incarnation: Incarnation) -> Holder {
        Holder {
            terms,
            domain,
            incarnation,
            stretches: Vec::new(),
            until: None,
            start: 0,
            sent: None,
            taken: None,
            taken_at: Duration::ZERO,
            asked: Vec::new(),
            round: 0,
            confirmed: None,
            told: None,
            seen: 0,
            back: None,
            hurry: false,
        }
    }

    /// Returns a renewal to send to the leader if one is due.
    pub fn due(&mut self, now: Duration, applied: Index, digest: &Digest) -> Option<Renew> {
        if !self.is_due(now) {
            return None;
        }
        self.hurry = false;
        self.sent = Some(now);
        let changed = self.changed(digest).then(|| digest.clone());
        if changed.is_some() {
            // Whether it arrives is not known until it is answered.
            self.confirmed = None;
            self.told = Some(now);
        }
        self.asked.retain(|asked| asked.sent + self.terms.lease > now);
        self.asked.push(Asked { sent: now, digest: changed.clone() });
        Some(Renew {
            incarnation: self.incarnation,
            sent: now,
            domain: self.domain.clone(),
            applied,
            round: self.round,
            digest: changed,
        })
    }

    /// Makes a renewal due at once: the leader waits for what it will say.
    pub fn hurry(&mut self) {
        self.hurry = true;
    }

    /// Takes a grant. The lease runs from when the answered renewal was sent.
    /// Returns false if the grant is left out: it is for another run, answers
    /// no renewal under way, or shows that the replicated state went back.
    pub fn granted(&mut self, now: Duration, grant: &Grant) -> bool {
        if grant.incarnation != self.incarnation {
            return false;
        }
        let Some(place) = self.asked.iter().position(|asked| asked.sent == grant.sent) else {
            return false;
        };
        if !self.follows(grant) {
            return false;
        }
        let asked = self.asked.swap_remove(place);
        self.asked.retain(|other| other.sent > grant.sent);
        self.seen = grant.applied;
        self.taken = Some(grant.sent);
        self.taken_at = now;
        self.round = grant.round;
        if self.told == Some(grant.sent)
            && let Some(digest) = asked.digest
        {
            self.confirmed = Some((digest, epoch(grant.round)));
        }
        self.extend(now, grant);
        true
    }

    /// Returns whether the lease counts: it runs, and the host has applied what
    /// the grant demanded.
    pub fn valid(&self, now: Duration, applied: Index) -> bool {
        if applied < self.start {
            return false;
        }
        self.stretches.iter().any(|stretch| now < stretch.until && applied >= stretch.demand)
    }

    /// Returns when the lease ends, if there is one.
    pub fn until(&self) -> Option<Duration> {
        self.until
    }

    /// Returns until when the lease counts for a host that has applied `applied`.
    pub fn valid_until(&self, applied: Index) -> Option<Duration> {
        if applied < self.start {
            return None;
        }
        let met = self.stretches.iter().filter(|stretch| applied >= stretch.demand);
        met.map(|stretch| stretch.until).max()
    }

    /// Returns the highest index seen confirmed and the lower one shown later,
    /// once a grant has shown one: the replicated state was lost.
    pub fn went_back(&self) -> Option<(Index, Index)> {
        self.back
    }

    fn is_due(&self, now: Duration) -> bool {
        let Some(sent) = self.sent else { return true };
        let answered = self.taken == Some(sent) && self.until.is_some_and(|until| now < until);
        let parts = if answered { RENEWALS_PER_LEASE } else { RETRIES_PER_LEASE };
        // Two renewals at one time could not be told apart by their answers.
        now > sent && (self.hurry || now >= sent + self.terms.lease / parts)
    }

    /// Returns whether a grant shows no earlier state than the ones before, and
    /// notes if the replicated state must have been lost.
    fn follows(&mut self, grant: &Grant) -> bool {
        if grant.applied == 0 && grant.term.is_zero() {
            return false;
        }
        let stale = epoch(grant.round) < epoch(self.round);
        if grant.applied >= self.seen && !stale {
            return true;
        }
        // A leader that was replaced can grant for one more lease.
        let replaced = self.taken_at + self.terms.lease + self.terms.margin;
        if !stale || (grant.sent > replaced && !grant.term.is_zero()) {
            self.back = Some((self.seen, grant.applied));
        }
        false
    }

    fn changed(&self, digest: &Digest) -> bool {
        let Some((confirmed, leader)) = &self.confirmed else { return true };
        *leader != epoch(self.round) || confirmed != digest
    }

    fn extend(&mut self, now: Duration, grant: &Grant) {
        if grant.term.is_zero() {
            return;
        }
        let term = grant.term.min(self.terms.lease);
        let until = (grant.sent + term).saturating_sub(self.terms.margin);
        if until <= now {
            return;
        }
        if self.until.is_none_or(|end| end <= now) {
            self.start = grant.applied;
        }
        self.until = self.until.max(Some(until));
        self.stretches.retain(|old| old.until > now && old.demand < grant.applied);
        self.stretches.push(Stretch { until, demand: grant.applied });
    }
}
