//! A response whose head is malformed must not reach the client, whatever the HTTP library makes of it: the request
//! is served by another endpoint, or its outcome is unknown. A head that is only unusual is passed on.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    answer_ends::{ClientEnd, FIRST_START, ask_path, entry},
    gateway_site::{AMPLE_RETRIES, Gateway, RawAnswer, ask, configuration, wait_for},
    link_faults::PartitionManner,
    malformed_endpoint::{
        BodyForm, MalformedEndpoints, PLAIN_BODY, TEST_MARK, TestResponse, whole_body,
    },
    platform_standin::PlatformStandin,
};

const ENDPOINTS: usize = 12;
/// Requests at two endpoints, one of which is faulty.
const REQUESTS: usize = 100;
/// Routes of requests that may be repeated.
const REPEATABLE: [&str; 2] = ["plain", "stream"];
/// Routes of requests that may run once.
const RUN_ONCE: [&str; 2] = ["once", "rigid"];

static NEXT: AtomicUsize = AtomicUsize::new(0);

/// Endpoints, and daemons before them. Clients are at the first daemon.
struct MalformedSite {
    endpoints: MalformedEndpoints,
    gateways: Vec<Gateway>,
    _platform: PlatformStandin,
}

impl MalformedSite {
    fn start(daemons: usize) -> Self {
        Self::start_with(daemons, ENDPOINTS)
    }

    fn start_with(daemons: usize, endpoints: usize) -> Self {
        let endpoints = MalformedEndpoints::start(endpoints);
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        for (place, address) in endpoints.addresses.iter().enumerate() {
            platform.put("servers", &format!("i-{place}"), entry(*address, "ready", FIRST_START));
        }
        let mut gateways: Vec<Gateway> = Vec::new();
        for number in 1..=daemons {
            let seeds: Vec<_> = gateways.iter().map(|gateway| gateway.peers).collect();
            let bounds = json!({"retry-slack": AMPLE_RETRIES});
            let name = format!("edge-{number}");
            gateways.push(Gateway::start_with(&name, &platform, &seeds, bounds));
        }
        gateways.iter().for_each(Gateway::wait_ready);
        Self { endpoints, gateways, _platform: platform }
    }

    fn clients(&self) -> SocketAddr {
        self.gateways[0].clients
    }

    /// Partitions the clients' daemon from all endpoints, and waits until it serves by tunnels.
    fn force_tunnels(&self) {
        let cut = [self.gateways[0].process_id()];
        self.endpoints.faults().partition(&cut, PartitionManner::Closed);
        wait_for("a request through a tunnel", || self.ask("plain", "first-").answer.status == 200);
    }

    fn ask(&self, route: &str, mark: &str) -> Outcome {
        let id = format!("{mark}{}", NEXT.fetch_add(1, Ordering::SeqCst));
        let path = format!("/{route}/{id}");
        let (answer, end) = ask_path(self.clients(), &path, &id, "HTTP/1.1");
        Outcome { id, answer, end }
    }

    /// Sends a request on a connection that ends with its answer, which may have no body.
    fn ask_last(&self, route: &str) -> Outcome {
        let id = format!("{TEST_MARK}{}", NEXT.fetch_add(1, Ordering::SeqCst));
        let answer = ask(self.clients(), &format!("/{route}/{id}"), &id, "key-1", &[], b"");
        let end = if answer.closed { ClientEnd::Closed } else { ClientEnd::Broken };
        Outcome { id, answer, end }
    }

