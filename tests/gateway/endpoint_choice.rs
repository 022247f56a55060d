//! The choice of an endpoint, and the state that it uses: loads, failures and the prefill rate.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::AttemptResult,
    gateway::{
        call::PromptPart,
        endpoint::{EndpointList, EndpointRecord, EndpointState},
        gossip::report_source::ReportSource,
        policy::endpoint::{
            endpoint_choice::{ChoiceQuery, ChoiceResult},
            endpoint_load::{EndpointLoad, ReportedLoads, RunLoad, endpoint_number},
            endpoint_table::EndpointTable,
            prefill_rate::PrefillRate,
        },
    },
    ids::{IncarnationId, SharedName},
    store_position::{StoreEra, StorePosition},
};

fn daemon(number: u64) -> ReportSource {
    ReportSource::Daemon(IncarnationId(number))
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn record(id: &str, zone: &str) -> EndpointRecord {
    EndpointRecord {
        id: id.into(),
        born: 0,
        service: "pool".into(),
        address: "127.0.0.1:1".parse().expect("address"),
        zone: zone.into(),
        version: "v1".into(),
        slots: 4,
        state: EndpointState::Ready,
        reclaimable: false,
    }
}

fn table(records: Vec<EndpointRecord>) -> EndpointTable {
    let mut table = EndpointTable::new("a".into());
    let endpoints = records.into_iter().map(Rc::new).collect();
    table.set_list(
        &EndpointList { position: StorePosition::new(StoreEra(0), 1), endpoints },
        Instant::now(),
    );
    table
}

const PARTS: [PromptPart; 3] = [
    PromptPart { id: 1, tokens: 500 },
    PromptPart { id: 2, tokens: 4_000 },
    PromptPart { id: 3, tokens: 100 },
];

fn query<'a>(parts: &'a [PromptPart], tried: &'a [SharedName]) -> ChoiceQuery<'a> {
    ChoiceQuery {
        service: "pool",
        version: None,
        parts,
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        memory_tokens: 5_000,
        tried,
        memory_capacity: Some(100_000),
        load_age: Duration::ZERO,
        may_retry: true,
        may_retry_after_failure: true,
    }
}

/// Applies another daemon's report of this load of an endpoint.
fn report(table: &mut EndpointTable, endpoint: &str, load: EndpointLoad, now: Instant) {
    let loads = [(endpoint_number(endpoint), load)].into();
    table.apply_report(daemon(5), ReportedLoads { at: now, loads, services: BTreeMap::new() });
}

fn chosen(table: &EndpointTable, query: &ChoiceQuery<'_>, now: Instant) -> Option<SharedName> {
    match table.choose(query, now, &mut SmallRng::seed_from_u64(1)) {
        ChoiceResult::Endpoint(choice) => Some(choice.endpoint.id.clone()),
        _ => None,
    }
}

#[googletest::test]
fn daemons_agree_on_the_affinity_endpoint_of_a_prompt() {
    let records = || (0..12).map(|index| record(&format!("i-{index}"), "a")).collect();
    let (one, other) = (table(records()), table(records()));
    let now = Instant::now();
    for part_id in 0..40 {
        let parts = [PARTS[0], PromptPart { id: part_id, tokens: 4_000 }, PARTS[2]];
        let query = query(&parts, &[]);
        expect_that!(chosen(&one, &query, now), eq(&chosen(&other, &query, now)));
    }
}

#[googletest::test]
fn affinity_endpoint_with_a_long_wait_is_not_chosen() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("an endpoint");
    let load = RunLoad { uncached_tokens: 60_000, memory_tokens: 60_000 };
    table.begin(&affinity, &[], load, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), not(eq(&Some(affinity))));
}

#[googletest::test]
fn loads_reported_by_others_count_until_they_are_old() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("an endpoint");
    let load = EndpointLoad { running: 4, uncached_tokens: 0, memory_tokens: 0 };
    report(&mut table, &affinity, load, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), not(eq(&Some(affinity.clone()))));
    let later = now + Duration::from_secs(3);
    expect_that!(chosen(&table, &query(&PARTS, &[]), later), eq(&Some(affinity)));
}

#[googletest::test]
fn backlog_reported_by_another_daemon_is_reduced_with_time() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("an endpoint");
    // Prefilled in a second at the initially assumed rate.
    let load = EndpointLoad { running: 1, uncached_tokens: 40_000, memory_tokens: 0 };
    report(&mut table, &affinity, load, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), not(eq(&Some(affinity.clone()))));
    let later = now + millis(900);
    expect_that!(chosen(&table, &query(&PARTS, &[]), later), eq(&Some(affinity)));
}

