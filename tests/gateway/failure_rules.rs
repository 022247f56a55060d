//! Rules for endpoints that fail: which are outliers, and which requests these get. Times are
//! simulated.

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::AttemptResult,
    gateway::{
        call::PromptPart,
        endpoint::EndpointRecord,
        policy::endpoint::{
            endpoint_choice::{ChoiceQuery, ChoiceResult},
            endpoint_load::{RunLoad, endpoint_number},
            endpoint_table::{EndpointTable, attempt_results::RequestIntake},
            failure_rate::FailureRate,
            signal_ledger::{EndpointWarning, NumberedStart, WarningKind},
        },
    },
};

use crate::choice_inputs::{list, query, record, seconds, start};

fn table(count: usize, now: Instant) -> EndpointTable {
    let records: Vec<EndpointRecord> =
        (0..count).map(|index| record(&format!("i-{index}"), 5)).collect();
    let mut table = EndpointTable::new("a".into());
    table.set_list(&list(&records), now);
    table
}

fn run_request(table: &mut EndpointTable, id: &str, result: AttemptResult, now: Instant) {
    let permits = table.begin(id, &[], RunLoad::default(), now);
    let intake = match result {
        AttemptResult::Succeeded => RequestIntake::Ran,
        _ => RequestIntake::Unknown,
    };
    table.record_intake(id, permits.probe, intake, now);
    table.end(id, RunLoad::default(), result, now, now);
}

/// Whether an endpoint is chosen with any of 40 random seeds.
fn is_chosen(table: &EndpointTable, id: &str, may_retry_after_failure: bool, now: Instant) -> bool {
    let query = ChoiceQuery { may_retry_after_failure, ..query(&[], true) };
    (0..40).any(|seed| match table.choose(&query, now, &mut SmallRng::seed_from_u64(seed)) {
        ChoiceResult::Endpoint(choice) => &*choice.endpoint.id == id,
        _ => false,
    })
}

#[googletest::test]
fn outlier_gets_only_requests_that_may_be_retried_after_a_failure() {
    let now = start();
    let mut table = table(4, now);
    run_request(&mut table, "i-0", AttemptResult::Failed, now);
    expect_false!(is_chosen(&table, "i-0", true, now));
    let later = now + seconds(0.1);
    expect_true!(is_chosen(&table, "i-0", true, later));
    expect_false!(is_chosen(&table, "i-0", false, later));
}

#[googletest::test]
fn outlier_is_not_an_affinity_endpoint() {
    let now = start();
    let mut table = table(4, now);
    let parts = [PromptPart { id: 1, tokens: 4_000 }, PromptPart { id: 2, tokens: 100 }];
    let query = query(&parts, true);
    let chosen = |table: &EndpointTable, now: Instant| {
        let choice = table.choose(&query, now, &mut SmallRng::seed_from_u64(1));
        let ChoiceResult::Endpoint(choice) = choice else { panic!("no endpoint has room") };
        choice.endpoint.id.clone()
    };
    let affinity = chosen(&table, now);
    run_request(&mut table, &affinity, AttemptResult::Failed, now);
    // Its pause is over, but it still counts as an outlier.
    expect_that!(chosen(&table, now + seconds(0.1)), not(eq(&affinity)));
    expect_that!(chosen(&table, now + seconds(4.1)), eq(&affinity));
}

#[googletest::test]
fn endpoint_that_works_again_gets_all_requests() {
    let now = start();
    let mut table = table(4, now);
    run_request(&mut table, "i-0", AttemptResult::Failed, now);
    for number in 1..12 {
        let later = now + seconds(0.1) * number;
        run_request(&mut table, "i-0", AttemptResult::Succeeded, later);
    }
    expect_true!(is_chosen(&table, "i-0", false, now + seconds(1.2)));
}

#[googletest::test]
fn failure_expires_without_further_requests() {
    let now = start();
    let mut table = table(4, now);
    run_request(&mut table, "i-0", AttemptResult::Failed, now);
    expect_true!(is_chosen(&table, "i-0", false, now + seconds(4.1)));
}

#[googletest::test]
fn requests_that_fail_at_every_endpoint_make_none_an_outlier() {
    let now = start();
    let mut table = table(4, now);
    for round in 0..10 {
        for index in 0..4 {
            let at = now + seconds(0.1) * round;
            run_request(&mut table, &format!("i-{index}"), AttemptResult::Failed, at);
        }
    }
    // The first ones to fail were outliers for a moment.
    let later = now + seconds(2.1);
    for index in 0..4 {
        run_request(&mut table, &format!("i-{index}"), AttemptResult::Failed, later);
        expect_true!(is_chosen(&table, &format!("i-{index}"), true, later), "i-{index}");
    }
}

