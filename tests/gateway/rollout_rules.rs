//! Rules of roll-outs without I/O: which version runs a request, what a daemon makes of orders and
//! plans that arrive in any order, and the leader's steps.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::policy::rollout::{
        response_times::ResponseTimes,
        rollout_order::{
            KnownRollout, OrderId, RecordedState, RolloutOrder, RolloutPhase, RolloutState,
            TrafficPlan,
        },
        rollout_table::RolloutTable,
        traffic_plan::{ExposureBounds, PlanInputs, canary_share, next_plan, shift_share},
        version_split::{SplitInputs, VersionFilter, filters, may_go_on},
    },
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

const BOUNDS: ExposureBounds = ExposureBounds { share: 0.1, slack: 50.0 };

fn order(id: u64, target: &str) -> RolloutOrder {
    RolloutOrder {
        id: OrderId(id),
        service: "pool".into(),
        target: target.into(),
        duration: Duration::from_secs(12),
    }
}

fn position(revision: u64) -> StorePosition {
    StorePosition::new(StoreEra(0), revision)
}

fn rollout(phase: RolloutPhase, share: f64) -> KnownRollout {
    let plan = TrafficPlan { phase, share, step: 1 };
    KnownRollout { plan, ..KnownRollout::new(order(1, "v2"), position(1), Instant::now()) }
}

const INPUTS: SplitInputs = SplitInputs {
    draw: 0.5,
    is_retry: false,
    has_target: true,
    has_former: true,
    plan_age: Duration::from_secs(1),
};

fn except() -> VersionFilter {
    VersionFilter::Except("v2".into())
}

fn only() -> VersionFilter {
    VersionFilter::Only("v2".into())
}

macro_rules! filter_cases {
    ($($name:ident: $rollout:expr, $inputs:expr, $filters:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(filters(&$rollout, &$inputs), eq(&$filters));
        }
    )*};
}

filter_cases! {
    version_without_a_plan_gets_nothing: rollout(RolloutPhase::Ordered, 0.0), INPUTS, vec![except()];
    running_version_that_is_ordered_stays_in_use:
        rollout(RolloutPhase::Ordered, 0.0), SplitInputs { has_former: false, ..INPUTS },
        vec![VersionFilter::Any];
    request_within_the_share_tries_the_new_version_first:
        rollout(RolloutPhase::Canary, 0.6), INPUTS,
        vec![VersionFilter::Share("v2".into(), 0.6), except()];
    request_beyond_the_share_avoids_the_new_version:
        rollout(RolloutPhase::Canary, 0.4), INPUTS, vec![except()];
    retry_avoids_the_new_version:
        rollout(RolloutPhase::Shift, 0.6), SplitInputs { is_retry: true, ..INPUTS }, vec![except()];
    bad_version_gets_nothing_even_if_nothing_else_is_left:
        KnownRollout { is_stopped: true, ..rollout(RolloutPhase::Shift, 0.6) },
        SplitInputs { has_former: false, ..INPUTS }, vec![except()];
    former_versions_get_nothing_once_they_may_end: rollout(RolloutPhase::Drain, 1.0), INPUTS, vec![only()];
    former_versions_that_are_still_listed_get_nothing_after_the_end:
        rollout(RolloutPhase::Completed, 1.0), INPUTS, vec![only()];
    all_versions_are_used_long_after_the_end:
        rollout(RolloutPhase::Completed, 1.0),
        SplitInputs { plan_age: Duration::from_secs(60), ..INPUTS }, vec![VersionFilter::Any];
    reverted_version_gets_nothing: rollout(RolloutPhase::Reverted, 0.0), INPUTS, vec![except()];
    reverted_version_that_is_the_only_one_left_is_used:
        rollout(RolloutPhase::Reverted, 0.0), SplitInputs { has_former: false, ..INPUTS },
        vec![VersionFilter::Any];
    withdrawn_version_gets_nothing: rollout(RolloutPhase::Withdrawn, 0.0), INPUTS, vec![except()];
}

const PLAN_INPUTS: PlanInputs = PlanInputs {
    elapsed: Duration::from_secs(1),
    duration: Duration::from_secs(12),
    step_age: Duration::from_secs(1),
    target_endpoints: 4,
    former_endpoints: 4,
    former_running: 3,
    spread_time: Duration::from_secs(1),
    demand: 100.0,
    target_responses: 40,
    all_responses: 500,
    looks_worse: false,
    is_stopped: false,
};

