//! The required number of endpoints of a service and their planned distribution over zones.

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
        |index: usize| ZoneHolding { reclaimable: reclaimable[index], on_demand: on_demand[index] };
    ZONES.iter().enumerate().map(|(index, zone)| ((*zone).into(), holding(index))).collect()
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
fn reclaimable_endpoints_suffice_if_a_zone_is_lost() {
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
                "{running} requests running, zone {zone} lost"
            );
        }
    }
}

#[googletest::test]
fn on_demand_endpoints_are_planned_only_while_reclaimable_ones_do_not_suffice() {
    let planner = planner(72.0);
    let before = total(&planner, &held([0; 4], [5; 4]), PriceClass::OnDemand);
    expect_that!(f64::from(before), ge(planner.required()));
    let enough_reclaimable = total(&planner, &held([4; 4], [0; 4]), PriceClass::OnDemand);
    expect_that!(enough_reclaimable, eq(0));
    let two_zones_lost = total(&planner, &held([4, 4, 0, 0], [0; 4]), PriceClass::OnDemand);
    expect_that!(two_zones_lost, gt(0));
}

#[googletest::test]
fn required_number_decays_slowly_and_only_with_observed_demand() {
    let start = Instant::now();
    let mut planner = EndpointPlanner::new(None, start);
    planner.estimate_from_held(&held([0; 4], [5; 4]), start);
    expect_that!(planner.required(), near(17.0, 0.1));
    let later = start + Duration::from_secs(60);
    planner.observe(&ServiceDemand::default(), 20, later);
    expect_that!(planner.required(), near(17.0, 0.1));
    let low_demand =
        ServiceDemand { prefill_rate: 0.0, endpoint_prefill_rate: 1.0, running: 3.0, slots: 10.0 };
    planner.observe(&low_demand, 20, later + Duration::from_secs(10));
    expect_that!(planner.required(), all!(lt(11.0), gt(9.5)));
}

#[googletest::test]
fn on_demand_endpoints_fill_zones_without_reclaimable_capacity() {
    let mut planner = planner(120.0);
    let none_reclaimable = held([0; 4], [5; 4]);
    let before = total(&planner, &none_reclaimable, PriceClass::OnDemand);
    for zone in ZONES {
        planner.record_capacity_refusal(&zone.into(), Instant::now());
    }
    let all_refused = total(&planner, &none_reclaimable, PriceClass::OnDemand);
    expect_that!(f64::from(all_refused), ge(planner.required()));
    expect_that!(all_refused, gt(before));
    for count in planner.plan(&spec(), &none_reclaimable, ReclaimRisk::OneZone).into_values() {
        expect_that!(count, le(10));
    }
}

#[googletest::test]
fn full_endpoints_do_not_raise_the_required_number_without_bound() {
    let start = Instant::now();
    let mut planner = EndpointPlanner::new(None, start);
    // A few endpoints that are slow because they are full: more requests are running than they can
    // serve.
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
fn planner_is_settled_once_the_list_has_stopped_growing() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut planner = EndpointPlanner::new(None, start);
    for (ms, count) in [(0, 1), (500, 2), (1_000, 4), (1_500, 5), (2_000, 5), (2_400, 5)] {
        planner.estimate_from_held(&held([0; 4], [count; 4]), at(ms));
        expect_that!(planner.is_settled(at(ms)), eq(false), "after {ms} ms");
    }
    expect_that!(planner.is_settled(at(3_000)), eq(true));
    // Endpoints listed later were ordered.
    planner.estimate_from_held(&held([0; 4], [6; 4]), at(4_000));
    expect_that!(planner.is_settled(at(4_100)), eq(true));
}

#[googletest::test]
fn new_leader_continues_with_the_recorded_required_number() {
    let start = Instant::now();
    let mut planner = EndpointPlanner::new(Some(24.0), start);
    // A zone was just lost: the remaining endpoints are fewer than required.
    planner.estimate_from_held(&held([2, 2, 2, 0], [0; 4]), start);
    expect_that!(planner.required(), near(24.0, 0.1));
}

