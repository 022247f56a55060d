//! Handling of requests by the real daemon, between clients on plain TCP sockets and stand-ins for the
//! endpoints and the platform.

use std::{
    io::{Read, Write},
    net::TcpStream,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin, event},
    gateway_site::{
        Gateway, KeptConnection, Site, ask, configuration, endpoint_entry, kept_request_bytes,
        send_raw, wait_for,
    },
    platform_standin::PlatformStandin,
};

#[googletest::test]
fn plain_request_is_forwarded_and_forged_headers_are_replaced() {
    let site = Site::start(&[EndpointManner::Answer]);
    let headers = ["X-Extra: kept", "X-Tenant: forged", "X-Expect-Instance: forged"];
    let path = "/plain/deep/er?query=1&other=%20";
    let answer = ask(site.gateway.clients, path, "request-1", "key-1", &headers, b"the body");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.header("x-response-seal"), some(eq("seal-i-0")));
    expect_that!(answer.header("x-request-id"), some(eq("request-1")));
    expect_that!(answer.whole, eq(true));
    let seen = site.endpoints[0].seen();
    assert_eq!(seen.len(), 1);
    expect_that!(seen[0].line, eq(&format!("POST {path} HTTP/1.1")));
    expect_that!(seen[0].body, eq(b"the body"));
    expect_that!(seen[0].header("host"), some(eq("site.example")));
    expect_that!(seen[0].header("x-extra"), some(eq("kept")));
    expect_that!(seen[0].header("x-tenant"), some(eq("reader")));
    expect_that!(seen[0].header("x-expect-instance"), some(eq("i-0")));
    expect_that!(seen[0].header("authorization"), none());
    let left: u64 = seen[0].header("x-deadline-ms").expect("deadline").parse().expect("number");
    expect_that!(left, all!(le(3_000), gt(2_000)));
}

#[googletest::test]
fn refusals_name_what_is_wrong() {
    let site = Site::start(&[EndpointManner::Answer]);
    let address = site.gateway.clients;
    expect_that!(ask(address, "/none/", "a", "key-1", &[], b"").status, eq(404));
    expect_that!(ask(address, "/plain/", "b", "other", &[], b"").status, eq(401));
    expect_that!(ask(address, "/plain/", "c", "key-1", &[], &[b'x'; 10_001]).status, eq(413));
    let no_id = b"GET /plain/ HTTP/1.1\r\nHost: site.example\r\nConnection: close\r\n\r\n";
    expect_that!(send_raw(address, no_id).status, eq(400));
    expect_that!(site.runs(), elements_are![eq(&0)]);
}

/// Request smuggling: with both `Content-Length` and `Transfer-Encoding`, a daemon and an endpoint that
/// disagree on the end of the body would take its rest for a further request.
#[googletest::test]
fn request_smuggled_in_a_body_of_ambiguous_length_is_never_run() {
    let site = Site::start(&[EndpointManner::Answer]);
    let inner = "GET /plain/inner HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: in\r\n\
                 Authorization: Token key-1\r\n\r\n";
    let outer = format!(
        "POST /plain/outer HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: out\r\n\
         Authorization: Token key-1\r\nContent-Length: {}\r\nTransfer-Encoding: chunked\r\n\r\n\
         0\r\n\r\n{inner}",
        inner.len()
    );
    send_raw(site.gateway.clients, outer.as_bytes());
    let lines: Vec<String> =
        site.endpoints[0].seen().into_iter().map(|request| request.line).collect();
    expect_that!(lines, not(contains(contains_substring("inner"))));
}

/// The endpoint has run the request and closed the connection without a response. A second attempt
/// would run it twice, and a `Retry-After` would make the client repeat it.
#[googletest::test]
fn non_idempotent_request_is_not_repeated_after_a_lost_response() {
    let site = Site::start(&[EndpointManner::Lose, EndpointManner::Lose]);
    let answer = site.ask("/once/book", "once-1");
    expect_that!(answer.status, eq(502));
    expect_that!(answer.header("retry-after"), none());
    expect_that!(site.runs().iter().sum::<usize>(), eq(1));
}

