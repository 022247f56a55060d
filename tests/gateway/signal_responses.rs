//! Each kind of response in which an endpoint may say that it drains or takes no requests, over each
//! kind of route: one daemon, two endpoints, and requests of all kinds afterwards.

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{RawAnswer, Site, wait_for},
};

const DRAINING: &str = "Server-Leaving: 1\r\n";
const LIMIT: &str = "Server-Limit: 0\r\n";
const PATHS: [&str; 4] = ["/plain/a/", "/once/a/", "/stream/a/", "/rigid/a/"];
/// Requests over each path afterwards: each endpoint would get about half of them.
const AFTERWARDS: usize = 10;

/// Two endpoints, of which the first has said `header` in this manner to a request for `path`;
/// also the requests that it has got.
fn site_told(manner: EndpointManner, path: &str, header: &'static str) -> (Site, usize) {
    let site = Site::start(&[manner, EndpointManner::Serve]);
    site.endpoints[0].add_header(header);
    let mut count = 0;
    wait_for("a request at the first endpoint", || {
        count += 1;
        site.ask(path, &format!("before-{count}"));
        !site.endpoints[0].seen().is_empty()
    });
    let told = site.endpoints[0].seen().len();
    (site, told)
}

fn ask_all(site: &Site) -> Vec<RawAnswer> {
    let requests = PATHS.iter().flat_map(|path| (0..AFTERWARDS).map(move |number| (*path, number)));
    let ask = |(path, number): (&str, usize)| {
        site.ask(path, &format!("after-{}-{number}", path.replace('/', "")))
    };
    requests.map(ask).collect()
}

macro_rules! not_chosen_after {
    ($($name:ident: $manner:expr, $path:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            for header in [DRAINING, LIMIT] {
                let (site, told) = site_told($manner, $path, header);
                site.endpoints[0].set(EndpointManner::Serve);
                let answers = ask_all(&site);
                expect_that!(site.endpoints[0].seen().len(), eq(told), "{header}");
                expect_true!(answers.iter().all(|answer| answer.status == 200 && answer.whole));
            }
        }
    )*};
}

not_chosen_after! {
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

/// Two endpoints of which the first takes no requests; also the requests that it has got.
fn site_with_limit() -> (Site, usize) {
    site_told(EndpointManner::Serve, "/plain/a/", LIMIT)
}

#[googletest::test]
fn retries_keep_to_a_limit() {
    let (site, told) = site_with_limit();
    site.endpoints[1].set(EndpointManner::Full);
    let answer = site.ask("/plain/a/", "refused");
    expect_that!(answer.status, eq(503));
    expect_that!(site.endpoints[0].seen().len(), eq(told));
}

#[googletest::test]
fn resumptions_keep_to_a_limit() {
    let (site, told) = site_with_limit();
    site.endpoints[1].set(EndpointManner::BreakAfter(2));
    let answer = site.ask("/stream/a/", "broken");
    expect_false!(answer.whole);
    expect_that!(site.endpoints[0].seen().len(), eq(told));
}

#[googletest::test]
fn all_endpoints_at_their_limits_are_told_at_once() {
    let site = Site::start(&[EndpointManner::Serve]);
    site.endpoints[0].add_header("Server-Limit: 2\r\n");
    expect_that!(site.ask("/plain/a/", "first").status, eq(200));
    let refused = site.ask("/once/a/", "second");
    expect_that!(refused.status, eq(503));
    let told: f64 = refused.header("retry-after").and_then(|text| text.parse().ok()).expect("time");
    // A token comes after 0.53 s, and clients are spread over half a second from then on.
    expect_true!((0.3..=1.05).contains(&told), "{told}");
    std::thread::sleep(std::time::Duration::from_secs_f64(told));
    expect_that!(site.ask("/once/a/", "third").status, eq(200));
}

#[googletest::test]
fn response_to_another_request_says_nothing() {
    let (site, told) = site_told(EndpointManner::Foreign, "/plain/a/", DRAINING);
    site.endpoints[0].add_header("");
    site.endpoints[0].set(EndpointManner::Serve);
    // A failure makes it the second choice, so the other one has to go.
    site.platform.remove("servers", "i-1");
    wait_for("requests at the first endpoint", || {
        site.ask("/plain/a/", "after");
        site.endpoints[0].seen().len() > told
    });
}

#[googletest::test]
fn clients_are_not_told_what_an_endpoint_says_of_itself() {
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
