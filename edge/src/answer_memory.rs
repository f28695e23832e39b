//! The memory that whole answers share, from their first byte until their callers have taken them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

use bytes::Bytes;

/// Memory that an answer takes at first, in bytes.
const FIRST_BYTES: usize = 4 * 1024;
/// Maximum size of a small answer, in bytes.
const SMALL_BYTES: usize = 64 * 1024;
/// Part of the memory that is for small answers alone: one in so many.
const SMALL_PART: usize = 8;

/// The memory of a kind of answers.
#[derive(Clone)]
pub(crate) struct AnswerMemory {
    limit: usize,
    used: Arc<AtomicUsize>,
}

impl AnswerMemory {
    /// Returns an empty memory of so many bytes.
    pub(crate) fn new(limit: usize) -> AnswerMemory {
        AnswerMemory { limit, used: Arc::default() }
    }
}

/// An answer's part of the memory, until this is dropped.
struct Part {
    memory: AnswerMemory,
    bytes: usize,
}

impl Part {
    /// Adds bytes. Returns whether there is memory for them.
    fn grow(&mut self, more: usize) -> bool {
        let (used, limit) = (self.memory.used.load(Ordering::Relaxed), self.memory.limit);
        let is_small = self.bytes + more <= SMALL_BYTES;
        if used + more > if is_small { limit } else { limit - limit / SMALL_PART } {
            return false;
        }
        self.memory.used.fetch_add(more, Ordering::Relaxed);
        self.bytes += more;
        true
    }

    /// Gives back what is over so many bytes.
    fn shrink(&mut self, bytes: usize) {
        let less = self.bytes.saturating_sub(bytes);
        self.memory.used.fetch_sub(less, Ordering::Relaxed);
        self.bytes -= less;
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        self.shrink(0);
    }
}

/// An answer that is being received. Answers are received by one thread.
pub(crate) struct PartialAnswer {
    bytes: Vec<u8>,
    part: Part,
}

impl AsRef<[u8]> for PartialAnswer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl PartialAnswer {
    pub(crate) fn new(memory: &AnswerMemory) -> PartialAnswer {
        PartialAnswer { bytes: Vec::new(), part: Part { memory: memory.clone(), bytes: 0 } }
    }

    pub(crate) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Adds bytes. Returns `false`, and adds none, if there is no memory for them.
    pub(crate) fn push(&mut self, data: &[u8]) -> bool {
        let (size, capacity) = (self.bytes.len() + data.len(), self.bytes.capacity());
        if size > capacity {
            let doubled = (2 * capacity).max(FIRST_BYTES).max(size);
            // Near the limit it grows by what it needs.
            let Some(wanted) = [doubled, size].into_iter().find(|it| self.part.grow(it - capacity))
            else {
                return false;
            };
            self.bytes.reserve_exact(wanted - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        true
    }

    /// Returns the whole answer.
    pub(crate) fn finish(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.part.shrink(self.bytes.capacity());
        Bytes::from_owner(self)
    }
}
