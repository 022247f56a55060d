//! An answer that was broken off must not reach the client as a complete one, however the endpoint marks
//! the end of its answers and however it ends. Where nobody can know whether an answer is whole, the
//! daemon must not claim it.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    ending_endpoint::{
        EVENT_PAUSE, EVENTS, EndCause, EndManner, EndPlace, EndScript, EndingEndpoint, Framing,
        PLAIN_BODY,
    },
    endpoint_standin::event,
    gateway_site::{
        Gateway, RawAnswer, WAIT_TIMEOUT, configuration, kept_request_bytes, parse_answer,
    },
    platform_standin::PlatformStandin,
};

/// Start time of the endpoints.
pub const FIRST_START: u64 = 1;

/// How an answer ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// Complete by its length or last chunk.
    Complete,
    /// Closed, with neither a length nor chunks: the client can't know whether it is whole.
    Closed,
    /// Certainly broken off: reset, or closed before the end by its length or chunks.
    Broken,
}

/// A daemon between the client and two endpoints.
pub struct EndSite {
    pub platform: PlatformStandin,
    pub endpoints: Vec<EndingEndpoint>,
    pub gateway: Gateway,
}

impl EndSite {
    /// The first request at any endpoint ends in the first manner, and so on.
    pub fn start(manners: &[EndManner], event_pause: Duration) -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        let script = EndScript::new(manners);
        let start = |id| EndingEndpoint::start(id, &script, event_pause);
        let endpoints: Vec<EndingEndpoint> = ["i-0", "i-1"].into_iter().map(start).collect();
        for endpoint in &endpoints {
            platform.put("servers", endpoint.id(), entry(endpoint.address, "ready", FIRST_START));
        }
        let gateway = Gateway::start("edge-1", &platform, &[]);
        gateway.wait_ready();
        Self { platform, endpoints, gateway }
    }

    /// Number of requests that reached an endpoint.
    fn arrivals(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
    }
}

/// An endpoint's entry in the store.
pub fn entry(address: SocketAddr, state: &str, born: u64) -> Value {
    json!({
        "service": "pool", "address": address, "zone": "hall-a", "version": "v1", "slots": 4,
        "state": state, "cold-left-ms": 0, "seq": 1, "born": born,
    })
}

/// Sends a request whose first line is of this HTTP version.
pub fn ask(address: SocketAddr, route: &str, http: &str) -> (RawAnswer, ClientEnd) {
    ask_path(address, &format!("/{route}/one"), "request-1", http)
}

/// The same with another path and id.
pub fn ask_path(address: SocketAddr, path: &str, id: &str, http: &str) -> (RawAnswer, ClientEnd) {
    let bytes = kept_request_bytes(path, id, "key-1", &[], b"");
    let text = String::from_utf8(bytes).expect("text").replace("HTTP/1.1", http);
    let mut stream = TcpStream::connect(address).expect("connect");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
    stream.write_all(text.as_bytes()).expect("send");
    read_answer(&mut stream)
}

/// Reads an answer until its end by its framing or that of the connection.
fn read_answer(stream: &mut TcpStream) -> (RawAnswer, ClientEnd) {
    let (mut all, mut buffer) = (Vec::new(), [0; 4_096]);
    loop {
        let read = stream.read(&mut buffer);
        let length = match &read {
            Ok(length) => *length,
            Err(error) if error.kind() == ErrorKind::ConnectionReset => 0,
            Err(error) => panic!("answer not read: {error}"),
        };
        all.extend_from_slice(&buffer[..length]);
        let answer = parse_answer(&all);
        if answer.whole {
            return (answer, ClientEnd::Complete);
        }
        if length > 0 {
            continue;
        }
        let is_framed = answer.header("content-length").is_some()
            || answer.header("transfer-encoding").is_some();
        let end = match is_framed || read.is_err() {
            true => ClientEnd::Broken,
            false => ClientEnd::Closed,
        };
        return (answer, end);
    }
}

pub fn events(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event).collect()
}

pub const fn manner(framing: Framing, place: EndPlace, cause: EndCause) -> EndManner {
    EndManner { framing, place, cause }
}

/// One answer: the request's route and HTTP version, how endpoints end it, and what the client must get.
struct EndCase<'a> {
    route: &'a str,
    http: &'a str,
    manners: &'a [EndManner],
    end: ClientEnd,
    /// Number of whole events; 0 for answers that aren't streams.
    events: u64,
}

impl EndCase<'_> {
    fn check(&self) {
        let site = EndSite::start(self.manners, EVENT_PAUSE);
        let (answer, end) = ask(site.gateway.clients, self.route, self.http);
        let body = answer.text();
        expect_that!(end, eq(self.end), "body {body:?}");
        match self.route {
            "plain" | "once" => expect_that!(PLAIN_BODY, starts_with(body)),
            _ => expect_that!(body, eq(&events(1..=self.events))),
        }
        // A retry after an end that was taken for a break would be one run too many.
        expect_that!(site.arrivals(), le(self.manners.len()));
    }
}

macro_rules! answer_end {
    ($($name:ident: $route:literal, $http:literal, [$($manner:expr),+] => $end:ident $events:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let case = EndCase {
                route: $route, http: $http, manners: &[$($manner),+], end: ClientEnd::$end,
                events: $events,
            };
            case.check();
        }
    )*};
}

const WHOLE_CLOSE: EndManner = manner(Framing::Close, EndPlace::Whole, EndCause::Close);
pub const WHOLE_CHUNKS: EndManner = manner(Framing::Chunks, EndPlace::Whole, EndCause::LastChunk);
const WHOLE_LENGTH: EndManner = manner(Framing::Length, EndPlace::Whole, EndCause::LastChunk);
const HALF: u64 = EVENTS / 2;

