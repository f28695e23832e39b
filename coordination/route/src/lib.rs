//! Choice of the owner for a request and of entry addresses for a caller.

mod directory;
mod pick;

pub use crate::directory::{Choice, Directory, OwnedTarget};
