//! Cost of the VMs during a burst of load with waves of reclaims: compares the planner of the
//! daemons, simulated minute by minute, with simple strategies and with a lower bound that knows
//! the future.

use std::{collections::HashMap, time::Duration};

use rand::{RngExt, SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    ids::SharedName,
    native::{
        cloud_api::messages::{PriceClass, PriceEntry},
        decide::fleet::{
            FleetAction, FleetPlace, FleetPlanner, FleetWeights, HeldVm, ServiceFleet,
        },
    },
};

use crate::{
    SEEDS,
    report::{StrategyResults, plot_seeds, write_table},
};

const MINUTES: usize = 720;
const START_MINUTES: usize = 2;
const ZONES: usize = 4;
const SHORTAGE: f64 = 20.0;
const ZONE_LOSS_PER_HOUR: f64 = 0.02;
const REPLACE_HOURS: f64 = 0.1;
/// Number of times the planner decides in a minute.
const PLANNER_ROUNDS: usize = 4;
/// Minutes of surplus after which the simple strategies release a VM.
const RELEASE_AFTER_MINUTES: usize = 5;

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Planner { recompute: f64 },
    OnDemandOnly,
    CheapestOnly,
}

/// Load, prices and reclaims of one seed, the same for all strategies.
struct Scenario {
    /// Number of VMs needed, by minute.
    need: Vec<f64>,
    /// Prices, by minute.
    prices: Vec<Vec<PriceEntry>>,
    /// Zone whose reclaimable VMs are reclaimed, by minute.
    waves: HashMap<usize, usize>,
    /// Periods in which a zone refuses to start reclaimable VMs: zone, first minute, end.
    refusals: Vec<(usize, usize, usize)>,
}

fn zone(index: usize) -> SharedName {
    format!("z{index}").into()
}

fn random_scenario(seed: u64, burst: f64) -> Scenario {
    let mut rng = SmallRng::seed_from_u64(seed);
    let need = (0..MINUTES)
        .map(|minute| {
            let peak = (-((minute as f64 - 330.0) / 110.0).powi(2)).exp() * burst;
            (4.0 + peak) * rng.random_range(0.95..1.05)
        })
        .collect();
    let mut reclaimable: Vec<f64> = (0..ZONES).map(|_| rng.random_range(0.25..0.4)).collect();
    let prices = (0..MINUTES)
        .map(|_| {
            let mut entries = Vec::new();
            for (index, price) in reclaimable.iter_mut().enumerate() {
                *price = (*price * rng.random_range(0.99..1.01)).clamp(0.2, 0.6);
                let entry = |class, per_hour| PriceEntry { zone: zone(index), class, per_hour };
                entries.push(entry(PriceClass::OnDemand, 1.0));
                entries.push(entry(PriceClass::Reclaimable, *price));
            }
            entries
        })
        .collect();
    let mut waves = HashMap::new();
    let mut refusals = Vec::new();
    // During the burst, the VMs of two zones are reclaimed one after the other.
    let first = rng.random_range(240..400);
    let zones = [rng.random_range(0..ZONES), rng.random_range(0..ZONES)];
    for (number, zone) in zones.into_iter().enumerate() {
        let minute = first + number * rng.random_range(3..12);
        waves.insert(minute, zone);
        refusals.push((zone, minute.saturating_sub(2), minute + 40));
    }
    Scenario { need, prices, waves, refusals }
}

#[derive(Clone)]
struct Vm {
    number: usize,
    name: SharedName,
    place: FleetPlace,
    ready_at: usize,
}

struct Outcome {
    vm_cost: f64,
    missing: f64,
    needed: f64,
    reclaimed: f64,
}

/// Actions of a simple strategy, which follows the current need: the number of VMs to start, their
/// place, and the number of surplus VMs.
fn simple_strategy_actions(
    strategy: Strategy,
    need: f64,
    vms: &[Vm],
    prices: &[PriceEntry],
) -> (usize, FleetPlace, usize) {
    let class = if strategy == Strategy::OnDemandOnly {
        PriceClass::OnDemand
    } else {
        PriceClass::Reclaimable
    };
    let of_class = prices.iter().filter(|price| price.class == class);
    let cheapest = of_class.min_by(|left, right| left.per_hour.total_cmp(&right.per_hour));
    let place = FleetPlace { zone: cheapest.map_or(zone(0), |price| price.zone.clone()), class };
    let target = need.ceil() as usize;
    (target.saturating_sub(vms.len()), place, vms.len().saturating_sub(target))
}

