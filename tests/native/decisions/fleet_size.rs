//! Numbers of VMs by availability zone and price class, and the planner's rounds.

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

fn count_of(counts: &BTreeMap<FleetPlace, usize>, class: PriceClass) -> usize {
    counts.iter().filter(|(place, _)| place.class == class).map(|(_, count)| *count).sum()
}

proptest! {
    /// Adding the best VM one by one, against all fleets there are.
    #[test]
    fn fleet_choice_is_near_the_best(
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
        prop_assert!(cost <= best * 1.02 + 1e-9, "{cost} {best} {chosen:?}");
    }
}

/// The weights are settings, and they change the decision: where recomputed tokens weigh
/// much, VMs that stay are worth their price; where cost weighs more, they are not.
#[googletest::test]
fn recompute_weight_changes_the_fleet() {
    let prices = prices(1.0, [0.3, 0.3]);
    let held = HashMap::new();
    let light = choose_counts(6.0, &prices, &held, &fleet_weights(20.0, 0.05, 0.5), 100);
    let heavy = choose_counts(6.0, &prices, &held, &fleet_weights(20.0, 0.05, 30.0), 100);
    expect_that!(count_of(&light, PriceClass::OnDemand), eq(0));
    expect_that!(count_of(&heavy, PriceClass::Reclaimable), eq(0));
    expect_that!(count_of(&heavy, PriceClass::OnDemand), ge(6));
}

#[googletest::test]
fn small_change_of_price_moves_nothing() {
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

/// In a wave nothing is released, and refused starts are tried in other places.
#[googletest::test]
fn wave_holds_capacity_and_tries_other_places() {
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
    // Demand falls at once: what is held stays, for the wave and for some time after.
    let quiet = service_fleet(0.1, (1..6).map(|number| held_vm(number, "b", false)).collect());
    expect_that!(planner.decide(&quiet, &prices, now + millis(400_000)), is_empty());
    planner.decide(&quiet, &prices, now + millis(700_000));
    let released = planner.decide(&quiet, &prices, now + millis(1_100_000));
    expect_that!(released, elements_are![pat!(FleetAction::Release { id: anything() })]);
}

/// Two planners that do not know of each other ask for the same names, so that the cloud
/// starts each VM once.
#[googletest::test]
fn two_planners_choose_the_same_names() {
    let prices = prices(1.0, [0.3, 0.4]);
    let now = Instant::now();
    let view = || service_fleet(5.0, vec![held_vm(1, "b", false)]);
    let first = FleetPlanner::default().decide(&view(), &prices, now);
    let second = FleetPlanner::default().decide(&view(), &prices, now);
    expect_that!(first.len(), ge(3));
    expect_that!(second, eq(&first));
}
