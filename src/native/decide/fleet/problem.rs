//! The cost function over the numbers of VMs at each place, and the local search that lowers it.

use std::collections::HashMap;

use super::{FleetPlace, FleetWeights};
use crate::{
    ids::SharedName,
    native::cloud_api::messages::{PriceClass, PriceEntry},
};

/// Fraction of its price by which a held VM counts as cheaper than a new one, so that small price
/// changes do not replace VMs.
const HELD_DISCOUNT: f64 = 0.15;

/// Smallest decrease of the cost that counts as an improvement, in cost units. It is above rounding
/// errors, so that the search ends, and far below any price.
const MIN_GAIN: f64 = 1e-9;
/// The first chunk is the number of VMs required divided by this; each later one is half of the
/// one before.
const FIRST_CHUNK_DIVISOR: f64 = 4.0;

/// Numbers of VMs by place, in the order of the prices.
pub type PlaceCounts = Vec<usize>;

/// Inputs of the search.
pub struct FleetProblem<'a> {
    required: f64,
    max: usize,
    prices: &'a [PriceEntry],
    /// VMs held at each place.
    pub held: PlaceCounts,
    /// For each distinct zone, the index of its reclaimable place, if it has one.
    reclaimable_of_zone: Vec<Option<usize>>,
    weights: &'a FleetWeights,
}

/// Returns the place to which a price applies.
pub fn place_of(price: &PriceEntry) -> FleetPlace {
    FleetPlace { zone: price.zone.clone(), class: price.class }
}

impl<'a> FleetProblem<'a> {
    /// Creates the problem of holding `required` VMs, at most `max`, given the VMs held now.
    pub fn new(
        required: f64,
        max: usize,
        prices: &'a [PriceEntry],
        held: &HashMap<FleetPlace, usize>,
        weights: &'a FleetWeights,
    ) -> Self {
        let held = prices.iter().map(|price| held.get(&place_of(price)).copied().unwrap_or(0));
        let mut zones: Vec<&SharedName> = prices.iter().map(|price| &price.zone).collect();
        zones.sort();
        zones.dedup();
        let reclaimable = |zone: &&SharedName| {
            prices
                .iter()
                .position(|price| price.zone == **zone && price.class == PriceClass::Reclaimable)
        };
        Self {
            required,
            max,
            prices,
            held: held.collect(),
            reclaimable_of_zone: zones.iter().map(reclaimable).collect(),
            weights,
        }
    }

    /// Expected cost of an hour: prices, reclaims and shortage.
    pub fn cost(&self, counts: &[usize]) -> f64 {
        let total: usize = counts.iter().sum();
        let shortage = |left: usize| (self.required - left as f64).max(0.0) * self.weights.shortage;
        let zones = self.reclaimable_of_zone.len() as f64;
        // Expected fraction of an hour in which a given zone's reclaimable VMs are missing.
        let missing = self.weights.zone_loss * self.weights.replace_hours;
        let mut cost = (1.0 - missing * zones).max(0.0) * shortage(total);
        for place in &self.reclaimable_of_zone {
            let lost = place.map_or(0, |place| counts[place]);
            cost += missing * shortage(total - lost);
        }
        for (index, price) in self.prices.iter().enumerate() {
            let kept = counts[index].min(self.held[index]) as f64;
            cost += counts[index] as f64 * self.unit_cost(price);
            cost -= kept * price.per_hour * HELD_DISCOUNT;
        }
        cost
    }

    /// Cost of holding a new VM for an hour.
    fn unit_cost(&self, price: &PriceEntry) -> f64 {
        match price.class {
            PriceClass::Reclaimable => {
                price.per_hour + self.weights.zone_loss * self.weights.reclaim
            }
            PriceClass::OnDemand => price.per_hour,
        }
    }

    /// Improves `counts` until no move of a chunk lowers the cost. Tries large chunks first.
    pub fn improve(&self, mut counts: PlaceCounts) -> PlaceCounts {
        let mut chunk = (self.required / FIRST_CHUNK_DIVISOR).ceil().max(1.0) as usize;
        let mut cost = self.cost(&counts);
        loop {
            match self.best_move(&counts, chunk, cost) {
                Some((better, next)) => (cost, counts) = (better, next),
                None if chunk == 1 => return counts,
                None => chunk /= 2,
            }
        }
    }

    /// Finds the best move, which removes at most one chunk and adds up to two.
    fn best_move(&self, counts: &[usize], chunk: usize, cost: f64) -> Option<(f64, PlaceCounts)> {
        let places = counts.len();
        let mut best: Option<(f64, PlaceCounts)> = None;
        let removals = (0..places).map(Some).chain([None]);
        for removal in removals {
            let mut base = counts.to_vec();
            match removal {
                Some(place) if base[place] >= chunk => base[place] -= chunk,
                Some(_) => continue,
                None => {}
            }
            for first in (0..places).map(Some).chain([None]) {
                for second in
                    first.into_iter().flat_map(|first| first..places).map(Some).chain([None])
                {
                    let mut next = base.clone();
                    for place in [first, second].into_iter().flatten() {
                        next[place] += chunk;
                    }
                    if next.iter().sum::<usize>() > self.max {
                        continue;
                    }
                    let least = best.as_ref().map_or(cost, |(least, _)| *least);
                    let found = self.cost(&next);
                    if found < least - MIN_GAIN {
                        best = Some((found, next));
                    }
                }
            }
        }
        best
    }
}