/// Status 503 with `Retry-After` states that the request has not run and may be repeated.
#[googletest::test]
fn refused_non_idempotent_request_gets_503_with_retry_after() {
    let site = Site::start(&[EndpointManner::Full]);
    let answer = site.ask("/once/book", "once-2");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[googletest::test]
fn response_to_another_request_is_never_forwarded() {
    let site = Site::start(&[EndpointManner::Foreign]);
    let answer = site.ask("/once/book", "mine");
    expect_that!(answer.status, eq(502));
    expect_that!(answer.text(), not(contains_substring("foreign")));
}

#[googletest::test]
fn surplus_answer_goes_to_no_request() {
    // A surplus response that arrives after the next request was sent makes that attempt fail. The
    // request then has to be served by the other of the two endpoints.
    for manner in [EndpointManner::Surplus, EndpointManner::LateSurplus] {
        let site = Site::start(&[manner; 2]);
        for number in 0..4 {
            let answer = site.ask("/plain/one", &format!("request-{number}"));
            expect_that!(answer.status, eq(200), "status with endpoint behaviour {manner:?}");
            expect_that!(
                answer.text(),
                not(contains_substring("surplus")),
                "body with endpoint behaviour {manner:?}"
            );
        }
    }
}

#[googletest::test]
fn retry_meets_no_surplus_answer_of_another_connection() {
    // The daemon has an idle connection to each endpoint, and either endpoint sends a surplus response
    // to the next request on it.
    let site = Site::start(&[EndpointManner::SurplusBeforeNext; 2]);
    let address = site.gateway.clients;
    let other = std::thread::spawn(move || ask(address, "/plain/one", "first", "key-1", &[], b""));
    expect_that!(site.ask("/plain/one", "second").status, eq(200));
    expect_that!(other.join().expect("client").status, eq(200));
    expect_that!(site.runs(), elements_are![eq(&1), eq(&1)]);
    let answer = site.ask("/plain/one", "third");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.text(), not(contains_substring("surplus")));
}

#[googletest::test]
fn endpoint_error_is_returned_if_the_second_attempt_is_refused() {
    // The daemon drops the error response of the first attempt in favour of a second attempt, which is
    // refused. The client then got a 502 from the daemon instead of the endpoint's response.
    let site = Site::start(&[EndpointManner::Fail, EndpointManner::Full]);
    for path in ["/plain/one", "/stream/one"] {
        for number in 0..6 {
            let answer = site.ask(path, &format!("{}-{number}", path.replace('/', "")));
            expect_that!(answer.status, eq(500), "status of {path}");
            std::thread::sleep(Duration::from_millis(150));
        }
    }
}

#[googletest::test]
fn idempotent_request_is_retried_at_another_endpoint() {
    for manner in [EndpointManner::Fail, EndpointManner::Lose, EndpointManner::Full] {
        let site = Site::start(&[manner, EndpointManner::Answer]);
        for number in 0..4 {
            let answer = site.ask("/plain/one", &format!("request-{number}"));
            expect_that!(answer.status, eq(200), "status with endpoint behaviour {manner:?}");
        }
    }
}

#[googletest::test]
fn number_of_attempts_is_limited() {
    let site = Site::start(&[EndpointManner::Lose; 4]);
    let answer = site.ask("/plain/one", "request-1");
    expect_that!(answer.status, eq(502));
    expect_that!(site.runs().iter().sum::<usize>(), eq(2));
}

#[googletest::test]
fn stream_is_forwarded_completely_and_in_order() {
    let site = Site::start(&[EndpointManner::Stream(8)]);
    let answer = site.ask("/stream/one", "stream-1");
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.text(), eq(&(1..=8).map(event).collect::<String>()));
}

