//! Scores with a total order.

use std::cmp::Ordering;

/// A score that can be ordered. It is never NaN.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Score(pub(crate) f64);

impl PartialEq for Score {
    fn eq(&self, other: &Score) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Score {}

impl PartialOrd for Score {
    fn partial_cmp(&self, other: &Score) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Score {
    fn cmp(&self, other: &Score) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}
