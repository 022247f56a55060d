//! How many VMs of a service to hold, in which availability zone and price class.
//!
//! Decides which VMs to start and which to release, for the planner on the native path
//! (`serve::planning::planner`). The gateway's rule, `gateway::policy::leader::fleet_size`, spreads
//! endpoints by fixed rules; this one minimizes an expected cost, so the two stay apart.
//!
//! Inputs: the VMs required (from averages of load, one to two epochs of 2 s old), the prices
//! of this round, the VMs held (the VM list, read every 2 s), and the weights of the service's
//! row. If the load is not known, the planner takes the number of VMs held as required.
//!
//! At any time nothing is wrong, or one zone's reclaimable VMs are gone and not yet replaced.
//! One more VM is worth what it saves in expected shortage over these states; it costs its
//! price, and what its own reclaim would cost in tokens computed again. Counts are improved by
//! moving chunks of VMs between places, large ones first, while that lowers the expected cost.

mod free_name;
mod problem;

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::Duration,
};

use tokio::time::Instant;

use super::fleet::{
    free_name::free_name,
    problem::{FleetProblem, place_of},
};
use crate::{
    ids::SharedName,
    native::cloud_api::messages::{PriceClass, PriceEntry},
};

/// How long fewer VMs must have been enough before one is released: longer than a start
/// takes.
const RELEASE_AFTER: Duration = Duration::from_secs(300);
/// After a notice or a refused start nothing is released for this time: zones go one after another
/// in a wave of reclaims.
const WAVE_HOLD: Duration = Duration::from_secs(600);
/// Pause before a place that refused a start is tried again; each further refusal doubles it. A few
/// planner rounds.
const REFUSED_FIRST: Duration = Duration::from_secs(10);
/// Longest pause before a place that refused a start is tried again: as long as releases are held
/// back (`WAVE_HOLD`).
const REFUSED_LONGEST: Duration = Duration::from_secs(600);
/// Most VMs started in one round: bounds what a wrong figure can cost before the next round.
const STARTS_PER_ROUND: usize = 16;

/// Where and how a VM is held.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FleetPlace {
    /// Availability zone.
    pub zone: SharedName,
    /// Price class.
    pub class: PriceClass,
}

/// Weights of one service, from its row.
#[derive(Clone, Copy, Debug)]
pub struct FleetWeights {
    /// Cost of one VM missing for an hour while there is demand for it, in cost units.
    pub shortage: f64,
    /// Chance that a given zone's reclaimable VMs go within an hour.
    pub zone_loss: f64,
    /// Time until lost VMs are replaced, in hours; longer where starts are refused.
    pub replace_hours: f64,
    /// Cost of one reclaim of one VM: its streams' tokens computed again, in cost units.
    pub reclaim: f64,
}

/// Chooses counts per place for `required` VMs (a fraction counts as part of one), `max` at
/// most.
pub fn choose_counts(
    required: f64,
    prices: &[PriceEntry],
    held: &HashMap<FleetPlace, usize>,
    weights: &FleetWeights,
    max: usize,
) -> BTreeMap<FleetPlace, usize> {
    let problem = FleetProblem::new(required, max, prices, held, weights);
    let counts = problem.improve(vec![0; prices.len()]);
    let pairs = prices.iter().map(place_of).zip(counts);
    pairs.filter(|(_, count)| *count > 0).collect()
}

/// Expected cost of an hour with these counts: prices, reclaims and shortage.
///
/// Only the tests call it: they compare [`choose_counts`] with all fleets there are, by the
/// same cost, which is private to this module.
pub fn expected_cost(
    required: f64,
    counts: &BTreeMap<FleetPlace, usize>,
    prices: &[PriceEntry],
    weights: &FleetWeights,
) -> f64 {
    let problem = FleetProblem::new(required, usize::MAX, prices, &HashMap::new(), weights);
    let counts = prices.iter().map(|price| counts.get(&place_of(price)).copied().unwrap_or(0));
    problem.cost(&counts.collect::<Vec<usize>>())
}

/// One VM that is held.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldVm {
    /// Identity.
    pub id: SharedName,
    /// Name it was started under.
    pub name: SharedName,
    /// Where and how.
    pub place: FleetPlace,
    /// Whether it has a notice.
    pub leaving: bool,
}

/// One service as the planner knows it.
#[derive(Clone, Debug)]
pub struct ServiceFleet {
    /// Service.
    pub service: SharedName,
    /// VMs that its load requires now; a fraction counts as part of one.
    pub required: f64,
    /// Fewest and most VMs, from its row.
    pub bounds: (usize, usize),
    /// VMs that are held.
    pub held: Vec<HeldVm>,
    /// Names that were planned but are not held yet.
    pub pending: Vec<SharedName>,
    /// Weights.
    pub weights: FleetWeights,
}

/// What to do about the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Start a VM under this name.
    Start {
        /// Name; starting it twice starts one.
        name: SharedName,
        /// Where and how.
        place: FleetPlace,
    },
    /// Release a VM.
    Release {
        /// Identity.
        id: SharedName,
    },
}

#[derive(Debug)]
struct RefusedPlace {
    until: Instant,
    pause: Duration,
}

/// State of the planner between rounds.
#[derive(Debug, Default)]
pub struct FleetPlanner {
    refused: HashMap<FleetPlace, RefusedPlace>,
    /// Since when fewer VMs would have been enough, by service.
    surplus_since: HashMap<SharedName, Instant>,
    wave_until: Option<Instant>,
    leaving_seen: HashSet<SharedName>,
}