    /// Expects that requests which get this response first are served elsewhere if they may be repeated, and that
    /// the others end as unknown.
    fn expect_rejected(&self, response: TestResponse) {
        self.endpoints.set_response(response);
        for route in REPEATABLE {
            let outcome = self.ask(route, TEST_MARK);
            outcome.expect_whole(route, whole_body(route == "stream"));
            expect_that!(self.endpoints.arrivals(&outcome.id), eq(2), "{route} {response:?}");
        }
        for route in RUN_ONCE {
            let outcome = self.ask(route, TEST_MARK);
            expect_that!(outcome.answer.status, eq(502), "{route} {response:?} {outcome:?}");
            expect_that!(outcome.end, eq(ClientEnd::Complete));
            expect_that!(self.endpoints.arrivals(&outcome.id), eq(1), "{route} {response:?}");
        }
        // Endpoints in use, and connections that were kept, are sound.
        self.ask("plain", "whole-").expect_whole("plain", whole_body(false));
    }

    /// Expects that this response is passed on with `status` and `body`.
    fn expect_passed(&self, response: TestResponse, status: u16, body: Option<&str>) {
        self.endpoints.set_response(response);
        for route in REPEATABLE.into_iter().chain(RUN_ONCE) {
            let outcome = match response.body {
                BodyForm::Absent => self.ask_last(route),
                _ => self.ask(route, TEST_MARK),
            };
            let body = body.map_or_else(|| whole_body(is_stream(route)), str::to_owned);
            expect_that!(outcome.answer.status, eq(status), "{route} {response:?} {outcome:?}");
            expect_that!(outcome.answer.text(), eq(&body), "{route} {response:?}");
            expect_that!(outcome.end, not(eq(ClientEnd::Broken)), "{route} {response:?}");
            expect_true!(self.endpoints.was_tested(&outcome.id));
            expect_that!(self.endpoints.arrivals(&outcome.id), eq(1), "{route} {response:?}");
        }
    }
}

fn is_stream(route: &str) -> bool {
    matches!(route, "stream" | "rigid")
}

#[derive(Debug)]
struct Outcome {
    id: String,
    answer: RawAnswer,
    end: ClientEnd,
}

impl Outcome {
    fn expect_whole(&self, route: &str, body: String) {
        expect_that!(self.answer.status, eq(200), "{route} {self:?}");
        expect_that!(self.answer.text(), eq(&body), "{route}");
        expect_that!(self.end, eq(ClientEnd::Complete), "{route}");
    }
}

/// Checks a response whose connection is closed behind it, and one whose connection is kept.
fn check_rejected(daemons: usize, response: TestResponse) {
    let site = MalformedSite::start(daemons);
    if daemons > 1 {
        site.force_tunnels();
    }
    site.expect_rejected(response);
    site.expect_rejected(TestResponse { is_kept: true, ..response });
}

macro_rules! malformed_responses_are_not_passed_on {
    ($($name:ident: $daemons:literal, $status:literal, [$($field:literal),*], $body:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let response = TestResponse {
                status_line: $status, fields: &[$($field),*], body: $body, is_kept: false, is_signed: true,
            };
            check_rejected($daemons, response);
        }
    )*};
}

macro_rules! unusual_responses_are_passed_on {
    ($($name:ident: $line:literal, [$($field:literal),*], $body:expr => $status:literal, $text:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let response = TestResponse {
                status_line: $line, fields: &[$($field),*], body: $body, is_kept: false, is_signed: true,
            };
            MalformedSite::start(1).expect_passed(response, $status, $text);
        }
    )*};
}

const CHUNKS: BodyForm = BodyForm::Chunks;
const PLAIN: BodyForm = BodyForm::Plain;
const ABSENT: BodyForm = BodyForm::Absent;

