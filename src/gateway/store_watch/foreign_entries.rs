//! Entries in the list of endpoints that no endpoint has written: logged once for each change, and
//! counted.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::{
    boot_clock, gateway::context::GatewayContext, ids::SharedName, logs::LineBudget,
    platform::store::StoredObject, store_position::StorePosition,
};

/// Log lines a second about such entries: another writer may spoil all entries at once, again and
/// again.
const LINES_PER_S: u32 = 5;

/// Entries that name no endpoint, by the changes that were logged.
#[derive(Debug)]
pub struct ForeignEntries {
    positions: BTreeMap<SharedName, StorePosition>,
    lines: LineBudget,
}

impl ForeignEntries {
    /// Knows of none.
    pub fn new(now: Instant) -> Self {
        Self { positions: BTreeMap::new(), lines: LineBudget::new(LINES_PER_S, now) }
    }

    /// Notes that an entry names no endpoint.
    pub fn found(&mut self, context: &GatewayContext, object: &StoredObject, reason: &str) {
        let known = self.positions.insert(object.name.clone(), object.position);
        if known == Some(object.position) || !self.lines.allows(boot_clock::now()) {
            return;
        }
        context.metrics.count("foreign_entries_seen", 1);
        spdlog::warn!("endpoint entry not used", kv: {
            endpoint: = object.name, position: = object.position, reason,
            lines_dropped = self.lines.take_dropped()
        });
    }

    /// Forgets an entry that is gone, or names an endpoint again.
    pub fn forget(&mut self, name: &str) {
        self.positions.remove(name);
    }

    /// Forgets all entries that a new listing doesn't have.
    pub fn keep_listed(&mut self, listed: &[StoredObject]) {
        self.positions.retain(|name, _| listed.iter().any(|object| object.name == *name));
    }

    /// Number of entries that name no endpoint.
    pub fn count(&self) -> usize {
        self.positions.len()
    }
}
