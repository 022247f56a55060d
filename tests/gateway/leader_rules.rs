//! Rules of the leader without I/O: when the lease may be acquired and held, which usage window is
//! due, and which endpoint orders are sent.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::{
        configuration::FleetSpec,
        policy::leader::{
            endpoint_orders::{EndpointOrders, OrderResult, ZoneOrder},
            leader_lease::{
                ACQUIRE_MARGIN, AcquireDecision, HoldDecision, LeaseOwner, LossReason,
                ObservedLease, attempt_pause, decide_acquire, decide_hold, first_fence,
                highest_possible_fence,
            },
            observed_service::ObservedService,
            reclaim_wave::ReclaimWaves,
            usage_reports::{due_window, has_received_counts},
            zone_plan::{PriceClass, ReclaimRisk, ZoneHolding},
        },
    },
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

const LEASE: Duration = Duration::from_secs(3);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn observed(owner: LeaseOwner, released: bool, unchanged_ms: u64) -> Option<ObservedLease> {
    Some(ObservedLease { fence: 7, owner, released, unchanged_for: millis(unchanged_ms) })
}

#[googletest::test]
fn lease_is_acquired_only_when_it_was_released_or_has_expired() {
    let acquire = |fence| AcquireDecision::Acquire { fence };
    let other = LeaseOwner::Other;
    let unchanged_ms = (LEASE + ACQUIRE_MARGIN).as_millis() as u64;
    for (observed, decision) in [
        (None, acquire(1)),
        (observed(other, false, 0), AcquireDecision::Wait(LEASE + ACQUIRE_MARGIN)),
        (observed(other, false, unchanged_ms - 1), AcquireDecision::Wait(millis(1))),
        (observed(other, false, unchanged_ms), acquire(8)),
        (observed(other, true, 0), acquire(8)),
        (observed(LeaseOwner::EarlierProcess, false, 0), acquire(8)),
        (observed(LeaseOwner::ThisProcess, false, 0), acquire(7)),
    ] {
        let decided = decide_acquire(observed, LEASE, StoreEra(0));
        expect_that!(decided, eq(decision), "{observed:?}");
    }
}

/// A restored store may lack the lease record, and the daemon that acquires the lease then may know
/// of no earlier fence.
#[googletest::test]
fn fences_of_an_era_are_above_those_of_all_earlier_ones() {
    let unchanged_ms = (LEASE + ACQUIRE_MARGIN).as_millis() as u64;
    let mut highest = 0;
    for era in 0..5 {
        let first = decide_acquire(None, LEASE, StoreEra(era));
        expect_that!(first, eq(AcquireDecision::Acquire { fence: first_fence(StoreEra(era)) }));
        expect_that!(first_fence(StoreEra(era)), gt(highest), "era {era}");
        // Fence after a record of an earlier era.
        let next =
            decide_acquire(observed(LeaseOwner::Other, false, unchanged_ms), LEASE, StoreEra(era));
        expect_that!(
            next,
            eq(AcquireDecision::Acquire { fence: first_fence(StoreEra(era)).max(8) })
        );
        highest = highest_possible_fence(0, StorePosition::new(StoreEra(era), 1_000_000));
    }
}

#[googletest::test]
fn holder_renews_in_time_and_loses_the_lease_otherwise() {
    for (age_ms, is_leaving, decision) in [
        (0, false, HoldDecision::Keep),
        (1_000, false, HoldDecision::Keep),
        (1_100, false, HoldDecision::Renew),
        (3_000, false, HoldDecision::Renew),
        (3_001, false, HoldDecision::Lose(LossReason::NotRenewed)),
        (0, true, HoldDecision::Release),
        (3_001, true, HoldDecision::Lose(LossReason::NotRenewed)),
    ] {
        expect_that!(decide_hold(millis(age_ms), LEASE, is_leaving), eq(decision), "{age_ms} ms");
    }
}

