//! Which host should own which target.

use wire::Move;

use crate::{LiveHost, Registry};

/// Returns the moves that give every target a live owner: the target's failure
/// domain first, even load, little movement. `limit` bounds the moves that only
/// improve the balance; targets without a live owner always move.
pub fn balance(registry: &Registry, live: &[LiveHost], limit: usize) -> Vec<Move> {
    let _ = (registry, live, limit);
    todo!()
}
