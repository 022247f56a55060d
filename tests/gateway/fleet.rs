//! Plan of the endpoints to hold.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::{
        configuration::FleetSpec,
        policy::leader::{
            fleet_size::{EndpointPlanner, ServiceDemand},
            reclaim_wave::ReclaimWave,
            zone_plan::{PriceClass, ReclaimRisk, ZoneHolding},
        },
    },
    ids::SharedName,
};

const ZONES: [&str; 4] = ["a", "b", "c", "d"];

fn spec() -> FleetSpec {
    FleetSpec {
        min: 1,
        max: 10,
        start_time: Duration::from_secs(4),
        reclaimable_price: Some(0.15),
        zone_prices: ZONES.iter().map(|zone| ((*zone).into(), 1.0)).collect(),
    }
}

fn held(reclaimable: [u32; 4], on_demand: [u32; 4]) -> BTreeMap<SharedName, ZoneHolding> {
    let holding =
        |place: usize| ZoneHolding { reclaimable: reclaimable[place], on_demand: on_demand[place] };
    ZONES.iter().enumerate().map(|(place, zone)| ((*zone).into(), holding(place))).collect()
}

fn planner(running: f64) -> EndpointPlanner {
    let mut planner = EndpointPlanner::new(None, Instant::now());
    let demand =
        ServiceDemand { prefill_rate: 0.0, endpoint_prefill_rate: 40_000.0, running, slots: 10.0 };
    planner.observe(&demand, 20, Instant::now());
    planner
}

fn total(
    planner: &EndpointPlanner,
    held: &BTreeMap<SharedName, ZoneHolding>,
    class: PriceClass,
) -> u32 {
    let targets = planner.plan(&spec(), held, ReclaimRisk::OneZone);
    targets.iter().filter(|((_, of), _)| *of == class).map(|(_, count)| count).sum()
}

#[googletest::test]
fn reclaimable_endpoints_suffice_when_a_zone_goes() {
    for running in [6.0, 30.0, 72.0, 100.0] {
        let planner = planner(running);
        let targets = planner.plan(&spec(), &held([0; 4], [5; 4]), ReclaimRisk::OneZone);
        for zone in ZONES {
            let others: u32 = targets
                .iter()
                .filter(|((of, class), _)| &**of != zone && *class == PriceClass::Reclaimable)
                .map(|(_, count)| count)
                .sum();
            expect_that!(
                f64::from(others),
                ge(planner.required()),
                "{running} running, {zone} gone"
            );
        }
    }
}

#[googletest::test]
fn on_demand_ones_stay_until_reclaimable_ones_serve_and_return_when_these_are_missing() {
    let planner = planner(72.0);
    let before = total(&planner, &held([0; 4], [5; 4]), PriceClass::OnDemand);
    expect_that!(f64::from(before), ge(planner.required()));
    let calm = total(&planner, &held([4; 4], [0; 4]), PriceClass::OnDemand);
    expect_that!(calm, eq(0));
    let zones_gone = total(&planner, &held([4, 4, 0, 0], [0; 4]), PriceClass::OnDemand);
    expect_that!(zones_gone, gt(0));
}

#[googletest::test]
fn required_number_decays_slowly_and_not_without_demand() {
    let start = Instant::now();
    let mut planner = EndpointPlanner::new(None, start);
    planner.estimate_from_held(&held([0; 4], [5; 4]), start);
    expect_that!(planner.required(), near(17.0, 0.1));
    let later = start + Duration::from_secs(60);
    planner.observe(&ServiceDemand::default(), 20, later);
    expect_that!(planner.required(), near(17.0, 0.1));
    let little =
        ServiceDemand { prefill_rate: 0.0, endpoint_prefill_rate: 1.0, running: 3.0, slots: 10.0 };
    planner.observe(&little, 20, later + Duration::from_secs(10));
    expect_that!(planner.required(), all!(lt(11.0), gt(9.5)));
}

