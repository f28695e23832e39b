//! A host's side of its lease.

use std::time::Duration;

use wire::{Digest, DomainId, Grant, Incarnation, Index, Renew, Term};

use crate::{LeaseSettings, RENEWALS_PER_LEASE, leader_term};

/// Renewals sent per lease length while the host has no lease or its last renewal is unanswered.
const RETRIES_PER_LEASE: u32 = 8;

/// A period that one grant allows.
#[derive(Debug, Clone, Copy)]
struct Period {
    /// End of the period.
    end: Duration,
    /// Index that must be applied for the period to count.
    required: Index,
}

/// A renewal that was sent and not yet answered.
#[derive(Debug, Clone)]
struct PendingRenewal {
    sent: Duration,
    digest: Option<Digest>,
}

/// Tracks a host's lease.
///
/// Each grant adds a period, which counts once the index required by the grant is applied. A grant
/// never shortens a period granted before. The index required by the grant that began the current
/// unbroken lease must be applied for any period of it to count.
#[derive(Debug)]
pub struct HostLease {
    terms: LeaseSettings,
    domain: DomainId,
    incarnation: Incarnation,
    periods: Vec<Period>,
    lease_end: Option<Duration>,
    /// Index required by the grant that began the current unbroken lease.
    initial_required: Index,
    /// Time at which the last renewal was sent.
    last_sent: Option<Duration>,
    /// `sent` of the last accepted grant.
    accepted_sent: Option<Duration>,
    /// Time at which the last grant was accepted.
    accepted_at: Duration,
    pending: Vec<PendingRenewal>,
    round: u64,
    /// The digest that the leader is known to have, and the term of that leader.
    confirmed: Option<(Digest, Term)>,
    /// Time at which a digest was last sent.
    digest_sent: Option<Duration>,
    /// Index required by the last accepted grant, which is the highest so far.
    max_required: Index,
    regression: Option<(Index, Index)>,
    send_now: bool,
}

impl HostLease {
    /// Creates the holder of a host that has no lease yet.
    pub fn new(terms: LeaseSettings, domain: DomainId, incarnation: Incarnation) -> HostLease {
        HostLease {
            terms,
            domain,
            incarnation,
            periods: Vec::new(),
            lease_end: None,
            initial_required: 0,
            last_sent: None,
            accepted_sent: None,
            accepted_at: Duration::ZERO,
            pending: Vec::new(),
            round: 0,
            confirmed: None,
            digest_sent: None,
            max_required: 0,
            regression: None,
            send_now: false,
        }
    }

    /// Returns a renewal to send to the leader if one is due.
    pub fn due(&mut self, now: Duration, applied: Index, digest: &Digest) -> Option<Renew> {
        if !self.is_due(now) {
            return None;
        }
        self.send_now = false;
        self.last_sent = Some(now);
        let changed = self.needs_digest(digest).then(|| digest.clone());
        if changed.is_some() {
            // The leader is known to have the digest only once it answers.
            self.confirmed = None;
            self.digest_sent = Some(now);
        }
        self.pending.retain(|renewal| renewal.sent + self.terms.lease > now);
        self.pending.push(PendingRenewal { sent: now, digest: changed.clone() });
        Some(Renew {
            incarnation: self.incarnation,
            sent: now,
            domain: self.domain.clone(),
            applied,
            round: self.round,
            digest: changed,
        })
    }

    /// Makes a renewal due at once, because the leader is waiting for the state it carries.
    pub fn renew_now(&mut self) {
        self.send_now = true;
    }

    /// Handles a grant. The lease runs from the time at which the answered renewal was sent.
    /// Returns false if the grant is ignored: it is for another incarnation, answers no pending
    /// renewal, comes from a replaced leader, or shows that replicated state was lost.
    pub fn granted(&mut self, now: Duration, grant: &Grant) -> bool {
        if grant.incarnation != self.incarnation {
            return false;
        }
        let Some(idx) = self.pending.iter().position(|renewal| renewal.sent == grant.sent) else {
            return false;
        };
        if !self.verify_progress(grant) {
            return false;
        }
        let renewal = self.pending.swap_remove(idx);
        self.pending.retain(|other| other.sent > grant.sent);
        self.max_required = grant.required;
        self.accepted_sent = Some(grant.sent);
        self.accepted_at = now;
        self.round = grant.round;
        if self.digest_sent == Some(grant.sent)
            && let Some(digest) = renewal.digest
        {
            self.confirmed = Some((digest, leader_term(grant.round)));
        }
        self.extend_lease(now, grant);
        true
    }

    /// Returns whether the lease is valid: it has not expired, and the host has applied the index
    /// required by the grant.
    pub fn valid(&self, now: Duration, applied: Index) -> bool {
        if applied < self.initial_required {
            return false;
        }
        self.periods.iter().any(|period| now < period.end && applied >= period.required)
    }

    /// Returns the end of the latest lease, whether or not the required index is applied; `None` if
    /// no lease was ever granted.
    pub fn lease_end(&self) -> Option<Duration> {
        self.lease_end
    }

    /// Returns the time until which the lease counts for a host that has applied `applied`, even if
    /// that time has passed; `None` if it has not applied a required index.
    pub fn valid_until(&self, applied: Index) -> Option<Duration> {
        if applied < self.initial_required {
            return None;
        }
        let met = self.periods.iter().filter(|period| applied >= period.required);
        met.map(|period| period.end).max()
    }

    /// Returns the highest required index accepted and the index of the grant that contradicted it,
    /// once a grant has shown that replicated state was lost.
    pub fn state_regression(&self) -> Option<(Index, Index)> {
        self.regression
    }

    fn is_due(&self, now: Duration) -> bool {
        let Some(sent) = self.last_sent else { return true };
        let is_up_to_date =
            self.accepted_sent == Some(sent) && self.lease_end.is_some_and(|end| now < end);
        let divisor = if is_up_to_date { RENEWALS_PER_LEASE } else { RETRIES_PER_LEASE };
        // Renewals are identified by the time of sending, so two must not share one.
        now > sent && (self.send_now || now >= sent + self.terms.lease / divisor)
    }

    /// Returns whether a grant shows a state at least as recent as earlier grants. Records a loss
    /// of replicated state if it does not and a replaced leader cannot be the reason.
    fn verify_progress(&mut self, grant: &Grant) -> bool {
        if grant.required == 0 && grant.duration.is_zero() {
            return false;
        }
        let old_term = leader_term(grant.round) < leader_term(self.round);
        if grant.required >= self.max_required && !old_term {
            return true;
        }
        // A replaced leader may still grant leases for one lease length.
        let old_leader_end = self.accepted_at + self.terms.lease + self.terms.margin;
        if !old_term || (grant.sent > old_leader_end && !grant.duration.is_zero()) {
            self.regression = Some((self.max_required, grant.required));
        }
        false
    }

    fn needs_digest(&self, digest: &Digest) -> bool {
        let Some((confirmed, leader)) = &self.confirmed else { return true };
        *leader != leader_term(self.round) || confirmed != digest
    }

    fn extend_lease(&mut self, now: Duration, grant: &Grant) {
        if grant.duration.is_zero() {
            return;
        }
        let length = grant.duration.min(self.terms.lease);
        let end = (grant.sent + length).saturating_sub(self.terms.margin);
        if end <= now {
            return;
        }
        if self.lease_end.is_none_or(|last| last <= now) {
            self.initial_required = grant.required;
        }
        self.lease_end = self.lease_end.max(Some(end));
        self.periods.retain(|old| old.end > now && old.required < grant.required);
        self.periods.push(Period { end, required: grant.required });
    }
}