#[googletest::test]
fn only_endpoint_of_a_service_is_no_outlier() {
    let now = start();
    let mut table = table(1, now);
    run_request(&mut table, "i-0", AttemptResult::Failed, now);
    expect_true!(is_chosen(&table, "i-0", false, now));
}

#[googletest::test]
fn failures_are_reported_to_other_daemons_and_from_the_second_on_as_not_serving() {
    let now = start();
    let mut table = table(4, now);
    let kinds = |table: &EndpointTable, now| -> Vec<WarningKind> {
        table.warnings(now).into_iter().map(|warning| warning.kind).collect()
    };
    run_request(&mut table, "i-0", AttemptResult::Failed, now);
    expect_that!(kinds(&table, now), elements_are![eq(&WarningKind::Failed)]);
    expect_true!(table.has_urgent_warning(now));
    let later = now + seconds(0.1);
    run_request(&mut table, "i-0", AttemptResult::Failed, later);
    let both = elements_are![eq(&WarningKind::NotServing), eq(&WarningKind::Failed)];
    expect_that!(kinds(&table, later), both);
    expect_false!(table.has_urgent_warning(now + seconds(0.4)));
}

/// Reports that another daemon's request failed at `i-0`.
fn report_failure(table: &mut EndpointTable, at: Instant) {
    let start = NumberedStart { endpoint: endpoint_number("i-0"), born: 5 };
    let warning = EndpointWarning { start, kind: WarningKind::Failed, at };
    table.receive_warning(warning, at, &mut SmallRng::seed_from_u64(1));
}

#[googletest::test]
fn endpoint_that_failed_another_daemon_gets_only_requests_that_may_be_retried() {
    let now = start();
    let mut table = table(4, now);
    report_failure(&mut table, now);
    let is_chosen_without_retry = |table: &EndpointTable, now| {
        let query = ChoiceQuery { may_retry: false, ..query(&[], true) };
        (0..40).any(|seed| match table.choose(&query, now, &mut SmallRng::seed_from_u64(seed)) {
            ChoiceResult::Endpoint(choice) => &*choice.endpoint.id == "i-0",
            _ => false,
        })
    };
    expect_false!(is_chosen_without_retry(&table, now));
    expect_true!(is_chosen(&table, "i-0", true, now));
    expect_true!(is_chosen_without_retry(&table, now + seconds(4.1)));
    run_request(&mut table, "i-0", AttemptResult::Succeeded, now + seconds(0.1));
    expect_true!(is_chosen_without_retry(&table, now + seconds(0.2)));
}

#[googletest::test]
fn one_daemon_at_a_time_finds_out_whether_an_endpoint_works_again() {
    let now = start();
    let (mut first, mut other) = (table(4, now), table(4, now));
    report_failure(&mut first, now);
    report_failure(&mut other, now);
    first.begin_trials(|_, _| true, now + seconds(1.4));
    expect_true!(is_chosen(&first, "i-1", false, now + seconds(1.4)));
    let due = now + seconds(1.6);
    first.begin_trials(|_, trial| trial == 1, due);
    other.begin_trials(|_, _| false, due);
    // The next request goes there whatever it is, and only that one.
    expect_false!(is_chosen(&first, "i-1", false, due));
    expect_true!(is_chosen(&other, "i-1", false, due));
    first.begin("i-0", &[], RunLoad::default(), due);
    expect_true!(is_chosen(&first, "i-1", false, due));
    first.begin_trials(|_, _| true, due + seconds(0.1));
    expect_true!(is_chosen(&first, "i-1", false, due + seconds(0.1)));
}

#[googletest::test]
fn failure_of_a_request_begun_before_the_last_result_does_not_pause_the_endpoint() {
    let now = start();
    let mut table = table(4, now);
    table.begin("i-0", &[], RunLoad::default(), now);
    run_request(&mut table, "i-0", AttemptResult::Succeeded, now + seconds(1.0));
    let later = now + seconds(3.0);
    table.end("i-0", RunLoad::default(), AttemptResult::Failed, now, later);
    expect_true!(is_chosen(&table, "i-0", true, later));
}

#[googletest::test]
fn failure_fraction_is_compared_with_the_median_of_the_others() {
    let now = start();
    let mut rate = FailureRate::default();
    for _ in 0..7 {
        rate.succeeded(now);
    }
    (0..3).for_each(|_| rate.failed(vec![0.0, 0.0, 1.0], now));
    expect_that!(rate.fraction(now), near(0.3, 1e-9));
    expect_true!(rate.is_outlier(now));
    rate.failed(vec![0.0, 0.2, 0.2], now);
    expect_false!(rate.is_outlier(now));
    expect_that!(rate.fraction(now + seconds(10.0)), eq(0.0));
}
