//! Decides how many endpoints of which price class each zone should hold.
//!
//! Inputs are the required number (`fleet_size`), the zones where reclaimable capacity is
//! scarce, the service's fleet settings, and the endpoints held in each zone.
//!
//! Reclaimable endpoints cost a fraction of on-demand ones, but all of a zone can be reclaimed at
//! once, and new ones may then not be available for a while. They are spread evenly over the zones,
//! so many that the required number remains when the largest zone is reclaimed. On-demand endpoints
//! are held only if reclaimable ones are not available and too few would remain.
//!
//! Answers the load pattern in which the cloud reclaims one zone after another while new endpoints
//! take seconds to start. What is ordered when a zone goes serves only a start time later, so
//! on-demand endpoints replace those of as many zones as may go until then. In a deployment of few
//! zones these are all of them; in one of many zones the others still serve, and each further zone
//! that goes brings further orders.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{gateway::configuration::FleetSpec, ids::SharedName};

/// Fraction of the required number that must remain when the next zone is reclaimed.
const CRITICAL_FRACTION: f64 = 0.65;
/// Shortest time expected between the losses of two zones while all are at risk.
const ZONE_LOSS_INTERVAL: Duration = Duration::from_secs(1);
/// Relative price of an endpoint in a zone without a configured price.
const DEFAULT_PRICE: f64 = 1.0;

/// Price class of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum PriceClass {
    /// Cheap, but the cloud may reclaim it.
    Reclaimable,
    /// Kept until it is released.
    OnDemand,
}

/// Endpoints of one service in one zone that are not draining.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneHolding {
    /// Reclaimable ones.
    pub reclaimable: u32,
    /// On-demand ones.
    pub on_demand: u32,
}

impl ZoneHolding {
    /// Number of endpoints of one price class.
    pub fn of(self, class: PriceClass) -> u32 {
        match class {
            PriceClass::Reclaimable => self.reclaimable,
            PriceClass::OnDemand => self.on_demand,
        }
    }
}

/// Which reclaimable endpoints are expected to be reclaimed soon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReclaimRisk {
    /// Those of one zone, perhaps.
    #[default]
    OneZone,
    /// Those of all zones, one after another.
    AllZones,
}

/// Number of endpoints to hold, by zone and price class.
pub type EndpointTargets = BTreeMap<(SharedName, PriceClass), u32>;

/// Inputs of the plan for one service.
#[derive(Clone, Debug)]
pub struct ZonePlan<'a> {
    /// Required endpoints.
    pub required: f64,
    /// Zones where reclaimable capacity is scarce.
    pub scarce: BTreeSet<&'a SharedName>,
    /// Which reclaimable endpoints are expected to be reclaimed.
    pub risk: ReclaimRisk,
    /// Fleet settings.
    pub spec: &'a FleetSpec,
    /// Endpoints held in each zone where the service may run.
    pub held: &'a BTreeMap<SharedName, ZoneHolding>,
}

impl<'a> ZonePlan<'a> {
    /// Number of endpoints to hold, by zone and price class.
    pub fn targets(&self) -> EndpointTargets {
        match self.spec.reclaimable_price {
            Some(share) if share < 1.0 => self.mixed_targets(),
            _ => self.on_demand_targets(),
        }
    }

    /// Spreads reclaimable endpoints evenly over the zones and adds on-demand ones for those that
    /// are missing, in the cheapest zones first. Held on-demand endpoints stay until enough
    /// reclaimable ones replace them.
    fn mixed_targets(&self) -> EndpointTargets {
        let per_zone = self.reclaimable_per_zone();
        let mut missing = self.missing();
        let is_calm = self.scarce.is_empty() && self.risk == ReclaimRisk::OneZone;
        if is_calm && per_zone < self.spec.max {
            // No additional on-demand ones: reclaimable capacity is available and starts as fast.
            missing = missing.min(self.held.values().map(|holding| holding.on_demand).sum());
        }
        let half = missing.div_ceil(2);
        let by_price = self.zones_by_price();
        let mut targets = EndpointTargets::new();
        for (place, zone) in by_price.iter().enumerate() {
            let zones_left = (by_price.len() - place) as u32;
            // As many as possible in cheap zones, but at most half in one, unless few zones are
            // left.
            let share = missing.div_ceil(zones_left).max(half.min(missing));
            let on_demand = self.on_demand_in_zone(zone, share, per_zone);
            missing = missing.saturating_sub(on_demand);
            let room = self.spec.max.saturating_sub(on_demand).max(self.least_per_zone());
            let zone = (*zone).clone();
            targets.insert((zone.clone(), PriceClass::OnDemand), on_demand);
            targets.insert((zone, PriceClass::Reclaimable), per_zone.min(room));
        }
        targets
    }