fn at(seconds: f64) -> PlanInputs {
    PlanInputs { elapsed: Duration::from_secs_f64(seconds), ..PLAN_INPUTS }
}

fn phase_after(
    phase: RolloutPhase,
    share: f64,
    inputs: &PlanInputs,
) -> Option<(RolloutPhase, f64)> {
    let plan = TrafficPlan { phase, share, step: 3 };
    let next = next_plan(plan, BOUNDS, inputs)?;
    assert_eq!(next.step, 4);
    Some((next.phase, next.share))
}

macro_rules! plan_cases {
    ($($name:ident: $phase:ident $share:expr, $inputs:expr, $next:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(phase_after(RolloutPhase::$phase, $share, &$inputs), eq($next));
        }
    )*};
}

plan_cases! {
    order_without_endpoints_waits: Ordered 0.0, PlanInputs { target_endpoints: 0, ..at(3.0) }, None;
    order_without_endpoints_is_reverted_at_the_deadline:
        Ordered 0.0, PlanInputs { target_endpoints: 0, ..at(12.0) },
        Some((RolloutPhase::Reverted, 0.0));
    order_with_endpoints_begins: Ordered 0.0, at(1.0),
        Some((RolloutPhase::Canary, canary_share(BOUNDS, 100.0, Duration::from_secs(12))));
    order_for_the_running_version_is_completed:
        Ordered 0.0, PlanInputs { former_endpoints: 0, ..at(1.0) },
        Some((RolloutPhase::Completed, 1.0));
    share_stays_small_until_the_end_is_near: Canary 0.03, at(6.4), None;
    share_grows_near_the_end:
        Canary 0.03, at(6.5), Some((RolloutPhase::Shift, shift_share(BOUNDS, &PLAN_INPUTS)));
    share_does_not_grow_without_responses:
        Canary 0.03, PlanInputs { target_responses: 3, ..at(6.5) }, None;
    few_responses_suffice_for_a_service_with_few_requests:
        Canary 0.03, PlanInputs { target_responses: 3, all_responses: 40, ..at(6.5) },
        Some((RolloutPhase::Shift, shift_share(BOUNDS, &PLAN_INPUTS)));
    unproven_version_is_reverted_at_the_deadline:
        Canary 0.03, PlanInputs { target_responses: 3, ..at(12.0) },
        Some((RolloutPhase::Reverted, 0.0));
    proven_version_goes_on_after_a_missed_deadline:
        Canary 0.03, at(13.0), Some((RolloutPhase::Shift, shift_share(BOUNDS, &PLAN_INPUTS)));
    second_share_is_kept_until_its_responses_are_known:
        Shift 0.25, PlanInputs { step_age: Duration::from_millis(1_900), ..at(9.0) }, None;
    second_share_is_kept_until_the_end_is_near:
        Shift 0.25, PlanInputs { step_age: Duration::from_secs(3), ..at(8.0) }, None;
    second_share_needs_responses_of_its_own:
        Shift 0.25,
        PlanInputs { step_age: Duration::from_secs(3), target_responses: 3, ..at(9.0) }, None;
    version_that_looks_worse_gets_no_more: Canary 0.03, PlanInputs { looks_worse: true, ..at(6.5) }, None;
    version_that_looks_worse_until_the_deadline_is_reverted:
        Shift 0.25, PlanInputs { looks_worse: true, ..at(12.0) }, Some((RolloutPhase::Reverted, 0.0));
    last_step_takes_all_requests:
        Shift 0.25, PlanInputs { step_age: Duration::from_secs(2), ..at(8.5) },
        Some((RolloutPhase::Drain, 1.0));
    former_endpoints_finish_first: Drain 1.0, at(10.0), None;
    roll_out_is_completed_when_they_have_finished:
        Drain 1.0, PlanInputs { former_running: 0, ..at(10.0) },
        Some((RolloutPhase::Completed, 1.0));
    unreported_requests_may_still_run_there:
        Drain 1.0,
        PlanInputs { former_running: 0, step_age: Duration::from_millis(500), ..at(10.0) }, None;
    roll_out_is_completed_at_the_deadline: Drain 1.0, at(11.2), Some((RolloutPhase::Completed, 1.0));
    bad_version_is_reverted: Shift 0.25, PlanInputs { is_stopped: true, ..at(7.0) },
        Some((RolloutPhase::Reverted, 0.0));
    finished_roll_out_stays: Completed 1.0, PlanInputs { is_stopped: true, ..at(7.0) }, None;
}

