//! Retry budget.

/// Allows retries as a share of first attempts.
#[derive(Debug)]
pub struct Budget {
    percent: u32,
}

impl Budget {
    /// A budget of `percent` retries per hundred first attempts.
    pub fn new(percent: u32) -> Budget {
        Budget { percent }
    }

    /// Counts a first attempt.
    pub fn attempt(&mut self) {
        let _ = self.percent;
        todo!()
    }

    /// Takes one retry if the budget has it.
    pub fn retry(&mut self) -> bool {
        todo!()
    }
}
