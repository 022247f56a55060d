//! Observation of a service, from which the leader decides on orders of endpoints.

use std::collections::BTreeMap;

use super::zone_plan::{ReclaimRisk, ZoneHolding};
use crate::ids::SharedName;

/// Endpoints and load of a service.
#[derive(Clone, Debug, Default)]
pub struct ObservedService {
    /// Endpoints that are not draining, for every zone where the service may run.
    pub held: BTreeMap<SharedName, ZoneHolding>,
    /// Risk that reclaimable ones are reclaimed.
    pub risk: ReclaimRisk,
    /// Endpoints that take requests.
    pub serving: usize,
    /// Prompt tokens sent to endpoints so far by all daemons; falls when a daemon is lost.
    pub prompt_tokens_sent: u64,
    /// Running requests.
    pub running: f64,
    /// Requests that need an endpoint, per second, those included that found none.
    pub requests_per_s: f64,
    /// Prompt tokens that one endpoint prefills per second.
    pub endpoint_prefill_rate: f64,
    /// Requests that one endpoint can run at once.
    pub slots: f64,
}
