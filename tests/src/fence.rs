//! The highest fencing number that a stand-in has seen.

use wire::Fence;

/// The highest fencing number seen.
#[derive(Debug, Clone, Copy, Default)]
pub struct Highest(pub Fence);

impl Highest {
    /// Notes a number.
    pub fn see(&mut self, fence: Fence) {
        self.0 = self.0.max(fence);
    }

    /// Notes a number, and refuses an old one if `fenced`.
    pub fn check(&mut self, fence: Fence, fenced: bool) -> Result<(), &'static str> {
        if fenced && fence < self.0 {
            return Err("old_fence");
        }
        self.see(fence);
        Ok(())
    }
}