#[googletest::test]
fn on_demand_endpoints_suffice_alone_while_all_zones_are_at_risk() {
    let planner = planner(72.0);
    let held = held([5; 4], [0; 4]);
    let targets = planner.plan(&spec(), &held, ReclaimRisk::AllZones);
    let on_demand = targets.iter().filter(|((_, class), _)| *class == PriceClass::OnDemand);
    let on_demand: u32 = on_demand.map(|(_, count)| count).sum();
    expect_that!(f64::from(on_demand), ge(planner.required()));
    expect_that!(total(&planner, &held, PriceClass::OnDemand), eq(0));
}

#[googletest::test]
fn lost_zone_puts_all_zones_at_risk_for_a_while_but_a_shrunken_one_does_not() {
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

/// Endpoints of a fleet while zone after zone is reclaimed. On-demand ones serve `START` after they
/// were planned.
struct ReclaimedFleet {
    planner: EndpointPlanner,
    held: BTreeMap<SharedName, ZoneHolding>,
    /// Time in ms from which so many on-demand endpoints serve.
    ordered: Vec<(u64, u32)>,
}

impl ReclaimedFleet {
    const START_MS: u64 = 4_000;

    /// A fleet of this many zones that holds what is planned without a risk.
    fn new(zones: usize, running: f64) -> Self {
        let planner = planner(running);
        let none: BTreeMap<SharedName, ZoneHolding> = (0..zones)
            .map(|zone| (format!("zone-{zone}").into(), ZoneHolding::default()))
            .collect();
        let targets = planner.plan(&spec(), &none, ReclaimRisk::OneZone);
        let held = none.into_keys().map(|zone| {
            let reclaimable = targets[&(zone.clone(), PriceClass::Reclaimable)];
            (zone, ZoneHolding { reclaimable, on_demand: 0 })
        });
        Self { held: held.collect(), planner, ordered: Vec::new() }
    }

    fn lose_zone(&mut self, index: usize, at_ms: u64) {
        let zone = self.held.values_mut().nth(index).expect("zone");
        zone.reclaimable = 0;
        let spec = FleetSpec { start_time: Duration::from_millis(Self::START_MS), ..spec() };
        let targets = self.planner.plan(&spec, &self.held, ReclaimRisk::AllZones);
        let on_demand = targets.iter().filter(|((_, class), _)| *class == PriceClass::OnDemand);
        let on_demand = on_demand.map(|(_, count)| count).sum();
        self.ordered.push((at_ms + Self::START_MS, on_demand));
    }

    fn serving(&self, at_ms: u64) -> u32 {
        let served = self.ordered.iter().filter(|(from_ms, _)| *from_ms <= at_ms);
        let on_demand = served.map(|(_, count)| *count).max().unwrap_or(0);
        on_demand + self.held.values().map(|holding| holding.reclaimable).sum::<u32>()
    }

    fn last_ordered(&self) -> u32 {
        self.ordered.last().map_or(0, |(_, count)| *count)
    }
}

/// What was ordered when a zone went must be there when as many more have gone as can meanwhile.
#[googletest::test]
fn capacity_suffices_while_all_zones_are_reclaimed_two_seconds_apart() {
    for zones in [4, 5, 7, 8] {
        let mut fleet = ReclaimedFleet::new(zones, 90.0);
        let required = fleet.planner.required();
        for lost in 0..zones {
            let at_ms = lost as u64 * 2_000;
            fleet.lose_zone(lost, at_ms);
            if at_ms >= ReclaimedFleet::START_MS {
                let serving = f64::from(fleet.serving(at_ms));
                expect_that!(serving, ge(required), "{zones} zones, {lost} lost before");
            }
        }
    }
}

/// One zone of seven was lost: on-demand endpoints for all of the load were held for 17 s beside the
/// reclaimable ones of six zones.
#[googletest::test]
fn zones_that_cannot_go_within_a_start_time_still_count() {
    let mut few = ReclaimedFleet::new(4, 90.0);
    few.lose_zone(0, 0);
    expect_that!(f64::from(few.last_ordered()), ge(few.planner.required()));
    let mut many = ReclaimedFleet::new(7, 90.0);
    many.lose_zone(0, 0);
    expect_that!(f64::from(many.last_ordered()), le(many.planner.required() * 0.7));
}
