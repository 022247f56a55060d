//! Parsing of endpoint signals (draining, back-off, limit) in response headers by the platform
//! adapter.

use std::time::Duration;

use googletest::prelude::*;
use hyper::Response;
use proptest::prelude::*;
use willowarch::{
    gateway::request::response_meaning::{EndpointSignals, LimitSignal},
    platform::ingress::{SentRequest, read_response},
};

const DRAINING: &str = "server-leaving";
const BACKOFF: &str = "retry-after";
const LIMIT: &str = "server-limit";
const BRITTLE: &str = "server-brittle";

fn signals(status: u16, headers: &[(&str, &str)]) -> EndpointSignals {
    let mut response = Response::builder().status(status).header("x-response-seal", "s");
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    let request = SentRequest { id: "mine", endpoint: "i-0", asks_for_weights: false };
    read_response(request, &response.body(()).expect("response")).expect("a head").signals
}

/// Signals of a response to this request (with the same request id).
fn own_signals(status: u16, headers: &[(&str, &str)]) -> EndpointSignals {
    let mut all = vec![("x-request-id", "mine")];
    all.extend(headers);
    signals(status, &all)
}

fn draining() -> EndpointSignals {
    EndpointSignals { is_draining: true, ..EndpointSignals::default() }
}

fn backoff(seconds: f64) -> EndpointSignals {
    let backoff = Some(Duration::from_secs_f64(seconds));
    EndpointSignals { backoff, ..EndpointSignals::default() }
}

fn limit_per_second(per_second: f64) -> EndpointSignals {
    EndpointSignals { limit: LimitSignal::PerSecond(per_second), ..EndpointSignals::default() }
}

fn unreadable_limit() -> EndpointSignals {
    let limit = LimitSignal::Unreadable;
    EndpointSignals { limit, is_unreadable: true, ..EndpointSignals::default() }
}

fn brittle() -> EndpointSignals {
    EndpointSignals { is_brittle: true, ..EndpointSignals::default() }
}

fn no_signals() -> EndpointSignals {
    EndpointSignals::default()
}

fn unreadable() -> EndpointSignals {
    EndpointSignals { is_unreadable: true, ..EndpointSignals::default() }
}

macro_rules! signal_cases {
    ($($name:ident: $status:expr, $headers:expr => $signals:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(own_signals($status, &$headers), eq($signals));
        }
    )*};
}

