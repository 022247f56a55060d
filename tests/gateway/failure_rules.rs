//! Rules of endpoints that fail: which are outliers, and what these are sent. Times are given,
//! nothing waits.

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
            endpoint_load::RunLoad,
            endpoint_table::{EndpointTable, attempt_results::RequestIntake},
            failure_rate::FailureRate,
        },
    },
};

use crate::choice_inputs::{list, query, record, seconds, start};

fn table(count: usize, now: Instant) -> EndpointTable {
    let records: Vec<EndpointRecord> =
        (0..count).map(|place| record(&format!("i-{place}"), 5)).collect();
    let mut table = EndpointTable::new("a".into());
    table.set_list(&list(&records), now);
    table
}

fn play(table: &mut EndpointTable, id: &str, result: AttemptResult, now: Instant) {
    let permits = table.begin(id, &[], RunLoad::default(), now);
    let intake = match result {
        AttemptResult::Succeeded => RequestIntake::Ran,
        _ => RequestIntake::Unknown,
    };
    table.record_intake(id, permits.probe, intake, now);
    table.end(id, RunLoad::default(), result, now, now);
}

/// Whether an endpoint is chosen in any of many draws.
fn is_chosen(table: &EndpointTable, id: &str, may_retry_after_failure: bool, now: Instant) -> bool {
    let query = ChoiceQuery { may_retry_after_failure, ..query(&[], true) };
    (0..40).any(|seed| match table.choose(&query, now, &mut SmallRng::seed_from_u64(seed)) {
        ChoiceResult::Endpoint(choice) => &*choice.endpoint.id == id,
        _ => false,
    })
}

#[googletest::test]
fn outlier_is_left_to_requests_that_survive_a_failure() {
    let now = start();
    let mut table = table(4, now);
    play(&mut table, "i-0", AttemptResult::Failed, now);
    expect_false!(is_chosen(&table, "i-0", true, now));
    let later = now + seconds(0.1);
    expect_true!(is_chosen(&table, "i-0", true, later));
    expect_false!(is_chosen(&table, "i-0", false, later));
}

#[googletest::test]
fn prompts_gather_at_endpoints_that_do_not_fail() {
    let now = start();
    let mut table = table(4, now);
    let parts = [PromptPart { id: 1, tokens: 4_000 }, PromptPart { id: 2, tokens: 100 }];
    let query = query(&parts, true);
    let chosen = |table: &EndpointTable, now: Instant| {
        let choice = table.choose(&query, now, &mut SmallRng::seed_from_u64(1));
        let ChoiceResult::Endpoint(choice) = choice else { panic!("none has room") };
        choice.endpoint.id.clone()
    };
    let affinity = chosen(&table, now);
    play(&mut table, &affinity, AttemptResult::Failed, now);
    // Its pause is over, and it still counts as failing.
    expect_that!(chosen(&table, now + seconds(0.1)), not(eq(&affinity)));
    expect_that!(chosen(&table, now + seconds(4.1)), eq(&affinity));
}

#[googletest::test]
fn endpoint_that_works_again_is_used_by_all() {
    let now = start();
    let mut table = table(4, now);
    play(&mut table, "i-0", AttemptResult::Failed, now);
    for number in 1..12 {
        let later = now + seconds(0.1) * number;
        play(&mut table, "i-0", AttemptResult::Succeeded, later);
    }
    expect_true!(is_chosen(&table, "i-0", false, now + seconds(1.2)));
}

#[googletest::test]
fn failure_is_forgotten_where_nothing_is_sent() {
    let now = start();
    let mut table = table(4, now);
    play(&mut table, "i-0", AttemptResult::Failed, now);
    expect_true!(is_chosen(&table, "i-0", false, now + seconds(4.1)));
}

#[googletest::test]
fn requests_that_fail_everywhere_say_nothing_of_endpoints() {
    let now = start();
    let mut table = table(4, now);
    for round in 0..10 {
        for place in 0..4 {
            let at = now + seconds(0.1) * round;
            play(&mut table, &format!("i-{place}"), AttemptResult::Failed, at);
        }
    }
    // The first few were outliers for a moment.
    let later = now + seconds(2.1);
    for place in 0..4 {
        play(&mut table, &format!("i-{place}"), AttemptResult::Failed, later);
        expect_true!(is_chosen(&table, &format!("i-{place}"), true, later), "i-{place}");
    }
}

#[googletest::test]
fn endpoint_that_is_alone_is_no_outlier() {
    let now = start();
    let mut table = table(1, now);
    play(&mut table, "i-0", AttemptResult::Failed, now);
    expect_true!(is_chosen(&table, "i-0", false, now));
}

#[googletest::test]
fn others_are_told_of_a_second_failure() {
    let now = start();
    let mut table = table(4, now);
    play(&mut table, "i-0", AttemptResult::Failed, now);
    expect_that!(table.warnings(now), is_empty());
    let later = now + seconds(0.1);
    play(&mut table, "i-0", AttemptResult::Failed, later);
    expect_that!(table.warnings(later).len(), eq(1));
}

#[googletest::test]
fn request_that_began_before_the_last_result_says_nothing_new() {
    let now = start();
    let mut table = table(4, now);
    table.begin("i-0", &[], RunLoad::default(), now);
    play(&mut table, "i-0", AttemptResult::Succeeded, now + seconds(1.0));
    let later = now + seconds(3.0);
    table.end("i-0", RunLoad::default(), AttemptResult::Failed, now, later);
    expect_true!(is_chosen(&table, "i-0", true, later));
}

#[googletest::test]
fn fraction_is_measured_against_the_median() {
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
