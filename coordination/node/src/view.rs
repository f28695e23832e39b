//! The applied state as the components of a host read it.

use std::{sync::Arc, time::Duration};

use claims::CrashCounts;
use history::Config;
use lease::Registry;
use route::OwnedTarget;
use wire::{HostId, Index, Term};

/// The applied state at one moment.
#[derive(Debug, Clone, Default)]
pub(crate) struct View {
    pub(crate) applied: Index,
    pub(crate) commit: Index,
    pub(crate) config: Arc<Config>,
    pub(crate) registry: Arc<Registry>,
    pub(crate) strikes: Arc<CrashCounts>,
    pub(crate) leader: Option<HostId>,
    pub(crate) leading: bool,
    pub(crate) term: Term,
    /// On the leader: when a quorum was last known to follow it.
    pub(crate) quorum_at: Option<Duration>,
}

impl View {
    /// Returns the targets that have an owner, as routing needs them.
    pub(crate) fn owned_targets(&self) -> Vec<OwnedTarget> {
        let mut owned = Vec::new();
        for target in self.registry.targets() {
            let Some((owner, _)) = target.owner else { continue };
            owned.push(OwnedTarget {
                id: target.id,
                owner,
                domain: target.info.domain.clone(),
                kind: target.info.kind.clone(),
                requests: target.info.capacity.requests,
            });
        }
        owned
    }
}

/// The context of one step of a component.
#[derive(Debug, Clone)]
pub(crate) struct Ctx {
    pub(crate) now: Duration,
    pub(crate) view: Arc<View>,
    /// When this host's lease ends, if it is valid now.
    pub(crate) lease: Option<Duration>,
}
