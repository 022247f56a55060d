//! How many endpoints of which price class to hold in which zone.
//!
//! Reclaimable endpoints cost a fraction of the others, but a whole zone of them can go at
//! once and may then not be had again for a while. So they are spread evenly over the
//! zones, enough that what is needed is still there when the largest zone has gone; others
//! are held only where reclaimable ones cannot be had and something would be missing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use tokio::time::Instant;

use crate::{gateway::configuration::FleetSpec, ids::SharedName};

/// Busy part of an endpoint's reading at which it is full enough.
const READ_BUSY: f64 = 0.5;
/// Taken part of an endpoint's slots at which it is full enough.
const SLOTS_TAKEN: f64 = 0.6;
/// The need sinks by this part in a second, so that bursts find what the last one needed.
const NEED_DECAY: f64 = 0.05;
/// Part of the need that must still be there when the next zone is reclaimed.
const CRITICAL_PART: f64 = 0.65;
/// Part of the endpoints found at the start that is taken to be needed, until demand is seen.
const FOUND_PART: f64 = 0.85;
/// The need is never put at more than this many times the endpoints that serve: what full
/// endpoints show of the demand is their own slowness as well.
const GROWTH_LIMIT: f64 = 1.5;
/// A planner that has just begun orders nothing until the list of endpoints has not grown for
/// this long: endpoints that have just started, or whose entries were lost, are not listed at
/// once.
const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// A planner that has just begun orders after this time, however the list grows.
const SETTLE_LIMIT: Duration = Duration::from_secs(5);
/// Reclaimable endpoints count as scarce for this long after an order was turned down.
const SCARCE_FOR: Duration = Duration::from_secs(6);
/// A zone whose order for reclaimable endpoints was turned down is not asked again sooner.
const TURNED_DOWN_FOR: Duration = Duration::from_secs(2);

/// Price class of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PriceClass {
    /// Cheap; the cloud may take it back.
    Reclaimable,
    /// Stays until it is given up.
    OnDemand,
}

/// What the endpoints of a service are asked for now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServiceDemand {
    /// Prompt tokens to be read in a second.
    pub prefill_rate: f64,
    /// Prompt tokens that one endpoint reads in a second.
    pub endpoint_read_rate: f64,
    /// Requests that run.
    pub running: f64,
    /// Requests that an endpoint works on at once.
    pub slots: f64,
}

impl ServiceDemand {
    /// Endpoints that serve this demand within the targets.
    pub fn endpoints(&self) -> f64 {
        let reading = self.prefill_rate / (self.endpoint_read_rate * READ_BUSY).max(1.0);
        let running = self.running / (self.slots * SLOTS_TAKEN).max(1.0);
        // NOTE: reading slows what runs, so that the requests that run show that already.
        reading.max(running)
    }
}

/// Endpoints of one service in one zone that are not leaving.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneHolding {
    /// Reclaimable ones.
    pub reclaimable: u32,
    /// Others.
    pub on_demand: u32,
}

/// Numbers to order, by zone and class.
pub type EndpointTargets = BTreeMap<(SharedName, PriceClass), u32>;

/// Planner of one service's endpoints.
#[derive(Debug)]
pub struct EndpointPlanner {
    need: f64,
    /// Whether the need is guessed from the endpoints that are held, until any demand is seen.
    is_guessed: bool,
    begun_at: Instant,
    /// Most endpoints that were listed, and since when.
    found: (u32, Instant),
    updated_at: Instant,
    turned_down: BTreeMap<SharedName, Instant>,
}

impl EndpointPlanner {
    /// Planner that knows nothing of the need yet but what the one before it, if any, had found.
    pub fn new(need_before: Option<f64>, now: Instant) -> Self {
        let turned_down = BTreeMap::new();
        Self {
            need: need_before.unwrap_or(0.0),
            is_guessed: need_before.is_none_or(|need| need <= 0.0),
            begun_at: now,
            found: (0, now),
            updated_at: now,
            turned_down,
        }
    }

    /// Takes what is held for a sign of what is needed, while no demand has been seen.
    pub fn find(&mut self, held: &BTreeMap<SharedName, ZoneHolding>, now: Instant) {
        let on_demand: u32 = held.values().map(|holding| holding.on_demand).sum();
        let reclaimable: u32 = held.values().map(|holding| holding.reclaimable).sum();
        if on_demand + reclaimable > self.found.0 {
            self.found = (on_demand + reclaimable, now);
        }
        if !self.is_guessed {
            return;
        }
        // NOTE: reclaimable ones were held with some to spare.
        let found = if on_demand > 0 { on_demand } else { reclaimable };
        self.need = self.need.max(f64::from(found) * FOUND_PART);
    }

    /// Whether the planner has seen enough to give orders.
    pub fn is_settled(&self, now: Instant) -> bool {
        let begun = now.saturating_duration_since(self.begun_at);
        let unchanged = now.saturating_duration_since(self.found.1);
        unchanged >= SETTLE_TIME || begun >= SETTLE_LIMIT
    }

