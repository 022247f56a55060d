//! Rules for limits that endpoints report: which observation applies, to which start of the
//! endpoint, which requests a share allows, and what follows the end of a limit. Times are
//! simulated.

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::gateway::{
    call::PromptPart,
    endpoint::EndpointRecord,
    policy::endpoint::{
        endpoint_choice::{ChoiceQuery, ChoiceResult},
        endpoint_load::{RunLoad, endpoint_number},
        endpoint_table::EndpointTable,
        request_limit::{HolderShare, LimitBucket, holder_count, holder_rate, plausible_limit},
        room_forecast::RoomForecast,
        signal_ledger::{EndpointLimit, LimitObservation, NumberedStart},
    },
};

use crate::choice_inputs::{SLOTS, list, query, record, seconds, start};

const BORN: u64 = 5;
/// A share that allows one request every two seconds.
const SLOW: HolderShare = HolderShare { rate: 0.5, first_level: 0.0 };

fn table(ids: &[&str], now: Instant) -> EndpointTable {
    let mut table = EndpointTable::new("a".into());
    let records: Vec<EndpointRecord> = ids.iter().map(|id| record(id, BORN)).collect();
    table.set_list(&list(&records), now);
    table
}

fn observe_limit(table: &mut EndpointTable, id: &str, limit: Option<f64>, at: Instant) {
    table.record_limit(id, LimitObservation { limit, at }, at);
}

fn reported_limit(id: &str, born: u64, limit: Option<f64>, at: Instant) -> EndpointLimit {
    let start = NumberedStart { endpoint: endpoint_number(id), born };
    EndpointLimit { start, observation: LimitObservation { limit, at } }
}

fn limit_of(table: &EndpointTable, id: &str) -> Option<f64> {
    table.limited().iter().find(|endpoint| &*endpoint.id == id).map(|endpoint| endpoint.limit)
}

fn chosen(table: &EndpointTable, parts: &[PromptPart], now: Instant) -> Option<String> {
    chosen_for(table, &query(parts, true), now)
}

fn chosen_for(table: &EndpointTable, query: &ChoiceQuery<'_>, now: Instant) -> Option<String> {
    match table.choose(query, now, &mut SmallRng::seed_from_u64(1)) {
        ChoiceResult::Endpoint(choice) => Some(choice.endpoint.id.to_string()),
        _ => None,
    }
}

