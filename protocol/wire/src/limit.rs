//! Limits of the requests that targets take, and the places that keep them.

use serde::{Deserialize, Serialize};

/// Requests per second, in thousandths.
pub type MilliRate = u32;

/// What is known of the limit of requests that a target takes from all hosts together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum RequestLimit {
    /// No answer of the target is known.
    #[default]
    Unknown,
    /// The target names no limit.
    Unlimited,
    /// The target takes so many requests.
    Rate(MilliRate),
    /// The target names no limit, but falls over if it turns too many requests away. The holder
    /// estimates how many it takes at once.
    AtOnce(u32),
}

impl RequestLimit {
    /// Whether each request needs a place.
    pub fn needs_places(self) -> bool {
        matches!(self, RequestLimit::Rate(_) | RequestLimit::AtOnce(_))
    }

    /// Returns the requests per second, in thousandths; `None` if that is not what is limited.
    pub fn rate(self) -> Option<MilliRate> {
        match self {
            RequestLimit::Rate(rate) => Some(rate),
            RequestLimit::Unknown | RequestLimit::Unlimited | RequestLimit::AtOnce(_) => None,
        }
    }
}

/// A host's request for places, each the right to send one request to a target with a limit, to the
/// holder of the target's failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceRequest {
    /// The target's name.
    pub target: String,
    /// The target's start time, in milliseconds since the Unix epoch.
    pub started_at: u64,
    /// The limit that the host knows; zero at a brittle target.
    pub milli_rate: MilliRate,
    /// The number of places that the host can use at once.
    pub count: u16,
    /// The number of requests that wait for a place at the host.
    pub waiting: u16,
    /// Whether the most urgent of them can no longer be on time.
    pub late: bool,
    /// The priority of the most urgent of them; zero is served first.
    pub priority: u8,
    /// When the request was sent, in milliseconds of the sender's clock.
    pub sent_ms: u64,
}

/// Answers [`PlaceRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceReply {
    /// The target's name.
    pub target: String,
    /// The target's start time.
    pub started_at: u64,
    /// The `sent_ms` of the answered request.
    pub sent_ms: u64,
    /// The time from the request's arrival to this answer, in milliseconds.
    pub held_ms: u32,
    /// The number of granted places; zero if the host has to wait.
    pub places: u16,
    /// Number of the limit's last change, over all holders. An answer to a request with the place is
    /// newer than this change.
    pub change: u64,
    /// The time until a further request would get a place, in milliseconds.
    pub due_ms: u32,
}
