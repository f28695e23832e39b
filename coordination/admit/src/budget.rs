//! Retry budget: limits retries to a share of first attempts.

/// Number of first attempts after which both counts are halved.
const WINDOW_ATTEMPTS: u64 = 1000;
/// Retries allowed on top of the share, so that a host with little traffic can retry.
const MIN_RETRIES: u64 = 3;

/// Allows retries as a share of first attempts, counted over a decaying window.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    attempts: u64,
    retries: u64,
}

impl RetryBudget {
    /// Returns a budget of `percent` retries per hundred first attempts; zero allows no retries.
    pub fn new(percent: u32) -> RetryBudget {
        RetryBudget { percent, attempts: 0, retries: 0 }
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.attempts += 1;
        if self.attempts >= WINDOW_ATTEMPTS {
            self.attempts /= 2;
            self.retries /= 2;
        }
    }

    /// Takes one retry from the budget. Returns false if none is left.
    pub fn try_retry(&mut self) -> bool {
        if self.percent == 0 {
            return false;
        }
        let share = self.attempts * u64::from(self.percent) / 100;
        if self.retries >= share + MIN_RETRIES {
            return false;
        }
        self.retries += 1;
        true
    }
}
