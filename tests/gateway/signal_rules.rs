//! Rules for signals of endpoints (draining, back-off, refusal): which signal applies, to which
//! start of the endpoint, for how long, and how requests are resumed after a pause. Times are
//! simulated.

use std::time::Duration;

use googletest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};
use tokio::time::Instant;
use willowarch::{
    endpoint_health::AttemptResult,
    gateway::{
        endpoint::EndpointRecord,
        policy::{
            endpoint::{
                endpoint_choice::ChoiceResult,
                endpoint_load::{RunLoad, endpoint_number},
                endpoint_pause::{EndpointPause, RefusalKind},
                endpoint_table::{EndpointTable, attempt_results::RequestIntake},
                room_forecast::RoomForecast,
                signal_ledger::{EndpointWarning, NumberedStart, WarningKind},
            },
            request::retry_after,
        },
    },
};

use crate::choice_inputs::{SLOTS, list, query, record, seconds, start};

const TARGET: Duration = Duration::from_millis(400);

fn table(records: &[EndpointRecord], now: Instant) -> EndpointTable {
    let mut table = EndpointTable::new("a".into());
    table.set_list(&list(records), now);
    table
}

/// Whether an endpoint is chosen with any of 40 random seeds.
fn is_chosen(table: &EndpointTable, id: &str, may_retry: bool, now: Instant) -> bool {
    (0..40).any(|seed| {
        let mut rng = SmallRng::seed_from_u64(seed);
        match table.choose(&query(&[], may_retry), now, &mut rng) {
            ChoiceResult::Endpoint(choice) => &*choice.endpoint.id == id,
            _ => false,
        }
    })
}

fn warning(id: &str, born: u64, kind: WarningKind, at: Instant) -> EndpointWarning {
    let start = NumberedStart { endpoint: endpoint_number(id), born };
    EndpointWarning { start, kind, at }
}

fn receive(table: &mut EndpointTable, warning: EndpointWarning, now: Instant) -> bool {
    table.receive_warning(warning, now, &mut SmallRng::seed_from_u64(1)).is_some()
}

#[googletest::test]
fn draining_endpoint_is_not_chosen_even_if_listed_as_ready() {
    let (now, ready) = (start(), [record("i-0", 5), record("i-1", 5)]);
    let mut table = table(&ready, now);
    expect_true!(table.record_draining("i-0", now));
    expect_false!(table.record_draining("i-0", now));
    expect_false!(is_chosen(&table, "i-0", true, now));
    // Listed as ready again, missing, and listed again; then a list without start times, and one
    // with an earlier start.
    for records in [&ready[..], &ready[1..], &ready[..], &[record("i-0", 0)], &[record("i-0", 4)]] {
        table.set_list(&list(records), now);
        expect_false!(is_chosen(&table, "i-0", true, now), "{records:?}");
    }
    expect_that!(table.ready("pool").count(), eq(0));
    table.set_list(&list(&[record("i-0", 6)]), now);
    expect_true!(is_chosen(&table, "i-0", true, now));
    // A delayed list with the earlier start doesn't restore the draining signal.
    table.set_list(&list(&ready), now);
    expect_true!(is_chosen(&table, "i-0", true, now));
}

#[googletest::test]
fn draining_signal_applies_to_the_start_that_is_listed_first() {
    let now = start();
    let mut table = table(&[record("i-0", 0)], now);
    table.record_draining("i-0", now);
    table.set_list(&list(&[record("i-0", 5)]), now);
    expect_false!(is_chosen(&table, "i-0", true, now));
    table.set_list(&list(&[record("i-0", 6)]), now);
    expect_true!(is_chosen(&table, "i-0", true, now));
}

macro_rules! warnings_of_draining {
    ($($name:ident: known $known:expr, warned $warned:expr => chosen $chosen:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let now = start();
            let mut table = table(&[record("i-0", $known)], now);
            receive(&mut table, warning("i-0", $warned, WarningKind::Draining, now), now);
            expect_that!(is_chosen(&table, "i-0", true, now), eq($chosen));
        }
    )*};
}

