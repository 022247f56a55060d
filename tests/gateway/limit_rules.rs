//! Rules for limits that endpoints report: which observation applies, to which start of the
//! endpoint, which requests a share allows, and what follows the end of a limit. Times are
//! simulated.

use std::{collections::BTreeSet, net::SocketAddr};

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
        request_limit::{
            HolderShare, LimitBucket, holder_count, holder_rate, plausible_limit,
            token_lending::{TokenBorrower, spare_tokens},
        },
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

fn has_room(table: &EndpointTable, now: Instant) -> bool {
    chosen(table, &[], now).is_some()
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

/// Lending moves tokens between daemons. If it raised their sum, the limit would be exceeded.
#[googletest::test]
fn lent_tokens_are_taken_from_the_lender_and_expire() {
    let now = start();
    let (mut lender, mut borrower) = (table(&["i-0"], now), table(&["i-0"], now));
    for table in [&mut lender, &mut borrower] {
        observe_limit(table, "i-0", Some(1.0), now);
    }
    lender.set_limit_share("i-0", Some(HolderShare { rate: 1.0, first_level: 0.9 }), now);
    let at = now + seconds(0.3);
    expect_true!(has_room(&lender, at));
    let lent = lender.lend_tokens(at);
    expect_that!(lent, len(eq(1)));
    expect_that!(lent[0].1, near(1.2, 1e-6));
    expect_false!(has_room(&lender, at));
    expect_that!(lender.lend_tokens(at)[0].1, near(0.0, 1e-6));
    borrower.receive_lent(lent[0].0, lent[0].1, at);
    expect_true!(has_room(&borrower, at));
    expect_true!(has_room(&borrower, at + seconds(0.2)));
    expect_false!(has_room(&borrower, at + seconds(0.6)));
}

/// A daemon whose clients need its tokens would be short of them itself.
#[googletest::test]
fn holder_lends_only_what_its_own_demand_leaves() {
    expect_that!(spare_tokens(1.0, 0.0, 2.0), some(near(1.0, 1e-9)));
    expect_that!(spare_tokens(1.0, 1.0, 2.0), some(near(0.5, 1e-9)));
    expect_that!(spare_tokens(0.4, 1.0, 2.0), some(near(0.0, 1e-9)));
    expect_that!(spare_tokens(1.0, 2.0, 2.0), none());
    expect_that!(spare_tokens(1.0, 9.0, 2.0), none());
    expect_that!(spare_tokens(1.0, 0.0, 0.0), none());
}

/// Where clients are at all daemons, nobody has tokens to lend: daemons must not spend their time on
/// asking.
#[googletest::test]
fn holders_that_have_nothing_to_lend_are_left_alone_for_five_seconds() {
    let now = start();
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let holders: BTreeSet<SocketAddr> = (1..=10).map(address).collect();
    let mut borrower = TokenBorrower::default();
    expect_that!(borrower.next_asked(&holders, now), is_empty());
    let mut asked = 0;
    for interval in 0..50 {
        let at = now + seconds(0.1) * interval;
        borrower.record_shortage(at);
        for holder in borrower.next_asked(&holders, at) {
            asked += 1;
            borrower.receive_response(holder, false, at);
        }
    }
    expect_that!(asked, all!(ge(4), le(10)));
    let later = now + seconds(12.0);
    expect_that!(borrower.next_asked(&holders, later), is_empty());
    borrower.record_shortage(later);
    expect_that!(borrower.next_asked(&holders, later), len(eq(1)));
}

/// One holder with tokens shows that the fleet is not short everywhere.
#[googletest::test]
fn holder_with_tokens_ends_the_pause_after_others_without() {
    let now = start();
    let address = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let holders: BTreeSet<SocketAddr> = (1..=10).map(address).collect();
    let mut borrower = TokenBorrower::default();
    borrower.record_shortage(now);
    let asked: Vec<SocketAddr> = borrower.next_asked(&holders, now).into_iter().collect();
    borrower.receive_response(asked[0], false, now);
    let at = now + seconds(0.01);
    expect_that!(borrower.next_asked(&holders, at), is_empty());
    borrower.receive_response(asked[1], true, at);
    expect_that!(borrower.next_asked(&holders, at), len(eq(4)));
}

/// Endpoints with a limit looked like any other to the few daemons that may use them. With 77
/// daemons, 0.53 of limits of 12 a second was used beside endpoints with room.
#[googletest::test]
fn endpoint_with_a_token_is_preferred_to_equal_ones() {
    let now = start();
    let mut table = table(&["i-0", "i-1", "i-2"], now);
    observe_limit(&mut table, "i-1", Some(12.0), now);
    table.set_limit_share("i-1", Some(HolderShare { rate: 1.0, first_level: 0.0 }), now);
    let at = now + seconds(1.0);
    for seed in 0..20 {
        let choice = table.choose(&query(&[], true), at, &mut SmallRng::seed_from_u64(seed));
        let ChoiceResult::Endpoint(choice) = choice else { panic!("expected an endpoint") };
        expect_that!(&*choice.endpoint.id, eq("i-1"));
    }
    table.begin("i-1", &[], RunLoad::default(), at);
    expect_that!(chosen(&table, &[], at), not(some(eq("i-1"))));
}
