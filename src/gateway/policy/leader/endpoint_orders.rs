//! Decides which orders of endpoints the leader sends now: where the planned number differs
//! from what is held and from what was ordered already.
//!
//! Inputs are the endpoint list and the load of a service as this daemon knows them (endpoint
//! entries and loads of other daemons are up to a second or two old), the service's fleet
//! settings, and the results of earlier orders. How many endpoints are required is decided by
//! `fleet_size`, in which zones by `zone_plan`.
//!
//! New endpoints need their start time until they are listed, so an accepted order counts as
//! held until then; if the list still differs some time later, it is sent again. Orders for
//! fewer endpoints wait a little, so that short dips of the load change nothing.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    fleet_size::{EndpointPlanner, ServiceDemand},
    observed_service::ObservedService,
    zone_plan::{PriceClass, ReclaimRisk},
};
use crate::{gateway::configuration::FleetSpec, ids::SharedName};

/// Time between two looks at the load of a service: five gossip intervals.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time beyond the endpoints' start time after which an accepted order is sent again if the list
/// still shows another number: entries of new endpoints appear over about a heartbeat.
const LISTED_AFTER: Duration = Duration::from_millis(2_500);
/// An order for fewer reclaimable endpoints waits until it has been planned for this long: they are
/// cheap, and a dip may be short.
const FEWER_RECLAIMABLE_AFTER: Duration = Duration::from_secs(4);
/// An order for fewer on-demand endpoints waits until it has been planned for this long: they are
/// dear.
const FEWER_ON_DEMAND_AFTER: Duration = Duration::from_millis(500);
/// Weight of the newest look in the averaged load: about 1 s until half of a change shows.
const NEWEST_LOAD_WEIGHT: f64 = 0.3;

/// Endpoints of one price class that one zone should hold.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneOrder {
    /// Service.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Price class.
    pub class: PriceClass,
    /// Number of endpoints.
    pub count: u32,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The cloud has accepted it.
    Accepted,
    /// The cloud has no endpoints of this class in the zone now.
    CapacityRefused,
    /// The call failed; the cloud may have accepted it.
    Unknown,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OrderKey {
    service: SharedName,
    zone: SharedName,
    class: PriceClass,
}

/// Planned and listed numbers of one zone and class.
#[derive(Clone, Copy, Debug)]
struct ZoneCounts {
    planned: u32,
    listed: u32,
}

#[derive(Clone, Copy, Debug)]
struct SentOrder {
    count: u32,
    at: Instant,
    accepted: bool,
}

#[derive(Debug)]
struct ServiceFleet {
    planner: EndpointPlanner,
    observed_at: Option<Instant>,
    prompt_tokens_sent: u64,
    demand: ServiceDemand,
    /// Which endpoints were at risk at the last look.
    risk: ReclaimRisk,
}

/// Orders of all services at the daemon that holds the lease.
#[derive(Debug, Default)]
pub struct EndpointOrders {
    services: HashMap<SharedName, ServiceFleet>,
    sent: BTreeMap<OrderKey, SentOrder>,
    fewer_since: BTreeMap<OrderKey, Instant>,
    listed_before: BTreeMap<OrderKey, u32>,
    /// Required endpoints as the former holder found them, by service.
    required_before: BTreeMap<SharedName, f64>,
}

impl EndpointOrders {
    /// Orders of a new holder, which starts from the required endpoints of the former one.
    pub fn after(required_before: BTreeMap<SharedName, f64>) -> Self {
        Self { required_before, ..Self::default() }
    }

    /// Required endpoints by service.
    pub fn required_endpoints(&self) -> BTreeMap<SharedName, f64> {
        let mut required = self.required_before.clone();
        for (service, fleet) in &self.services {
            required.insert(service.clone(), fleet.planner.required());
        }
        required
    }

    /// Required endpoints of one service; 0 before it was observed.
    pub fn required(&self, service: &str) -> f64 {
        self.services.get(service).map_or(0.0, |fleet| fleet.planner.required())
    }

    /// Which endpoints of a service were at risk at the last look.
    pub fn risk(&self, service: &str) -> ReclaimRisk {
        self.services.get(service).map_or_else(ReclaimRisk::default, |fleet| fleet.risk)
    }

    /// Whether the load of a service has to be looked at now.
    pub fn is_observation_due(&self, service: &str, now: Instant) -> bool {
        let observed_at = self.services.get(service).and_then(|fleet| fleet.observed_at);
        observed_at.is_none_or(|at| now.saturating_duration_since(at) >= OBSERVE_INTERVAL)
    }