fn simulate(scenario: &Scenario, strategy: Strategy) -> Outcome {
    let mut run = FleetRun::new(scenario, strategy);
    for minute in 0..MINUTES {
        run.lose_wave(minute);
        match strategy {
            Strategy::Planner { recompute } => run.follow_planner(minute, recompute),
            Strategy::OnDemandOnly | Strategy::CheapestOnly => run.follow_need(minute),
        }
        run.add_costs(minute);
    }
    run.outcome
}

/// Simulation of one strategy in a scenario.
struct FleetRun<'a> {
    scenario: &'a Scenario,
    strategy: Strategy,
    base: Instant,
    planner: FleetPlanner,
    vms: Vec<Vm>,
    started: usize,
    /// Last minute without a surplus.
    no_surplus_at: usize,
    outcome: Outcome,
}

impl<'a> FleetRun<'a> {
    fn new(scenario: &'a Scenario, strategy: Strategy) -> Self {
        Self {
            scenario,
            strategy,
            base: Instant::now(),
            planner: FleetPlanner::default(),
            vms: Vec::new(),
            started: 0,
            no_surplus_at: 0,
            outcome: Outcome { vm_cost: 0.0, missing: 0.0, needed: 0.0, reclaimed: 0.0 },
        }
    }

    fn at(&self, minute: usize) -> Instant {
        self.base + Duration::from_secs(60 * minute as u64)
    }

    /// Removes the VMs that are reclaimed in this minute; the planner gets the notice first.
    fn lose_wave(&mut self, minute: usize) {
        let Some(lost) = self.scenario.waves.get(&minute) else { return };
        let lost = FleetPlace { zone: zone(*lost), class: PriceClass::Reclaimable };
        if let Strategy::Planner { recompute } = self.strategy {
            let view = service_view(&self.vms, self.scenario.need[minute], recompute, Some(&lost));
            self.planner.decide(&view, &self.scenario.prices[minute], self.at(minute));
        }
        self.outcome.reclaimed += self.vms.iter().filter(|vm| vm.place == lost).count() as f64;
        self.vms.retain(|vm| vm.place != lost);
    }

    /// Carries out the decisions of the planner, which decides several times a minute.
    fn follow_planner(&mut self, minute: usize, recompute: f64) {
        let now = self.at(minute);
        for _ in 0..PLANNER_ROUNDS {
            let view = service_view(&self.vms, self.scenario.need[minute], recompute, None);
            for action in self.planner.decide(&view, &self.scenario.prices[minute], now) {
                match action {
                    FleetAction::Start { name, place } => {
                        if !self.start(minute, &place, Some(name)) {
                            self.planner.refused(&place, now);
                        }
                    }
                    FleetAction::Release { id } => self.vms.retain(|vm| vm_id(vm) != id),
                }
            }
        }
    }

    /// Starts the missing VMs and, like the planner, releases surplus ones only after some minutes.
    fn follow_need(&mut self, minute: usize) {
        let need = self.scenario.need[minute];
        let (starts, place, surplus) =
            simple_strategy_actions(self.strategy, need, &self.vms, &self.scenario.prices[minute]);
        for _ in 0..starts {
            self.start(minute, &place, None);
        }
        self.no_surplus_at = if surplus == 0 { minute } else { self.no_surplus_at };
        if minute - self.no_surplus_at >= RELEASE_AFTER_MINUTES {
            self.vms.truncate(self.vms.len() - surplus.min(1));
        }
    }

