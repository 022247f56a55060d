//! Decides how many endpoints a service requires.
//!
//! Inputs are the load of the service (prefill and running requests), the endpoints held in each
//! zone, and the zones that recently refused reclaimable capacity. `zone_plan` decides in which
//! zones endpoints are held. The native path plans VMs by expected cost (`native::decide::fleet`).
//!
//! The required number follows an increase of the load immediately and decays slowly. Before any
//! load is observed, it is estimated from the held endpoints and never lowered: a leader that has
//! just started must not release endpoints because it has no observations yet.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use super::zone_plan::{EndpointTargets, ReclaimRisk, ZoneHolding, ZonePlan};
use crate::{gateway::configuration::FleetSpec, ids::SharedName};

/// Targeted utilization of an endpoint's prefill rate.
const PREFILL_UTILIZATION: f64 = 0.5;
/// Targeted utilization of an endpoint's slots.
const SLOT_UTILIZATION: f64 = 0.6;
/// Fraction by which the required number decays per second: slow, so that a burst still finds the
/// endpoints that the last one needed.
const DECAY_PER_S: f64 = 0.05;
/// Fraction of the endpoints held at the start that is assumed to be required.
const INITIAL_FRACTION: f64 = 0.85;
/// The required number is at most this multiple of the endpoints that serve: full endpoints are
/// slow, which by itself increases the observed load.
const GROWTH_LIMIT: f64 = 1.5;
/// A planner that has just started orders only additional reclaimable endpoints, which are cheap,
/// until the list of endpoints has not grown for this time: endpoints that have just started, or
/// whose entries were lost, are listed within about a heartbeat.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// A planner gives all kinds of orders after this time even if the list still grows: five times
/// `SETTLE_TIME`.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Time after a refused order for which reclaimable capacity counts as scarce.
const SCARCE_FOR: Duration = Duration::from_secs(6);
/// Time after a refused order in which no reclaimable endpoints are ordered in the zone: bounds the
/// calls to the cloud.
const REFUSED_FOR: Duration = Duration::from_secs(2);

/// Load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Uncached prompt tokens sent to endpoints per second.
    pub prefill_rate: f64,
    /// Prompt tokens that one endpoint prefills per second.
    pub endpoint_prefill_rate: f64,
    /// Running requests.
    pub running: f64,
    /// Requests that one endpoint can run at once.
    pub slots: f64,
}

impl ServiceDemand {
    /// Number of endpoints that serve this load within the targeted utilization.
    pub fn endpoints(&self) -> f64 {
        let for_prefill =
            self.prefill_rate / (self.endpoint_prefill_rate * PREFILL_UTILIZATION).max(1.0);
        let for_slots = self.running / (self.slots * SLOT_UTILIZATION).max(1.0);
        // Not the sum: prefill slows the running requests down, so their number already includes
        // it.
        for_prefill.max(for_slots)
    }
}

/// Largest number of endpoints that were listed, and since when.
#[derive(Clone, Copy, Debug)]
struct LargestList {
    count: u32,
    since: Instant,
}

/// Planner of one service's endpoints.
#[derive(Debug)]
pub struct EndpointPlanner {
    required: f64,
    /// Whether the required number is estimated from held endpoints because no load was observed
    /// yet.
    is_estimated: bool,
    started_at: Instant,
    /// Whether the list of endpoints has stopped growing since the start.
    is_settled: bool,
    largest_list: LargestList,
    updated_at: Instant,
    /// When each zone last refused reclaimable capacity.
    refused_at: BTreeMap<SharedName, Instant>,
}

impl EndpointPlanner {
    /// Planner that starts from the required number of the former leader, if it is known.
    pub fn new(required_before: Option<f64>, now: Instant) -> Self {
        Self {
            required: required_before.unwrap_or(0.0),
            is_estimated: required_before.is_none_or(|required| required <= 0.0),
            started_at: now,
            is_settled: false,
            largest_list: LargestList { count: 0, since: now },
            updated_at: now,
            refused_at: BTreeMap::new(),
        }
    }

    /// Records the held endpoints. Until the list has stopped growing after the start, and while no
    /// load was observed, the required number is raised to a fraction of them. Endpoints listed
    /// later have been ordered by this planner.
    pub fn estimate_from_held(&mut self, held: &BTreeMap<SharedName, ZoneHolding>, now: Instant) {
        let on_demand: u32 = held.values().map(|holding| holding.on_demand).sum();
        let reclaimable: u32 = held.values().map(|holding| holding.reclaimable).sum();
        if on_demand + reclaimable > self.largest_list.count {
            self.largest_list = LargestList { count: on_demand + reclaimable, since: now };
        }
        if !self.is_estimated || self.is_settled {
            return;
        }
        // If there are on-demand endpoints, the reclaimable ones were held as a reserve.
        let held = if on_demand > 0 { on_demand } else { reclaimable };
        self.required = self.required.max(f64::from(held) * INITIAL_FRACTION);
    }

    /// Whether the planner may give all kinds of orders. Once true, it stays true.
    pub fn is_settled(&mut self, now: Instant) -> bool {
        let running = now.saturating_duration_since(self.started_at);
        let unchanged = now.saturating_duration_since(self.largest_list.since);
        let is_listed = self.largest_list.count > 0;
        self.is_settled |= is_listed && unchanged >= SETTLE_TIME || running >= SETTLE_LIMIT;
        self.is_settled
    }

    /// Required endpoints.
    pub fn required(&self) -> f64 {
        self.required
    }

    /// Applies an observation of the load, with `serving` endpoints that take requests. Without
    /// load the required number does not change.
    pub fn observe(&mut self, demand: &ServiceDemand, serving: usize, now: Instant) {
        self.refused_at.retain(|_, at| now.saturating_duration_since(*at) < SCARCE_FOR);
        let elapsed_s = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let wanted = demand.endpoints().min(serving.max(1) as f64 * GROWTH_LIMIT);
        if wanted > 0.0 {
            self.is_estimated = false;
            let decayed = self.required * (1.0 - DECAY_PER_S).powf(elapsed_s);
            self.required = decayed.max(wanted);
        }
    }

    /// Records that a zone has no reclaimable capacity now.
    pub fn record_capacity_refusal(&mut self, zone: &SharedName, now: Instant) {
        self.refused_at.insert(zone.clone(), now);
    }

    /// Zones in which no reclaimable endpoints are ordered now.
    pub fn refused_zones(&self, now: Instant) -> BTreeSet<SharedName> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REFUSED_FOR;
        let zones = self.refused_at.iter().filter(|(_, at)| is_recent(at));
        zones.map(|(zone, _)| zone.clone()).collect()
    }

    /// Plans the endpoints to hold, given those that are held and the risk that they are reclaimed.
    pub fn plan(
        &self,
        spec: &FleetSpec,
        held: &BTreeMap<SharedName, ZoneHolding>,
        risk: ReclaimRisk,
    ) -> EndpointTargets {
        let scarce = self.refused_at.keys().collect();
        ZonePlan { required: self.required, scarce, risk, spec, held }.targets()
    }
}
