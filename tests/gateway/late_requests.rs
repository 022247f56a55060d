//! Requests that would be passed on late in a planned stop: those that the stop could cut are refused as not run,
//! whenever their turn comes, and the others are served.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

use googletest::prelude::*;

use crate::{
    cut_site::{CutSite, GRACE_S, ROUTE_LIMIT_MS, patient_request, send},
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{RawAnswer, endpoint_entry, parse_answer, wait_for},
};

/// Time after the signal at which requests are refused, but connections are accepted.
const LATE: Duration = Duration::from_millis(3_100);
/// Time after the signal at which connections are no longer accepted.
const CLOSED: Duration = Duration::from_millis(3_700);
/// Time after the signal at which requests are still served.
const EARLY: Duration = Duration::from_millis(500);
/// Grace time in seconds that is shorter than the usual steps of a stop, and a time within it that is late.
const SHORT_GRACE_S: f64 = 2.0;
const SHORT_LATE: Duration = Duration::from_millis(1_000);
/// Bytes of a body that are sent late.
const LATE_BYTES: usize = 500;

/// Reads an answer until its connection ends.
fn read_answer(mut client: TcpStream) -> RawAnswer {
    let mut all = Vec::new();
    let closed = client.read_to_end(&mut all).is_ok();
    RawAnswer { closed, ..parse_answer(&all) }
}

/// How a body is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Sending {
    WithLength,
    InChunks,
}

/// A request whose body ends later.
struct SlowRequest {
    client: TcpStream,
    rest: Vec<u8>,
}

impl SlowRequest {
    /// Sends the request without the last part of its body.
    fn begin(site: &CutSite, path: &str, id: &str, limit_ms: u64, sending: Sending) -> Self {
        let whole = patient_request(path, id, &[b'x'; 2 * LATE_BYTES]);
        let mut text = String::from_utf8(whole).expect("text");
        text = text.replace(&ROUTE_LIMIT_MS.to_string(), &limit_ms.to_string());
        let mut rest = text.split_off(text.len() - LATE_BYTES);
        if sending == Sending::InChunks {
            let length = format!("Content-Length: {}", 2 * LATE_BYTES);
            let chunk = format!("{LATE_BYTES:x}\r\n");
            text = text.replace(&length, "Transfer-Encoding: chunked");
            text = text.replace("\r\n\r\n", &format!("\r\n\r\n{chunk}")) + "\r\n";
            rest = format!("{chunk}{rest}\r\n0\r\n\r\n");
        }
        let client = send(site.gateway.clients, text.as_bytes());
        Self { client, rest: rest.into_bytes() }
    }

    /// Sends the rest; the daemon may have answered and closed the connection before.
    fn end(mut self) -> RawAnswer {
        let _ = self.client.write_all(&self.rest);
        read_answer(self.client)
    }
}

fn expect_refused(answer: &RawAnswer) {
    expect_that!(answer.status, eq(503), "{answer:?}");
    expect_that!(answer.header("retry-after"), some(anything()));
    expect_that!(answer.whole, eq(true));
}

fn expect_end(site: &mut CutSite) {
    wait_for("the end of the daemon", || site.gateway.has_ended());
}

/// A request whose body ends late, at an endpoint that never responds.
fn late_body_is_refused(path: &str, grace_s: f64, late: Duration, sending: Sending) {
    let mut site = CutSite::start(EndpointManner::Silent, grace_s);
    let request = SlowRequest::begin(&site, path, "late", ROUTE_LIMIT_MS, sending);
    site.gateway.signal("-TERM");
    thread::sleep(late);
    let answer = request.end();
    expect_refused(&answer);
    expect_that!(site.endpoint.seen(), is_empty());
    expect_end(&mut site);
    expect_that!(site.outcomes("late"), elements_are![eq("daemon is leaving")]);
}

macro_rules! late_bodies_are_refused {
    ($($name:ident: $path:literal, $grace_s:expr, $late:expr, $sending:ident;)*) => {$(
        #[googletest::test]
        fn $name() {
            late_body_is_refused($path, $grace_s, $late, Sending::$sending);
        }
    )*};
}

