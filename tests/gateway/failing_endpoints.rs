//! Endpoints that fail requests while their entries in the store say that they are ready must be
//! avoided, and used again soon after they recover.
//!
//! Any response counted as a sign of health, so that an endpoint that failed requests immediately
//! counted as healthy and seemed the least loaded. With nine daemons and twelve endpoints of which
//! four failed in this way, 2,502 of 4,091 requests were not served; 72.7 a second reached each of
//! the four, and 18.0 each of the others. An endpoint whose connections had broken was ejected for
//! up to 30 s, and got no requests in the 5 s after it had recovered.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::json;

use crate::{
    fleet_places::acquire_fleet_slot,
    signal_fleet::{
        LOAD_TIME, SIGNALLING, SIGNALS_FROM, SIGNALS_UNTIL, SignalFleet, SignalOutcome,
        signal_for_a_while,
    },
    signalling_endpoint::EndpointSignal,
};

/// Time in which daemons must detect that an endpoint fails.
const DETECTION_TIME: Duration = Duration::from_secs(1);
/// Time in which each endpoint must get requests again after it has recovered.
const REUSE_TIME: Duration = Duration::from_secs(2);

/// Checks that at most 2 in 100 requests are not served, and that each endpoint gets requests
/// again after it has recovered.
fn check(outcome: &SignalOutcome) {
    let sent = outcome.sent_in(SIGNALS_FROM + DETECTION_TIME..SIGNALS_UNTIL);
    let not_served = sent.iter().filter(|request| !request.is_served()).count();
    let during = outcome.arrivals_in(SIGNALS_FROM + DETECTION_TIME..SIGNALS_UNTIL);
    let again = outcome.arrivals_at_each(SIGNALS_UNTIL..SIGNALS_UNTIL + REUSE_TIME);
    let later = outcome.arrivals_in(SIGNALS_UNTIL + REUSE_TIME..LOAD_TIME);
    println!(
        "not served {not_served} of {}; {during} arrivals, after recovery {again:?}, then {later}",
        sent.len()
    );
    let second = Duration::from_secs(1);
    let not_served_by_second: Vec<usize> = (0..6)
        .map(|number| {
            outcome.sent_in(SIGNALS_FROM + second * number..SIGNALS_FROM + second * (number + 1))
        })
        .map(|sent| sent.iter().filter(|request| !request.is_served()).count())
        .collect();
    println!("not served in each second after the failures began: {not_served_by_second:?}");
    let once_only = sent.iter().filter(|request| !request.is_served() && request.is_once).count();
    println!("{once_only} of the requests not served may run only once");
    expect_that!(not_served * 50, le(sent.len()));
    expect_that!(again, each(gt(&0)));
}

macro_rules! failing_endpoints_are_avoided {
    ($($name:ident: $signal:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let _place = acquire_fleet_slot();
            check(&SignalFleet::start().play(SIGNALLING, signal_for_a_while($signal)));
        }
    )*};
}

failing_endpoints_are_avoided! {
    failures_at_once: EndpointSignal::Fails;
    failures_of_some_requests: EndpointSignal::FailsSometimes;
    late_failures: EndpointSignal::FailsLate;
    failures_for_some_daemons: EndpointSignal::FailsForSome;
    connections_that_close: EndpointSignal::Closes;
    endpoints_that_never_respond: EndpointSignal::Hangs;
    responses_that_stop_after_the_head: EndpointSignal::HangsAfterHead;
    slow_endpoints: EndpointSignal::Slow;
}

/// Each daemon of a large fleet has few retries. With 77 daemons, and four of twelve endpoints
/// failing requests immediately, 196 of 1,119 requests were not served. All of them could have
/// been retried: they were sent to endpoints known to fail, to be retried elsewhere, but no retry
/// was left.
#[googletest::test]
fn failures_at_once_where_few_retries_are_left() {
    let _place = acquire_fleet_slot();
    let fleet = SignalFleet::start_with(json!({"retry-ratio": 0.04, "retry-slack": 0}));
    check(&fleet.play(SIGNALLING, signal_for_a_while(EndpointSignal::Fails)));
}
