//! Counters of connections or requests that are currently open, for one thread.

use std::{cell::Cell, rc::Rc};

/// Number of live guards; clones share the count.
#[derive(Clone, Debug, Default)]
pub struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    /// Current number of live guards.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Increments the count until the guard is dropped.
    pub fn enter(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.clone())
    }
}

/// Decrements the count when dropped.
#[derive(Debug)]
pub struct CountGuard(OpenCount);

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