/// In an outage of the store 195 daemons tried to read the lease ten times a second each: a day with
/// an outage of 7 s had 13,150 calls, most of the others under 7,000.
#[googletest::test]
fn fleets_of_any_size_try_about_equally_often_to_acquire_the_lease() {
    expect_that!(attempt_pause(true, 195), eq(millis(150)));
    for (daemons, max_per_s) in [(1, 7.0), (9, 70.0), (77, 70.0), (130, 70.0), (195, 100.0)] {
        let attempts_per_s = daemons as f64 / attempt_pause(false, daemons).as_secs_f64();
        expect_that!(attempts_per_s, le(max_per_s), "{daemons} daemons");
    }
    expect_that!(attempt_pause(false, 2_100), eq(millis(2_000)));
}

#[googletest::test]
fn windows_are_due_in_order_some_time_after_their_end() {
    let length = Duration::from_secs(2);
    for (last, now_ms, window) in [
        (None, 1_000, None),
        (None, 3_499, None),
        (None, 3_500, Some(0)),
        (None, 21_500, Some(9)),
        (Some(9), 21_500, None),
        (Some(8), 21_500, Some(9)),
        (Some(2), 21_500, Some(7)),
    ] {
        expect_that!(due_window(last, 0, now_ms, length), eq(window), "{last:?} at {now_ms} ms");
    }
}

#[googletest::test]
fn new_leader_reports_usage_only_after_receiving_all_counts() {
    for (age_ms, report_age_ms, expected) in [
        (100, 300, false),
        (999, 300, false),
        (1_000, 300, true),
        (1_000, 1_800, false),
        (3_600, 1_800, true),
    ] {
        let has_received = has_received_counts(millis(age_ms), millis(report_age_ms));
        expect_that!(has_received, eq(expected), "{age_ms} ms, reports {report_age_ms} ms old");
    }
}

fn spec() -> FleetSpec {
    FleetSpec {
        min: 1,
        max: 10,
        start_time: millis(4_000),
        reclaimable_price: Some(0.2),
        zone_prices: vec![("a".into(), 1.0), ("b".into(), 1.0)],
    }
}

/// Endpoints that are slow because others are lost have more requests running, although no more
/// arrive. On a day with two zones reclaimed within 6 s, 117 endpoints were required in place of 57,
/// most of them on demand, when the backlog was gone.
#[googletest::test]
fn backlog_of_a_shortage_does_not_raise_the_required_number() {
    let mut orders = Orders::new();
    let usual = ObservedService { running: 36.0, requests_per_s: 36.0, serving: 10, ..service(5) };
    for at_ms in (0..20_000).step_by(500) {
        orders.observe(&usual, at_ms);
    }
    let before = orders.required();
    for (step, serving) in [3, 4, 6, 9, 13].into_iter().enumerate() {
        let short = ObservedService { serving, running: 120.0, ..usual.clone() };
        let from_ms = 20_000 + 2_000 * step as u64;
        for at_ms in (from_ms..from_ms + 2_000).step_by(500) {
            orders.observe(&short, at_ms);
        }
    }
    expect_that!(orders.required(), le(before * 1.3));
    // More requests that arrive do raise it.
    let busy = ObservedService { running: 108.0, requests_per_s: 108.0, ..usual };
    for at_ms in (30_000..40_000).step_by(500) {
        orders.observe(&busy, at_ms);
    }
    expect_that!(orders.required(), ge(before * 2.0));
}

/// A service that holds this many reclaimable endpoints in each of two zones and requires two in
/// each.
fn service(held: u32) -> ObservedService {
    let holding = ZoneHolding { reclaimable: held, on_demand: 0 };
    ObservedService {
        held: [("a".into(), holding), ("b".into(), holding)].into(),
        serving: 2 * held as usize,
        running: 12.0,
        slots: 10.0,
        ..ObservedService::default()
    }
}

struct Orders {
    orders: EndpointOrders,
    start: Instant,
    service: SharedName,
}

impl Orders {
    /// Orders of a new holder; two endpoints were required so far.
    fn new() -> Self {
        let service: SharedName = "pool".into();
        let orders = EndpointOrders::after([(service.clone(), 2.0)].into());
        Self { orders, start: Instant::now(), service }
    }

    fn due(&mut self, at_ms: u64, held: u32) -> Vec<ZoneOrder> {
        let now = self.start + millis(at_ms);
        self.orders.due(&self.service, &spec(), &service(held), now)
    }