#[googletest::test]
fn response_without_a_limit_to_an_earlier_request_does_not_end_a_limit() {
    let now = start();
    let mut table = table(&["i-0"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    // A response to a request that was sent before the limit arrived.
    observe_limit(&mut table, "i-0", None, now - seconds(0.01));
    expect_that!(limit_of(&table, "i-0"), some(eq(1.6)));
    observe_limit(&mut table, "i-0", Some(0.4), now + seconds(0.1));
    expect_that!(limit_of(&table, "i-0"), some(eq(0.4)));
    observe_limit(&mut table, "i-0", None, now + seconds(0.2));
    expect_that!(limit_of(&table, "i-0"), none());
}

#[googletest::test]
fn end_of_a_limit_is_reported_for_ten_seconds() {
    let now = start();
    let mut table = table(&["i-0"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    // Further responses without a limit arrive.
    for second in 1..12 {
        observe_limit(&mut table, "i-0", None, now + seconds(1.0) * second);
    }
    let reported_count = |at: Instant| table.limits(at, &mut SmallRng::seed_from_u64(1)).len();
    expect_that!(reported_count(now + seconds(9.0)), eq(1));
    expect_that!(reported_count(now + seconds(12.0)), eq(0));
}

#[googletest::test]
fn absence_of_a_limit_is_not_reported() {
    let now = start();
    let mut table = table(&["i-0"], now);
    observe_limit(&mut table, "i-0", None, now);
    expect_that!(table.limits(now, &mut SmallRng::seed_from_u64(1)), is_empty());
}

#[googletest::test]
fn later_report_of_another_daemon_replaces_an_earlier_one() {
    let now = start();
    let mut table = table(&["i-0"], now);
    table.receive_limit(reported_limit("i-0", BORN, Some(1.6), now), now);
    expect_that!(limit_of(&table, "i-0"), some(eq(1.6)));
    table.receive_limit(reported_limit("i-0", BORN, None, now - seconds(1.0)), now);
    expect_that!(limit_of(&table, "i-0"), some(eq(1.6)));
    table.receive_limit(reported_limit("i-0", BORN, None, now + seconds(1.0)), now);
    expect_that!(limit_of(&table, "i-0"), none());
    // Daemons that still have the earlier observation don't restore the limit.
    table.receive_limit(reported_limit("i-0", BORN, Some(1.6), now + seconds(0.3)), now);
    expect_that!(limit_of(&table, "i-0"), none());
}

#[googletest::test]
fn smallest_limit_of_reports_with_nearly_equal_times_applies() {
    let now = start();
    let mut table = table(&["i-0"], now);
    table.receive_limit(reported_limit("i-0", BORN, Some(4.0), now), now);
    table.receive_limit(reported_limit("i-0", BORN, Some(2.0), now - seconds(0.2)), now);
    expect_that!(limit_of(&table, "i-0"), some(eq(2.0)));
    table.receive_limit(reported_limit("i-0", BORN, None, now + seconds(0.2)), now);
    expect_that!(limit_of(&table, "i-0"), some(eq(2.0)));
}

/// Daemons detect the end of a limit at different times. One that has detected it adopts the limit
/// again from another daemon's report if both times differ by less than a message may take. It then
/// reported the limit with the later time, so that the next daemon adopted it too: with nine
/// daemons a limit of 12 per second was still applied 2.5 s after its end, with 14 instead of 20
/// requests in each quarter of a second.
#[googletest::test]
fn limit_that_has_ended_does_not_go_round() {
    let now = start();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut at = now;
    let mut report = reported_limit("i-0", BORN, Some(12.0), now);
    for _ in 0..4 {
        let mut table = table(&["i-0"], now);
        observe_limit(&mut table, "i-0", Some(12.0), now);
        at += seconds(0.3);
        observe_limit(&mut table, "i-0", None, at);
        table.receive_limit(report, at);
        report = table.limits(at, &mut rng)[0];
    }
    expect_that!(report.observation.limit, none());
}

#[googletest::test]
fn limit_applies_to_one_start_of_an_endpoint() {
    let now = start();
    let mut table = table(&["i-0"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    // The endpoint is missing from the list for a while, and listed again.
    table.set_list(&list(&[]), now);
    table.set_list(&list(&[record("i-0", BORN)]), now);
    expect_that!(limit_of(&table, "i-0"), some(eq(1.6)));
    table.set_list(&list(&[record("i-0", BORN + 1)]), now);
    expect_that!(limit_of(&table, "i-0"), none());
    for born in [0, BORN] {
        table.receive_limit(reported_limit("i-0", born, Some(1.6), now + seconds(1.0)), now);
        expect_that!(limit_of(&table, "i-0"), none());
    }
}

#[googletest::test]
fn limit_of_an_unlisted_endpoint_applies_once_it_is_listed() {
    let now = start();
    let mut table = table(&["i-0"], now);
    table.receive_limit(reported_limit("i-1", BORN, Some(1.6), now), now);
    table.set_list(&list(&[record("i-0", BORN), record("i-1", BORN)]), now);
    expect_that!(limit_of(&table, "i-1"), some(eq(1.6)));
}

#[googletest::test]
fn endpoint_is_chosen_only_with_a_token_of_this_daemons_share() {
    let now = start();
    let mut table = table(&["i-0"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    expect_that!(chosen(&table, &[], now), none());
    table.set_limit_share("i-0", Some(SLOW), now);
    expect_that!(chosen(&table, &[], now + seconds(1.9)), none());
    let later = now + seconds(2.1);
    expect_that!(chosen(&table, &[], later), some(eq("i-0")));
    let permits = table.begin("i-0", &[], RunLoad::default(), later);
    expect_true!(permits.has_token);
    expect_that!(chosen(&table, &[], later), none());
    // The request was not sent.
    table.give_back_token("i-0");
    expect_that!(chosen(&table, &[], later), some(eq("i-0")));
    // This daemon loses its share to another one.
    table.set_limit_share("i-0", None, later);
    expect_that!(chosen(&table, &[], later), none());
}

#[googletest::test]
fn request_begun_before_the_limit_was_known_needs_a_token() {
    let now = start();
    let mut table = table(&["i-0"], now);
    let permits = table.begin("i-0", &[], RunLoad::default(), now);
    expect_false!(permits.has_token);
    expect_true!(table.try_take_token("i-0", now));
    observe_limit(&mut table, "i-0", Some(1.6), now);
    expect_false!(table.try_take_token("i-0", now));
}

#[googletest::test]
fn retry_time_is_when_the_next_token_is_expected() {
    let now = start();
    let mut table = table(&["i-0", "i-1"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    table.set_limit_share("i-0", Some(SLOW), now);
    expect_that!(table.forecast("pool", now), eq(RoomForecast::Now));
    // This daemon has no share of the limit of i-1; some daemon has a token for it in 2.1 s.
    observe_limit(&mut table, "i-1", Some(0.5), now);
    let RoomForecast::Later { first, last } = table.forecast("pool", now) else {
        panic!("the forecast has no time");
    };
    expect_that!(first - now, eq(seconds(2.0)));
    expect_true!((seconds(2.0)..seconds(2.2)).contains(&(last - now)));
    expect_that!(table.room("pool", now).at_limit, eq(2));
}

#[googletest::test]
fn endpoint_with_a_limit_is_not_an_affinity_endpoint() {
    let now = start();
    let mut table = table(&["i-0", "i-1", "i-2"], now);
    let part = |id: u64| PromptPart { id, tokens: 5_000 };
    for id in 0..20 {
        let now = now + seconds(10.0) * id as u32;
        let parts = [part(id), part(1_000 + id)];
        let affinity = chosen(&table, &parts, now).expect("an endpoint");
        observe_limit(&mut table, &affinity, Some(100.0), now);
        let share = HolderShare { rate: 100.0, first_level: 0.9 };
        table.set_limit_share(&affinity, Some(share), now);
        let elsewhere = chosen(&table, &parts, now + seconds(1.0)).expect("an endpoint");
        expect_that!(elsewhere, not(eq(&affinity)));
        observe_limit(&mut table, &affinity, None, now + seconds(2.0));
    }
}

#[googletest::test]
fn end_of_a_limit_begins_a_slow_start() {
    let now = start();
    let mut table = table(&["i-0"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    observe_limit(&mut table, "i-0", None, now + seconds(1.0));
    let later = now + seconds(1.1);
    expect_that!(chosen(&table, &[], later), some(eq("i-0")));
    expect_that!(table.begin("i-0", &[], RunLoad::default(), later).probe, some(anything()));
    expect_that!(chosen(&table, &[], later), none());
}

/// Requests that can't be retried avoided an endpoint whose limit had ended, as if it had refused
/// requests: of 76 requests per second, four endpoints got only 40 to 49 in the second second after
/// the end.
#[googletest::test]
fn request_that_cannot_go_elsewhere_may_be_the_first_after_a_limit() {
    let now = start();
    let mut table = table(&["i-0", "i-1"], now);
    observe_limit(&mut table, "i-0", Some(1.6), now);
    observe_limit(&mut table, "i-0", None, now + seconds(1.0));
    let later = now + seconds(1.1);
    for _ in 0..SLOTS {
        table.begin("i-1", &[], RunLoad::default(), later);
    }
    expect_that!(chosen_for(&table, &query(&[], false), later), some(eq("i-0")));
}

#[googletest::test]
fn share_is_scaled_when_the_limit_changes() {
    let now = start();
    let mut bucket = LimitBucket::new(8.0, now);
    bucket.set_share(Some(HolderShare { rate: 2.0, first_level: 0.0 }), now);
    bucket.set_limit(2.0, now);
    expect_false!(bucket.has_token(now + seconds(1.9)));
    expect_true!(bucket.has_token(now + seconds(2.1)));
}

#[googletest::test]
fn implausibly_high_limits_are_ignored() {
    expect_that!(plausible_limit(1e12), none());
    expect_that!(plausible_limit(0.0), some(eq(0.0)));
}

#[googletest::test]
fn shares_are_equal_if_a_demand_is_not_known() {
    expect_that!(holder_count(1.6, 9), eq(4));
    expect_that!(holder_count(1.6, 2), eq(2));
    expect_that!(holder_count(1e5, 9), eq(9));
    let equal_rate = 8.0 * 0.95 / 4.0;
    expect_that!(holder_rate(8.0, 50.0, &[Some(0.0), None, Some(0.0)], 4), near(equal_rate, 1e-9));
    // A daemon that has just started knows fewer holders than there are.
    expect_that!(holder_rate(8.0, 50.0, &[Some(0.0)], 4), near(equal_rate, 1e-9));
    let own = holder_rate(8.0, 97.0, &[Some(0.0), Some(0.0)], 3);
    expect_that!(own, near(8.0 * 0.95 * 0.98, 1e-9));
}
