//! What endpoints say of themselves in the heads of their responses, as the adapter reads it.

use std::time::Duration;

use googletest::prelude::*;
use hyper::Response;
use proptest::prelude::*;
use willowarch::{
    gateway::request::response_meaning::{EndpointSignals, LimitSignal},
    platform::ingress::read_response,
};

const DRAINING: &str = "server-leaving";
const BACKOFF: &str = "retry-after";
const LIMIT: &str = "server-limit";

fn signals(status: u16, headers: &[(&str, &str)]) -> EndpointSignals {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    read_response("mine", &response.body(()).expect("response")).signals
}

/// The signals of a response to the own request.
fn own_signals(status: u16, headers: &[(&str, &str)]) -> EndpointSignals {
    let mut all = vec![("x-request-id", "mine")];
    all.extend(headers);
    signals(status, &all)
}

fn drains() -> EndpointSignals {
    EndpointSignals { is_draining: true, ..EndpointSignals::default() }
}

fn backs_off(seconds: f64) -> EndpointSignals {
    let backoff = Some(Duration::from_secs_f64(seconds));
    EndpointSignals { backoff, ..EndpointSignals::default() }
}

fn limits(per_second: f64) -> EndpointSignals {
    EndpointSignals { limit: LimitSignal::PerSecond(per_second), ..EndpointSignals::default() }
}

fn unreadable_limit() -> EndpointSignals {
    let limit = LimitSignal::Unreadable;
    EndpointSignals { limit, is_unreadable: true, ..EndpointSignals::default() }
}

fn nothing() -> EndpointSignals {
    EndpointSignals::default()
}

fn unreadable() -> EndpointSignals {
    EndpointSignals { is_unreadable: true, ..EndpointSignals::default() }
}

macro_rules! own_signalss {
    ($($name:ident: $status:expr, $headers:expr => $signals:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(own_signals($status, &$headers), eq($signals));
        }
    )*};
}

own_signalss! {
    draining_on_success: 200, [(DRAINING, "1")] => drains();
    draining_on_client_error: 404, [(DRAINING, "1")] => drains();
    draining_on_server_error: 500, [(DRAINING, "1")] => drains();
    draining_on_refusal: 503, [(DRAINING, "1"), ("x-not-executed", "1")] => drains();
    draining_beside_spaces: 200, [(DRAINING, " 1 ")] => drains();
    draining_said_twice: 200, [(DRAINING, "1"), (DRAINING, "1")] => drains();
    draining_in_one_of_two_values: 200, [(DRAINING, "0, 1")] => drains();
    draining_of_another_value: 200, [(DRAINING, "0")] => unreadable();
    draining_that_is_not_ascii: 200, [(DRAINING, "\u{e9}")] => unreadable();
    backoff_of_whole_seconds: 503, [(BACKOFF, "3"), ("x-not-executed", "1")] => backs_off(3.0);
    backoff_with_a_fraction: 503, [(BACKOFF, "2.5"), ("x-not-executed", "1")] => backs_off(2.5);
    backoff_without_word_on_the_run: 503, [(BACKOFF, "3")] => backs_off(3.0);
    backoff_of_no_time: 503, [(BACKOFF, "0")] => backs_off(0.0);
    backoff_said_twice: 503, [(BACKOFF, "1"), (BACKOFF, "4")] => backs_off(4.0);
    backoff_beyond_belief: 503, [(BACKOFF, "1e12")] => backs_off(1e12);
    backoff_that_is_no_number: 503, [(BACKOFF, "soon")] => unreadable();
    backoff_that_is_negative: 503, [(BACKOFF, "-3")] => unreadable();
    backoff_that_is_nan: 503, [(BACKOFF, "NaN")] => unreadable();
    backoff_without_end: 503, [(BACKOFF, "inf")] => unreadable();
    backoff_until_a_date: 503, [(BACKOFF, "Wed, 21 Oct 2026 07:28:00 GMT")] => unreadable();
    backoff_that_is_empty: 503, [(BACKOFF, "")] => unreadable();
    limit_on_success: 200, [(LIMIT, "1.6")] => limits(1.6);
    limit_on_server_error: 500, [(LIMIT, "1.6")] => limits(1.6);
    limit_on_refusal: 503, [(LIMIT, "12"), ("x-not-executed", "1")] => limits(12.0);
    limit_of_nothing: 200, [(LIMIT, "0")] => limits(0.0);
    limit_beyond_belief: 200, [(LIMIT, "1e12")] => limits(1e12);
    least_of_several_limits: 200, [(LIMIT, "8, 2"), (LIMIT, "4")] => limits(2.0);
    limit_beside_one_that_is_none: 200, [(LIMIT, "soon, 4")] => limits(4.0);
    limit_with_a_comma_in_it: 200, [(LIMIT, "1,5")] => limits(1.0);
    limit_that_is_negative: 200, [(LIMIT, "-1")] => unreadable_limit();
    limit_that_is_nan: 200, [(LIMIT, "NaN")] => unreadable_limit();
    limit_without_end: 200, [(LIMIT, "inf")] => unreadable_limit();
    limit_that_is_empty: 200, [(LIMIT, "")] => unreadable_limit();
    limit_in_hexadecimal: 200, [(LIMIT, "0x2")] => unreadable_limit();
    time_on_success: 200, [(BACKOFF, "3")] => nothing();
    time_on_server_error: 500, [(BACKOFF, "3")] => nothing();
    time_on_too_many_requests: 429, [(BACKOFF, "3"), ("x-not-executed", "1")] => nothing();
    nothing_said: 503, [("x-not-executed", "1")] => nothing();
}

#[googletest::test]
fn words_of_another_endpoint_or_request_say_nothing() {
    let all = [(DRAINING, "1"), (BACKOFF, "3"), (LIMIT, "2")];
    expect_that!(own_signals(421, &all), eq(nothing()));
    let other_id: Vec<_> = [("x-request-id", "other")].into_iter().chain(all).collect();
    expect_that!(signals(503, &other_id), eq(nothing()));
    expect_that!(signals(200, &all), eq(nothing()));
}

proptest! {
    #[test]
    fn any_values_do_no_harm(status in 200_u16..600, one in "[ -~]{0,40}", two in "[ -~]{0,40}") {
        let signals = own_signals(status, &[(DRAINING, &one), (BACKOFF, &two)]);
        prop_assert!(signals.backoff.is_none() || status == 503);
    }

    #[test]
    fn any_limit_is_a_number_from_zero_up_or_unreadable(value in "[ -~]{0,40}") {
        let signals = own_signals(200, &[(LIMIT, &value)]);
        match signals.limit {
            LimitSignal::PerSecond(limit) => prop_assert!(limit.is_finite() && limit >= 0.0),
            LimitSignal::Unreadable => prop_assert!(signals.is_unreadable),
            LimitSignal::Absent => prop_assert!(false, "the header is there"),
        }
    }

    #[test]
    fn any_number_of_seconds_is_read_or_not_said(seconds in any::<f64>()) {
        let signals = own_signals(503, &[(BACKOFF, &seconds.to_string())]);
        prop_assert_eq!(signals.backoff.is_none(), signals.is_unreadable);
        prop_assert!(seconds >= 0.0 || signals.backoff.is_none_or(|backoff| backoff.is_zero()));
    }
}
