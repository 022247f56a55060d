//! What endpoints say of themselves in the heads of their responses, as the adapter reads it.

use std::time::Duration;

use googletest::prelude::*;
use hyper::Response;
use proptest::prelude::*;
use willowarch::{
    gateway::request::response_meaning::EndpointNotice, platform::ingress::read_response,
};

const LEAVING: &str = "server-leaving";
const REST: &str = "retry-after";

fn notice(status: u16, headers: &[(&str, &str)]) -> EndpointNotice {
    let mut response = Response::builder().status(status);
    for (name, value) in headers {
        response = response.header(*name, *value);
    }
    read_response("mine", &response.body(()).expect("response")).notice
}

/// The notice of a response to the own request.
fn own_notice(status: u16, headers: &[(&str, &str)]) -> EndpointNotice {
    let mut all = vec![("x-request-id", "mine")];
    all.extend(headers);
    notice(status, &all)
}

fn leaves() -> EndpointNotice {
    EndpointNotice { is_leaving: true, ..EndpointNotice::default() }
}

fn rests(seconds: f64) -> EndpointNotice {
    let rest = Some(Duration::from_secs_f64(seconds));
    EndpointNotice { rest, ..EndpointNotice::default() }
}

fn nothing() -> EndpointNotice {
    EndpointNotice::default()
}

fn unreadable() -> EndpointNotice {
    EndpointNotice { is_unreadable: true, ..EndpointNotice::default() }
}

macro_rules! own_notices {
    ($($name:ident: $status:expr, $headers:expr => $notice:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(own_notice($status, &$headers), eq($notice));
        }
    )*};
}

own_notices! {
    leaving_on_success: 200, [(LEAVING, "1")] => leaves();
    leaving_on_client_error: 404, [(LEAVING, "1")] => leaves();
    leaving_on_server_error: 500, [(LEAVING, "1")] => leaves();
    leaving_on_refusal: 503, [(LEAVING, "1"), ("x-not-executed", "1")] => leaves();
    leaving_beside_spaces: 200, [(LEAVING, " 1 ")] => leaves();
    leaving_said_twice: 200, [(LEAVING, "1"), (LEAVING, "1")] => leaves();
    leaving_in_one_of_two_values: 200, [(LEAVING, "0, 1")] => leaves();
    leaving_of_another_value: 200, [(LEAVING, "0")] => unreadable();
    leaving_that_is_not_ascii: 200, [(LEAVING, "\u{e9}")] => unreadable();
    rest_of_whole_seconds: 503, [(REST, "3"), ("x-not-executed", "1")] => rests(3.0);
    rest_with_a_fraction: 503, [(REST, "2.5"), ("x-not-executed", "1")] => rests(2.5);
    rest_without_word_on_the_run: 503, [(REST, "3")] => rests(3.0);
    rest_of_no_time: 503, [(REST, "0")] => rests(0.0);
    rest_said_twice: 503, [(REST, "1"), (REST, "4")] => rests(4.0);
    rest_beyond_belief: 503, [(REST, "1e12")] => rests(1e12);
    rest_that_is_no_number: 503, [(REST, "soon")] => unreadable();
    rest_that_is_negative: 503, [(REST, "-3")] => unreadable();
    rest_that_is_nan: 503, [(REST, "NaN")] => unreadable();
    rest_without_end: 503, [(REST, "inf")] => unreadable();
    rest_until_a_date: 503, [(REST, "Wed, 21 Oct 2026 07:28:00 GMT")] => unreadable();
    rest_that_is_empty: 503, [(REST, "")] => unreadable();
    time_on_success: 200, [(REST, "3")] => nothing();
    time_on_server_error: 500, [(REST, "3")] => nothing();
    time_on_too_many_requests: 429, [(REST, "3"), ("x-not-executed", "1")] => nothing();
    nothing_said: 503, [("x-not-executed", "1")] => nothing();
}

#[googletest::test]
fn words_of_another_endpoint_or_request_say_nothing() {
    let both = [(LEAVING, "1"), (REST, "3")];
    expect_that!(own_notice(421, &both), eq(nothing()));
    let other_id: Vec<_> = [("x-request-id", "other")].into_iter().chain(both).collect();
    expect_that!(notice(503, &other_id), eq(nothing()));
    expect_that!(notice(200, &both), eq(nothing()));
}

proptest! {
    #[test]
    fn any_values_do_no_harm(status in 200_u16..600, one in "[ -~]{0,40}", two in "[ -~]{0,40}") {
        let notice = own_notice(status, &[(LEAVING, &one), (REST, &two)]);
        prop_assert!(notice.rest.is_none() || status == 503);
    }

    #[test]
    fn any_number_of_seconds_is_read_or_not_said(seconds in any::<f64>()) {
        let notice = own_notice(503, &[(REST, &seconds.to_string())]);
        prop_assert_eq!(notice.rest.is_none(), notice.is_unreadable);
        prop_assert!(seconds >= 0.0 || notice.rest.is_none_or(|rest| rest.is_zero()));
    }
}
