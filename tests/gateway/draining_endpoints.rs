//! An endpoint said in its responses that it drains, and was sent requests by the same daemons all
//! the same. The store was away, so that its list called the endpoint ready until 13 s later; two
//! daemons had passed on responses that said it, and sent it requests 11.0 and 11.6 s afterwards
//! (2 s are allowed). The header was read by nobody: the line of the response that said it, and
//! that of the late request, both from one daemon:
//!
//!     7.768  "steps":"i-1bce... uncached 2130 of 2499 wait 60; 200 Ran after 73;"
//!     19.467 "steps":"i-1bce... uncached 821 of 821 wait 21; 200 Ran after 53;"
//!
//! With nine daemons and twelve endpoints of which four say it, 1,140 of 1,406 requests reached them
//! over 2 s later; where they also refuse, half of all requests were not served.

use std::time::{Duration, Instant};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    signal_fleet::{LOAD_TIME, SIGNALLING, SIGNALS_FROM, SignalFleet, SignalOutcome, sleep_until},
    signalling_endpoint::{EndpointSignal, SignallingEndpoint},
};

/// When entries are taken away, or the endpoints end.
const GONE_AT: Duration = Duration::from_secs(4);
/// When they are back.
const BACK_AT: Duration = Duration::from_millis(5_500);
/// Time in which endpoints that have started again are used.
const USED_AGAIN: Duration = Duration::from_secs(1);
/// Pause between two writes of an entry.
const WRITE_PAUSE: Duration = Duration::from_millis(500);

fn play(tell: impl FnOnce(&[SignallingEndpoint], Instant)) -> SignalOutcome {
    let _place = acquire_fleet_slot();
    SignalFleet::start().play(SIGNALLING, tell)
}

/// No late arrivals, and under 2 in 100 of all requests not served: eight endpoints have room.
fn check(outcome: &SignalOutcome) {
    let (sent, not_served) = outcome.not_served();
    let (arrivals, late) = (outcome.arrivals_in(SIGNALS_FROM..LOAD_TIME), outcome.late_arrivals());
    println!("{arrivals} arrivals, {late} late, not served {not_served:?} of {sent}");
    expect_that!(late, eq(0));
    expect_that!(not_served.values().sum::<usize>() * 50, lt(sent));
    let judged = outcome.sent_in(SIGNALS_FROM..LOAD_TIME);
    expect_false!(judged.iter().any(|request| request.names_draining));
}

fn say(endpoints: &[SignallingEndpoint], began: Instant, signal: EndpointSignal) {
    sleep_until(began, SIGNALS_FROM);
    endpoints.iter().for_each(|endpoint| endpoint.set_signal(signal));
}

fn end_and_start_again(endpoints: &[SignallingEndpoint], began: Instant) {
    say(endpoints, began, EndpointSignal::Drains);
    sleep_until(began, GONE_AT);
    endpoints.iter().for_each(SignallingEndpoint::end);
    sleep_until(began, BACK_AT);
    endpoints.iter().for_each(SignallingEndpoint::start_again);
}

fn write_entries_again(endpoints: &[SignallingEndpoint], began: Instant) {
    say(endpoints, began, EndpointSignal::Drains);
    let mut at = SIGNALS_FROM;
    while at < LOAD_TIME {
        endpoints.iter().for_each(SignallingEndpoint::register);
        at += WRITE_PAUSE;
        sleep_until(began, at);
    }
}

fn take_entries_away_for_a_while(endpoints: &[SignallingEndpoint], began: Instant) {
    say(endpoints, began, EndpointSignal::Drains);
    sleep_until(began, GONE_AT);
    endpoints.iter().for_each(SignallingEndpoint::unregister);
    sleep_until(began, BACK_AT);
    endpoints.iter().for_each(SignallingEndpoint::register);
}

macro_rules! not_chosen_any_more {
    ($($name:ident: $tell:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check(&play($tell));
        }
    )*};
}

not_chosen_any_more! {
    draining_in_successes: |all, began| say(all, began, EndpointSignal::Drains);
    draining_in_refusals: |all, began| say(all, began, EndpointSignal::DrainsRefusing);
    draining_in_failures: |all, began| say(all, began, EndpointSignal::DrainsFailing);
    draining_while_entries_are_written_as_ready: write_entries_again;
    draining_while_entries_go_and_come_back: take_entries_away_for_a_while;
}

#[googletest::test]
fn draining_is_over_when_an_endpoint_has_started_again() {
    let outcome = play(end_and_start_again);
    check(&outcome);
    let again = BACK_AT..BACK_AT + USED_AGAIN;
    expect_that!(outcome.arrivals_in(again), gt(0));
}
