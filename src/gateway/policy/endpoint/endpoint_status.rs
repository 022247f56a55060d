//! What this daemon knows of one endpoint.

use std::{rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{endpoint_load::EndpointLoad, prompt_cache::PromptCache};
use crate::{endpoint_health::EndpointHealth, gateway::endpoint::EndpointRecord};

/// Time for which an endpoint counts as full after it has refused a request as full.
/// Basis: chosen, not measured: within it a slot may come free, and reports of its load come.
const FULL_FOR: Duration = Duration::from_millis(60);
/// Requests that may wait for each slot of an endpoint without an engine.
/// Basis: chosen, not measured: such requests are short, so a queue passes quickly.
const PLAIN_QUEUE_PER_SLOT: f64 = 2.0;

/// State of one endpoint.
#[derive(Debug)]
pub struct EndpointStatus {
    /// Record in the store's list.
    pub record: Rc<EndpointRecord>,
    /// Load of this daemon's own requests.
    pub own: EndpointLoad,
    /// Health by the outcome of its own attempts.
    pub health: EndpointHealth,
    /// Prompt parts that the endpoint probably has cached.
    pub cache: PromptCache,
    /// Whether another start of an endpoint has responded at its address.
    pub has_ended: bool,
    full_until: Option<Instant>,
}

impl EndpointStatus {
    /// State of an endpoint that is new in the list.
    pub fn new(record: Rc<EndpointRecord>) -> Self {
        Self {
            record,
            own: EndpointLoad::default(),
            health: EndpointHealth::default(),
            cache: PromptCache::default(),
            has_ended: false,
            full_until: None,
        }
    }

    /// The endpoint has refused a request as full.
    pub fn mark_full(&mut self, now: Instant) {
        self.full_until = Some(now + FULL_FOR);
    }

    /// Whether a request that may take `memory_tokens` finds no room at an endpoint with this
    /// load of all daemons. `memory_capacity` is none for services without an engine.
    pub fn is_full(
        &self,
        load: &EndpointLoad,
        memory_tokens: u64,
        memory_capacity: Option<u64>,
        now: Instant,
    ) -> bool {
        if self.full_until.is_some_and(|until| now < until) {
            return true;
        }
        let slots = f64::from(self.record.slots);
        match memory_capacity {
            None => f64::from(load.running) >= slots * (1.0 + PLAIN_QUEUE_PER_SLOT),
            Some(capacity) => {
                load.running >= self.record.slots
                    || (load.running > 0 && load.memory_tokens + memory_tokens > capacity)
            }
        }
    }
}