warnings_of_draining! {
    warning_of_the_known_start: known 5, warned 5 => chosen false;
    warning_of_a_later_start: known 5, warned 6 => chosen false;
    warning_of_an_earlier_start: known 5, warned 4 => chosen true;
    warning_without_a_start: known 5, warned 0 => chosen true;
    warning_where_no_start_is_known: known 0, warned 0 => chosen false;
}

#[googletest::test]
fn warning_about_an_endpoint_that_is_not_listed_yet_applies_once_it_is_listed() {
    let now = start();
    let mut table = table(&[], now);
    receive(&mut table, warning("i-0", 5, WarningKind::Draining, now), now);
    table.set_list(&list(&[record("i-0", 5)]), now);
    expect_false!(is_chosen(&table, "i-0", true, now));
}

#[googletest::test]
fn warnings_are_reported_to_others_for_a_limited_time() {
    let now = start();
    let mut table = table(&[record("i-0", 5), record("i-1", 5)], now);
    table.record_draining("i-0", now);
    table.record_refusal("i-1", None, now);
    let kinds = |table: &EndpointTable, after: f64| {
        let warnings = table.warnings(now + seconds(after));
        warnings.iter().map(|warning| warning.kind).collect::<Vec<_>>()
    };
    expect_that!(kinds(&table, 0.1).len(), eq(2));
    expect_that!(kinds(&table, 5.0), elements_are![eq(&WarningKind::Draining)]);
    expect_that!(kinds(&table, 11.0), is_empty());
}

#[googletest::test]
fn endpoint_gets_no_requests_until_its_back_off_ends() {
    let now = start();
    let mut table = table(&[record("i-0", 5)], now);
    table.record_refusal("i-0", Some(seconds(2.5)), now);
    expect_false!(is_chosen(&table, "i-0", true, now + seconds(2.4)));
    // It may be missing from the list for a while, or be listed without its start time.
    for records in [&[][..], &[record("i-0", 5)], &[record("i-0", 0)]] {
        table.set_list(&list(records), now + seconds(1.0));
        expect_false!(is_chosen(&table, "i-0", true, now + seconds(2.4)));
    }
    expect_true!(is_chosen(&table, "i-0", true, now + seconds(2.6)));
    table.set_list(&list(&[record("i-0", 6)]), now + seconds(1.0));
    expect_true!(is_chosen(&table, "i-0", true, now + seconds(1.0)));
}

#[googletest::test]
fn back_off_that_ends_last_applies() {
    let now = start();
    let mut table = table(&[record("i-0", 5)], now);
    table.record_refusal("i-0", Some(seconds(1.0)), now);
    table.record_refusal("i-0", Some(seconds(3.0)), now + seconds(0.1));
    table.record_refusal("i-0", Some(seconds(0.0)), now + seconds(0.2));
    table.record_refusal("i-0", None, now + seconds(0.3));
    expect_false!(is_chosen(&table, "i-0", true, now + seconds(3.0)));
    expect_true!(is_chosen(&table, "i-0", true, now + seconds(3.2)));
}

#[googletest::test]
fn implausibly_long_back_off_counts_as_a_refusal_without_a_time() {
    let now = start();
    let mut table = table(&[record("i-0", 5)], now);
    table.record_refusal("i-0", Some(seconds(1e12)), now);
    expect_false!(is_chosen(&table, "i-0", true, now + seconds(0.05)));
    expect_true!(is_chosen(&table, "i-0", true, now + seconds(0.07)));
}

#[googletest::test]
fn consecutive_refusals_double_the_pause_up_to_a_second() {
    let (mut now, mut pause) = (start(), EndpointPause::default());
    let mut waited = Vec::new();
    for _ in 0..7 {
        pause.refused(RefusalKind::Unexplained, now);
        // A refusal of a request sent before the pause doesn't lengthen it.
        pause.refused(RefusalKind::Unexplained, now);
        let steps = (1..).find(|step| !pause.is_paused(now + seconds(0.01) * *step));
        let steps = steps.expect("the pause ends");
        waited.push(steps * 10);
        now += seconds(0.01) * steps;
    }
    expect_that!(
        waited,
        elements_are![eq(&60), eq(&120), eq(&240), eq(&480), eq(&960), eq(&1_000), eq(&1_000)]
    );
}

