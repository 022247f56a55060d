//! Logs and counts entries in the endpoint list that were not written by an endpoint. Each change of
//! such an entry is logged once, within a rate limit.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::{
    boot_clock, gateway::context::GatewayContext, ids::SharedName, logs::LineBudget,
    platform::store::StoredObject, store_position::StorePosition,
};

/// Most log lines a second about such entries: another writer may repeatedly overwrite all entries at
/// once.
const LINES_PER_S: u32 = 5;

/// Positions of the newest known change of each entry that was not written by an endpoint.
#[derive(Debug)]
pub struct ForeignEntries {
    positions: BTreeMap<SharedName, StorePosition>,
    /// Those known before a listing that is in progress.
    former: BTreeMap<SharedName, StorePosition>,
    lines: LineBudget,
}

impl ForeignEntries {
    /// Creates an empty set.
    pub fn new(now: Instant) -> Self {
        let lines = LineBudget::new(LINES_PER_S, now);
        Self { positions: BTreeMap::new(), former: BTreeMap::new(), lines }
    }

    /// Records an entry that was not written by an endpoint, and logs it unless this change is known.
    pub fn observe(&mut self, context: &GatewayContext, object: &StoredObject, reason: &str) {
        let known = self.positions.insert(object.name.clone(), object.position);
        let known = known.or_else(|| self.former.get(&object.name).copied());
        if known == Some(object.position) || !self.lines.allows(boot_clock::now()) {
            return;
        }
        context.metrics.count("foreign_entries_seen", 1);
        spdlog::warn!("endpoint entry not used", kv: {
            endpoint: = object.name, position: = object.position, reason,
            lines_dropped = self.lines.take_dropped()
        });
    }

    /// Removes an entry that was deleted or is valid again.
    pub fn forget(&mut self, name: &str) {
        self.positions.remove(name);
    }

    /// Begins a listing of all entries, in which those that are still there are observed again.
    pub fn begin_listing(&mut self) {
        // A listing may have failed before.
        self.former.append(&mut self.positions);
    }

    /// Forgets the entries that the listing does not contain.
    pub fn end_listing(&mut self) {
        self.former.clear();
    }

    /// Number of entries that were not written by an endpoint.
    pub fn count(&self) -> usize {
        self.positions.len()
    }
}
