//! A daemon must read an endpoint's draining signal and its limit of 0 from every kind of response, on
//! every kind of route. Each test has one daemon and two endpoints, and sends requests of all kinds
//! after the signal.

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{RawAnswer, Site, wait_for},
};

const DRAINING: &str = "Server-Leaving: 1\r\n";
const LIMIT: &str = "Server-Limit: 0\r\n";
const PATHS: [&str; 4] = ["/plain/a/", "/once/a/", "/stream/a/", "/rigid/a/"];
/// Number of requests for each path after the signal. Without it each endpoint would get about half
/// of them.
const REQUESTS_PER_PATH: usize = 10;

/// Starts two endpoints; the first, which behaves as `manner`, has sent `header` in its response to a
/// request for `path`. Also returns the number of requests that the first has got.
fn site_after_signal(manner: EndpointManner, path: &str, header: &'static str) -> (Site, usize) {
    let site = Site::start(&[manner, EndpointManner::Serve]);
    site.endpoints[0].add_header(header);
    let mut count = 0;
    wait_for("a request at the first endpoint", || {
        count += 1;
        site.ask(path, &format!("before-{count}"));
        !site.endpoints[0].seen().is_empty()
    });
    let before = site.endpoints[0].seen().len();
    (site, before)
}

fn request_all_paths(site: &Site) -> Vec<RawAnswer> {
    let requests =
        PATHS.iter().flat_map(|path| (0..REQUESTS_PER_PATH).map(move |number| (*path, number)));
    let ask = |(path, number): (&str, usize)| {
        site.ask(path, &format!("after-{}-{number}", path.replace('/', "")))
    };
    requests.map(ask).collect()
}

macro_rules! signal_is_read_from {
    ($($name:ident: $manner:expr, $path:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            for header in [DRAINING, LIMIT] {
                let (site, before) = site_after_signal($manner, $path, header);
                site.endpoints[0].set(EndpointManner::Serve);
                let answers = request_all_paths(&site);
                expect_that!(
                    site.endpoints[0].seen().len(),
                    eq(before),
                    "requests at the first endpoint after {header}"
                );
                expect_true!(answers.iter().all(|answer| answer.status == 200 && answer.whole));
            }
        }
    )*};
}

signal_is_read_from! {
    plain_response: EndpointManner::Serve, "/plain/a/";
    response_that_runs_once: EndpointManner::Serve, "/once/a/";
    head_of_a_stream: EndpointManner::Serve, "/stream/a/";
    head_of_a_stream_that_breaks_and_is_resumed: EndpointManner::BreakAfter(2), "/stream/a/";
    head_of_a_stream_that_breaks: EndpointManner::BreakAfter(2), "/rigid/a/";
    client_error: EndpointManner::NotFound, "/plain/a/";
    server_error_that_is_passed_on: EndpointManner::Fail, "/once/a/";
    server_error_that_is_dropped_for_a_retry: EndpointManner::Fail, "/plain/a/";
    refusal: EndpointManner::Full, "/once/a/";
    refusal_that_is_retried: EndpointManner::Full, "/plain/a/";
    response_with_a_second_one_behind_it: EndpointManner::Surplus, "/plain/a/";
}

/// Starts two endpoints, of which the first has signalled a limit of 0. Also returns the number of
/// requests that the first has got.
fn site_with_limit() -> (Site, usize) {
    site_after_signal(EndpointManner::Serve, "/plain/a/", LIMIT)
}

#[googletest::test]
fn retries_respect_a_limit() {
    let (site, before) = site_with_limit();
    site.endpoints[1].set(EndpointManner::Full);
    let answer = site.ask("/plain/a/", "refused");
    expect_that!(answer.status, eq(503));
    expect_that!(site.endpoints[0].seen().len(), eq(before));
}

#[googletest::test]
fn resumptions_respect_a_limit() {
    let (site, before) = site_with_limit();
    site.endpoints[1].set(EndpointManner::BreakAfter(2));
    let answer = site.ask("/stream/a/", "broken");
    expect_false!(answer.whole);
    expect_that!(site.endpoints[0].seen().len(), eq(before));
}

#[googletest::test]
fn request_is_refused_with_retry_after_when_all_endpoints_are_at_their_limits() {
    let site = Site::start(&[EndpointManner::Serve]);
    site.endpoints[0].add_header("Server-Limit: 2\r\n");
    expect_that!(site.ask("/plain/a/", "first").status, eq(200));
    let refused = site.ask("/once/a/", "second");
    expect_that!(refused.status, eq(503));
    let retry_after: f64 =
        refused.header("retry-after").and_then(|text| text.parse().ok()).expect("time");
    // A token comes after 0.53 s, and clients are spread over half a second from then on.
    expect_true!((0.3..=1.05).contains(&retry_after), "Retry-After: {retry_after}");
    std::thread::sleep(std::time::Duration::from_secs_f64(retry_after));
    expect_that!(site.ask("/once/a/", "third").status, eq(200));
}

#[googletest::test]
fn signal_in_a_response_to_another_request_is_ignored() {
    let (site, before) = site_after_signal(EndpointManner::Foreign, "/plain/a/", DRAINING);
    site.endpoints[0].add_header("");
    site.endpoints[0].set(EndpointManner::Serve);
    // The failure makes the first endpoint the second choice, so the other one is removed.
    site.platform.remove("servers", "i-1");
    wait_for("a further request at the first endpoint", || {
        site.ask("/plain/a/", "after");
        site.endpoints[0].seen().len() > before
    });
}

#[googletest::test]
fn endpoint_signals_are_not_forwarded_to_clients() {
    for (header, name) in [(DRAINING, "server-leaving"), (LIMIT, "server-limit")] {
        let site = Site::start(&[EndpointManner::Serve]);
        site.endpoints[0].add_header(header);
        let answer = site.ask("/plain/a/", "first");
        expect_that!(answer.status, eq(200));
        expect_that!(answer.header(name), none());
        let refused = site.ask("/plain/a/", "second");
        expect_that!(refused.status, eq(503));
        expect_that!(refused.header("retry-after"), some(anything()));
    }
}
