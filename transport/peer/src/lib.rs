//! Messages between the hosts of the system.
//!
//! Small periodic messages are sent over UDP, all others over one TCP connection
//! per direction and peer. Both are authenticated with a key that all hosts
//! share; see [`auth`] for what this protects against. Messages of one
//! connection arrive in order. When a connection breaks, messages may be lost,
//! and both sides receive [`Event::ConnectionLost`].

pub mod auth;
pub mod frame;
mod hub;
mod link;
mod listen;
mod stats;

pub use crate::{
    hub::{Config, Event, Hub, Inbox, PeerError, Peers},
    link::{QUEUE_BYTES, detect_dead_peer},
    stats::{DropReason, KindCount, Stats, Unsent},
};
