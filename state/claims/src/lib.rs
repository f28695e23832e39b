//! Calls that run at most once, and requests that crash their targets.
//! Replicated state: every host applies the same commands in the same order.

mod claims;
mod strikes;

pub use crate::{
    claims::{ClaimReply, Claims, Retention},
    strikes::Strikes,
};
