//! Reports of other daemons whose counters are as great as their types allow: their sums must not overflow.

use std::collections::BTreeMap;

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use willowarch::{
    gateway::{
        gossip::report_source::ReportSource,
        policy::{
            endpoint::{
                endpoint_choice::{ChoiceQuery, ChoiceResult},
                endpoint_load::{EndpointLoad, ReportedLoads, ServiceCounters, endpoint_number},
                endpoint_table::EndpointTable,
            },
            leader::usage_counts::UsageCounts,
            request::quota::AccountCounters,
            rollout::version_counts::{RouteCounts, VersionCounts},
        },
    },
    ids::IncarnationId,
};

use crate::choice_inputs::{list, query, record, start};

const MOST_LOAD: EndpointLoad =
    EndpointLoad { running: u32::MAX, uncached_tokens: u64::MAX, memory_tokens: u64::MAX };
const MOST_SERVICE: ServiceCounters =
    ServiceCounters { uncached_tokens: u64::MAX, requests: u64::MAX };
const MOST_COUNTS: VersionCounts = VersionCounts { good: u64::MAX, bad: u64::MAX };

fn daemon(number: u64) -> ReportSource {
    ReportSource::Daemon(IncarnationId(number))
}

/// A table with the reports of two daemons.
fn table() -> EndpointTable {
    let mut table = EndpointTable::new("a".into());
    table.set_list(&list(&[record("i-0", 5), record("i-1", 5)]), start());
    for number in 0..2 {
        let loads = [(endpoint_number("i-0"), MOST_LOAD), (endpoint_number("i-1"), MOST_LOAD)];
        let services = BTreeMap::from([("pool".into(), MOST_SERVICE)]);
        let report = ReportedLoads { at: start(), loads: loads.into(), services };
        table.apply_report(daemon(number), report);
    }
    table
}

#[googletest::test]
fn sums_of_reported_loads_overflow() {
    let table = table();
    expect_that!(table.service_load("pool", start()).running, eq(u32::MAX));
    expect_that!(table.running_at_others("pool", "v2", start()), eq(u32::MAX));
    expect_that!(table.group_loads(start())[&endpoint_number("i-0")].running, eq(u32::MAX));
    expect_that!(table.room("pool", start()).running, ge(u64::from(u32::MAX)));
}

#[googletest::test]
fn sums_of_a_request_and_reported_loads_overflow() {
    let asked = ChoiceQuery {
        prompt_tokens: 1,
        memory_tokens: 1,
        memory_capacity: Some(u64::MAX),
        ..query(&[], true)
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let result = table().choose(&asked, start(), &mut rng);
    expect_that!(matches!(result, ChoiceResult::Endpoint(_)), eq(false));
}

#[googletest::test]
fn sums_of_reported_tokens_overflow() {
    let table = table();
    expect_that!(table.tokens_sent("pool"), eq(u64::MAX));
    expect_that!(table.group_services()["pool"], eq(MOST_SERVICE));
}

#[googletest::test]
fn sums_of_reported_usage_overflow() {
    let mut usage = UsageCounts::default();
    for number in 0..2 {
        usage.receive(daemon(number), 7, BTreeMap::from([("reader".into(), u64::MAX)]));
    }
    usage.count(&"reader".into(), 7);
    expect_that!(usage.total(7)["reader"], eq(u64::MAX));
    expect_that!(usage.group_totals()[&7]["reader"], eq(u64::MAX));
}

#[googletest::test]
fn sums_of_account_counters_overflow() {
    let most = AccountCounters { spent: u64::MAX, requested: u64::MAX };
    let mut sum = most;
    sum += most;
    expect_that!(sum, eq(most));
}

#[googletest::test]
fn sums_of_rollout_counts_overflow() {
    let most = RouteCounts { target: MOST_COUNTS, former: MOST_COUNTS };
    let mut sum = most;
    sum += most;
    expect_that!(sum, eq(most));
    expect_that!(sum.target.total(), eq(u64::MAX));
}