/// The first share spends a part of what a bad version may get, whatever the demand.
#[googletest::test]
fn first_share_leaves_most_of_the_allowed_requests() {
    for demand in [0.0, 0.5, 5.0, 100.0, 550.0, 160_000.0] {
        let share = canary_share(BOUNDS, demand, Duration::from_secs(12));
        let requests = demand * 12.0;
        let allowed = requests * BOUNDS.share + BOUNDS.slack;
        expect_that!(share * requests, le(allowed * 0.25 + 1e-6), "{demand} requests a second");
        expect_that!(share, all!(gt(0.0), le(BOUNDS.share)));
    }
}

/// Until all daemons know that a version is bad, it gets no more than a part of what it may get,
/// however old the reports of a large fleet are.
#[googletest::test]
fn second_share_lasts_until_a_verdict_is_known() {
    for (demand, spread_s) in [(1.0, 0.9), (150.0, 1.0), (540.0, 2.1), (570.0, 3.1)] {
        let spread_time = Duration::from_secs_f64(spread_s);
        let inputs = PlanInputs { demand, spread_time, ..PLAN_INPUTS };
        let share = shift_share(BOUNDS, &inputs);
        let allowed = demand * 12.0 * BOUNDS.share + BOUNDS.slack;
        expect_that!(share * demand * (1.5 * spread_s + 1.0), le(allowed * 0.5 + 1e-6));
        expect_that!(share, ge(canary_share(BOUNDS, demand, inputs.duration)));
    }
}

fn table_with(id: u64, revision: u64, now: Instant) -> RolloutTable {
    let mut table = RolloutTable::default();
    table.observe_order(order(id, "v2"), position(revision), None, now);
    table
}

fn phase_of(table: &RolloutTable) -> Option<RolloutPhase> {
    table.of_service("pool").map(|known| known.plan.phase)
}

#[googletest::test]
fn plans_and_verdicts_may_arrive_in_any_order() {
    let now = Instant::now();
    let mut table = table_with(1, 5, now);
    let heard = |phase, step, is_stopped| KnownRollout {
        plan: TrafficPlan { phase, share: 0.25, step },
        is_stopped,
        ..KnownRollout::new(order(1, "v2"), position(5), now)
    };
    table.receive(heard(RolloutPhase::Shift, 3, false), now);
    table.receive(heard(RolloutPhase::Canary, 2, true), now);
    expect_that!(phase_of(&table), some(eq(RolloutPhase::Shift)));
    expect_that!(table.of_service("pool").expect("known").is_stopped, eq(true));
    table.receive(heard(RolloutPhase::Reverted, 1, false), now);
    table.receive(heard(RolloutPhase::Drain, 9, false), now);
    expect_that!(phase_of(&table), some(eq(RolloutPhase::Reverted)));
}

/// The state of the first order is still in the object when the second is written.
#[googletest::test]
fn state_of_a_former_order_does_not_end_the_next_one() {
    let now = Instant::now();
    let mut table = table_with(1, 5, now);
    let recorded = RecordedState { state: RolloutState::Reverted, target: "v2".into() };
    table.observe_order(order(2, "v2"), position(9), Some(recorded.clone()), now);
    expect_that!(phase_of(&table), some(eq(RolloutPhase::Ordered)));
    // A daemon that starts now has not seen the first order.
    let mut started = RolloutTable::default();
    started.observe_order(order(1, "v2"), position(6), Some(recorded), now);
    expect_that!(phase_of(&started), some(eq(RolloutPhase::Reverted)));
}

#[googletest::test]
fn older_order_of_a_slow_peer_does_not_come_back() {
    let now = Instant::now();
    let mut table = table_with(1, 5, now);
    table.observe_order(order(2, "v3"), position(9), None, now);
    table.receive(KnownRollout::new(order(1, "v2"), position(5), now), now);
    let target: SharedName = "v3".into();
    expect_that!(table.of_service("pool").expect("known").order.target, eq(&target));
}