    /// Endpoints that each zone holds without any load: at least one, unless none is allowed.
    fn least_per_zone(&self) -> u32 {
        self.spec.min.max(1).min(self.spec.max)
    }

    /// Reclaimable endpoints for each zone, so that the other zones suffice when one is reclaimed.
    fn reclaimable_per_zone(&self) -> u32 {
        let remaining_zones = (self.held.len().max(1) - 1).max(1) as f64;
        let wanted = (self.required / remaining_zones).ceil() as u32;
        wanted.clamp(self.least_per_zone(), self.spec.max)
    }

    /// On-demand endpoints for a zone that should hold `share` of the missing ones, such that both
    /// classes together are within the zone's limits.
    fn on_demand_in_zone(&self, zone: &SharedName, share: u32, reclaimable_per_zone: u32) -> u32 {
        let holding = self.held[zone];
        let reserved = match self.scarce.contains(zone) {
            // No reclaimable ones are available here, so room reserved for them would stay unused.
            true => holding.reclaimable,
            false => holding.reclaimable.max(reclaimable_per_zone),
        };
        let room = self.spec.max.saturating_sub(reserved);
        let floor = self.least_per_zone().saturating_sub(holding.reclaimable);
        share.max(floor).min(room.max(floor))
    }

    /// On-demand endpoints that are required because reclaimable ones are missing: enough for the
    /// whole load now, and for its critical part (the whole load while reclaimable capacity is
    /// scarce) when the zone with the most reclaimable ones is reclaimed next. While all zones are
    /// at risk, enough for the whole load when those zones are reclaimed that may be until new
    /// endpoints serve.
    fn missing(&self) -> u32 {
        if self.risk == ReclaimRisk::AllZones {
            let remaining = f64::from(self.remaining_without_largest(self.zones_at_risk()));
            return (self.required - remaining).max(0.0).ceil() as u32;
        }
        let reclaimable: u32 = self.held.values().map(|holding| holding.reclaimable).sum();
        let remaining = f64::from(self.remaining_without_largest(1));
        // While capacity is scarce, reclaimed endpoints can't be replaced by reclaimable ones.
        let critical = if self.scarce.is_empty() { CRITICAL_FRACTION } else { 1.0 };
        let short_of_critical = self.required * critical - remaining;
        let short_of_all = self.required - f64::from(reclaimable);
        short_of_critical.max(short_of_all).max(0.0).ceil() as u32
    }

    /// Number of zones that may be lost within the start time of an endpoint.
    fn zones_at_risk(&self) -> usize {
        self.spec.start_time.div_duration_f64(ZONE_LOSS_INTERVAL).ceil() as usize
    }

    /// Reclaimable endpoints that remain when the zones with the most of them are lost.
    fn remaining_without_largest(&self, lost_zones: usize) -> u32 {
        let mut by_zone: Vec<u32> = self.held.values().map(|holding| holding.reclaimable).collect();
        by_zone.sort_unstable_by(|one, other| other.cmp(one));
        by_zone.iter().skip(lost_zones).sum()
    }

    fn on_demand_targets(&self) -> EndpointTargets {
        let zones = self.held.len().max(1) as f64;
        let per_zone = (self.required / zones).ceil() as u32;
        let per_zone = per_zone.clamp(self.spec.min, self.spec.max);
        let class = PriceClass::OnDemand;
        self.held.keys().map(|zone| ((zone.clone(), class), per_zone)).collect()
    }

    fn zones_by_price(&self) -> Vec<&'a SharedName> {
        let mut zones: Vec<&SharedName> = self.held.keys().collect();
        zones.sort_by(|one, other| self.price_of(one).total_cmp(&self.price_of(other)));
        zones
    }

    fn price_of(&self, zone: &str) -> f64 {
        let named = self.spec.zone_prices.iter().find(|(name, _)| &**name == zone);
        named.map_or(DEFAULT_PRICE, |(_, price)| *price)
    }
}