    fn observe(&mut self, observed: &ObservedService, at_ms: u64) {
        let now = self.start + millis(at_ms);
        self.orders.due(&self.service, &spec(), observed, now);
    }

    fn required(&self) -> f64 {
        self.orders.required(&self.service)
    }

    fn finish(&mut self, at_ms: u64, orders: &[ZoneOrder], result: OrderResult) {
        for order in orders {
            self.orders.finish(order, result, self.start + millis(at_ms));
        }
    }
}

#[googletest::test]
fn accepted_order_is_sent_again_if_the_list_does_not_change_in_time() {
    let mut orders = Orders::new();
    let due = orders.due(1_500, 1);
    expect_that!(due.len(), eq(2));
    expect_that!(due.iter().all(|order| order.class == PriceClass::Reclaimable), eq(true));
    expect_that!(due.iter().all(|order| order.count == 2), eq(true));
    orders.finish(1_500, &due, OrderResult::Accepted);
    expect_that!(orders.due(2_000, 1).len(), eq(0));
    expect_that!(orders.due(7_900, 1).len(), eq(0));
    expect_that!(orders.due(8_100, 1).len(), eq(2));
}

#[googletest::test]
fn new_holder_orders_reclaimable_endpoints_immediately_and_others_once_the_list_is_stable() {
    let mut orders = Orders::new();
    let due = orders.due(0, 1);
    expect_that!(due.len(), eq(2));
    for order in &due {
        expect_that!(order.class, eq(PriceClass::Reclaimable));
        expect_that!(order.count, eq(2));
    }
    // While the list still grows, endpoints may only seem to be missing or surplus.
    let mut others = Orders::new();
    expect_that!(
        others.due(0, 0).iter().any(|order| order.class == PriceClass::OnDemand),
        eq(false)
    );
    expect_that!(others.due(500, 5).len(), eq(0));
    expect_that!(others.due(1_400, 5).len(), eq(0));
}

#[googletest::test]
fn order_with_an_unknown_result_is_sent_again_immediately() {
    let mut orders = Orders::new();
    orders.due(0, 1);
    let due = orders.due(1_500, 1);
    orders.finish(1_500, &due, OrderResult::Unknown);
    expect_that!(orders.due(2_000, 1).len(), eq(2));
}

#[googletest::test]
fn zone_without_reclaimable_capacity_gets_on_demand_endpoints_and_is_tried_again_later() {
    let mut orders = Orders::new();
    orders.due(0, 1);
    let due = orders.due(1_500, 1);
    expect_that!(due.iter().all(|order| order.class == PriceClass::Reclaimable), eq(true));
    orders.finish(1_500, &due, OrderResult::CapacityRefused);
    let replacements = orders.due(2_000, 1);
    expect_that!(replacements.len(), gt(0));
    expect_that!(replacements.iter().all(|order| order.class == PriceClass::OnDemand), eq(true));
    let again = orders.due(3_600, 1);
    expect_that!(again.iter().any(|order| order.class == PriceClass::Reclaimable), eq(true));
}

#[googletest::test]
fn leader_that_takes_over_during_a_reclaim_wave_orders_on_demand_endpoints() {
    let start = Instant::now();
    let service_name: SharedName = "pool".into();
    let mut waves = ReclaimWaves::default();
    waves.observe(&service_name, &service(2).held, start);
    let mut lost = service(2);
    lost.held.insert("b".into(), ZoneHolding::default());
    waves.observe(&service_name, &lost.held, start + millis(500));
    let mut orders = EndpointOrders::after([(service_name.clone(), 2.0)].into());
    let mut on_demand = 0;
    for at_ms in [3_000, 4_500] {
        let now = start + millis(at_ms);
        let risk = waves.risk(&service_name, spec().start_time, now);
        let observed = ObservedService { risk, ..lost.clone() };
        let due = orders.due(&service_name, &spec(), &observed, now);
        let ordered = due.iter().filter(|order| order.class == PriceClass::OnDemand);
        on_demand += ordered.map(|order| order.count).sum::<u32>();
    }
    expect_that!(on_demand, eq(2));
    expect_that!(waves.risk("other", spec().start_time, start), eq(ReclaimRisk::OneZone));
}
