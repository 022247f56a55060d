//! Responses of endpoints whose headers hold numbers that can't be meant. Their requests are answered, and so are
//! those after them.

use std::{thread, time::Duration};

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, ask},
};

const REQUESTS: usize = 5;
/// Time from the start of a daemon after which it uses brittle endpoints, and more.
const SHARE_TIME: Duration = Duration::from_secs(2);

fn play(manner: EndpointManner, header: &'static str, status: u16) {
    let mut site = Site::start(&[manner, manner]);
    thread::sleep(SHARE_TIME);
    site.endpoints.iter().for_each(|endpoint| endpoint.add_header(header));
    for number in 0..REQUESTS {
        let answer = site.ask("/plain/", &format!("a-{number}"));
        expect_that!((answer.status, answer.whole), eq((status, true)), "{header}");
    }
    expect_that!(site.gateway.has_ended(), eq(false), "{header}");
}

macro_rules! requests_end_by_odd_headers {
    ($($name:ident: $manner:expr, $header:expr, $status:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($manner, $header, $status);
        }
    )*};
}

requests_end_by_odd_headers! {
    longest_keep_alive_ends_requests:
        EndpointManner::Answer, "Keep-Alive: timeout=18446744073709551615\r\n", 200;
    longest_backoff_ends_requests: EndpointManner::Full, "Retry-After: 1.8e19\r\n", 503;
    endless_backoff_ends_requests: EndpointManner::Full, "Retry-After: 1e400\r\n", 503;
    least_limit_ends_requests: EndpointManner::Full, "Server-Limit: 1e-320\r\n", 503;
    largest_limit_ends_requests: EndpointManner::Answer, "Server-Limit: 1e308\r\n", 200;
    undefined_limit_ends_requests: EndpointManner::Answer, "Server-Limit: NaN\r\n", 200;
    longest_brittle_bound_ends_requests:
        EndpointManner::Answer, "Server-Brittle: 18446744073709551616\r\n", 200;
}

#[googletest::test]
fn parts_with_an_overflowing_sum_end_requests() {
    let site = Site::start(&[EndpointManner::Answer]);
    let parts = "X-Prompt-Prefix: 1:18446744073709551615,2:18446744073709551615,3:7";
    for number in 0..REQUESTS {
        let headers = [parts, "X-Token-Counts: 100,10"];
        let id = format!("a-{number}");
        let answer = ask(site.gateway.clients, "/plain/", &id, "key-1", &headers, b"");
        expect_that!((answer.status, answer.whole), eq((200, true)));
    }
}