#[googletest::test]
fn broken_stream_is_resumed_at_another_endpoint_in_the_same_response() {
    let site = Site::start(&[EndpointManner::BreakAfter(3), EndpointManner::BreakAfter(3)]);
    let client = std::thread::spawn({
        let address = site.gateway.clients;
        move || ask(address, "/stream/one", "stream-2", "key-1", &[], b"")
    });
    wait_for("the first attempt", || site.runs().iter().sum::<usize>() >= 1);
    for endpoint in site.endpoints.iter().filter(|endpoint| endpoint.seen().is_empty()) {
        endpoint.set(EndpointManner::Stream(5));
    }
    let answer = client.join().expect("client");
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.text(), eq(&(1..=8).map(event).collect::<String>()));
    let resumed: Vec<String> = site
        .endpoints
        .iter()
        .flat_map(EndpointStandin::seen)
        .filter_map(|request| request.header("last-event-id").map(str::to_owned))
        .collect();
    expect_that!(resumed, elements_are![eq("3")]);
}

#[googletest::test]
fn broken_stream_that_may_not_be_resumed_ends_incomplete() {
    let site = Site::start(&[EndpointManner::BreakAfter(3), EndpointManner::Stream(5)]);
    site.endpoints[1].set(EndpointManner::BreakAfter(3));
    let answer = site.ask("/rigid/one", "stream-3");
    expect_that!(answer.whole, eq(false));
    expect_that!(answer.text(), eq(&(1..=3).map(event).collect::<String>()));
    expect_that!(site.runs().iter().sum::<usize>(), eq(1));
}

#[googletest::test]
fn stream_is_cancelled_when_the_client_disconnects() {
    let site = Site::start(&[EndpointManner::Stream(500)]);
    let mut stream = TcpStream::connect(site.gateway.clients).expect("connect");
    let request = "GET /rigid/one HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: gone\r\n\
                   Authorization: Token key-1\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("send");
    let mut first = [0; 64];
    stream.read_exact(&mut first).expect("first bytes of the response");
    drop(stream);
    wait_for("cancellation at the endpoint", || site.endpoints[0].was_cancelled());
}

#[googletest::test]
fn request_to_a_silent_endpoint_is_served_by_another_within_2_s() {
    let site = Site::start(&[EndpointManner::Silent, EndpointManner::Answer]);
    for number in 0..3 {
        let begun = Instant::now();
        let answer = site.ask("/plain/one", &format!("request-{number}"));
        expect_that!(answer.status, eq(200));
        expect_that!(begun.elapsed(), lt(Duration::from_secs(2)));
    }
}

#[googletest::test]
fn draining_endpoint_gets_no_more_requests() {
    let site = Site::start(&[EndpointManner::Answer, EndpointManner::Answer]);
    site.platform.put("servers", "i-0", endpoint_entry(&site.endpoints[0], "draining"));
    let wait_until = Instant::now() + Duration::from_millis(800);
    while Instant::now() < wait_until {
        std::thread::sleep(Duration::from_millis(50));
    }
    let before = site.endpoints[0].seen().len();
    for number in 0..10 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    expect_that!(site.endpoints[0].seen().len(), eq(before));
}

#[googletest::test]
fn endpoint_that_is_gone_gets_no_more_requests() {
    let site = Site::start(&[EndpointManner::Answer, EndpointManner::Answer]);
    site.platform.remove("servers", "i-0");
    std::thread::sleep(Duration::from_millis(800));
    let before = site.endpoints[0].seen().len();
    for number in 0..10 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    expect_that!(site.endpoints[0].seen().len(), eq(before));
}

#[googletest::test]
fn request_is_retried_if_another_endpoint_has_taken_the_address() {
    let site = Site::start(&[EndpointManner::Other, EndpointManner::Answer]);
    for number in 0..4 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    let alone = Site::start(&[EndpointManner::Other]);
    let answer = alone.ask("/once/book", "once-1");
    expect_that!(answer.status, eq(503));
}