malformed_responses_are_not_passed_on! {
    coding_without_its_last_letter: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunke"], CHUNKS;
    coding_with_another_letter: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunkedd"], CHUNKS;
    coding_behind_another_letter: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: xchunked"], CHUNKS;
    coding_with_a_parameter: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunked;q=1"], CHUNKS;
    coding_before_another_one: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunked, gzip"], CHUNKS;
    coding_behind_another_one: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: gzip, chunked"], CHUNKS;
    coding_named_twice: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunked, chunked"], CHUNKS;
    coding_in_two_lines: 1, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"], CHUNKS;
    coding_followed_by_identity: 1, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunked", b"Transfer-Encoding: identity"], CHUNKS;
    coding_preceded_by_an_empty_line: 1, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding:", b"Transfer-Encoding: chunked"], CHUNKS;
    identity_coding: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: identity"], CHUNKS;
    quoted_coding: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: \"chunked\""], CHUNKS;
    empty_coding: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding:"], CHUNKS;
    coding_followed_by_a_comma: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunked,"], CHUNKS;
    coding_that_is_no_text: 1, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunked\x80"], CHUNKS;
    coding_in_an_old_version: 1, "HTTP/1.0 200 OK", [b"Transfer-Encoding: chunked"], CHUNKS;
    coding_of_a_failure: 1, "HTTP/1.1 404 Not Found", [b"Transfer-Encoding: chunke"], CHUNKS;
    coding_of_a_refusal: 1, "HTTP/1.1 503 Service Unavailable",
        [b"X-Not-Executed: 1", b"Transfer-Encoding: chunke"], CHUNKS;
    shorter_length_beside_a_coding: 1, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunked", b"Content-Length: 4"], CHUNKS;
    same_length_beside_a_coding: 1, "HTTP/1.1 200 OK",
        [b"Content-Length: LENGTH", b"Transfer-Encoding: chunked"], CHUNKS;
    unreadable_length_beside_a_coding: 1, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunked", b"Content-Length: 40x"], CHUNKS;
    shorter_length_beside_an_unknown_coding: 1, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunke", b"Content-Length: 4"], CHUNKS;
    length_of_a_response_without_a_body: 1, "HTTP/1.1 204 No Content", [b"Content-Length: LENGTH"], PLAIN;
    coding_of_a_response_without_a_body: 1, "HTTP/1.1 204 No Content", [b"Transfer-Encoding: chunked"], CHUNKS;
    unreadable_length_of_an_unchanged_response: 1, "HTTP/1.1 304 Not Modified", [b"Content-Length: 4x"], ABSENT;
    length_with_a_letter: 1, "HTTP/1.1 200 OK", [b"Content-Length: 40x"], PLAIN;
    length_with_a_sign: 1, "HTTP/1.1 200 OK", [b"Content-Length: +LENGTH"], PLAIN;
    length_in_hexadecimal: 1, "HTTP/1.1 200 OK", [b"Content-Length: 0x28"], PLAIN;
    empty_length: 1, "HTTP/1.1 200 OK", [b"Content-Length:"], PLAIN;
    length_beyond_its_type: 1, "HTTP/1.1 200 OK", [b"Content-Length: 18446744073709551616"], PLAIN;
    lengths_that_differ: 1, "HTTP/1.1 200 OK", [b"Content-Length: LENGTH, 4"], PLAIN;
    lengths_that_differ_in_two_lines: 1, "HTTP/1.1 200 OK",
        [b"Content-Length: LENGTH", b"Content-Length: 4"], PLAIN;
    length_that_is_no_text: 1, "HTTP/1.1 200 OK", [b"Content-Length: 40\x80"], PLAIN;
    length_with_a_blank_in_its_name: 1, "HTTP/1.1 200 OK", [b"Content- Length: LENGTH"], PLAIN;
    length_with_a_control_byte_in_its_name: 1, "HTTP/1.1 200 OK", [b"Content-\x01Length: LENGTH"], PLAIN;
    length_without_a_colon: 1, "HTTP/1.1 200 OK", [b"Content-Length LENGTH"], PLAIN;
    blank_behind_a_name: 1, "HTTP/1.1 200 OK", [b"Content-Length : LENGTH"], PLAIN;
    blank_in_a_name: 1, "HTTP/1.1 200 OK", [b"X Field: 1", b"Content-Length: LENGTH"], PLAIN;
    tab_in_a_name: 1, "HTTP/1.1 200 OK", [b"X\tField: 1", b"Content-Length: LENGTH"], PLAIN;
    null_in_a_name: 1, "HTTP/1.1 200 OK", [b"X\x00Field: 1", b"Content-Length: LENGTH"], PLAIN;
    delete_in_a_name: 1, "HTTP/1.1 200 OK", [b"X\x7fField: 1", b"Content-Length: LENGTH"], PLAIN;
    byte_beyond_text_in_a_name: 1, "HTTP/1.1 200 OK", [b"X\x80Field: 1", b"Content-Length: LENGTH"], PLAIN;
    control_byte_in_a_value: 1, "HTTP/1.1 200 OK", [b"X-Field: 1\x01", b"Content-Length: LENGTH"], PLAIN;
    line_that_is_no_field: 1, "HTTP/1.1 200 OK", [b"no field", b"Content-Length: LENGTH"], PLAIN;
    line_with_an_empty_name: 1, "HTTP/1.1 200 OK", [b": 1", b"Content-Length: LENGTH"], PLAIN;
    folded_line: 1, "HTTP/1.1 200 OK", [b"X-Field: 1", b" 2", b"Content-Length: LENGTH"], PLAIN;
    status_000: 1, "HTTP/1.1 000 OK", [b"Content-Length: LENGTH"], PLAIN;
    status_000_in_chunks: 1, "HTTP/1.1 000", [b"Transfer-Encoding: chunked"], CHUNKS;
    status_099: 1, "HTTP/1.1 099 OK", [b"Content-Length: LENGTH"], PLAIN;
    status_101: 1, "HTTP/1.1 101 Switching Protocols", [b"Content-Length: LENGTH"], PLAIN;
    status_101_with_an_upgrade: 1, "HTTP/1.1 101 Switching Protocols",
        [b"Connection: upgrade", b"Upgrade: other", b"Transfer-Encoding: chunked"], CHUNKS;
    status_600: 1, "HTTP/1.1 600 Odd", [b"Content-Length: LENGTH"], PLAIN;
    status_999: 1, "HTTP/1.1 999 Odd", [b"Transfer-Encoding: chunked"], CHUNKS;
    status_of_two_digits: 1, "HTTP/1.1 20 OK", [b"Content-Length: LENGTH"], PLAIN;
    status_of_four_digits: 1, "HTTP/1.1 2000 OK", [b"Content-Length: LENGTH"], PLAIN;
    unknown_version: 1, "HTTP/1.x 200 OK", [b"Content-Length: LENGTH"], PLAIN;
    later_version: 1, "HTTP/2.0 200 OK", [b"Content-Length: LENGTH"], PLAIN;
    coding_behind_an_informational_head: 1, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunke"], CHUNKS;
    status_behind_an_informational_head: 1, "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK",
        [b"Content-Length: LENGTH"], PLAIN;
    coding_behind_a_tunnel: 2, "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunke"], CHUNKS;
    length_beside_a_coding_behind_a_tunnel: 2, "HTTP/1.1 200 OK",
        [b"Transfer-Encoding: chunked", b"Content-Length: 40x"], CHUNKS;
    status_000_behind_a_tunnel: 2, "HTTP/1.1 000 OK", [b"Content-Length: LENGTH"], PLAIN;
    status_101_behind_a_tunnel: 2, "HTTP/1.1 101 Switching Protocols", [b"Content-Length: LENGTH"], PLAIN;
}

