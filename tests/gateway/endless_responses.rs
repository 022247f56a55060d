//! Endpoints that send bytes without end: what that costs a daemon is bounded in bytes, time and memory, and the
//! client isn't held beyond its time limit.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endless_endpoint::{Endless, EndlessEndpoint, Pace},
    endpoint_standin::event,
    gateway_site::{Gateway, configuration, parse_answer, request_bytes, wait_for},
    pausing_endpoint::{AfterPause, EVENTS, PausePlace, PausePlan, PausingEndpoint},
    platform_standin::PlatformStandin,
};

const CLIENTS: usize = 12;
/// Time limit of the clients, as `request_bytes` sets it, and what a daemon may be late.
const TIME_LIMIT: Duration = Duration::from_secs(3);
const LATE: Duration = Duration::from_millis(700);
/// Bytes that one connection may bring if they are not passed on: what the kernel buffers, above all.
const UNUSED_BYTES: usize = 8 * 1024 * 1024;
/// Most by which the memory of a daemon may grow.
const MEMORY_KB: u64 = 48 * 1024;
/// Bytes of a response that a client keeps.
const KEPT: usize = 64 * 1024;

/// What a client got.
struct ClientOutcome {
    status: u16,
    /// The beginning of the response.
    body: String,
    time: Duration,
}

/// Reads a response until its connection ends, for longer than its time limit.
fn read_response(address: SocketAddr, path: &str, id: &str) -> ClientOutcome {
    let begun = Instant::now();
    let mut stream = TcpStream::connect(address).expect("connection");
    stream.set_read_timeout(Some(TIME_LIMIT * 2)).expect("timeout");
    stream.write_all(&request_bytes(path, id, "key-1", &[], b"")).expect("request");
    let (mut kept, mut buffer) = (Vec::new(), vec![0; KEPT]);
    while begun.elapsed() < TIME_LIMIT * 2 {
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => break,
            Ok(length) => {
                let room = KEPT - kept.len();
                kept.extend_from_slice(&buffer[..length.min(room)]);
            }
        }
    }
    let answer = parse_answer(&kept);
    ClientOutcome { status: answer.status, body: answer.text(), time: begun.elapsed() }
}

/// Highest memory use of a daemon so far.
fn peak_memory_kb(daemon: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", daemon.process_id()));
    let status = status.expect("status of the process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("peak memory");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("number")
}

fn entry(address: SocketAddr) -> Value {
    json!({
        "service": "pool", "address": address, "zone": "hall-a", "version": "v1", "slots": 32,
        "state": "ready", "cold-left-ms": 0, "seq": 1,
    })
}

const SOUND: PausePlan = PausePlan {
    place: PausePlace::BetweenEvents,
    time: None,
    percent: 0,
    pauses_again: false,
    event_pause: Duration::from_millis(5),
    then: AfterPause::GoOn,
    ends_with_connection: false,
};

/// What becomes of requests whose first endpoint sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    /// The other endpoint serves them.
    Served,
    /// Some are served; the others end at their time limit.
    Ended,
}

/// Sends requests for which a sound endpoint and one that sends without end are listed.
fn check(route: &str, endless: Endless, pace: Pace, expected: Expected) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let trouble = EndlessEndpoint::start("i-0", endless, pace);
    platform.put("servers", "i-0", entry(trouble.address));
    let counts = Default::default();
    let sound = PausingEndpoint::start("i-1", SOUND, &counts);
    platform.put("servers", "i-1", entry(sound.address));
    let daemon = Gateway::start("edge-1", &platform, &[]);
    daemon.wait_ready();
    let memory = peak_memory_kb(&daemon);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (address, path) = (daemon.clients, format!("/{route}/one"));
            thread::spawn(move || read_response(address, &path, &format!("r-{number}")))
        })
        .collect();
    let outcomes: Vec<ClientOutcome> =
        clients.into_iter().map(|client| client.join().expect("client")).collect();
    let slowest = outcomes.iter().map(|outcome| outcome.time).max().expect("clients");
    let served = outcomes.iter().filter(|outcome| is_whole(route, outcome)).count();
    let grown = peak_memory_kb(&daemon).saturating_sub(memory);
    println!(
        "{route} {endless:?} {pace:?}: {served} of {CLIENTS} served, slowest {slowest:?}, {} requests, \
         {} bytes, {grown} KB",
        trouble.requests(),
        trouble.sent()
    );
    expect_that!(trouble.requests(), gt(0));
    expect_that!(slowest, le(TIME_LIMIT + LATE));
    expect_that!(grown, le(MEMORY_KB));
    let is_passed_on = matches!(endless, Endless::Chunks | Endless::Unframed | Endless::Failure)
        || (endless == Endless::Comments);
    if !is_passed_on {
        expect_that!(trouble.sent(), le(UNUSED_BYTES * trouble.requests()));
    }
    if expected == Expected::Served {
        expect_that!(served, eq(CLIENTS));
    }
    wait_for("closed connections", || trouble.open() == 0);
}

fn is_whole(route: &str, outcome: &ClientOutcome) -> bool {
    let whole_stream: String = (1..=EVENTS).map(event).collect();
    let events: String =
        outcome.body.split_inclusive('\n').filter(|line| !line.starts_with(':')).collect();
    outcome.status == 200 && (route != "stream" || events == whole_stream)
}

macro_rules! bytes_without_end_are_bounded {
    ($($name:ident: $route:literal, $endless:ident, $pace:ident => $expected:ident;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($route, Endless::$endless, Pace::$pace, Expected::$expected);
        }
    )*};
}

bytes_without_end_are_bounded! {
    head: "plain", Head, Full => Served;
    head_of_a_stream: "stream", Head, Full => Served;
    slow_head: "stream", Head, Slow => Served;
    head_lines: "plain", HeadLines, Full => Served;
    slow_head_lines: "stream", HeadLines, Slow => Served;
    informational_heads: "plain", InformationalHeads, Full => Served;
    informational_heads_of_a_stream: "stream", InformationalHeads, Full => Served;
    slow_informational_heads: "stream", InformationalHeads, Slow => Served;
    chunks_of_a_plain_response: "plain", Chunks, Full => Ended;
    slow_chunks_of_a_plain_response: "plain", Chunks, Slow => Ended;
    unframed_plain_response: "plain", Unframed, Full => Ended;
    chunks_of_a_stream: "stream", Chunks, Full => Served;
    slow_chunks_of_a_stream: "stream", Chunks, Slow => Served;
    single_event: "stream", Event, Full => Served;
    slow_single_event: "stream", Event, Slow => Served;
    comments: "stream", Comments, Full => Served;
    slow_comments: "stream", Comments, Slow => Served;
    body_of_a_refusal: "plain", Refusal, Full => Served;
    body_of_a_refused_stream: "stream", Refusal, Full => Served;
    slow_body_of_a_refusal: "stream", Refusal, Slow => Served;
    body_of_a_misdirected_request: "plain", Misdirected, Full => Served;
    body_of_a_failure: "plain", Failure, Full => Served;
    body_of_a_failed_request_that_may_run_once: "once", Failure, Full => Ended;
    bytes_behind_a_response: "plain", Behind, Full => Served;
    slow_bytes_behind_a_response: "plain", Behind, Slow => Served;
}
