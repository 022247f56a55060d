//! How many VMs of a service to hold, in which availability zone and price class.
//!
//! Decides which VMs to start and which to release, for the planner on the native path
//! (`serve::planning::planner`). The gateway's `gateway::policy::leader::fleet_size` spreads
//! endpoints by fixed rules, whereas this module minimizes an expected cost, so the two do not
//! share code.
//!
//! Inputs: the number of VMs required (from averages of load that are one to two epochs of 2 s
//! old), the prices of this round, the VMs held (the VM list, read every 2 s), and the weights
//! from the service's row. If the load is unknown, the planner passes the number of VMs held as
//! the number required.
//!
//! The cost model has these states: either all VMs are there, or all reclaimable VMs of one zone
//! are gone and not yet replaced. An additional VM saves expected shortage over these states. It
//! costs its price, and the tokens that are computed again if it is reclaimed. Counts are improved
//! by moving chunks of VMs between places, large chunks first, as long as the expected cost
//! decreases.

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

/// How long fewer VMs must have been enough before one is released; longer than starting a VM
/// takes.
const RELEASE_AFTER: Duration = Duration::from_secs(300);
/// How long no VM is released after a reclaim notice or a refused start: in a wave of reclaims, one
/// zone after another loses its VMs.
const RECLAIM_WAVE_HOLD: Duration = Duration::from_secs(600);
/// Pause before a place that refused a start is tried again, a few planner rounds; each further
/// refusal doubles it.
const FIRST_REFUSAL_PAUSE: Duration = Duration::from_secs(10);
/// Longest pause before a place that refused a start is tried again: as long as releases are held
/// back (`RECLAIM_WAVE_HOLD`).
const LONGEST_REFUSAL_PAUSE: Duration = Duration::from_secs(600);
/// Most VMs started in one round, which limits what a wrong input can cost before the next round.
const STARTS_PER_ROUND: usize = 16;

/// Availability zone and price class of a VM.
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
    /// Probability that a given zone loses its reclaimable VMs within an hour.
    pub zone_loss: f64,
    /// Time until lost VMs are replaced, in hours; longer if the cloud refuses starts.
    pub replace_hours: f64,
    /// Cost of the reclaim of one VM, whose streams' tokens are computed again, in cost units.
    pub reclaim: f64,
}

/// Chooses the number of VMs at each place so that `required` VMs (possibly a fraction) are
/// available, with at most `max` in total.
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
/// Only tests call it: they compare the result of [`choose_counts`] with all possible fleets by
/// the same cost function, which is private to this module.
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

/// A VM that the service holds.
#[derive(Clone, Debug, PartialEq)]
pub struct HeldVm {
    /// Id of the VM.
    pub id: SharedName,
    /// Name under which it was started.
    pub name: SharedName,
    /// Its zone and price class.
    pub place: FleetPlace,
    /// Whether it has a reclaim notice.
    pub leaving: bool,
}

/// State of one service at the planner.
#[derive(Clone, Debug)]
pub struct ServiceFleet {
    /// Name of the service.
    pub service: SharedName,
    /// VMs that its load requires now, possibly a fraction.
    pub required: f64,
    /// Fewest and most VMs, from its row.
    pub bounds: (usize, usize),
    /// VMs that it holds.
    pub held: Vec<HeldVm>,
    /// Names of VMs that were planned but are not in the VM list yet.
    pub pending: Vec<SharedName>,
    /// Weights from its row.
    pub weights: FleetWeights,
}

/// A change of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetAction {
    /// Start a VM under this name.
    Start {
        /// Name of the VM; starting the same name twice starts one VM.
        name: SharedName,
        /// Its zone and price class.
        place: FleetPlace,
    },
    /// Release a VM.
    Release {
        /// Id of the VM.
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
    /// When fewer VMs began to be enough, by service.
    surplus_since: HashMap<SharedName, Instant>,
    reclaim_wave_until: Option<Instant>,
    leaving_seen: HashSet<SharedName>,
}

impl FleetPlanner {
    /// Records a refused start; the place is not tried again for a while.
    pub fn refused(&mut self, place: &FleetPlace, now: Instant) {
        let pause = match self.refused.get(place) {
            Some(before) => (before.pause * 2).min(LONGEST_REFUSAL_PAUSE),
            None => FIRST_REFUSAL_PAUSE,
        };
        self.refused.insert(place.clone(), RefusedPlace { until: now + pause, pause });
        self.reclaim_wave_until = Some(now + RECLAIM_WAVE_HOLD);
    }

    /// Whether a place is not tried now because it refused a start.
    pub fn is_refused(&self, place: &FleetPlace, now: Instant) -> bool {
        self.refused.get(place).is_some_and(|refused| now < refused.until)
    }

    /// Records a successful start.
    pub fn started(&mut self, place: &FleetPlace) {
        self.refused.remove(place);
    }

    /// Whether VMs are being reclaimed or starts refused, during which no VM is released.
    pub fn in_reclaim_wave(&self, now: Instant) -> bool {
        self.reclaim_wave_until.is_some_and(|until| now < until)
    }

    fn record_leaving(&mut self, fleet: &ServiceFleet, now: Instant) {
        for vm in fleet.held.iter().filter(|vm| vm.leaving) {
            if self.leaving_seen.insert(vm.id.clone()) {
                self.reclaim_wave_until = Some(now + RECLAIM_WAVE_HOLD);
            }
        }
    }

    /// Prices of the places that have not refused a start recently.
    fn open_places(&self, prices: &[PriceEntry], now: Instant) -> Vec<PriceEntry> {
        let open = prices.iter().filter(|price| !self.is_refused(&place_of(price), now));
        open.cloned().collect()
    }

    /// Decides what to start or release for one service in this round.
    pub fn decide(
        &mut self,
        fleet: &ServiceFleet,
        prices: &[PriceEntry],
        now: Instant,
    ) -> Vec<FleetAction> {
        self.record_leaving(fleet, now);
        let open = self.open_places(prices, now);
        let staying: Vec<&HeldVm> = fleet.held.iter().filter(|vm| !vm.leaving).collect();
        let held = count_by_place(&staying);
        let required = fleet.required.max(fleet.bounds.0 as f64);
        // Includes the places that refuse starts, since VMs may still be held there.
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

    /// Starts VMs one by one at the place with the lowest expected cost, out of those that have
    /// not refused a start recently.
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

    /// Releases one VM from a place that holds more than wanted, the most expensive price class
    /// first. Does so only after the surplus has lasted for a while and outside a wave of reclaims.
    fn releases(
        &mut self,
        fleet: &ServiceFleet,
        staying: &[&HeldVm],
        target: &BTreeMap<FleetPlace, usize>,
        now: Instant,
    ) -> Option<FleetAction> {
        let since = *self.surplus_since.entry(fleet.service.clone()).or_insert(now);
        if self.in_reclaim_wave(now) || now.saturating_duration_since(since) < RELEASE_AFTER {
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