unusual_responses_are_passed_on! {
    coding_in_capitals: "HTTP/1.1 200 OK", [b"TRANSFER-ENCODING: CHUNKED"], CHUNKS => 200, None;
    coding_between_blanks: "HTTP/1.1 200 OK", [b"Transfer-Encoding: \t chunked \t"], CHUNKS => 200, None;
    chunks_with_extensions_and_trailers: "HTTP/1.1 200 OK", [b"Transfer-Encoding: chunked", b"Trailer: X-Trailer"],
        BodyForm::AdornedChunks => 200, None;
    length_named_twice: "HTTP/1.1 200 OK", [b"Content-Length: LENGTH, LENGTH"], PLAIN => 200, None;
    length_in_two_lines: "HTTP/1.1 200 OK", [b"Content-Length: LENGTH", b"Content-Length: LENGTH"],
        PLAIN => 200, None;
    length_with_zeros: "HTTP/1.1 200 OK", [b"Content-Length: 000LENGTH"], PLAIN => 200, None;
    length_in_an_old_version: "HTTP/1.0 200 OK", [b"Content-Length: LENGTH"], PLAIN => 200, None;
    end_of_the_connection: "HTTP/1.1 200 OK", [], PLAIN => 200, None;
    end_of_the_connection_in_an_old_version: "HTTP/1.0 200 OK", [], PLAIN => 200, None;
    text_beyond_ascii_in_a_value: "HTTP/1.1 200 OK", [b"X-Field: \xe9", b"Content-Length: LENGTH"],
        PLAIN => 200, None;
    no_reason: "HTTP/1.1 200", [b"Content-Length: LENGTH"], PLAIN => 200, None;
    informational_head: "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK",
        [b"Content-Length: LENGTH"], PLAIN => 200, None;
    unknown_success: "HTTP/1.1 299 Fine", [b"Content-Length: LENGTH"], PLAIN => 299, None;
    unknown_client_error: "HTTP/1.1 499 Gone Away", [b"Transfer-Encoding: chunked"], CHUNKS => 499, None;
    no_content: "HTTP/1.1 204 No Content", [], ABSENT => 204, Some("");
    no_content_of_length_zero: "HTTP/1.1 204 No Content", [b"Content-Length: 0"], ABSENT => 204, Some("");
    empty_body: "HTTP/1.1 200 OK", [b"Content-Length: 0"], ABSENT => 200, Some("");
    unchanged_response: "HTTP/1.1 304 Not Modified", [b"Content-Length: LENGTH"], ABSENT => 304, Some("");
}

