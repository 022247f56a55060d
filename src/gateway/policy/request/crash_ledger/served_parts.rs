//! When parts of prompts were last in a request that got a complete response.

use std::{collections::HashMap, mem, time::Duration};

use tokio::time::Instant;

use crate::gateway::call::PartId;

/// Parts that are remembered at least, of 24 bytes each.
const MIN_REMEMBERED: usize = 2_048;
/// Time for which parts are remembered at least, unless there are more.
const MIN_TIME: Duration = Duration::from_secs(60);

/// Parts that were served, in two generations: the older one is dropped as a whole.
#[derive(Debug, Default)]
pub struct ServedParts {
    current: HashMap<PartId, Instant>,
    previous: HashMap<PartId, Instant>,
    since: Option<Instant>,
}

impl ServedParts {
    /// Records that a request with the part was served.
    pub fn record(&mut self, part: PartId, now: Instant) {
        let since = *self.since.get_or_insert(now);
        let is_old = now.saturating_duration_since(since) >= MIN_TIME;
        if is_old || self.current.len() >= MIN_REMEMBERED {
            self.previous = mem::take(&mut self.current);
            self.since = Some(now);
        }
        self.current.insert(part, now);
    }

    /// When a request with the part was last served; none if it wasn't, or too long ago.
    pub fn last(&self, part: PartId) -> Option<Instant> {
        self.current.get(&part).or_else(|| self.previous.get(&part)).copied()
    }
}
