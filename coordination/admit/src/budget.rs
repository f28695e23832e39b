//! Retry budget.

/// First attempts after which all counts are halved.
const WINDOW_ATTEMPTS: u64 = 1000;
/// Retries allowed on top of the share, so that a quiet host can retry.
const FLOOR_RETRIES: u64 = 3;

/// Allows retries as a share of first attempts, over a window that decays.
#[derive(Debug)]
pub struct Budget {
    percent: u32,
    attempts: u64,
    retries: u64,
}

impl Budget {
    /// A budget of `percent` retries per hundred first attempts. Zero allows none.
    pub fn new(percent: u32) -> Budget {
        Budget { percent, attempts: 0, retries: 0 }
    }

    /// Counts a first attempt.
    pub fn attempt(&mut self) {
        self.attempts += 1;
        if self.attempts >= WINDOW_ATTEMPTS {
            self.attempts /= 2;
            self.retries /= 2;
        }
    }

    /// Takes one retry if the budget has it.
    pub fn retry(&mut self) -> bool {
        if self.percent == 0 {
            return false;
        }
        let share = self.attempts * u64::from(self.percent) / 100;
        if self.retries >= share + FLOOR_RETRIES {
            return false;
        }
        self.retries += 1;
        true
    }
}
