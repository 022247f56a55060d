//! Loads of endpoints, as daemons count them and report them to each other.

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

/// Number that stands for an endpoint between daemons.
pub fn endpoint_number(id: &str) -> u64 {
    hash_parts(&[id.as_bytes()])
}

/// Memory that a run may take, in tokens: its prompt and the response that the client expects,
/// or else its bound on the response. A request that names no tokens counts as none.
pub fn estimated_memory(tokens: Option<TokenCounts>, expected_response: Option<u64>) -> u64 {
    let Some(tokens) = tokens else { return 0 };
    let response =
        expected_response.map_or(tokens.response, |expected| expected.min(tokens.response));
    tokens.prompt + response
}

/// One of this daemon's requests at an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunLoad {
    /// Uncached prompt tokens that the endpoint has not read yet.
    pub uncached_tokens: u64,
    /// Memory that the run may take, in tokens.
    pub memory_tokens: u64,
}

/// Loads of a daemon at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndpointLoad {
    /// Requests.
    pub running: u32,
    /// Uncached prompt tokens that the endpoint has not read yet.
    pub uncached_tokens: u64,
    /// Memory that the runs may take, in tokens.
    pub memory_tokens: u64,
}

impl EndpointLoad {
    /// Adds another sum.
    pub fn add(&mut self, other: &Self) {
        self.running += other.running;
        self.uncached_tokens += other.uncached_tokens;
        self.memory_tokens += other.memory_tokens;
    }

    /// What is left of a reported load after this time, at an endpoint that reads
    /// `prefill_rate` tokens a millisecond: it goes on reading. Runs last longer than reports.
    pub fn after(&self, age: Duration, prefill_rate: f64) -> Self {
        let read = (age.as_secs_f64() * MS_PER_S * prefill_rate) as u64;
        Self { uncached_tokens: self.uncached_tokens.saturating_sub(read), ..*self }
    }
}

/// What a daemon, or a gossip group, counts of a service since it started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceCounters {
    /// Uncached prompt tokens sent to endpoints.
    pub uncached_tokens: u64,
    /// Requests that needed an endpoint.
    pub requests: u64,
}

impl AddAssign for ServiceCounters {
    fn add_assign(&mut self, other: Self) {
        self.uncached_tokens += other.uncached_tokens;
        self.requests += other.requests;
    }
}

/// Loads that another daemon has reported.
#[derive(Debug)]
pub struct ReportedLoads {
    /// When the report came.
    pub at: Instant,
    /// Its loads, by the numbers of the endpoints.
    pub loads: HashMap<u64, EndpointLoad>,
    /// Its counters by service.
    pub services: BTreeMap<SharedName, ServiceCounters>,
}
