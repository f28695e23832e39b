//! What the machine gives to the process, and how it is divided.
//!
//! Clients decide what they send, so each part that they can fill has a bound of its own. The rest is left
//! to the program itself, its state and the messages between hosts.

/// Part of the memory for the bodies of callers' requests: one in so many.
const BODY_PART: usize = 5;
/// Part of the memory for the bodies of operators' and targets' calls. On the smallest machine it holds the largest
/// configuration.
const CALL_PART: usize = 8;
/// Part of the memory for answers to callers that aren't streams.
const ANSWER_PART: usize = 5;
/// Part of the memory for targets' reports and answers to orders.
const REPORT_PART: usize = 20;
/// Part of the memory for the connections of clients: one in so many.
const CONNECTION_PART: usize = 5;
/// Memory of a connection, in bytes: its buffers and its task.
const CONNECTION_BYTES: usize = 40 * 1024;
/// Descriptors that are kept for other files.
const FILE_DESCRIPTORS: usize = 200;
/// Parts into which clients' connections are divided among the listeners.
const LISTENER_PARTS: usize = 16;

/// Who is listened to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Listener {
    /// Callers with requests.
    Entry,
    /// Operators and targets.
    Control,
    /// Callers who ask for the addresses of hosts.
    Directory,
    /// Whoever asks whether the host accepts callers.
    Ready,
    /// Whoever fetches the metrics.
    Metrics,
}

impl Listener {
    /// Returns its name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Listener::Entry => "entry",
            Listener::Control => "control",
            Listener::Directory => "directory",
            Listener::Ready => "ready",
            Listener::Metrics => "metrics",
        }
    }

    /// Returns how many of the [`LISTENER_PARTS`] are its own.
    fn parts(self) -> usize {
        match self {
            Listener::Entry => 10,
            Listener::Control | Listener::Directory => 2,
            Listener::Ready | Listener::Metrics => 1,
        }
    }
}

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

    /// Returns the memory for answers to callers until they are taken, in bytes. Streams are passed on as they come.
    pub fn answer_memory(&self) -> usize {
        self.memory / ANSWER_PART
    }

    /// Returns the memory for targets' reports and answers to orders, in bytes.
    pub fn report_memory(&self) -> usize {
        self.memory / REPORT_PART
    }

    /// Returns how many connections of clients a listener may have. A quarter of the descriptors is left for
    /// targets, other hosts and data.
    pub fn connections(&self, listener: Listener) -> usize {
        let by_memory = self.memory / CONNECTION_PART / CONNECTION_BYTES;
        let by_descriptors = self.descriptors.saturating_sub(FILE_DESCRIPTORS) / 4 * 3;
        by_memory.min(by_descriptors) * listener.parts() / LISTENER_PARTS
    }
}
