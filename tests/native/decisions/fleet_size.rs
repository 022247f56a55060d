//! Numbers of VMs per availability zone and price class, and the actions of the planner.

use std::collections::{BTreeMap, HashMap};

use googletest::prelude::*;
use proptest::prelude::*;
use tokio::time::Instant;
use willowarch::native::{
    cloud_api::messages::{PriceClass, PriceEntry},
    decide::fleet::{
        FleetAction, FleetPlace, FleetPlanner, FleetWeights, HeldVm, ServiceFleet, choose_counts,
        expected_cost,
    },
};

use super::millis;

fn prices(on_demand: f64, reclaimable: [f64; 2]) -> Vec<PriceEntry> {
    let entry = |zone: &str, class, per_hour| PriceEntry { zone: zone.into(), class, per_hour };
    vec![
        entry("a", PriceClass::OnDemand, on_demand),
        entry("a", PriceClass::Reclaimable, reclaimable[0]),
        entry("b", PriceClass::OnDemand, on_demand),
        entry("b", PriceClass::Reclaimable, reclaimable[1]),
    ]
}

fn fleet_weights(shortage: f64, zone_loss: f64, reclaim: f64) -> FleetWeights {
    FleetWeights { shortage, zone_loss, replace_hours: 1.0, reclaim }
}

fn class_count(counts: &BTreeMap<FleetPlace, usize>, class: PriceClass) -> usize {
    counts.iter().filter(|(place, _)| place.class == class).map(|(_, count)| *count).sum()
}

proptest! {
    /// The greedy choice, which adds the best VM one at a time, costs at most 2% more than the
    /// best of all fleets of up to 5 VMs per zone and price class.
    #[test]
    fn greedy_fleet_costs_at_most_2_percent_above_the_optimum(
        need in 0.5_f64..4.0,
        first in 0.1_f64..0.9,
        second in 0.1_f64..0.9,
        zone_loss in 0.0_f64..0.2,
        shortage in 2.0_f64..30.0,
        reclaim in 0.0_f64..3.0,
    ) {
        let prices = prices(1.0, [first, second]);
        let weights = fleet_weights(shortage, zone_loss, reclaim);
        let chosen = choose_counts(need, &prices, &HashMap::new(), &weights, 100);
        let cost = expected_cost(need, &chosen, &prices, &weights);
        let mut best = f64::INFINITY;
        for code in 0..6_usize.pow(4) {
            let mut code = code;
            let mut counts = BTreeMap::new();
            for price in &prices {
                let place = FleetPlace { zone: price.zone.clone(), class: price.class };
                counts.insert(place, code % 6);
                code /= 6;
            }
            best = best.min(expected_cost(need, &counts, &prices, &weights));
        }
        prop_assert!(cost <= best * 1.02 + 1e-9, "cost {cost}, optimum {best}, chosen {chosen:?}");
    }
}

/// Guards against a recompute weight without effect: with a high weight of recomputed
/// tokens, on-demand VMs are worth their price; with a low one, reclaimable VMs are cheaper.
#[googletest::test]
fn recompute_weight_changes_the_fleet() {
    let prices = prices(1.0, [0.3, 0.3]);
    let held = HashMap::new();
    let light = choose_counts(6.0, &prices, &held, &fleet_weights(20.0, 0.05, 0.5), 100);
    let heavy = choose_counts(6.0, &prices, &held, &fleet_weights(20.0, 0.05, 30.0), 100);
    expect_that!(class_count(&light, PriceClass::OnDemand), eq(0));
    expect_that!(class_count(&heavy, PriceClass::Reclaimable), eq(0));
    expect_that!(class_count(&heavy, PriceClass::OnDemand), ge(6));
}

/// Guards against VMs that move between zones at each small change of price.
#[googletest::test]
fn small_price_change_keeps_the_fleet() {
    let weights = fleet_weights(20.0, 0.05, 0.5);
    let before = choose_counts(6.0, &prices(1.0, [0.30, 0.31]), &HashMap::new(), &weights, 100);
    let held: HashMap<FleetPlace, usize> = before.clone().into_iter().collect();
    let after = choose_counts(6.0, &prices(1.0, [0.31, 0.30]), &held, &weights, 100);
    expect_that!(after, eq(&before));
}

fn held_vm(number: usize, zone: &str, leaving: bool) -> HeldVm {
    let place = FleetPlace { zone: zone.into(), class: PriceClass::Reclaimable };
    HeldVm { id: format!("vm-{number}").into(), name: format!("n{number}").into(), place, leaving }
}

fn service_fleet(need: f64, held: Vec<HeldVm>) -> ServiceFleet {
    ServiceFleet {
        service: "model".into(),
        required: need,
        bounds: (0, 100),
        held,
        pending: Vec::new(),
        weights: fleet_weights(20.0, 0.02, 0.5),
    }
}

/// During a wave of reclaims no VM is released, and starts that the cloud has refused are
/// tried in other zones or price classes. Guards against a fleet that shrinks while capacity
/// is short, or that repeats starts which were just refused.
#[googletest::test]
fn wave_of_reclaims_keeps_vms_and_starts_go_to_other_places() {
    let mut planner = FleetPlanner::default();
    let prices = prices(1.0, [0.3, 0.3]);
    let now = Instant::now();
    let held = vec![held_vm(0, "a", true), held_vm(1, "b", false)];
    let actions = planner.decide(&service_fleet(3.0, held), &prices, now);
    let places: Vec<FleetPlace> = actions
        .iter()
        .filter_map(|action| match action {
            FleetAction::Start { place, .. } => Some(place.clone()),
            FleetAction::Release { .. } => None,
        })
        .collect();
    expect_that!(places.len(), ge(2));
    for place in &places {
        planner.refused(place, now);
    }
    let again = planner.decide(&service_fleet(3.0, vec![held_vm(1, "b", false)]), &prices, now);
    for action in &again {
        let FleetAction::Start { place, .. } = action else { continue };
        expect_false!(places.contains(place));
    }
    // Demand drops at once: the VMs are kept during the wave and for some time after it.
    let low_demand = service_fleet(0.1, (1..6).map(|number| held_vm(number, "b", false)).collect());
    expect_that!(planner.decide(&low_demand, &prices, now + millis(400_000)), is_empty());
    planner.decide(&low_demand, &prices, now + millis(700_000));
    let released = planner.decide(&low_demand, &prices, now + millis(1_100_000));
    expect_that!(released, elements_are![pat!(FleetAction::Release { id: anything() })]);
}

/// Two planners with the same data and without contact to each other choose the same VM
/// names, so that the cloud starts each VM once.
#[googletest::test]
fn two_planners_choose_the_same_names() {
    let prices = prices(1.0, [0.3, 0.4]);
    let now = Instant::now();
    let fleet = || service_fleet(5.0, vec![held_vm(1, "b", false)]);
    let first = FleetPlanner::default().decide(&fleet(), &prices, now);
    let second = FleetPlanner::default().decide(&fleet(), &prices, now);
    expect_that!(first.len(), ge(3));
    expect_that!(second, eq(&first));
}
