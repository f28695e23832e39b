//! What the machine gives to the process, and how it is divided.
//!
//! Clients decide what they send, so each part that they can fill has a bound of its own. The rest is left
//! to the program itself, its state and the messages between hosts.

/// Part of the memory for the bodies of callers' requests: one in so many.
const BODY_PART: usize = 5;
/// Part of the memory for the bodies of operators' and targets' calls. On the smallest machine it holds the largest
/// configuration.
const CALL_PART: usize = 8;

/// Memory and descriptors of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Resources {
    /// Memory, in bytes.
    pub memory: usize,
    /// Number of descriptors.
    pub descriptors: usize,
}

impl Default for Resources {
    /// Those of the smallest machine that the program is made for.
    fn default() -> Resources {
        Resources { memory: 160_000_000, descriptors: 4100 }
    }
}

impl Resources {
    /// Returns the memory for the bodies of callers' requests, in bytes.
    pub fn body_memory(&self) -> usize {
        self.memory / BODY_PART
    }

    /// Returns the memory for the bodies of operators' and targets' calls, in bytes.
    pub fn call_memory(&self) -> usize {
        self.memory / CALL_PART
    }
}
