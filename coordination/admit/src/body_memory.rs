//! The memory that the bodies of requests share while they are received and until their requests end.
//!
//! A body takes memory as it arrives. When none is left, a body that has stalled gives up its memory, the
//! longest first. Otherwise a large body gives way to an earlier one, so that those that came first get to
//! their end. A part of the memory is for smaller bodies alone.

use std::{collections::BTreeMap, time::Duration};

use thiserror::Error;

/// A body, by number. Later ones have higher numbers.
pub type BodyId = u64;

/// Maximum sizes of a small body and of one of middle size, in bytes.
const SMALL_BYTES: usize = 16 * 1024;
const MIDDLE_BYTES: usize = 256 * 1024;
/// Part of the memory that is for small bodies alone, and as much for those up to middle size: one in so many.
const SMALLER_PART: usize = 8;
/// Number of further bytes that count as progress.
pub const PROGRESS_BYTES: usize = 4 * 1024;
/// A body without progress for so long has stalled.
const STALL_TIME: Duration = Duration::from_secs(1);

/// There is no memory for a body, and no other one gives up its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory for a request's body")]
pub struct NoMemory;

#[derive(Debug)]
struct Body {
    /// Memory that it takes, in bytes.
    held: usize,
    /// Whether more of it is expected.
    is_incoming: bool,
    /// When it last made progress.
    progress_at: Duration,
}

/// The bodies that are held, and their memory.
#[derive(Debug)]
pub struct BodyMemory {
    limit: usize,
    used: usize,
    next: BodyId,
    bodies: BTreeMap<BodyId, Body>,
}

impl BodyMemory {
    /// Returns an empty memory of so many bytes.
    pub fn new(limit: usize) -> BodyMemory {
        BodyMemory { limit, used: 0, next: 0, bodies: BTreeMap::new() }
    }

    /// Returns the maximum size of one body, in bytes.
    pub fn max_body(&self) -> usize {
        self.limit_of(usize::MAX)
    }

    /// Returns up to which use of the memory a body of this size may grow.
    fn limit_of(&self, size: usize) -> usize {
        let parts = match size {
            0..=SMALL_BYTES => 0,
            _ if size <= MIDDLE_BYTES => 1,
            _ => 2,
        };
        self.limit - parts * (self.limit / SMALLER_PART)
    }

    /// Returns the memory that all bodies take, in bytes.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Adds a body of which nothing has arrived.
    pub fn begin(&mut self, now: Duration) -> BodyId {
        self.next += 1;
        let body = Body { held: 0, is_incoming: true, progress_at: now };
        self.bodies.insert(self.next, body);
        self.next
    }

    /// Records that [`PROGRESS_BYTES`] of a body have arrived since its last progress.
    pub fn record_progress(&mut self, now: Duration, id: BodyId) {
        if let Some(body) = self.bodies.get_mut(&id) {
            body.progress_at = now;
        }
    }

    /// Gives a body that is being received `more` bytes. Returns the bodies that give up their memory for it;
    /// they have been removed.
    ///
    /// # Errors
    ///
    /// If there is no memory for it. No other body was removed then.
    pub fn grow(
        &mut self,
        now: Duration,
        id: BodyId,
        more: usize,
    ) -> Result<Vec<BodyId>, NoMemory> {
        let held = self.bodies.get(&id).ok_or(NoMemory)?.held;
        let mut missing = (self.used + more).saturating_sub(self.limit_of(held + more));
        let mut removed = Vec::new();
        let yielding = if missing > 0 { self.by_claim(now, id) } else { Vec::new() };
        for yielding in yielding {
            if missing == 0 {
                break;
            }
            missing = missing.saturating_sub(self.bodies[&yielding].held);
            removed.push(yielding);
        }
        if missing > 0 {
            return Err(NoMemory);
        }
        for yielding in &removed {
            self.end(*yielding);
        }
        if let Some(body) = self.bodies.get_mut(&id) {
            body.held += more;
            self.used += more;
        }
        Ok(removed)
    }

    /// Returns the bodies that give up their memory before this one does, the least claim first.
    fn by_claim(&self, now: Duration, id: BodyId) -> Vec<BodyId> {
        let incoming = self.bodies.iter().filter(|(it, body)| **it != id && body.is_incoming);
        let incoming = incoming.filter(|(_, body)| body.held > 0);
        let is_stalled = |body: &Body| now >= body.progress_at + STALL_TIME;
        let (stalled, moving): (Vec<_>, Vec<_>) = incoming.partition(|(_, it)| is_stalled(it));
        let mut yielding: Vec<_> =
            stalled.iter().map(|(it, body)| (body.progress_at, **it)).collect();
        yielding.sort_unstable();
        let later = moving.iter().rev().filter(|(it, body)| **it > id && body.held > SMALL_BYTES);
        yielding.iter().map(|(_, it)| *it).chain(later.map(|(it, _)| **it)).collect()
    }

    /// Records that a body has arrived whole and takes so many bytes, no more than before. It keeps them until
    /// it ends.
    pub fn complete(&mut self, id: BodyId, held: usize) {
        let Some(body) = self.bodies.get_mut(&id) else { return };
        self.used -= body.held.saturating_sub(held);
        body.held = body.held.min(held);
        body.is_incoming = false;
    }

    /// Removes a body. One that gave up its memory was removed before.
    pub fn end(&mut self, id: BodyId) {
        if let Some(body) = self.bodies.remove(&id) {
            self.used -= body.held;
        }
    }
}
