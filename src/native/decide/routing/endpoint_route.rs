//! One daemon's state for one endpoint, and the wait that it expects there.

use super::query::EndpointInfo;
use crate::{
    endpoint_health::EndpointHealth,
    native::decide::prefix::{BLOCK_TOKENS, PrefixCache},
};

/// Time to compute a prompt token that is not cached, in milliseconds: the speed of the stand-in
/// engine.
const PREFILL_MS: f64 = 0.25;
/// Delay of a request by a full batch, in milliseconds: as much as by 240 uncached prompt tokens.
const BATCH_MS: f64 = 60.0;
/// Wait for each request beyond the endpoint's concurrency, in milliseconds: a few decoding steps
/// of 12 ms at the stand-in engine.
const QUEUE_MS: f64 = 40.0;
/// Wait added for each consecutive failure, in milliseconds: enough to put an endpoint that has
/// just failed last, well before it is ejected.
const FAILURE_MS: f64 = 400.0;
/// Wait added for an endpoint in another availability zone, in milliseconds: decides only between
/// endpoints that are otherwise equal.
const ZONE_MS: f64 = 2.0;
/// Fraction of its own attempts in flight that a daemon may keep, from one report to the next, at
/// an endpoint that reports more requests than its concurrency.
const OVERLOAD_KEEP_FRACTION: f64 = 0.8;
/// Cached prompt blocks remembered for each endpoint: 64 KB.
const CACHE_BLOCKS: usize = 4_096;

#[derive(Debug)]
pub struct EndpointRoute {
    /// Its entry in the VM list.
    pub info: EndpointInfo,
    /// This daemon's attempts in progress there.
    pub in_flight: u32,
    /// Running and waiting requests of all daemons, from the last report.
    reported: u32,
    /// Attempts started by this daemon since the last report, minus those that have ended.
    net_starts: i64,
    /// Attempts that this daemon may have in progress there even if the endpoint is full.
    pub allowance: f64,
    /// Health, from the results of this daemon's attempts.
    pub health: EndpointHealth,
    /// Prompt blocks that it has probably cached.
    pub cache: PrefixCache,
    /// Sequence number of the newest cache event applied.
    pub cache_sequence: u64,
}

impl EndpointRoute {
    /// Creates the state of an endpoint for which there is only its entry in the VM list.
    pub fn new(info: EndpointInfo) -> Self {
        Self {
            info,
            in_flight: 0,
            reported: 0,
            net_starts: 0,
            allowance: 0.0,
            health: EndpointHealth::default(),
            cache: PrefixCache::new(CACHE_BLOCKS),
            cache_sequence: 0,
        }
    }

    /// Applies a load report: the number of running and waiting requests.
    pub fn apply_load_report(&mut self, load: u32, concurrency: u32) {
        self.reported = load;
        self.net_starts = 0;
        let kept = if load > concurrency { OVERLOAD_KEEP_FRACTION } else { 1.0 };
        self.allowance = f64::from(self.in_flight) * kept;
    }

    /// Counts an attempt that starts here.
    pub fn start(&mut self, chain: &[u64]) {
        self.in_flight += 1;
        self.net_starts += 1;
        self.cache.insert(chain);
    }

    /// Counts an attempt that has ended here.
    pub fn end(&mut self, chain: &[u64]) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.net_starts -= 1;
        self.cache.insert(chain);
    }

    /// Estimated load by all daemons: the reported load, plus this daemon's `net_starts` multiplied
    /// by the number of daemons that share the endpoint.
    pub fn load(&self, daemons_per_endpoint: f64) -> f64 {
        let corrected = f64::from(self.reported) + self.net_starts as f64 * daemons_per_endpoint;
        corrected.max(f64::from(self.in_flight))
    }

    /// Uncertainty of the load estimate, in milliseconds of wait: the other daemons may have
    /// started attempts that are not in the last report.
    pub fn noise(&self, daemons_per_endpoint: f64, concurrency: f64) -> f64 {
        let unseen = (daemons_per_endpoint - 1.0).max(0.0)
            * (self.net_starts.unsigned_abs() as f64 + 1.0).sqrt();
        unseen / concurrency * BATCH_MS
    }

    /// Expected wait, in milliseconds, of a request whose prompt consists of the blocks in `chain`,
    /// at this load.
    pub fn expected_wait(&self, own_zone: &str, load: f64, concurrency: f64, chain: &[u64]) -> f64 {
        let missing = chain.len() - self.cache.overlap(chain);
        let prefill = (missing * BLOCK_TOKENS) as f64 * PREFILL_MS;
        let batch = load / concurrency * BATCH_MS;
        let queue = (load + 1.0 - concurrency).max(0.0) * QUEUE_MS;
        let zone = if &*self.info.zone == own_zone { 0.0 } else { ZONE_MS };
        let failures = f64::from(self.health.failures()) * FAILURE_MS;
        prefill + batch + queue + zone + failures
    }
}