#[googletest::test]
fn configuration_changes_apply_after_the_store_has_dropped_its_history() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.forget_history();
    site.platform.put("config", "main", configuration(5, &["key-2"]));
    let address = site.gateway.clients;
    wait_for("new key accepted", || ask(address, "/plain/", "n", "key-2", &[], b"").status == 200);
    expect_that!(ask(address, "/plain/", "o", "key-1", &[], b"").status, eq(401));
}

#[googletest::test]
fn older_configuration_version_is_not_applied() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.put("config", "main", configuration(2, &["key-0"]));
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(site.ask("/plain/", "a").status, eq(200));
}

#[googletest::test]
fn keys_are_refused_once_the_freshness_proof_has_expired() {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let bounds = json!({"revoke-ms": 2500});
    let gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
    gateway.wait_ready();
    platform.set_down(true);
    let begun = Instant::now();
    wait_for("refusal", || ask(gateway.clients, "/plain/", "a", "key-1", &[], b"").status == 503);
    expect_that!(begun.elapsed(), lt(Duration::from_millis(3_500)));
    expect_that!(gateway.is_ready(), eq(false));
    platform.set_down(false);
    wait_for("service", || ask(gateway.clients, "/plain/", "b", "key-1", &[], b"").status == 200);
}

#[googletest::test]
fn daemon_without_a_configuration_is_not_ready_and_answers_503() {
    let platform = PlatformStandin::start();
    let gateway = Gateway::start("edge-1", &platform, &[]);
    wait_for("a client connection", || TcpStream::connect(gateway.clients).is_ok());
    let answer = ask(gateway.clients, "/plain/", "a", "key-1", &[], b"");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(gateway.is_ready(), eq(false));
}

#[googletest::test]
fn planned_stop_completes_running_requests_and_ends_readiness() {
    let mut site = Site::start(&[EndpointManner::Stream(60)]);
    let client = std::thread::spawn({
        let address = site.gateway.clients;
        move || ask(address, "/rigid/one", "long", "key-1", &[], b"")
    });
    wait_for("the request at the endpoint", || !site.endpoints[0].seen().is_empty());
    site.gateway.signal("-TERM");
    wait_for("the daemon to be not ready", || !site.gateway.is_ready());
    let answer = client.join().expect("client");
    expect_that!(answer.whole, eq(true));
    wait_for("the end of the daemon", || site.gateway.has_ended());
}

#[googletest::test]
fn reload_signal_does_not_stop_the_daemon() {
    let mut site = Site::start(&[EndpointManner::Answer]);
    site.gateway.signal("-HUP");
    std::thread::sleep(Duration::from_millis(200));
    expect_that!(site.gateway.has_ended(), eq(false));
    expect_that!(site.ask("/plain/", "a").status, eq(200));
}

#[googletest::test]
fn a_connection_is_kept_after_a_request_longer_than_the_idle_time() {
    let site = Site::start(&[EndpointManner::Stream(200)]);
    let mut short_idle = configuration(4, &["key-2"]);
    short_idle["limits"]["idle-timeout-ms"] = 200.into();
    site.platform.put("config", "main", short_idle);
    wait_for("new key accepted", || {
        ask(site.gateway.clients, "/rigid/", "a", "key-2", &[], b"").status == 200
    });
    // The first request is sent at once, or after 100 ms of the connection's idle time. In the latter
    // case the daemon closed the connection after the response, since the idle time went on during the
    // request.
    for pause_ms in [0, 100] {
        let mut connection = KeptConnection::open(site.gateway.clients).expect("connection");
        std::thread::sleep(Duration::from_millis(pause_ms));
        for id in ["first", "second"] {
            let request = kept_request_bytes("/rigid/", id, "key-2", &[], b"");
            let answer = connection.ask(&request).expect("answer");
            expect_that!(answer.status, eq(200), "status of {id} request after {pause_ms} ms");
            expect_that!(
                answer.whole,
                eq(true),
                "completeness of {id} response after {pause_ms} ms"
            );
        }
    }
}
