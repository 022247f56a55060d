//! Open connections of clients. At the limit one is closed for each new one;
//! `policy::daemon::client_connections` says which.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
};

use super::connection_use::ConnectionUse;
use crate::gateway::policy::daemon::client_connections::{OpenConnection, first_to_close};

/// The open connections; clones share them.
#[derive(Clone, Debug)]
pub struct ClientConnections {
    limit: usize,
    open: Rc<RefCell<BTreeMap<u64, Rc<ConnectionUse>>>>,
    next_number: Rc<Cell<u64>>,
    closed: Rc<Cell<u64>>,
}

impl ClientConnections {
    /// No connections yet, of at most `limit`.
    pub fn new(limit: usize) -> Self {
        Self { limit, open: Rc::default(), next_number: Rc::default(), closed: Rc::default() }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.borrow().len()
    }

    /// Number of connections that have been closed for new ones.
    pub fn closed_for_others(&self) -> u64 {
        self.closed.get()
    }

    /// Whether there is room for a new connection.
    pub fn has_room(&self) -> bool {
        self.count() < self.limit
    }

    /// Whether a new connection is accepted, if need be in place of another.
    pub fn accepts(&self) -> bool {
        self.has_room() || self.first_to_close().is_some()
    }

    /// Asks a connection to close for a new one; false if none may be. Its task decides, by its stage when it runs.
    pub fn make_room(&self) -> bool {
        let Some(number) = self.first_to_close() else { return false };
        if let Some(usage) = self.open.borrow().get(&number) {
            usage.ask_to_close();
        }
        true
    }

    /// Counts a connection that has been closed for a new one.
    pub fn count_closed_for_other(&self) {
        self.closed.set(self.closed.get() + 1);
    }

    /// Adds a connection until the returned guard is dropped.
    pub fn enter(&self, usage: Rc<ConnectionUse>) -> ConnectionGuard {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.open.borrow_mut().insert(number, usage);
        ConnectionGuard { connections: self.clone(), number }
    }

    fn first_to_close(&self) -> Option<u64> {
        let open = self.open.borrow();
        first_to_close(open.iter().map(|(&id, usage)| {
            let (stage, since) = usage.stage();
            OpenConnection { id, stage, since }
        }))
    }
}

/// Removes a connection when dropped.
#[derive(Debug)]
pub struct ConnectionGuard {
    connections: ClientConnections,
    number: u64,
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.connections.open.borrow_mut().remove(&self.number);
    }
}