#[googletest::test]
fn start_in_the_leaders_record_counts_whether_it_is_read_before_the_order_or_after() {
    let now = Instant::now() + Duration::from_secs(100);
    let begun_at = now - Duration::from_secs(9);
    let mut before = RolloutTable::default();
    before.restore_start(OrderId(1), begun_at);
    before.observe_order(order(1, "v2"), position(5), None, now);
    expect_that!(before.of_service("pool").expect("known").begun_at, eq(begun_at));
    let mut after = table_with(1, 5, now);
    after.restore_start(OrderId(1), begun_at);
    expect_that!(after.of_service("pool").expect("known").begun_at, eq(begun_at));
}

#[googletest::test]
fn states_are_due_until_they_are_recorded() {
    let now = Instant::now();
    let mut table = table_with(1, 5, now);
    let due = table.unrecorded();
    expect_that!(due, len(eq(1)));
    let (service, recorded, read_at) = due[0].clone();
    expect_that!(recorded.state, eq(RolloutState::Active));
    expect_that!(read_at, eq(position(5)));
    table.mark_recorded(&service, recorded, position(6));
    expect_that!(table.unrecorded(), is_empty());
    table.withdraw("pool", position(8), now);
    expect_that!(table.unrecorded(), is_empty());
}

/// A run that hangs is evidence before it ends, and only once.
#[googletest::test]
fn slow_run_counts_when_it_becomes_slow() {
    let now = Instant::now();
    let mut table = table_with(1, 5, now);
    let target = Duration::from_millis(100);
    let mut ticket = table.begin_run("pool", "v2", &"plain".into(), target, now);
    table.evaluate(now + Duration::from_millis(100));
    expect_that!(table.responses("pool", now).target.total(), eq(0));
    table.evaluate(now + Duration::from_millis(200));
    expect_that!(table.responses("pool", now).target.bad, eq(1));
    table.responded(&mut ticket, now + Duration::from_millis(300));
    table.failed(&ticket);
    expect_that!(table.responses("pool", now).target.total(), le(2));
}

#[googletest::test]
fn times_of_a_route_decide_what_is_slow() {
    let mut times = ResponseTimes::default();
    let route: SharedName = "plain".into();
    let target = Duration::from_millis(120);
    expect_that!(times.limit("plain", target), eq(Duration::from_millis(150)));
    times.record(&route, Duration::from_millis(20));
    expect_that!(times.limit("plain", target), eq(Duration::from_millis(70)));
}

/// Whether a stream of a version goes on there, by the state of a roll-out of v2.
macro_rules! stream_goes_on {
    ($($name:ident: $rollout:expr, $inputs:expr, $version:literal => $goes_on:literal;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(may_go_on(&$rollout, $version, &$inputs), eq($goes_on));
        }
    )*};
}

stream_goes_on! {
    stream_of_the_former_version_goes_on_while_traffic_moves: rollout(RolloutPhase::Shift, 0.5), INPUTS, "v1" => true;
    stream_of_the_target_version_goes_on_while_traffic_moves: rollout(RolloutPhase::Shift, 0.5), INPUTS, "v2" => true;
    stream_of_the_former_version_goes_on_until_it_ends: rollout(RolloutPhase::Drain, 1.0), INPUTS, "v1" => true;
    stream_of_the_former_version_ends_with_it: rollout(RolloutPhase::Completed, 1.0), INPUTS, "v1" => false;
    stream_of_a_later_version_goes_on_long_after_a_roll_out:
        rollout(RolloutPhase::Completed, 1.0),
        SplitInputs { plan_age: Duration::from_secs(60), ..INPUTS }, "v3" => true;
    stream_of_a_version_that_was_stopped_ends:
        KnownRollout { is_stopped: true, ..rollout(RolloutPhase::Canary, 0.1) }, INPUTS, "v2" => false;
    stream_of_the_former_version_goes_on_when_the_target_was_stopped:
        KnownRollout { is_stopped: true, ..rollout(RolloutPhase::Canary, 0.1) }, INPUTS, "v1" => true;
    stream_of_a_reverted_version_ends: rollout(RolloutPhase::Reverted, 0.0), INPUTS, "v2" => false;
}
