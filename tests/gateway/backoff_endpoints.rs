//! Endpoints turned requests away and asked each daemon for 3 s of back-off; within it one daemon sent
//! 8 requests to one of them, another 5 to another. The time was read by nobody, and an endpoint
//! that had refused counted as full for 60 ms. Since it had nothing to do it then looked the idlest:
//! five of 16 endpoints drew 68 of 136 requests in one second (16, 9, 20, 8 and 15; the others 2 to
//! 9 each), all refused; with the retry that met a second one, 18 of 118 clients were refused:
//!
//!     7.515 reaches i-910c..., 503 not executed; 7.519 reaches i-d6e5..., 503 not executed
//!
//! With nine daemons and twelve endpoints of which four want a back-off of 3 s, all 144 back-offs were
//! broken, and 2,030 of 4,059 requests were not served, though eight endpoints had room.

use std::{
    collections::HashSet,
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    signal_fleet::{
        LOAD_TIME, SIGNALLING, SIGNALS_FROM, SIGNALS_UNTIL, SignalFleet, SignalOutcome,
        signal_for_a_while, sleep_until,
    },
    signalling_endpoint::{EndpointSignal, SignallingEndpoint},
};

/// When endpoints end that had asked for a back-off.
const END_AT: Duration = Duration::from_millis(2_000);
/// When they have started again.
const BACK_AT: Duration = Duration::from_millis(2_300);
/// Time in which endpoints that have started again are used.
const USED_AGAIN: Duration = Duration::from_secs(1);
/// Time after which endpoints are used again that no longer refuse, and had asked for no usable
/// back-off.
const RECOVERED: Duration = Duration::from_millis(1_500);
/// All endpoints of a fleet.
const ALL: usize = 12;
/// Time after which all of the last back-offs are over, and the first requests have been served again.
const LAST_BACKOFF: Duration = Duration::from_millis(2_400);
/// Longest time for a refusal of a request that can't be served: it is not held.
const AT_ONCE: Duration = Duration::from_millis(500);

fn play(telling: usize, tell: impl FnOnce(&[SignallingEndpoint], Instant)) -> SignalOutcome {
    let _place = acquire_fleet_slot();
    SignalFleet::start().play(telling, tell)
}

/// No back-off is broken, and under 2 in 100 of all requests are not served: eight endpoints have room.
fn check(outcome: &SignalOutcome) {
    let (sent, not_served) = outcome.not_served();
    let (asked, broken) = outcome.backoffs();
    let arrivals = outcome.arrivals_in(SIGNALS_FROM..SIGNALS_UNTIL);
    println!(
        "{asked} back-offs, {broken} broken, {arrivals} arrivals, not served {not_served:?} of {sent}"
    );
    expect_that!(broken, eq(0));
    expect_that!(not_served.values().sum::<usize>() * 50, lt(sent));
}

macro_rules! backoffs_are_kept {
    ($($name:ident: $signal:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let outcome = play(SIGNALLING, signal_for_a_while($signal));
            check(&outcome);
            expect_that!(outcome.arrivals_in(SIGNALS_UNTIL + RECOVERED..LOAD_TIME), gt(0));
        }
    )*};
}

backoffs_are_kept! {
    backoff_of_whole_seconds_is_kept: EndpointSignal::BacksOff("2");
    backoff_with_a_fraction_is_kept: EndpointSignal::BacksOff("1.5");
    backoff_is_kept_where_the_request_may_have_run: EndpointSignal::BacksOffUnclear("2");
    backoff_that_is_no_number_loses_no_endpoint: EndpointSignal::BacksOff("soon");
    backoff_beyond_belief_loses_no_endpoint: EndpointSignal::BacksOff("1e12");
    refusals_without_a_backoff_draw_no_requests: EndpointSignal::Refuses;
}

#[googletest::test]
fn backoff_is_over_when_an_endpoint_has_started_again() {
    let outcome = play(SIGNALLING, |endpoints, began| {
        sleep_until(began, SIGNALS_FROM);
        endpoints.iter().for_each(|endpoint| endpoint.set_signal(EndpointSignal::BacksOff("3")));
        sleep_until(began, END_AT);
        endpoints.iter().for_each(SignallingEndpoint::end);
        sleep_until(began, BACK_AT);
        endpoints.iter().for_each(SignallingEndpoint::start_again);
    });
    check(&outcome);
    expect_that!(outcome.arrivals_in(BACK_AT..BACK_AT + USED_AGAIN), gt(0));
}

/// How requests return when the endpoints no longer refuse: arrivals and what is served, by quarters of
/// a second.
fn print_return(outcome: &SignalOutcome) {
    let quarter = Duration::from_millis(250);
    for number in 0..10 {
        let from = SIGNALS_UNTIL + quarter * number;
        let sent = outcome.sent_in(from..from + quarter);
        let served = sent.iter().filter(|request| request.is_served()).count();
        let arrivals = outcome.arrivals_in(from..from + quarter);
        println!("{from:?}: {arrivals} arrivals, {served} of {} served", sent.len());
    }
}

#[googletest::test]
fn clients_are_told_when_all_endpoints_back_off() {
    let outcome = play(ALL, signal_for_a_while(EndpointSignal::BacksOff("2")));
    let (asked, broken) = outcome.backoffs();
    let resting = outcome.sent_in(SIGNALS_FROM + AT_ONCE..SIGNALS_UNTIL);
    let told: Vec<f64> = resting.iter().filter_map(|request| request.retry_after).collect();
    let mean = told.iter().sum::<f64>() / told.len() as f64;
    println!("{asked} back-offs, {broken} broken; clients told {mean:.2} s, {} times", told.len());
    expect_that!(broken, eq(0));
    expect_false!(resting.iter().any(|request| request.is_served()));
    expect_true!(resting.iter().all(|request| request.answered - request.sent < AT_ONCE));
    expect_true!(resting.iter().all(|request| request.status == 503));
    // What each is told is the time that is left, from 2 s to none, and a share of its own.
    expect_that!(mean, ge(0.7));
    let different: HashSet<u64> = told.iter().map(|seconds| seconds.to_bits()).collect();
    expect_that!(different.len() * 2, gt(told.len()));
    print_return(&outcome);
    let last = outcome.sent_in(SIGNALS_UNTIL + LAST_BACKOFF..LOAD_TIME);
    let served = last.iter().filter(|request| request.is_served()).count();
    println!("{served} of {} served afterwards", last.len());
    expect_that!(served * 10, gt(last.len() * 8));
}