answer_end! {
    plain_answer_with_length_is_complete: "plain", "HTTP/1.1", [WHOLE_LENGTH] => Complete 0;
    plain_answer_in_chunks_is_complete: "plain", "HTTP/1.1", [WHOLE_CHUNKS] => Complete 0;
    stream_in_chunks_is_complete: "stream", "HTTP/1.1", [WHOLE_CHUNKS] => Complete EVENTS;
    plain_answer_that_ends_with_its_connection_is_passed_on: "plain", "HTTP/1.1", [WHOLE_CLOSE] => Closed 0;
    stream_that_ends_with_its_connection_is_passed_on: "stream", "HTTP/1.1", [WHOLE_CLOSE] => Closed EVENTS;
    plain_answer_cut_by_a_close_is_not_complete: "plain", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Close)] => Closed 0;
    once_only_answer_cut_by_a_close_is_not_complete: "once", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Close)] => Closed 0;
    plain_answer_cut_by_a_reset_is_broken: "plain", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Reset)] => Broken 0;
    once_only_answer_cut_by_a_reset_is_broken: "once", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Reset)] => Broken 0;
    once_only_answer_cut_by_a_crash_is_broken: "once", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Crash)] => Broken 0;
    stream_closed_inside_an_event_is_resumed: "stream", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Close), WHOLE_CLOSE] => Closed EVENTS;
    stream_closed_between_events_is_not_complete: "stream", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Between, EndCause::Close)] => Closed HALF;
    stream_closed_between_events_by_a_crash_is_resumed: "stream", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Between, EndCause::Crash), WHOLE_CLOSE] => Closed EVENTS;
    stream_closed_before_its_first_event_by_a_crash_is_resumed: "stream", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::AfterHead, EndCause::Crash), WHOLE_CLOSE] => Closed EVENTS;
    stream_reset_between_events_is_resumed: "stream", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Between, EndCause::Reset), WHOLE_CLOSE] => Closed EVENTS;
    closed_stream_resumed_in_chunks_ends_as_it_began: "stream", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Close), WHOLE_CHUNKS] => Closed EVENTS;
    stream_ended_by_a_last_chunk_inside_an_event_is_resumed: "stream", "HTTP/1.1",
        [manner(Framing::Chunks, EndPlace::Inside, EndCause::LastChunk), WHOLE_CHUNKS] => Complete EVENTS;
    stream_in_chunks_resumed_where_nobody_knows_the_end_is_not_complete: "stream", "HTTP/1.1",
        [manner(Framing::Chunks, EndPlace::Inside, EndCause::Close), WHOLE_CLOSE] => Broken EVENTS;
    stream_with_a_length_is_resumed: "stream", "HTTP/1.1",
        [manner(Framing::Length, EndPlace::Inside, EndCause::Close), WHOLE_CHUNKS] => Complete EVENTS;
    rigid_stream_closed_inside_an_event_is_broken: "rigid", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Inside, EndCause::Close)] => Broken HALF;
    rigid_stream_closed_between_events_is_not_complete: "rigid", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Between, EndCause::Close)] => Closed HALF;
    rigid_stream_closed_between_events_by_a_crash_is_broken: "rigid", "HTTP/1.1",
        [manner(Framing::Close, EndPlace::Between, EndCause::Crash)] => Broken HALF;
    rigid_stream_ended_by_a_last_chunk_inside_an_event_is_broken: "rigid", "HTTP/1.1",
        [manner(Framing::Chunks, EndPlace::Inside, EndCause::LastChunk)] => Broken HALF;
    old_client_sees_that_a_plain_answer_in_chunks_is_broken: "once", "HTTP/1.0",
        [manner(Framing::Chunks, EndPlace::Inside, EndCause::Close)] => Broken 0;
    old_client_sees_that_a_plain_answer_in_chunks_was_reset: "once", "HTTP/1.0",
        [manner(Framing::Chunks, EndPlace::Inside, EndCause::Reset)] => Broken 0;
    old_client_sees_that_a_rigid_stream_is_broken: "rigid", "HTTP/1.0",
        [manner(Framing::Chunks, EndPlace::Between, EndCause::Close)] => Broken HALF;
    old_client_gets_a_resumed_stream: "stream", "HTTP/1.0",
        [manner(Framing::Chunks, EndPlace::Inside, EndCause::Close), WHOLE_CHUNKS] => Closed EVENTS;
    old_client_gets_a_plain_answer_with_length: "plain", "HTTP/1.0", [WHOLE_LENGTH] => Complete 0;
    old_client_gets_a_plain_answer_in_chunks: "plain", "HTTP/1.0", [WHOLE_CHUNKS] => Closed 0;
}

/// Otherwise the client would take the part that it has for the whole stream.
#[googletest::test]
fn daemon_that_is_killed_resets_a_stream_that_ends_with_its_connection() {
    let mut site = EndSite::start(&[WHOLE_CLOSE], Duration::from_millis(200));
    let mut stream = TcpStream::connect(site.gateway.clients).expect("connect");
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("time-out");
    let request = kept_request_bytes("/stream/one", "request-1", "key-1", &[], b"");
    stream.write_all(&request).expect("send");
    let mut head = [0; 64];
    stream.read_exact(&mut head).expect("head of the answer");
    site.gateway.kill();
    let (_, end) = read_answer(&mut stream);
    expect_that!(end, eq(ClientEnd::Broken));
}
