//! Fencing check of a stand-in.

use wire::Fence;

/// The highest fencing number that a stand-in has received.
#[derive(Debug, Clone, Copy, Default)]
pub struct HighestFence(pub Fence);

impl HighestFence {
    /// Records a fencing number.
    pub fn observe(&mut self, fence: Fence) {
        self.0 = self.0.max(fence);
    }

    /// Records a fencing number.
    ///
    /// # Errors
    /// `old_fence` if `fenced` is set and the number is lower than the highest one.
    pub fn check(&mut self, fence: Fence, fenced: bool) -> Result<(), &'static str> {
        if fenced && fence < self.0 {
            return Err("old_fence");
        }
        self.observe(fence);
        Ok(())
    }
}