impl FleetPlanner {
    /// Records a refused start: the place is left alone for a while.
    pub fn refused(&mut self, place: &FleetPlace, now: Instant) {
        let pause = match self.refused.get(place) {
            Some(before) => (before.pause * 2).min(REFUSED_LONGEST),
            None => REFUSED_FIRST,
        };
        self.refused.insert(place.clone(), RefusedPlace { until: now + pause, pause });
        self.wave_until = Some(now + WAVE_HOLD);
    }

    /// Whether a place is left alone because it refused a start.
    pub fn is_refused(&self, place: &FleetPlace, now: Instant) -> bool {
        self.refused.get(place).is_some_and(|refused| now < refused.until)
    }

    /// Records a start that was carried out.
    pub fn started(&mut self, place: &FleetPlace) {
        self.refused.remove(place);
    }

    /// Whether a wave of reclaims is under way, in which nothing is released.
    pub fn is_wave(&self, now: Instant) -> bool {
        self.wave_until.is_some_and(|until| now < until)
    }

    fn note_leaving(&mut self, fleet: &ServiceFleet, now: Instant) {
        for vm in fleet.held.iter().filter(|vm| vm.leaving) {
            if self.leaving_seen.insert(vm.id.clone()) {
                self.wave_until = Some(now + WAVE_HOLD);
            }
        }
    }

    /// Prices of the places that are not left alone.
    fn open_places(&self, prices: &[PriceEntry], now: Instant) -> Vec<PriceEntry> {
        let open = prices.iter().filter(|price| !self.is_refused(&place_of(price), now));
        open.cloned().collect()
    }

    /// Decides one round for one service.
    pub fn decide(
        &mut self,
        fleet: &ServiceFleet,
        prices: &[PriceEntry],
        now: Instant,
    ) -> Vec<FleetAction> {
        self.note_leaving(fleet, now);
        let open = self.open_places(prices, now);
        let staying: Vec<&HeldVm> = fleet.held.iter().filter(|vm| !vm.leaving).collect();
        let held = count_by_place(&staying);
        let required = fleet.required.max(fleet.bounds.0 as f64);
        // A place that refuses starts may still be held, so all prices count here.
        let target = choose_counts(required, prices, &held, &fleet.weights, fleet.bounds.1);
        let wanted: usize = target.values().sum();
        let have = staying.len() + fleet.pending.len();
        if wanted > have {
            self.surplus_since.remove(&fleet.service);
            return self.starts(fleet, &held, &open, wanted - have);
        }
        if wanted < staying.len() && fleet.pending.is_empty() {
            return self.releases(fleet, &staying, &target, now).into_iter().collect();
        }
        self.surplus_since.remove(&fleet.service);
        Vec::new()
    }

    /// Starts the best VMs among the places that take starts, beside what is held.
    fn starts(
        &self,
        fleet: &ServiceFleet,
        held: &HashMap<FleetPlace, usize>,
        open: &[PriceEntry],
        missing: usize,
    ) -> Vec<FleetAction> {
        let required = fleet.required.max(fleet.bounds.0 as f64);
        let problem = FleetProblem::new(required, usize::MAX, open, held, &fleet.weights);
        let mut counts = problem.held.clone();
        let mut names: HashSet<SharedName> =
            fleet.held.iter().map(|vm| vm.name.clone()).chain(fleet.pending.clone()).collect();
        let mut actions = Vec::new();
        for _ in 0..missing.min(STARTS_PER_ROUND) {
            let cost_with = |place: usize| {
                let mut next = counts.clone();
                next[place] += 1;
                problem.cost(&next)
            };
            let best = (0..open.len())
                .min_by(|left, right| cost_with(*left).total_cmp(&cost_with(*right)));
            let Some(best) = best else { break };
            counts[best] += 1;
            let place = place_of(&open[best]);
            let name = free_name(&fleet.service, &place, &names);
            names.insert(name.clone());
            actions.push(FleetAction::Start { name, place });
        }
        actions
    }

    /// Releases one VM where more are held than wanted, the dearest first, once that has
    /// been so for a while and no wave is under way.
    fn releases(
        &mut self,
        fleet: &ServiceFleet,
        staying: &[&HeldVm],
        target: &BTreeMap<FleetPlace, usize>,
        now: Instant,
    ) -> Option<FleetAction> {
        let since = *self.surplus_since.entry(fleet.service.clone()).or_insert(now);
        if self.is_wave(now) || now.saturating_duration_since(since) < RELEASE_AFTER {
            return None;
        }
        let counts = count_by_place(staying);
        let over = |vm: &&&HeldVm| counts[&vm.place] > target.get(&vm.place).copied().unwrap_or(0);
        let mut candidates: Vec<&&HeldVm> = staying.iter().filter(over).collect();
        candidates.sort_by_key(|vm| (vm.place.class != PriceClass::OnDemand, vm.name.clone()));
        let vm = candidates.first()?;
        Some(FleetAction::Release { id: vm.id.clone() })
    }
}

fn count_by_place(vms: &[&HeldVm]) -> HashMap<FleetPlace, usize> {
    let mut counts: HashMap<FleetPlace, usize> = HashMap::new();
    for vm in vms {
        *counts.entry(vm.place.clone()).or_default() += 1;
    }
    counts
}
