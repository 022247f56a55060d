//! Loads of endpoints, which daemons count and report to each other.

use std::{
    collections::{BTreeMap, HashMap},
    ops::AddAssign,
    time::Duration,
};

use tokio::time::Instant;

use crate::{
    gateway::call::TokenCounts,
    ids::{SharedName, hash_parts},
};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Number that identifies an endpoint in messages between daemons: a hash of its id.
pub fn endpoint_number(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}

/// Memory that a run may need, in tokens: the prompt and the response length that the client
/// expects, or else the maximum that it set. 0 if the request gives no token counts.
pub fn estimated_memory(tokens: Option<TokenCounts>, expected_response: Option<u64>) -> u64 {
    let Some(tokens) = tokens else { return 0 };
    let response =
        expected_response.map_or(tokens.response, |expected| expected.min(tokens.response));
    tokens.prompt + response
}

/// Load of one of this daemon's requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunLoad {
    /// Uncached prompt tokens that the endpoint has not read yet.
    pub uncached_tokens: u64,
    /// Memory that the run may need, in tokens.
    pub memory_tokens: u64,
}

/// Load of one or more daemons at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests in progress.
    pub running: u32,
    /// Uncached prompt tokens that the endpoint has not read yet.
    pub uncached_tokens: u64,
    /// Memory that the runs may need, in tokens.
    pub memory_tokens: u64,
}

impl EndpointLoad {
    /// Adds another load.
    pub fn add(&mut self, other: &Self) {
        self.running = self.running.saturating_add(other.running);
        self.uncached_tokens = self.uncached_tokens.saturating_add(other.uncached_tokens);
        self.memory_tokens = self.memory_tokens.saturating_add(other.memory_tokens);
    }

    /// Estimates what a load reported `age` ago is now, at an endpoint that prefills `prefill_rate`
    /// tokens per millisecond. Only the uncached tokens decrease: runs last longer than a report
    /// is used.
    pub fn after(&self, age: Duration, prefill_rate: f64) -> Self {
        let read = (age.as_secs_f64() * MS_PER_S * prefill_rate) as u64;
        Self { uncached_tokens: self.uncached_tokens.saturating_sub(read), ..*self }
    }
}

/// Counters of a service at a daemon or in a gossip group, since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Uncached prompt tokens sent to endpoints.
    pub uncached_tokens: u64,
    /// Requests that needed an endpoint.
    pub requests: u64,
}

impl AddAssign for ServiceCounters {
    fn add_assign(&mut self, other: Self) {
        self.uncached_tokens = self.uncached_tokens.saturating_add(other.uncached_tokens);
        self.requests = self.requests.saturating_add(other.requests);
    }
}

/// A load report of another daemon.
#[derive(Debug)]
pub struct ReportedLoads {
    /// When the report arrived.
    pub at: Instant,
    /// Its loads, by endpoint number.
    pub loads: HashMap<u64, EndpointLoad>,
    /// Its counters by service.
    pub services: BTreeMap<SharedName, ServiceCounters>,
}