    /// Applies a look at a service, and returns its orders that are due now.
    pub fn due(
        &mut self,
        service: &SharedName,
        spec: &FleetSpec,
        observed: &ObservedService,
        now: Instant,
    ) -> Vec<ZoneOrder> {
        let before = self.required_before.get(service).copied();
        let new_fleet = || ServiceFleet::new(before, now);
        let fleet = self.services.entry(service.clone()).or_insert_with(new_fleet);
        fleet.observe(observed, now);
        fleet.planner.estimate_from_held(&observed.held, now);
        let is_settled = fleet.planner.is_settled(now);
        let is_required = fleet.planner.required() > 0.0;
        let targets = fleet.planner.plan(spec, &observed.held, observed.risk);
        let refused = fleet.planner.refused_zones(now);
        let mut due = Vec::new();
        for ((zone, class), planned) in targets {
            if class == PriceClass::Reclaimable && refused.contains(&zone) {
                continue;
            }
            let listed = observed.held.get(&zone).map_or(0, |holding| holding.of(class));
            let counts = ZoneCounts { planned, listed };
            let is_cheap_addition = class == PriceClass::Reclaimable && planned > listed;
            if !(is_settled || is_required && is_cheap_addition) {
                continue;
            }
            let key = OrderKey { service: service.clone(), zone: zone.clone(), class };
            if self.is_due(&key, counts, spec.start_time + LISTED_AFTER, now) {
                due.push(ZoneOrder { service: service.clone(), zone, class, count: planned });
            }
        }
        due
    }

    /// Whether to send an order for the planned number. An accepted order is sent again only
    /// when `listed_after` has passed.
    fn is_due(
        &mut self,
        key: &OrderKey,
        counts: ZoneCounts,
        listed_after: Duration,
        now: Instant,
    ) -> bool {
        if self.waits_to_shrink(key, counts, now) {
            return false;
        }
        let ZoneCounts { planned, listed } = counts;
        let before = self.listed_before.insert(key.clone(), listed).unwrap_or(listed);
        if listed < before && listed < planned {
            // The cloud has reclaimed some: ordering again at once shows whether it has others.
            return true;
        }
        match self.sent.get(key) {
            None => planned != listed,
            Some(order) if !order.accepted => true,
            Some(order) if order.count != planned => true,
            Some(order) => {
                listed != planned && now.saturating_duration_since(order.at) > listed_after
            }
        }
    }

    /// Whether fewer endpoints are planned, but not for long enough yet.
    fn waits_to_shrink(&mut self, key: &OrderKey, counts: ZoneCounts, now: Instant) -> bool {
        let ZoneCounts { planned, listed } = counts;
        let accepted = self.sent.get(key).filter(|order| order.accepted);
        let current = accepted.map_or(listed, |order| order.count);
        let is_fewer = planned < current.max(listed) && planned <= current;
        if !is_fewer {
            self.fewer_since.remove(key);
            return false;
        }
        let since = *self.fewer_since.entry(key.clone()).or_insert(now);
        let wait = match key.class {
            PriceClass::Reclaimable => FEWER_RECLAIMABLE_AFTER,
            PriceClass::OnDemand => FEWER_ON_DEMAND_AFTER,
        };
        now.saturating_duration_since(since) < wait
    }

    /// Records what became of an order.
    pub fn finish(&mut self, order: &ZoneOrder, result: OrderResult, now: Instant) {
        let ZoneOrder { service, zone, class, count } = order.clone();
        let key = OrderKey { service, zone, class };
        let accepted = match result {
            OrderResult::Accepted => true,
            OrderResult::Unknown => false,
            OrderResult::CapacityRefused => {
                self.sent.remove(&key);
                if let Some(fleet) = self.services.get_mut(&order.service) {
                    fleet.planner.record_capacity_refusal(&order.zone, now);
                }
                return;
            }
        };
        self.sent.insert(key, SentOrder { count, at: now, accepted });
    }
}

impl ServiceFleet {
    fn new(required_before: Option<f64>, now: Instant) -> Self {
        Self {
            planner: EndpointPlanner::new(required_before, now),
            observed_at: None,
            prompt_tokens_sent: 0,
            demand: ServiceDemand::default(),
            risk: ReclaimRisk::default(),
        }
    }

    /// Applies the load of this moment.
    fn observe(&mut self, observed: &ObservedService, now: Instant) {
        let elapsed = self.observed_at.map(|at| now.saturating_duration_since(at));
        self.observed_at = Some(now);
        self.risk = observed.risk;
        let sent = observed.prompt_tokens_sent;
        let prefill_rate = match elapsed {
            Some(elapsed) if sent >= self.prompt_tokens_sent => {
                (sent - self.prompt_tokens_sent) as f64 / elapsed.as_secs_f64()
            }
            // The first look, or the sum fell because a daemon was lost: no rate is known.
            _ => self.demand.prefill_rate,
        };
        self.prompt_tokens_sent = sent;
        let average = |before: f64, newest: f64| before + (newest - before) * NEWEST_LOAD_WEIGHT;
        self.demand = ServiceDemand {
            prefill_rate: average(self.demand.prefill_rate, prefill_rate),
            running: average(self.demand.running, observed.running),
            endpoint_prefill_rate: observed.endpoint_prefill_rate,
            slots: observed.slots,
        };
        self.planner.observe(&self.demand, observed.serving, now);
    }
}
