//! Counts of what is open or in progress on one thread: connections, requests.

use std::{cell::Cell, rc::Rc};

/// Number of guards alive; shared by the tasks of one thread.
#[derive(Clone, Debug, Default)]
pub struct OpenCount(Rc<Cell<usize>>);

impl OpenCount {
    /// Guards alive now.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    /// Counts one more, for as long as the guard lives.
    pub fn enter(&self) -> CountGuard {
        self.0.set(self.0.get() + 1);
        CountGuard(self.clone())
    }
}

/// Counts one for as long as it lives.
#[derive(Debug)]
pub struct CountGuard(OpenCount);

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = &self.0.0;
        count.set(count.get() - 1);
    }
}