const WHOLE: TestResponse = TestResponse {
    status_line: "HTTP/1.1 200 OK",
    fields: &[b"Content-Length: LENGTH"],
    body: PLAIN,
    is_signed: true,
    is_kept: false,
};

#[googletest::test]
fn success_without_a_signature_is_not_passed_on() {
    check_rejected(1, TestResponse { is_signed: false, ..WHOLE });
}

#[googletest::test]
fn success_with_a_misspelt_signature_is_not_passed_on() {
    let fields: &[&[u8]] = &[b"X-Response-Sea1: s", b"Content-Length: LENGTH"];
    check_rejected(1, TestResponse { is_signed: false, fields, ..WHOLE });
}

#[googletest::test]
fn success_with_an_encoded_body_is_not_passed_on() {
    let fields: &[&[u8]] = &[b"Content-Encoding: gzip", b"Content-Length: LENGTH"];
    check_rejected(1, TestResponse { fields, ..WHOLE });
}

#[googletest::test]
fn error_without_a_signature_is_passed_on() {
    let status_line = "HTTP/1.1 404 Not Found";
    let response = TestResponse { status_line, is_signed: false, ..WHOLE };
    MalformedSite::start(1).expect_passed(response, 404, None);
}

#[googletest::test]
fn success_that_names_the_identity_as_its_encoding_is_passed_on() {
    let fields: &[&[u8]] = &[b"Content-Encoding: identity", b"Content-Length: LENGTH"];
    MalformedSite::start(1).expect_passed(TestResponse { fields, ..WHOLE }, 200, None);
}

#[googletest::test]
fn signature_stays_though_its_endpoint_calls_it_one_of_the_connection() {
    let site = MalformedSite::start(1);
    let fields: &[&[u8]] = &[b"Connection: close, X-Response-Seal", b"Content-Length: LENGTH"];
    site.endpoints.set_response(TestResponse { fields, ..WHOLE });
    for route in REPEATABLE.into_iter().chain(RUN_ONCE) {
        let outcome = site.ask(route, TEST_MARK);
        outcome.expect_whole(route, whole_body(is_stream(route)));
        expect_that!(outcome.answer.header("x-response-seal"), some(eq("s")), "{route}");
    }
}