    /// Starts a VM; returns `false` if its zone refuses.
    fn start(&mut self, minute: usize, place: &FleetPlace, name: Option<SharedName>) -> bool {
        let refuses = place.class == PriceClass::Reclaimable
            && self.scenario.refusals.iter().any(|(refused, from, until)| {
                zone(*refused) == place.zone && (*from..*until).contains(&minute)
            });
        if refuses {
            return false;
        }
        self.started += 1;
        let number = self.started;
        let name = name.unwrap_or_else(|| format!("n{number}").into());
        let ready_at = if minute == 0 { 0 } else { minute + START_MINUTES };
        self.vms.push(Vm { number, name, place: place.clone(), ready_at });
        true
    }

    fn add_costs(&mut self, minute: usize) {
        let (need, prices) = (self.scenario.need[minute], &self.scenario.prices[minute]);
        let ready = self.vms.iter().filter(|vm| vm.ready_at <= minute).count() as f64;
        self.outcome.missing += (need - ready).max(0.0);
        self.outcome.needed += need;
        let price_of = |vm: &Vm| {
            let same =
                |price: &&PriceEntry| price.zone == vm.place.zone && price.class == vm.place.class;
            prices.iter().find(same).map_or(0.0, |price| price.per_hour)
        };
        self.outcome.vm_cost += self.vms.iter().map(price_of).sum::<f64>() / 60.0;
    }
}

fn vm_id(vm: &Vm) -> SharedName {
    format!("vm-{}", vm.number).into()
}

fn service_view(vms: &[Vm], need: f64, recompute: f64, lost: Option<&FleetPlace>) -> ServiceFleet {
    let held = vms
        .iter()
        .map(|vm| HeldVm {
            id: vm_id(vm),
            name: vm.name.clone(),
            place: vm.place.clone(),
            leaving: Some(&vm.place) == lost,
        })
        .collect();
    let weights = FleetWeights {
        shortage: SHORTAGE,
        zone_loss: ZONE_LOSS_PER_HOUR,
        replace_hours: REPLACE_HOURS,
        reclaim: recompute,
    };
    ServiceFleet {
        service: "m".into(),
        required: need,
        bounds: (0, 1_000),
        held,
        pending: Vec::new(),
        weights,
    }
}

/// Lower bound of the cost of any fleet: the need of each minute at its cheapest price.
fn lower_bound(scenario: &Scenario) -> f64 {
    let minutes = scenario.need.iter().zip(&scenario.prices);
    let cost = minutes.map(|(need, prices)| {
        let cheapest = prices.iter().map(|price| price.per_hour).fold(f64::INFINITY, f64::min);
        need * cheapest / 60.0
    });
    cost.sum()
}

pub fn fleet() {
    let strategies = [
        ("ours, bakery (reclaim 0.1)", Strategy::Planner { recompute: 0.1 }),
        ("ours, Inkbridge (reclaim 3)", Strategy::Planner { recompute: 3.0 }),
        ("on-demand only", Strategy::OnDemandOnly),
        ("cheapest only", Strategy::CheapestOnly),
    ];
    let mut results = Vec::new();
    for (name, strategy) in strategies {
        let values = SEEDS.map(|seed| {
            let scenario = random_scenario(seed, 24.0);
            let outcome = simulate(&scenario, strategy);
            let missing = outcome.missing / outcome.needed * 100.0;
            let total = outcome.vm_cost + outcome.missing / 60.0 * SHORTAGE;
            vec![outcome.vm_cost, missing, total, total / lower_bound(&scenario), outcome.reclaimed]
        });
        results.push(StrategyResults { label: name, values: values.collect() });
    }
    let about = format!(
        "{} hours with a burst to seven times the base; during it two zones' reclaimable VMs go \
         one after another and those zones refuse starts for 40 minutes; a start takes \
         {START_MINUTES} minutes; prices drift. Missing: share of the needed VM minutes. With \
         shortage: a missing VM hour at {SHORTAGE} units. Bound: the need of each minute at its \
         cheapest price, no loss, no start-up, fractions of VMs allowed.",
        MINUTES / 60
    );
    let measures =
        ["VM cost", "missing, %", "cost with shortage", "over the bound, times", "VMs reclaimed"];
    write_table("fleet", &about, &measures, &results);
    plot_seeds("fleet", "cost with shortage", 2, &results);
}
