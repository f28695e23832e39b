//! What the tables of a host read of the applied state.

use std::{sync::Arc, time::Duration};

use claims::Strikes;
use history::Config;
use lease::Registry;
use wire::{HostId, Index, Term};

/// The applied state at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) applied: Index,
    pub(crate) commit: Index,
    pub(crate) config: Arc<Config>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) strikes: Arc<Strikes>,
    pub(crate) leader: Option<HostId>,
    pub(crate) leading: bool,
    pub(crate) term: Term,
    /// On a leader: when a quorum was last known to follow it.
    pub(crate) quorum_at: Option<Duration>,
}

/// What a table is given with each step.
#[derive(Debug, Clone)]
pub(crate) struct Ctx {
    pub(crate) now: Duration,
    pub(crate) view: Arc<View>,
    /// When this host's lease ends, if it counts now.
    pub(crate) lease: Option<Duration>,
}
