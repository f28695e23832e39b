//! Routing: chooses the owner for a request and the entry hosts for a caller.

mod directory;
mod pick;

pub use crate::directory::{Directory, OwnedTarget, OwnerChoice};
