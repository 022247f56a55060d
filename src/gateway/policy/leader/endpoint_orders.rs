//! Decides which endpoint orders the leader sends now: those for zones where the planned number
//! differs from the listed one and from the last order.
//!
//! Inputs are the endpoint list and the load of a service as known to this daemon (endpoint entries
//! and loads of other daemons are up to one or two seconds old), the service's fleet settings, and
//! the results of earlier orders. `fleet_size` decides how many endpoints are required, `zone_plan`
//! in which zones.
//!
//! New endpoints are listed only after their start time, so until then the endpoints of an accepted
//! order count as held; if the list still differs some time later, the order is sent again. Orders
//! for fewer endpoints are delayed, so that short dips of the load have no effect.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    fleet_size::{EndpointPlanner, ServiceDemand},
    observed_service::ObservedService,
    run_times::RunTimes,
    zone_plan::{PriceClass, ReclaimRisk},
};
use crate::{gateway::configuration::FleetSpec, ids::SharedName};

/// Time between two observations of a service: five gossip intervals.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(500);
/// Time in addition to the endpoints' start time after which an accepted order is sent again if the
/// list still has another number: entries of new endpoints appear within about a heartbeat.
const RESEND_DELAY: Duration = Duration::from_millis(2_500);
/// How long the plan has to hold fewer reclaimable endpoints before the lower number is ordered:
/// they are cheap, and a dip may be short.
const FEWER_RECLAIMABLE_AFTER: Duration = Duration::from_secs(4);
/// How long the plan has to hold fewer on-demand endpoints before the lower number is ordered: they
/// are expensive.
const FEWER_ON_DEMAND_AFTER: Duration = Duration::from_millis(500);
/// Weight of the newest observation in the averaged load: half of a change shows after about 1 s.
const NEWEST_LOAD_WEIGHT: f64 = 0.3;

/// Order for the number of endpoints of one price class that one zone should hold.
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

/// Result of an order.
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
    run_times: RunTimes,
    /// Reclaim risk at the last observation.
    risk: ReclaimRisk,
}

/// Orders for all services, at the daemon that holds the lease.
#[derive(Debug, Default)]
pub struct EndpointOrders {
    services: HashMap<SharedName, ServiceFleet>,
    sent: BTreeMap<OrderKey, SentOrder>,
    fewer_since: BTreeMap<OrderKey, Instant>,
    listed_before: BTreeMap<OrderKey, u32>,
    /// Required endpoints according to the former holder, by service.
    required_before: BTreeMap<SharedName, f64>,
}

impl EndpointOrders {
    /// State of a new holder, which starts from the required endpoints of the former one.
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

    /// Reclaim risk of a service at the last observation.
    pub fn risk(&self, service: &str) -> ReclaimRisk {
        self.services.get(service).map_or_else(ReclaimRisk::default, |fleet| fleet.risk)
    }

    /// Whether a service has to be observed now.
    pub fn is_observation_due(&self, service: &str, now: Instant) -> bool {
        let observed_at = self.services.get(service).and_then(|fleet| fleet.observed_at);
        observed_at.is_none_or(|at| now.saturating_duration_since(at) >= OBSERVE_INTERVAL)
    }

    /// Applies an observation of a service and returns its orders that are due now.
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
            if self.is_due(&key, counts, spec.start_time + RESEND_DELAY, now) {
                due.push(ZoneOrder { service: service.clone(), zone, class, count: planned });
            }
        }
        due
    }

    /// Whether to send an order for the planned number. An accepted order is sent again only after
    /// `resend_delay`.
    fn is_due(
        &mut self,
        key: &OrderKey,
        counts: ZoneCounts,
        resend_delay: Duration,
        now: Instant,
    ) -> bool {
        if self.waits_to_shrink(key, counts, now) {
            return false;
        }
        let ZoneCounts { planned, listed } = counts;
        let before = self.listed_before.insert(key.clone(), listed).unwrap_or(listed);
        if listed < before && listed < planned {
            // The cloud has reclaimed some. Ordering again immediately shows whether it has others.
            return true;
        }
        match self.sent.get(key) {
            None => planned != listed,
            Some(order) if !order.accepted => true,
            Some(order) if order.count != planned => true,
            Some(order) => {
                listed != planned && now.saturating_duration_since(order.at) > resend_delay
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

    /// Records the result of an order.
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
            run_times: RunTimes::default(),
            risk: ReclaimRisk::default(),
        }
    }

    /// Applies an observation of the load.
    fn observe(&mut self, observed: &ObservedService, now: Instant) {
        let elapsed = self.observed_at.map(|at| now.saturating_duration_since(at));
        self.observed_at = Some(now);
        self.risk = observed.risk;
        let sent = observed.prompt_tokens_sent;
        let prefill_rate = match elapsed {
            Some(elapsed) if sent >= self.prompt_tokens_sent => {
                (sent - self.prompt_tokens_sent) as f64 / elapsed.as_secs_f64()
            }
            // No rate is known: this is the first observation, or the sum fell because the reports
            // of a lost daemon were dropped.
            _ => self.demand.prefill_rate,
        };
        self.prompt_tokens_sent = sent;
        let is_short = (observed.serving as f64) < self.planner.required();
        let arriving = observed.requests_per_s;
        let running = self.run_times.counted(observed.running, arriving, is_short, now);
        let average = |before: f64, newest: f64| before + (newest - before) * NEWEST_LOAD_WEIGHT;
        self.demand = ServiceDemand {
            prefill_rate: average(self.demand.prefill_rate, prefill_rate),
            running: average(self.demand.running, running),
            endpoint_prefill_rate: observed.endpoint_prefill_rate,
            slots: observed.slots,
        };
        self.planner.observe(&self.demand, observed.serving, now);
    }
}
