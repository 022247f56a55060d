//! Decides how many endpoints of which price class a service should hold in which zone.
//!
//! Inputs are the load of the service (prefill and running requests), what is held in each
//! zone, the service's fleet settings, and which zones had no reclaimable capacity lately.
//!
//! The required number follows the load upwards at once and decays slowly. Before any load was
//! seen it is estimated from the endpoints that are held, and never lowered: a leader that has
//! just started must not release endpoints because it knows nothing yet.
//!
//! Reclaimable endpoints cost a fraction of on-demand ones, but a whole zone of them can be
//! reclaimed at once and may then not be available for a while. They are spread evenly over
//! the zones, enough that the required number is still there when the largest zone has gone.
//! On-demand endpoints are held only where reclaimable ones cannot be had and too few would be
//! left.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use crate::{gateway::configuration::FleetSpec, ids::SharedName};

/// Fraction of an endpoint's prefill rate at which it is full enough.
///
/// Basis: chosen, not measured (commit 827f7c7).
const PREFILL_UTILIZATION: f64 = 0.5;
/// Fraction of an endpoint's slots at which it is full enough.
///
/// Basis: chosen, not measured (commit 827f7c7).
const SLOT_UTILIZATION: f64 = 0.6;
/// Fraction by which the required number decays in a second, so that a burst finds what the
/// last one needed.
///
/// Basis: chosen, not measured by itself: commit dcfb149 raised it from 0.03 when the required
/// number became smaller than before.
const DECAY_PER_S: f64 = 0.05;
/// Fraction of the required number that must still be there when the next zone is reclaimed.
///
/// Basis: commit 67bc14d (journal 20261202T134209), lowered from 0.75: both sites 1.000, gates
/// passed; not separated from the other changes of that commit.
const CRITICAL_FRACTION: f64 = 0.65;
/// Fraction of the endpoints held at the start that is assumed to be required.
///
/// Basis: chosen, not measured by itself: commit 7044e2a (journal 20261202T131510).
const INITIAL_FRACTION: f64 = 0.85;
/// The required number is at most this multiple of the endpoints that serve: the load that full
/// endpoints show is partly their own slowness.
///
/// Basis: commit 7044e2a (journal 20261202T131510): with it and the other changes of that
/// commit inkbridge-grown scale-2 0.018 -> 0.333.
const GROWTH_LIMIT: f64 = 1.5;
/// A planner that has just started orders nothing until the list of endpoints has not grown for
/// this long: endpoints that have just started, or whose entries were lost, are listed over
/// about a heartbeat.
///
/// Basis: commit 8a180c6 (journal 20261202T114524), 2 s: inkbridge quiet-1 0.73 -> 0.99; commit
/// 67bc14d (journal 20261202T134209), 1 s: still 1.000.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// A planner that has just started orders after this time, however the list grows.
///
/// Basis: chosen, not measured (commit 7044e2a): five times `SETTLE_TIME`.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Reclaimable capacity counts as scarce for this long after an order was refused.
///
/// Basis: chosen, not measured by itself: commit 67e7145 (inkbridge store-lost 0.51 -> 0.60 with
/// its other change).
const SCARCE_FOR: Duration = Duration::from_secs(6);
/// A zone that refused reclaimable capacity is not asked again sooner.
///
/// Basis: chosen, not measured (commit 827f7c7): bounds the calls to the cloud.
const REFUSED_FOR: Duration = Duration::from_secs(2);
/// Price of an endpoint in a zone whose price is not configured.
///
/// Basis: chosen, not measured: the price that configured ones are relative to.
const DEFAULT_PRICE: f64 = 1.0;

/// Price class of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PriceClass {
    /// Cheap; the cloud may reclaim it.
    Reclaimable,
    /// Stays until it is released.
    OnDemand,
}

/// Load of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Uncached prompt tokens sent to endpoints in a second.
    pub prefill_rate: f64,
    /// Prompt tokens that one endpoint reads in a second.
    pub endpoint_prefill_rate: f64,
    /// Requests that run.
    pub running: f64,
    /// Requests that an endpoint runs at once.
    pub slots: f64,
}

