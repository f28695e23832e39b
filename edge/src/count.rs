//! Numbers of things in progress.

use std::{cell::Cell, rc::Rc};

/// How many things of one kind are in progress.
#[derive(Default)]
pub(crate) struct Count(Rc<Cell<usize>>);

impl Count {
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more, until the returned value is dropped.
    pub(crate) fn begin(&self) -> Counted {
        self.0.set(self.0.get() + 1);
        Counted(self.0.clone())
    }
}

/// Something that is in progress until this is dropped.
pub(crate) struct Counted(Rc<Cell<usize>>);

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