#[googletest::test]
fn zones_without_reclaimable_endpoints_hold_no_room_for_them() {
    let mut planner = planner(120.0);
    let gone = held([0; 4], [5; 4]);
    let before = total(&planner, &gone, PriceClass::OnDemand);
    for zone in ZONES {
        planner.record_capacity_refusal(&zone.into(), Instant::now());
    }
    let dry = total(&planner, &gone, PriceClass::OnDemand);
    expect_that!(f64::from(dry), ge(planner.required()));
    expect_that!(dry, gt(before));
    for count in planner.plan(&spec(), &gone, ReclaimRisk::OneZone).into_values() {
        expect_that!(count, le(10));
    }
}

#[googletest::test]
fn full_endpoints_do_not_raise_the_required_number_without_bound() {
    let start = Instant::now();
    let mut planner = EndpointPlanner::new(None, start);
    // Few endpoints, slow because they are full: more requests run than they can serve.
    let overloaded = ServiceDemand {
        prefill_rate: 4e6,
        endpoint_prefill_rate: 20_000.0,
        running: 400.0,
        slots: 10.0,
    };
    planner.observe(&overloaded, 10, start);
    expect_that!(planner.required(), le(15.0));
    planner.observe(&overloaded, 14, start + Duration::from_secs(4));
    expect_that!(planner.required(), le(21.0));
}

#[googletest::test]
fn orders_wait_until_the_list_has_stopped_growing() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut planner = EndpointPlanner::new(None, start);
    for (ms, count) in [(0, 1), (500, 2), (1_000, 4), (1_500, 5), (2_000, 5), (2_400, 5)] {
        planner.estimate_from_held(&held([0; 4], [count; 4]), at(ms));
        expect_that!(planner.is_settled(at(ms)), eq(false), "after {ms} ms");
    }
    expect_that!(planner.is_settled(at(3_000)), eq(true));
    // What comes later was ordered.
    planner.estimate_from_held(&held([0; 4], [6; 4]), at(4_000));
    expect_that!(planner.is_settled(at(4_100)), eq(true));
}

#[googletest::test]
fn successor_goes_on_from_the_required_number() {
    let start = Instant::now();
    let mut planner = EndpointPlanner::new(Some(24.0), start);
    // A zone has just gone: what is left says little of what is needed.
    planner.estimate_from_held(&held([2, 2, 2, 0], [0; 4]), start);
    expect_that!(planner.required(), near(24.0, 0.1));
}

#[googletest::test]
fn on_demand_ones_suffice_alone_while_all_zones_may_go() {
    let planner = planner(72.0);
    let held = held([5; 4], [0; 4]);
    let targets = planner.plan(&spec(), &held, ReclaimRisk::AllZones);
    let on_demand = targets.iter().filter(|((_, class), _)| *class == PriceClass::OnDemand);
    let on_demand: u32 = on_demand.map(|(_, count)| count).sum();
    expect_that!(f64::from(on_demand), ge(planner.required()));
    expect_that!(total(&planner, &held, PriceClass::OnDemand), eq(0));
}

#[googletest::test]
fn zone_that_goes_endangers_the_others_for_a_while_and_fewer_in_a_zone_do_not() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let risk = |wave: &ReclaimWave, ms| wave.risk(spec().start_time, at(ms));
    let mut wave = ReclaimWave::default();
    wave.observe(&held([5; 4], [0; 4]), at(0));
    wave.observe(&held([5, 5, 5, 1], [0; 4]), at(500));
    expect_that!(risk(&wave, 500), eq(ReclaimRisk::OneZone));
    wave.observe(&held([5, 5, 5, 0], [0; 4]), at(1_000));
    expect_that!(risk(&wave, 1_000), eq(ReclaimRisk::AllZones));
    wave.observe(&held([5; 4], [0; 4]), at(6_000));
    expect_that!(risk(&wave, 10_900), eq(ReclaimRisk::AllZones));
    expect_that!(risk(&wave, 11_000), eq(ReclaimRisk::OneZone));
}
