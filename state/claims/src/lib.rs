//! Claims that let a non-idempotent call run at most once, and crash counts of requests.
//!
//! Both are replicated state: every host applies the same commands in the same order.

mod claims;
mod crashes;

pub use crate::{
    claims::{ClaimReply, Claims, MAX_AHEAD_MS, Retention},
    crashes::{CRASH_COUNT_AGE_MS, CrashCounts, MAX_CRASH_COUNTS, QUARANTINE_CRASHES},
};
