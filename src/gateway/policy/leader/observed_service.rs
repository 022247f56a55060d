//! What the leader knows of a service when it decides on orders of endpoints.

use std::collections::BTreeMap;

use super::zone_plan::{ReclaimRisk, ZoneHolding};
use crate::ids::SharedName;

/// What is known of a service's endpoints and load.
#[derive(Clone, Debug, Default)]
pub struct ObservedService {
    /// Endpoints that are not leaving, for every zone where the service may run.
    pub held: BTreeMap<SharedName, ZoneHolding>,
    /// Which of them may be reclaimed.
    pub risk: ReclaimRisk,
    /// Endpoints that take requests.
    pub serving: usize,
    /// Prompt tokens sent to endpoints so far, over all daemons; lower after a daemon was lost.
    pub prompt_tokens_sent: u64,
    /// Requests that run.
    pub running: f64,
    /// Prompt tokens that one endpoint reads in a second.
    pub endpoint_prefill_rate: f64,
    /// Requests that an endpoint runs at once.
    pub slots: f64,
}