#[googletest::test]
fn slow_start_after_a_pause_doubles_the_requests_at_a_time() {
    let (now, mut pause) = (start(), EndpointPause::default());
    pause.refused(RefusalKind::BackOff(seconds(1.0)), now);
    let later = now + seconds(1.1);
    let mut admitted = Vec::new();
    while pause.probe().is_some() {
        let mut permits = Vec::new();
        while pause.takes_request(later) {
            permits.push(pause.begin());
        }
        admitted.push(permits.len());
        // The other requests end without a response.
        let (first, others) = permits.split_first().expect("a request");
        pause.ran(*first, SLOTS, later);
        others.iter().for_each(|permit| pause.ended(*permit));
    }
    expect_that!(admitted, elements_are![eq(&1), eq(&2), eq(&4)]);
}

#[googletest::test]
fn request_sent_before_a_pause_does_not_advance_its_slow_start() {
    let (now, mut pause) = (start(), EndpointPause::default());
    let before = pause.begin();
    pause.refused(RefusalKind::Unexplained, now);
    pause.ran(before, SLOTS, now);
    let later = now + seconds(0.1);
    expect_true!(pause.probe().is_some());
    let probe = pause.begin();
    pause.refused(RefusalKind::Unexplained, later);
    pause.ran(probe, SLOTS, later);
    expect_false!(pause.takes_request(later));
}

#[googletest::test]
fn refusal_by_a_busy_endpoint_causes_a_short_pause_without_slow_start() {
    let now = start();
    let mut table = table(&[record("i-0", 5)], now);
    for _ in 0..SLOTS {
        table.begin("i-0", &[], RunLoad::default(), now);
    }
    table.record_refusal("i-0", None, now);
    expect_false!(is_chosen(&table, "i-0", true, now));
    expect_true!(is_chosen(&table, "i-0", false, now + seconds(0.07)));
    expect_that!(table.warnings(now), is_empty());
}

#[googletest::test]
fn request_that_cannot_be_retried_avoids_an_endpoint_that_has_refused() {
    let now = start();
    let mut table = table(&[record("i-0", 5), record("i-1", 5)], now);
    table.record_refusal("i-0", None, now);
    let later = now + seconds(0.1);
    expect_true!(is_chosen(&table, "i-0", true, later));
    expect_false!(is_chosen(&table, "i-0", false, later));
    // It is sent there if no other endpoint is left.
    table.record_draining("i-1", later);
    expect_true!(is_chosen(&table, "i-0", false, later));
}

/// An endpoint that had refused one request got no further requests of routes with a single
/// attempt, as long as another endpoint had room.
#[googletest::test]
fn endpoint_that_has_refused_gets_requests_that_cannot_be_retried_again_after_some_seconds() {
    let now = start();
    let mut table = table(&[record("i-0", 5), record("i-1", 5)], now);
    table.record_refusal("i-0", None, now);
    expect_false!(is_chosen(&table, "i-0", false, now + seconds(1.0)));
    expect_true!(is_chosen(&table, "i-0", false, now + seconds(5.0)));
}

#[googletest::test]
fn requests_that_cannot_be_retried_avoid_an_endpoint_that_refused_another_daemon() {
    let now = start();
    let mut table = table(&[record("i-0", 5), record("i-1", 5)], now);
    receive(&mut table, warning("i-0", 5, WarningKind::NotServing, now), now);
    expect_false!(is_chosen(&table, "i-0", false, now));
    expect_true!(is_chosen(&table, "i-0", true, now));
}