#[googletest::test]
fn affinity_weighs_less_if_the_loads_of_others_are_old() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("an endpoint");
    // The queue of the affinity endpoint takes longer than prefilling the prompt elsewhere, but
    // less than that plus the delay that it would cause to other requests there.
    let load = EndpointLoad { running: 1, uncached_tokens: 8_000, memory_tokens: 0 };
    report(&mut table, &affinity, load, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), eq(&Some(affinity.clone())));
    let old_loads = ChoiceQuery { load_age: millis(4_000), ..query(&PARTS, &[]) };
    expect_that!(chosen(&table, &old_loads, now), not(eq(&Some(affinity))));
}

#[googletest::test]
fn full_draining_and_tried_endpoints_are_not_chosen() {
    let draining = EndpointRecord { state: EndpointState::Draining, ..record("i-1", "a") };
    let mut table = table(vec![record("i-0", "a"), draining]);
    let now = Instant::now();
    let tried = ["i-0".into()];
    let mut rng = SmallRng::seed_from_u64(1);
    expect_that!(table.choose(&query(&PARTS, &tried), now, &mut rng), eq(&ChoiceResult::None));
    for _ in 0..4 {
        table.begin("i-0", &[], RunLoad::default(), now);
    }
    let full = table.choose(&query(&PARTS, &[]), now, &mut rng);
    expect_that!(matches!(full, ChoiceResult::Full), eq(true));
    table.end("i-0", RunLoad::default(), AttemptResult::Succeeded, now, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), some(eq(&SharedName::from("i-0"))));
}

#[googletest::test]
fn endpoint_without_enough_memory_for_a_prompt_counts_as_full() {
    let mut table = table(vec![record("i-0", "a")]);
    let now = Instant::now();
    table.begin("i-0", &[], RunLoad { uncached_tokens: 0, memory_tokens: 98_000 }, now);
    let result = table.choose(&query(&PARTS, &[]), now, &mut SmallRng::seed_from_u64(1));
    expect_that!(matches!(result, ChoiceResult::Full), eq(true));
}

#[googletest::test]
fn endpoint_whose_address_belongs_to_another_one_is_not_chosen_again() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "b")]);
    let now = Instant::now();
    table.mark_ended("i-0");
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let result = table.choose(&query(&[], &[]), now, &mut rng);
        let ChoiceResult::Endpoint(choice) = result else { panic!("no endpoint") };
        expect_that!(&*choice.endpoint.id, eq("i-1"));
    }
}

#[googletest::test]
fn endpoint_that_has_just_failed_is_not_chosen() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "b"), record("i-2", "b")]);
    let now = Instant::now();
    for _ in 0..3 {
        table.begin("i-0", &[], RunLoad::default(), now);
        table.end("i-0", RunLoad::default(), AttemptResult::Failed, now, now);
    }
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let result = table.choose(&query(&[], &[]), now, &mut rng);
        let ChoiceResult::Endpoint(choice) = result else { panic!("no endpoint") };
        expect_that!(&*choice.endpoint.id, not(eq("i-0")));
    }
}

#[googletest::test]
fn failure_expires_without_a_success() {
    let mut table = table(vec![record("i-0", "a"), record("i-1", "a")]);
    let now = Instant::now();
    let affinity = chosen(&table, &query(&PARTS, &[]), now).expect("an endpoint");
    table.begin(&affinity, &[], RunLoad::default(), now);
    table.end(&affinity, RunLoad::default(), AttemptResult::Failed, now, now);
    expect_that!(chosen(&table, &query(&PARTS, &[]), now), not(eq(&Some(affinity.clone()))));
    let later = now + Duration::from_secs(10);
    expect_that!(chosen(&table, &query(&PARTS, &[]), later), eq(&Some(affinity)));
}

#[googletest::test]
fn estimated_wait_includes_no_penalty_for_failures() {
    let mut table = table(vec![record("i-0", "a")]);
    let now = Instant::now();
    let waits = [AttemptResult::Succeeded, AttemptResult::Failed].map(|result| {
        table.begin("i-0", &[], RunLoad::default(), now);
        table.end("i-0", RunLoad::default(), result, now, now);
        match table.choose(&query(&PARTS, &[]), now, &mut SmallRng::seed_from_u64(1)) {
            ChoiceResult::Endpoint(choice) => choice.estimated_wait(),
            other => panic!("no endpoint: {other:?}"),
        }
    });
    expect_that!(waits[1], eq(waits[0]));
}

#[googletest::test]
fn prefill_rate_converges_to_the_measured_one() {
    let mut rate = PrefillRate::default();
    for _ in 0..200 {
        rate.learn(10_000, millis(45 + 100));
    }
    expect_that!(rate.tokens_per_ms, near(100.0, 3.0));
}