late_bodies_are_refused! {
    late_body_of_a_request_that_may_run_once: "/once/", GRACE_S, LATE, WithLength;
    late_body_of_an_idempotent_request: "/plain/", GRACE_S, LATE, WithLength;
    late_body_of_a_stream: "/rigid/", GRACE_S, LATE, WithLength;
    late_body_of_a_resumable_stream: "/stream/", GRACE_S, LATE, WithLength;
    late_body_in_chunks: "/once/", GRACE_S, LATE, InChunks;
    late_body_after_connections_are_accepted: "/once/", GRACE_S, CLOSED, WithLength;
    late_body_in_a_short_grace_time: "/once/", SHORT_GRACE_S, SHORT_LATE, WithLength;
}

/// A body that ends early in the stop, or belongs to a request whose own deadline comes before the cut, is served.
fn body_is_served(limit_ms: u64, end: Duration) {
    let mut site = CutSite::start(EndpointManner::Answer, GRACE_S);
    site.gateway.signal("-TERM");
    let begun = if end == EARLY { Duration::ZERO } else { LATE - Duration::from_millis(500) };
    thread::sleep(begun);
    let id = "served";
    let request = SlowRequest::begin(&site, "/once/", id, limit_ms, Sending::WithLength);
    thread::sleep(end - begun);
    let answer = request.end();
    expect_that!((answer.status, answer.whole), eq((200, true)), "{answer:?}");
    expect_end(&mut site);
    expect_that!(site.outcomes(id), elements_are![eq("answered")]);
}

#[googletest::test]
fn body_that_ends_early_in_a_stop_is_served() {
    body_is_served(ROUTE_LIMIT_MS, EARLY);
}

#[googletest::test]
fn late_body_of_a_request_with_a_short_deadline_is_served() {
    body_is_served(1_300, LATE);
}

#[googletest::test]
fn request_in_a_short_grace_time_that_would_be_cut_is_refused() {
    let mut site = CutSite::start(EndpointManner::Silent, SHORT_GRACE_S);
    site.gateway.signal("-TERM");
    thread::sleep(SHORT_LATE);
    let answer = read_answer(send(site.gateway.clients, &patient_request("/once/", "late", b"")));
    expect_refused(&answer);
    expect_that!(site.endpoint.seen(), is_empty());
    expect_end(&mut site);
}

/// A request whose endpoint is silent, where another one that never responds is listed late.
fn late_retry_is_not_sent(path: &str) {
    let mut site = CutSite::start(EndpointManner::Silent, GRACE_S);
    let other = EndpointStandin::start("i-1", EndpointManner::Silent);
    site.gateway.signal("-TERM");
    let _client = send(site.gateway.clients, &patient_request(path, "retry", b""));
    wait_for("the first run", || !site.endpoint.seen().is_empty());
    thread::sleep(LATE);
    site.platform.put("servers", &other.id, endpoint_entry(&other, "ready"));
    expect_end(&mut site);
    let retries = other.seen().into_iter().filter(|request| request.id() == "retry").count();
    expect_that!(retries, eq(0));
    // Passed on early, and cut.
    expect_that!(site.outcomes("retry"), elements_are![eq("daemon stopped")]);
}

#[googletest::test]
fn late_retry_of_an_idempotent_request_is_not_sent() {
    late_retry_is_not_sent("/plain/");
}

#[googletest::test]
fn late_retry_of_a_stream_without_events_is_not_sent() {
    late_retry_is_not_sent("/stream/");
}

#[googletest::test]
fn port_is_closed_while_a_stop_awaits_its_last_requests() {
    let mut site = CutSite::start(EndpointManner::StallAfter(2), GRACE_S);
    let _running = send(site.gateway.clients, &patient_request("/rigid/", "running", b""));
    wait_for("the request at the endpoint", || !site.endpoint.seen().is_empty());
    site.gateway.signal("-TERM");
    thread::sleep(CLOSED);
    let connected = TcpStream::connect(site.gateway.clients);
    expect_that!(site.gateway.has_ended(), eq(false));
    expect_that!(connected.map(drop).is_err(), eq(true), "a connection that nobody reads");
    expect_end(&mut site);
}