/// Daemons ignored the report if the endpoint had run one of their requests in the last half second,
/// so each lost a request there itself.
#[googletest::test]
fn requests_that_cannot_be_retried_avoid_an_endpoint_that_has_begun_to_refuse_another_daemon() {
    let now = start();
    let mut table = table(&[record("i-0", 5), record("i-1", 5)], now);
    let run = |table: &mut EndpointTable, at| {
        table.begin("i-0", &[], RunLoad::default(), at);
        table.record_intake("i-0", None, RequestIntake::Ran, at);
        table.end("i-0", RunLoad::default(), AttemptResult::Succeeded, at, at);
    };
    run(&mut table, now);
    let later = now + seconds(0.1);
    receive(&mut table, warning("i-0", 5, WarningKind::NotServing, later), later);
    expect_false!(is_chosen(&table, "i-0", false, later));
    // It may refuse only the other daemon: there is no slow start, and one more response is enough.
    expect_true!(is_chosen(&table, "i-0", true, later));
    expect_that!(table.begin("i-0", &[], RunLoad::default(), later).probe, none());
    table.end("i-0", RunLoad::default(), AttemptResult::Neutral, later, later);
    run(&mut table, later + seconds(0.1));
    expect_true!(is_chosen(&table, "i-0", false, later + seconds(0.1)));
    // It is sent there if no other endpoint is left.
    let again = later + seconds(0.5);
    receive(&mut table, warning("i-0", 5, WarningKind::NotServing, again), again);
    expect_false!(is_chosen(&table, "i-0", false, again));
    table.record_draining("i-1", again);
    expect_true!(is_chosen(&table, "i-0", false, again));
}

#[googletest::test]
fn refusal_reported_by_another_daemon_restarts_the_pause_here() {
    let now = start();
    let mut table = table(&[record("i-0", 5)], now);
    table.record_refusal("i-0", None, now);
    // The own refusal comes back from another daemon with a slightly later time: it is not a new
    // one.
    let later = now + seconds(0.05);
    receive(&mut table, warning("i-0", 5, WarningKind::NotServing, later), later);
    expect_true!(is_chosen(&table, "i-0", true, now + seconds(0.07)));
    let later = now + seconds(0.5);
    receive(&mut table, warning("i-0", 5, WarningKind::NotServing, later), later);
    expect_false!(is_chosen(&table, "i-0", true, later + seconds(0.05)));
    expect_true!(is_chosen(&table, "i-0", true, later + seconds(0.13)));
}

#[googletest::test]
fn request_is_not_sent_if_its_endpoint_has_sent_a_signal_since_the_choice() {
    let (now, chosen) = (start(), record("i-0", 5));
    let mut table = table(std::slice::from_ref(&chosen), now);
    expect_true!(table.may_be_sent(&chosen, now));
    table.record_refusal("i-0", Some(seconds(1.0)), now);
    expect_false!(table.may_be_sent(&chosen, now));
    expect_true!(table.may_be_sent(&chosen, now + seconds(1.1)));
    table.record_draining("i-0", now);
    expect_false!(table.may_be_sent(&chosen, now + seconds(1.1)));
    table.set_list(&list(&[record("i-0", 6)]), now);
    expect_false!(table.may_be_sent(&chosen, now));
}

#[googletest::test]
fn retry_times_are_spread_over_the_ends_of_the_back_offs() {
    let now = start();
    let mut table = table(&[record("i-0", 5), record("i-1", 5)], now);
    expect_that!(table.forecast("pool", now), eq(RoomForecast::Now));
    table.record_refusal("i-0", Some(seconds(2.0)), now);
    expect_that!(table.forecast("pool", now), eq(RoomForecast::Now));
    table.record_refusal("i-1", Some(seconds(3.0)), now);
    let forecast = table.forecast("pool", now);
    let (first, last) = (now + seconds(2.0), now + seconds(3.0));
    expect_that!(forecast, eq(RoomForecast::Later { first, last }));
    let mut rng = SmallRng::seed_from_u64(1);
    let mut wait = || retry_after::by_forecast(forecast, TARGET, now, &mut rng);
    let waits: Vec<Duration> = (0..100).map(|_| wait()).collect();
    expect_true!(waits.iter().all(|wait| (seconds(2.0)..seconds(3.0)).contains(wait)));
    expect_true!(waits.iter().any(|wait| *wait < seconds(2.2)));
    expect_true!(waits.iter().any(|wait| *wait > seconds(2.8)));
}
