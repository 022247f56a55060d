//! The way of a request through the real daemon, between raw clients and stand-ins.

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
fn plain_request_goes_through_unchanged() {
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

#[googletest::test]
fn a_request_inside_another_is_never_run() {
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

#[googletest::test]
fn once_only_request_is_not_repeated_after_a_lost_answer() {
    let site = Site::start(&[EndpointManner::Lose, EndpointManner::Lose]);
    let answer = site.ask("/once/book", "once-1");
    expect_that!(answer.status, eq(502));
    expect_that!(answer.header("retry-after"), none());
    expect_that!(site.runs().iter().sum::<usize>(), eq(1));
}

#[googletest::test]
fn once_only_request_that_was_turned_away_is_promised_not_to_have_run() {
    let site = Site::start(&[EndpointManner::Full]);
    let answer = site.ask("/once/book", "once-2");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
}

#[googletest::test]
fn foreign_answer_is_never_passed_on() {
    let site = Site::start(&[EndpointManner::Foreign]);
    let answer = site.ask("/once/book", "mine");
    expect_that!(answer.status, eq(502));
    expect_that!(answer.text(), not(contains_substring("foreign")));
}

#[googletest::test]
fn surplus_answer_goes_to_no_request() {
    // Two endpoints: a surplus response that arrives after the next request was sent makes that
    // attempt fail, and the request has to be served by the other one.
    for manner in [EndpointManner::Surplus, EndpointManner::LateSurplus] {
        let site = Site::start(&[manner; 2]);
        for number in 0..4 {
            let answer = site.ask("/plain/one", &format!("request-{number}"));
            expect_that!(answer.status, eq(200), "{manner:?}");
            expect_that!(answer.text(), not(contains_substring("surplus")), "{manner:?}");
        }
    }
}

#[googletest::test]
fn retry_meets_no_surplus_answer_of_another_connection() {
    // Both endpoints have an idle connection, and a surplus response for whoever uses it next.
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
fn error_of_an_endpoint_reaches_the_client_where_no_other_serves() {
    // The first attempt's error is dropped for a second one, which is refused. The client was told
    // 502 by this daemon, in place of the response that an endpoint had made.
    let site = Site::start(&[EndpointManner::Fail, EndpointManner::Full]);
    for path in ["/plain/one", "/stream/one"] {
        for number in 0..6 {
            let answer = site.ask(path, &format!("{}-{number}", path.replace('/', "")));
            expect_that!(answer.status, eq(500), "{path}");
            std::thread::sleep(Duration::from_millis(150));
        }
    }
}

#[googletest::test]
fn repeatable_request_goes_to_another_endpoint() {
    for manner in [EndpointManner::Fail, EndpointManner::Lose, EndpointManner::Full] {
        let site = Site::start(&[manner, EndpointManner::Answer]);
        for number in 0..4 {
            let answer = site.ask("/plain/one", &format!("request-{number}"));
            expect_that!(answer.status, eq(200), "{manner:?}");
        }
    }
}

#[googletest::test]
fn attempts_are_not_exceeded() {
    let site = Site::start(&[EndpointManner::Lose; 4]);
    let answer = site.ask("/plain/one", "request-1");
    expect_that!(answer.status, eq(502));
    expect_that!(site.runs().iter().sum::<usize>(), eq(2));
}

#[googletest::test]
fn stream_passes_whole_and_in_order() {
    let site = Site::start(&[EndpointManner::Stream(8)]);
    let answer = site.ask("/stream/one", "stream-1");
    expect_that!(answer.whole, eq(true));
    expect_that!(answer.text(), eq(&(1..=8).map(event).collect::<String>()));
}

#[googletest::test]
fn broken_stream_goes_on_at_another_endpoint_in_the_same_answer() {
    let site = Site::start(&[EndpointManner::BreakAfter(3), EndpointManner::BreakAfter(3)]);
    let client = std::thread::spawn({
        let address = site.gateway.clients;
        move || ask(address, "/stream/one", "stream-2", "key-1", &[], b"")
    });
    wait_for("first attempt", || site.runs().iter().sum::<usize>() >= 1);
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
fn broken_stream_that_may_not_go_on_does_not_look_complete() {
    let site = Site::start(&[EndpointManner::BreakAfter(3), EndpointManner::Stream(5)]);
    site.endpoints[1].set(EndpointManner::BreakAfter(3));
    let answer = site.ask("/rigid/one", "stream-3");
    expect_that!(answer.whole, eq(false));
    expect_that!(answer.text(), eq(&(1..=3).map(event).collect::<String>()));
    expect_that!(site.runs().iter().sum::<usize>(), eq(1));
}

#[googletest::test]
fn stream_of_a_client_that_left_is_cancelled() {
    let site = Site::start(&[EndpointManner::Stream(500)]);
    let mut stream = TcpStream::connect(site.gateway.clients).expect("connect");
    let request = "GET /rigid/one HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: gone\r\n\
                   Authorization: Token key-1\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("send");
    let mut first = [0; 64];
    stream.read_exact(&mut first).expect("first bytes");
    drop(stream);
    wait_for("cancellation", || site.endpoints[0].was_cancelled());
}

#[googletest::test]
fn silent_endpoint_is_left_for_another() {
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
    let settled = Instant::now() + Duration::from_millis(800);
    while Instant::now() < settled {
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
fn address_that_another_endpoint_has_taken_is_left() {
    let site = Site::start(&[EndpointManner::Other, EndpointManner::Answer]);
    for number in 0..4 {
        expect_that!(site.ask("/plain/one", &format!("request-{number}")).status, eq(200));
    }
    let alone = Site::start(&[EndpointManner::Other]);
    let answer = alone.ask("/once/book", "once-1");
    expect_that!(answer.status, eq(503));
}

#[googletest::test]
fn configuration_changes_are_in_force_and_survive_a_dropped_history() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.forget_history();
    site.platform.put("config", "main", configuration(5, &["key-2"]));
    let address = site.gateway.clients;
    wait_for("the new key", || ask(address, "/plain/", "n", "key-2", &[], b"").status == 200);
    expect_that!(ask(address, "/plain/", "o", "key-1", &[], b"").status, eq(401));
}

#[googletest::test]
fn older_version_never_comes_back() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.platform.put("config", "main", configuration(2, &["key-0"]));
    std::thread::sleep(Duration::from_millis(500));
    expect_that!(site.ask("/plain/", "a").status, eq(200));
}

#[googletest::test]
fn keys_are_refused_when_the_store_has_been_silent_too_long() {
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
    wait_for("port", || TcpStream::connect(gateway.clients).is_ok());
    let answer = ask(gateway.clients, "/plain/", "a", "key-1", &[], b"");
    expect_that!(answer.status, eq(503));
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(gateway.is_ready(), eq(false));
}

#[googletest::test]
fn planned_stop_ends_what_runs_and_takes_nothing_new() {
    let mut site = Site::start(&[EndpointManner::Stream(60)]);
    let client = std::thread::spawn({
        let address = site.gateway.clients;
        move || ask(address, "/rigid/one", "long", "key-1", &[], b"")
    });
    wait_for("run", || !site.endpoints[0].seen().is_empty());
    site.gateway.signal("-TERM");
    wait_for("not ready", || !site.gateway.is_ready());
    let answer = client.join().expect("client");
    expect_that!(answer.whole, eq(true));
    wait_for("end", || site.gateway.has_ended());
}

#[googletest::test]
fn reload_signal_ends_nothing() {
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
    wait_for("new key", || {
        ask(site.gateway.clients, "/rigid/", "a", "key-2", &[], b"").status == 200
    });
    // A request may come with its connection, or while the connection's idle time runs: the latter
    // connection was closed after its response, since the time went on during the request.
    for pause_ms in [0, 100] {
        let mut connection = KeptConnection::open(site.gateway.clients).expect("connection");
        std::thread::sleep(Duration::from_millis(pause_ms));
        for id in ["first", "second"] {
            let request = kept_request_bytes("/rigid/", id, "key-2", &[], b"");
            let answer = connection.ask(&request).expect("answer");
            expect_that!(answer.status, eq(200), "{id} after {pause_ms} ms");
            expect_that!(answer.whole, eq(true), "{id} after {pause_ms} ms");
        }
    }
}