    /// Endpoints needed now.
    pub fn need(&self) -> f64 {
        self.need
    }

    /// Takes the demand of this moment, with `serving` endpoints ready. Without any demand yet
    /// the need does not sink.
    pub fn observe(&mut self, demand: &ServiceDemand, serving: usize, now: Instant) {
        let lately = |at: &Instant| now.saturating_duration_since(*at) < SCARCE_FOR;
        self.turned_down.retain(|_, at| lately(at));
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.updated_at = now;
        let wanted = demand.endpoints().min(serving.max(1) as f64 * GROWTH_LIMIT);
        if wanted > 0.0 {
            self.is_guessed = false;
            let sunk = self.need * (1.0 - NEED_DECAY).powf(elapsed);
            self.need = sunk.max(wanted);
        }
    }

    /// The cloud has no reclaimable endpoints in this zone now.
    pub fn turned_down(&mut self, zone: &SharedName, now: Instant) {
        self.turned_down.insert(zone.clone(), now);
    }

    /// Zones in which reclaimable endpoints were just not to be had.
    pub fn turned_down_zones(&self, now: Instant) -> BTreeSet<SharedName> {
        let lately = |at: &Instant| now.saturating_duration_since(*at) < TURNED_DOWN_FOR;
        let zones = self.turned_down.iter().filter(|(_, at)| lately(at));
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

    fn plan_mixed(
        &self,
        spec: &FleetSpec,
        held: &BTreeMap<SharedName, ZoneHolding>,
    ) -> EndpointTargets {
        let zones = held.len().max(1);
        let others = (zones - 1).max(1) as f64;
        let least = spec.min.max(1);
        let wanted = (self.need / others).ceil() as u32;
        let wanted = wanted.clamp(least, spec.max);
        let mut targets = EndpointTargets::new();
        for zone in held.keys() {
            targets.insert((zone.clone(), PriceClass::Reclaimable), wanted);
        }
        let on_demand: u32 = held.values().map(|holding| holding.on_demand).sum();
        let mut missing = self.missing(held);
        if self.turned_down.is_empty() && wanted < spec.max {
            // NOTE: reclaimable ones can be had, and start as fast; others only stay until then.
            missing = missing.min(on_demand);
        }
        let half = missing.div_ceil(2);
        let mut by_price: Vec<&SharedName> = held.keys().collect();
        by_price.sort_by(|one, other| price_of(spec, one).total_cmp(&price_of(spec, other)));
        // NOTE: what is held stays until enough reclaimable ones serve in its place.
        for (place, zone) in by_price.iter().enumerate() {
            let holding = held[*zone];
            let zones_left = (by_price.len() - place) as u32;
            // NOTE: cheap zones first, but never all in one.
            let share = missing.div_ceil(zones_left).max(half.min(missing));
            let reserved = match self.turned_down.contains_key(*zone) {
                // NOTE: none are to be had here; room kept for them would stay empty.
                true => holding.reclaimable,
                false => holding.reclaimable.max(wanted),
            };
            let room = spec.max.saturating_sub(reserved);
            // NOTE: both classes together must leave the zone its least number.
            let floor = least.saturating_sub(holding.reclaimable);
            let count = share.max(floor).min(room.max(floor));
            missing = missing.saturating_sub(count);
            targets.insert(((*zone).clone(), PriceClass::OnDemand), count);
            let left = spec.max.saturating_sub(count).max(least);
            if wanted > left {
                targets.insert(((*zone).clone(), PriceClass::Reclaimable), left);
            }
        }
        targets
    }

    /// Others that are needed because reclaimable ones are missing: enough for the critical
    /// part when the largest zone of reclaimable ones goes next.
    fn missing(&self, held: &BTreeMap<SharedName, ZoneHolding>) -> u32 {
        let reclaimable: u32 = held.values().map(|holding| holding.reclaimable).sum();
        let largest = held.values().map(|holding| holding.reclaimable).max().unwrap_or(0);
        let safe = f64::from(reclaimable - largest);
        let critical = self.need * CRITICAL_PART;
        let short_of_all = self.need - f64::from(reclaimable);
        (critical - safe).max(short_of_all).max(0.0).ceil() as u32
    }

    fn plan_on_demand(
        &self,
        spec: &FleetSpec,
        held: &BTreeMap<SharedName, ZoneHolding>,
    ) -> EndpointTargets {
        let zones = held.len().max(1) as f64;
        let wanted = (self.need / zones).ceil() as u32;
        let wanted = wanted.clamp(spec.min, spec.max);
        let class = PriceClass::OnDemand;
        held.keys().map(|zone| ((zone.clone(), class), wanted)).collect()
    }
}

fn price_of(spec: &FleetSpec, zone: &str) -> f64 {
    let named = spec.zone_prices.iter().find(|(name, _)| &**name == zone);
    named.map_or(1.0, |(_, price)| *price)
}