signal_cases! {
    draining_on_success: 200, [(DRAINING, "1")] => draining();
    draining_on_client_error: 404, [(DRAINING, "1")] => draining();
    draining_on_server_error: 500, [(DRAINING, "1")] => draining();
    draining_on_refusal: 503, [(DRAINING, "1"), ("x-not-executed", "1")] => draining();
    draining_with_surrounding_spaces: 200, [(DRAINING, " 1 ")] => draining();
    draining_header_twice: 200, [(DRAINING, "1"), (DRAINING, "1")] => draining();
    draining_in_one_of_two_values: 200, [(DRAINING, "0, 1")] => draining();
    draining_of_another_value: 200, [(DRAINING, "0")] => unreadable();
    draining_that_is_not_ascii: 200, [(DRAINING, "\u{e9}")] => unreadable();
    backoff_of_whole_seconds: 503, [(BACKOFF, "3"), ("x-not-executed", "1")] => backoff(3.0);
    backoff_with_a_fraction: 503, [(BACKOFF, "2.5"), ("x-not-executed", "1")] => backoff(2.5);
    backoff_without_the_not_executed_header: 503, [(BACKOFF, "3")] => backoff(3.0);
    backoff_of_no_time: 503, [(BACKOFF, "0")] => backoff(0.0);
    longest_of_two_backoffs: 503, [(BACKOFF, "1"), (BACKOFF, "4")] => backoff(4.0);
    very_long_backoff: 503, [(BACKOFF, "1e12")] => backoff(1e12);
    backoff_that_is_not_a_number: 503, [(BACKOFF, "soon")] => unreadable();
    backoff_that_is_negative: 503, [(BACKOFF, "-3")] => unreadable();
    backoff_that_is_nan: 503, [(BACKOFF, "NaN")] => unreadable();
    infinite_backoff: 503, [(BACKOFF, "inf")] => unreadable();
    backoff_until_a_date: 503, [(BACKOFF, "Wed, 21 Oct 2026 07:28:00 GMT")] => unreadable();
    backoff_that_is_empty: 503, [(BACKOFF, "")] => unreadable();
    limit_on_success: 200, [(LIMIT, "1.6")] => limit_per_second(1.6);
    limit_on_server_error: 500, [(LIMIT, "1.6")] => limit_per_second(1.6);
    limit_on_refusal: 503, [(LIMIT, "12"), ("x-not-executed", "1")] => limit_per_second(12.0);
    limit_of_zero: 200, [(LIMIT, "0")] => limit_per_second(0.0);
    very_high_limit: 200, [(LIMIT, "1e12")] => limit_per_second(1e12);
    smallest_of_several_limits: 200, [(LIMIT, "8, 2"), (LIMIT, "4")] => limit_per_second(2.0);
    limit_beside_an_unreadable_one: 200, [(LIMIT, "soon, 4")] => limit_per_second(4.0);
    limit_with_a_comma_in_it: 200, [(LIMIT, "1,5")] => limit_per_second(1.0);
    limit_that_is_negative: 200, [(LIMIT, "-1")] => unreadable_limit();
    limit_that_is_nan: 200, [(LIMIT, "NaN")] => unreadable_limit();
    infinite_limit: 200, [(LIMIT, "inf")] => unreadable_limit();
    limit_that_is_empty: 200, [(LIMIT, "")] => unreadable_limit();
    limit_in_hexadecimal: 200, [(LIMIT, "0x2")] => unreadable_limit();
    backoff_header_on_success: 200, [(BACKOFF, "3")] => no_signals();
    backoff_header_on_server_error: 500, [(BACKOFF, "3")] => no_signals();
    backoff_header_on_429: 429, [(BACKOFF, "3"), ("x-not-executed", "1")] => no_signals();
    brittle_on_success: 200, [(BRITTLE, "2")] => brittle();
    brittle_on_refusal: 503, [(BRITTLE, "0"), ("x-not-executed", "1")] => brittle();
    brittle_of_an_unreadable_bound: 500, [(BRITTLE, "few")] => brittle();
    refusal_without_signals: 503, [("x-not-executed", "1")] => no_signals();
}

#[googletest::test]
fn signals_of_another_endpoint_or_request_are_ignored() {
    let all = [(DRAINING, "1"), (BACKOFF, "3"), (LIMIT, "2"), (BRITTLE, "2")];
    expect_that!(own_signals(421, &all), eq(no_signals()));
    let other_id: Vec<_> = [("x-request-id", "other")].into_iter().chain(all).collect();
    expect_that!(signals(503, &other_id), eq(no_signals()));
    expect_that!(signals(200, &all), eq(no_signals()));
}

proptest! {
    #[test]
    fn any_header_values_are_parsed_without_panic(
        status in 200_u16..600,
        one in "[ -~]{0,40}",
        two in "[ -~]{0,40}",
    ) {
        let signals = own_signals(status, &[(DRAINING, &one), (BACKOFF, &two)]);
        prop_assert!(signals.backoff.is_none() || status == 503);
    }

    #[test]
    fn any_limit_is_a_number_from_zero_up_or_unreadable(value in "[ -~]{0,40}") {
        let signals = own_signals(200, &[(LIMIT, &value)]);
        match signals.limit {
            LimitSignal::PerSecond(limit) => prop_assert!(limit.is_finite() && limit >= 0.0),
            LimitSignal::Unreadable => prop_assert!(signals.is_unreadable),
            LimitSignal::Absent => prop_assert!(false, "the limit header is present"),
        }
    }

    #[test]
    fn any_number_of_seconds_is_parsed_or_unreadable(seconds in any::<f64>()) {
        let signals = own_signals(503, &[(BACKOFF, &seconds.to_string())]);
        prop_assert_eq!(signals.backoff.is_none(), signals.is_unreadable);
        prop_assert!(seconds >= 0.0 || signals.backoff.is_none_or(|backoff| backoff.is_zero()));
    }
}
