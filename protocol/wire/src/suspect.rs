//! What requests that crash targets have in common.

use serde::{Deserialize, Serialize};

/// A hash of a request's method, host, path and body.
pub type RequestHash = u64;

/// A hash of a service and of what a request without a prompt names: its path below its route's prefix.
pub type ResourceHash = u64;

/// A hash of a service and of the prefix of a route, for requests without a prompt.
pub type RouteHash = u64;

/// The id of a part of prompts, or a hash of an id that is not a number.
pub type PartId = u64;

/// A hash of the name and the start time of a target that crashed.
pub type CrashId = u64;

/// Something that several requests can have in common and that may crash the targets that run them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// The whole content of a request.
    Request(RequestHash),
    /// A part that prompts share.
    Part(PartId),
    /// What requests without a prompt name, also on different routes.
    Resource(ResourceHash),
    /// The route of requests without a prompt. Its requests are sent, but one that is lost with its
    /// target counts as tried.
    Route(RouteHash),
}

impl std::fmt::Display for Suspect {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Suspect::Request(hash) => write!(f, "request:{hash:x}"),
            Suspect::Part(id) => write!(f, "part:{id:x}"),
            Suspect::Resource(hash) => write!(f, "resource:{hash:x}"),
            Suspect::Route(hash) => write!(f, "route:{hash:x}"),
        }
    }
}

/// What the hosts together know of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The suspect.
    pub suspect: Suspect,
    /// Number of targets that crashed while they had requests with it.
    pub crashes: u16,
    /// Number of trials that crashed their target.
    pub failed_trials: u16,
}