/// Checks that a body whose chunks are malformed is no complete one for the client.
fn check_chunks(body: &'static [u8]) {
    let site = MalformedSite::start(1);
    let fields: &[&[u8]] = &[b"Transfer-Encoding: chunked"];
    for is_kept in [false, true] {
        let status_line = "HTTP/1.1 200 OK";
        let body = BodyForm::Bytes(body);
        site.endpoints.set_response(TestResponse {
            status_line,
            fields,
            body,
            is_signed: true,
            is_kept,
        });
        for route in ["plain", "once"] {
            let outcome = site.ask(route, TEST_MARK);
            let is_whole = outcome.answer.text() == PLAIN_BODY;
            let is_complete = outcome.end != ClientEnd::Broken && outcome.answer.status == 200;
            expect_true!(is_whole || !is_complete, "{route} {body:?} {outcome:?}");
            expect_true!(site.endpoints.was_tested(&outcome.id));
        }
    }
}

macro_rules! malformed_chunks_end_no_body {
    ($($name:ident: $body:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check_chunks($body);
        }
    )*};
}

malformed_chunks_end_no_body! {
    chunk_size_with_another_letter: b"ag\r\n0123456789\r\n0\r\n\r\n";
    chunk_size_with_a_sign: b"+a\r\n0123456789\r\n0\r\n\r\n";
    chunk_size_with_a_prefix: b"0xa\r\n0123456789\r\n0\r\n\r\n";
    chunk_size_between_blanks: b"a\r\n0123456789\r\n 0\r\n\r\n";
    chunk_size_in_two_parts: b"a 1\r\n0123456789\r\n0\r\n\r\n";
    chunk_size_beyond_its_type: b"a\r\n0123456789\r\n10000000000000000\r\n\r\n";
    empty_chunk_size: b"a\r\n0123456789\r\n\r\n0\r\n\r\n";
    chunk_longer_than_its_size: b"9\r\n0123456789\r\n0\r\n\r\n";
    chunk_shorter_than_its_size: b"b\r\n0123456789\r\n0\r\n\r\n";
    chunk_without_an_end: b"a\r\n01234567890\r\n\r\n";
    trailer_without_an_end: b"a\r\n0123456789\r\n0\r\nX-Trailer: 1";
    no_last_chunk: b"a\r\n0123456789\r\n";
}

/// Checks that an endpoint whose responses all have this head gets few requests, and that the log names the cause.
fn check_left_alone(status_line: &'static str, fields: &'static [&'static [u8]], cause: &str) {
    let site = MalformedSite::start_with(1, 2);
    site.endpoints.set_response(TestResponse {
        status_line,
        fields,
        body: CHUNKS,
        is_kept: false,
        is_signed: true,
    });
    site.endpoints.make_first_faulty();
    for _ in 0..REQUESTS {
        site.ask("plain", "whole-").expect_whole("plain", whole_body(false));
    }
    let faulty = site.endpoints.tested_count();
    println!("{faulty} of {REQUESTS} requests at the faulty endpoint");
    // Half of its share.
    expect_that!(faulty, all![gt(0), le(REQUESTS / 4)]);
    let log = std::fs::read_to_string(&site.gateways[0].log).expect("log");
    expect_that!(log, contains_substring(cause));
}

#[googletest::test]
fn endpoint_whose_heads_are_malformed_is_left_alone_and_named_in_the_log() {
    let cause = "malformed head: transfer coding other than chunked";
    check_left_alone("HTTP/1.1 200 OK", &[b"Transfer-Encoding: chunke"], cause);
}

#[googletest::test]
fn endpoint_whose_responses_have_status_000_is_left_alone_and_named_in_the_log() {
    let cause = "invalid HTTP status-code";
    check_left_alone("HTTP/1.1 000 None", &[b"Transfer-Encoding: chunked"], cause);
}
