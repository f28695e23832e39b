//! Calls that run at most once, and requests that crash their targets.
//! Replicated state: every host applies the same commands in the same order.

mod claims;
mod strikes;

pub use crate::{
    claims::{ClaimReply, Claims, MAX_AHEAD_MS, Retention},
    strikes::{MAX_STRUCK, QUARANTINE_STRIKES, STRIKE_AGE_MS, Strikes},
};