impl ServiceDemand {
    /// Endpoints that serve this load within the utilization limits.
    pub fn endpoints(&self) -> f64 {
        let for_prefill =
            self.prefill_rate / (self.endpoint_prefill_rate * PREFILL_UTILIZATION).max(1.0);
        let for_slots = self.running / (self.slots * SLOT_UTILIZATION).max(1.0);
        // Not the sum: prefill slows the running requests, so they show it already.
        for_prefill.max(for_slots)
    }
}

/// Endpoints of one service in one zone that are not leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneHolding {
    /// Reclaimable ones.
    pub reclaimable: u32,
    /// On-demand ones.
    pub on_demand: u32,
}

impl ZoneHolding {
    /// Those of one price class.
    pub fn of(self, class: PriceClass) -> u32 {
        match class {
            PriceClass::Reclaimable => self.reclaimable,
            PriceClass::OnDemand => self.on_demand,
        }
    }
}

/// Numbers to hold, by zone and class.
pub type EndpointTargets = BTreeMap<(SharedName, PriceClass), u32>;

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
    /// Whether the required number is estimated from held endpoints, until load is seen.
    is_estimated: bool,
    started_at: Instant,
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
            largest_list: LargestList { count: 0, since: now },
            updated_at: now,
            refused_at: BTreeMap::new(),
        }
    }

    /// Notes what is held. While no load has been seen, the required number is raised to a
    /// fraction of it.
    pub fn estimate_from_held(&mut self, held: &BTreeMap<SharedName, ZoneHolding>, now: Instant) {
        let on_demand: u32 = held.values().map(|holding| holding.on_demand).sum();
        let reclaimable: u32 = held.values().map(|holding| holding.reclaimable).sum();
        if on_demand + reclaimable > self.largest_list.count {
            self.largest_list = LargestList { count: on_demand + reclaimable, since: now };
        }
        if !self.is_estimated {
            return;
        }
        // Beside on-demand ones, reclaimable ones were held as a reserve.
        let held = if on_demand > 0 { on_demand } else { reclaimable };
        self.required = self.required.max(f64::from(held) * INITIAL_FRACTION);
    }

    /// Whether the planner has seen enough to give orders.
    pub fn is_settled(&self, now: Instant) -> bool {
        let running = now.saturating_duration_since(self.started_at);
        let unchanged = now.saturating_duration_since(self.largest_list.since);
        unchanged >= SETTLE_TIME || running >= SETTLE_LIMIT
    }

    /// Required endpoints.
    pub fn required(&self) -> f64 {
        self.required
    }

    /// Applies the load of this moment, with `serving` endpoints that take requests. Without
    /// any load the required number stays.
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

    /// Notes that a zone has no reclaimable capacity now.
    pub fn refuse_capacity(&mut self, zone: &SharedName, now: Instant) {
        self.refused_at.insert(zone.clone(), now);
    }

    /// Zones that are not asked for reclaimable capacity now.
    pub fn refused_zones(&self, now: Instant) -> BTreeSet<SharedName> {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < REFUSED_FOR;
        let zones = self.refused_at.iter().filter(|(_, at)| is_recent(at));
        zones.map(|(zone, _)| zone.clone()).collect()
    }

    /// What to hold, given what is held.
    pub fn plan(
        &self,
        spec: &FleetSpec,
        held: &BTreeMap<SharedName, ZoneHolding>,
    ) -> EndpointTargets {
        match spec.reclaimable_price {
            Some(price) if price < 1.0 => self.plan_mixed(spec, held),
            _ => self.plan_on_demand(spec, held),
        }
    }

    /// Reclaimable endpoints evenly over the zones; on-demand ones for what is missing, in the
    /// cheapest zones first. On-demand ones that are held stay until enough reclaimable ones
    /// serve in their place.
    fn plan_mixed(
        &self,
        spec: &FleetSpec,
        held: &BTreeMap<SharedName, ZoneHolding>,
    ) -> EndpointTargets {
        let per_zone = self.reclaimable_per_zone(spec, held.len());
        let mut missing = self.missing(held);
        if self.refused_at.is_empty() && per_zone < spec.most {
            // Reclaimable capacity is available and starts as fast: no more on-demand ones.
            missing = missing.min(held.values().map(|holding| holding.on_demand).sum());
        }
        let half = missing.div_ceil(2);
        let by_price = zones_by_price(spec, held);
        let mut targets = EndpointTargets::new();
        for (place, zone) in by_price.iter().enumerate() {
            let zones_left = (by_price.len() - place) as u32;
            // As many as possible in cheap zones, but at most half in one, unless few are left.
            let share = missing.div_ceil(zones_left).max(half.min(missing));
            let on_demand = self.on_demand_in_zone(spec, zone, held[*zone], share, per_zone);
            missing = missing.saturating_sub(on_demand);
            let room = spec.most.saturating_sub(on_demand).max(spec.least.max(1));
            let zone = (*zone).clone();
            targets.insert((zone.clone(), PriceClass::OnDemand), on_demand);
            targets.insert((zone, PriceClass::Reclaimable), per_zone.min(room));
        }
        targets
    }

    /// Reclaimable endpoints for each zone, so that the others suffice when one is reclaimed.
    fn reclaimable_per_zone(&self, spec: &FleetSpec, zones: usize) -> u32 {
        let remaining_zones = (zones.max(1) - 1).max(1) as f64;
        let wanted = (self.required / remaining_zones).ceil() as u32;
        wanted.clamp(spec.least.max(1), spec.most)
    }

    /// On-demand endpoints for a zone that should hold `share` of the missing ones: within the
    /// zone's limits, both classes together.
    fn on_demand_in_zone(
        &self,
        spec: &FleetSpec,
        zone: &SharedName,
        holding: ZoneHolding,
        share: u32,
        reclaimable_per_zone: u32,
    ) -> u32 {
        let reserved = match self.refused_at.contains_key(zone) {
            // None are available here; room reserved for them would stay empty.
            true => holding.reclaimable,
            false => holding.reclaimable.max(reclaimable_per_zone),
        };
        let room = spec.most.saturating_sub(reserved);
        let floor = spec.least.max(1).saturating_sub(holding.reclaimable);
        share.max(floor).min(room.max(floor))
    }

    /// On-demand endpoints that are required because reclaimable ones are missing: enough for
    /// all of the load now, and for its critical part when the zone with most reclaimable ones
    /// goes next.
    fn missing(&self, held: &BTreeMap<SharedName, ZoneHolding>) -> u32 {
        let reclaimable: u32 = held.values().map(|holding| holding.reclaimable).sum();
        let largest = held.values().map(|holding| holding.reclaimable).max().unwrap_or(0);
        let remaining = f64::from(reclaimable - largest);
        let short_of_critical = self.required * CRITICAL_FRACTION - remaining;
        let short_of_all = self.required - f64::from(reclaimable);
        short_of_critical.max(short_of_all).max(0.0).ceil() as u32
    }

    fn plan_on_demand(
        &self,
        spec: &FleetSpec,
        held: &BTreeMap<SharedName, ZoneHolding>,
    ) -> EndpointTargets {
        let zones = held.len().max(1) as f64;
        let per_zone = (self.required / zones).ceil() as u32;
        let per_zone = per_zone.clamp(spec.least, spec.most);
        let class = PriceClass::OnDemand;
        held.keys().map(|zone| ((zone.clone(), class), per_zone)).collect()
    }
}

fn zones_by_price<'a>(
    spec: &FleetSpec,
    held: &'a BTreeMap<SharedName, ZoneHolding>,
) -> Vec<&'a SharedName> {
    let mut zones: Vec<&SharedName> = held.keys().collect();
    zones.sort_by(|one, other| price_of(spec, one).total_cmp(&price_of(spec, other)));
    zones
}

fn price_of(spec: &FleetSpec, zone: &str) -> f64 {
    let named = spec.zone_prices.iter().find(|(name, _)| &**name == zone);
    named.map_or(DEFAULT_PRICE, |(_, price)| *price)
}
