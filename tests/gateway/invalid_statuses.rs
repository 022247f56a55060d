//! An endpoint in trouble sends a response whose status is 000. A client must not get it as an answer (rule MIXED),
//! at whichever run of a request it comes, and the endpoint is one that fails.

use std::{
    collections::HashMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener},
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    answer_ends::{FIRST_START, entry},
    endpoint_standin::{SeenRequest, event, read_request},
    gateway_site::{AMPLE_RETRIES, Gateway, ask, configuration},
    platform_standin::PlatformStandin,
};

const ENDPOINTS: usize = 6;
/// Events of a whole stream.
const EVENTS: u64 = 5;
/// Events before a run breaks off.
const FIRST_EVENTS: u64 = 2;
/// Pause of a run: far longer than that of sound streams, so that another run begins meanwhile.
const PAUSE: Duration = Duration::from_millis(1_500);
const INVALID: &str = "HTTP/1.1 000 None\r\nContent-Length: 2\r\n";

/// What an endpoint does with a run of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    /// Sends `FIRST_EVENTS` events of a stream, and closes the connection.
    BreaksOff,
    /// Sends `FIRST_EVENTS` events of a stream, and the others after `PAUSE`.
    Pauses,
    /// Sends a response of status 000.
    Invalid,
    /// Sends the rest of the response.
    Whole,
}

/// What happens to the runs of each request, in order; the last entry holds for all further ones.
struct RunScript {
    ends: &'static [RunEnd],
    runs: Mutex<HashMap<String, usize>>,
}

impl RunScript {
    fn next(&self, id: &str) -> RunEnd {
        let mut runs = self.runs.lock().expect("lock");
        let run = runs.entry(id.to_owned()).or_default();
        *run += 1;
        self.ends[(*run).min(self.ends.len()) - 1]
    }

    fn runs(&self, id: &str) -> usize {
        self.runs.lock().expect("lock").get(id).copied().unwrap_or_default()
    }
}

fn start_endpoint(script: Arc<RunScript>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let script = script.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let Some(request) = read_request(&mut reader) else { return };
                let end = script.next(request.id());
                let bytes = response(&request, end);
                // Writes fail if the daemon has closed the connection.
                let _ = reader.get_mut().write_all(bytes.as_bytes());
                if end == RunEnd::Pauses {
                    thread::sleep(PAUSE);
                    let rest: String = (FIRST_EVENTS + 1..=EVENTS).map(event).collect();
                    let _ = reader.get_mut().write_all(rest.as_bytes());
                }
            });
        }
    });
    address
}

/// A response after which the connection ends.
fn response(request: &SeenRequest, end: RunEnd) -> String {
    let id = request.id();
    let (is_stream, after) = (request.line.contains("/stream/"), first_event(request));
    let content = if is_stream { "text/event-stream" } else { "text/plain" };
    let usual = format!("X-Request-Id: {id}\r\nX-Response-Seal: s\r\nContent-Type: {content}\r\n");
    let events = |last: u64| (after..=last).map(event).collect::<String>();
    let whole = if is_stream { events(EVENTS) } else { "body".to_owned() };
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n{usual}\r\n", whole.len());
    match end {
        RunEnd::BreaksOff | RunEnd::Pauses => head + &events(FIRST_EVENTS),
        RunEnd::Invalid => format!("{INVALID}{usual}\r\nno"),
        RunEnd::Whole => head + &whole,
    }
}

fn first_event(request: &SeenRequest) -> u64 {
    request.header("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0) + 1
}

struct ScriptedSite {
    script: Arc<RunScript>,
    gateway: Gateway,
    _platform: PlatformStandin,
}

impl ScriptedSite {
    /// Starts a daemon before endpoints that follow this script, with routes of this many attempts.
    fn start(ends: &'static [RunEnd], attempts: u32) -> Self {
        let script = Arc::new(RunScript { ends, runs: Mutex::default() });
        let platform = PlatformStandin::start();
        let mut stored = configuration(3, &["key-1"]);
        for route in stored["routes"].as_array_mut().expect("routes") {
            route["attempts"] = json!(attempts);
        }
        platform.put("config", "main", stored);
        for place in 0..ENDPOINTS {
            let address = start_endpoint(script.clone());
            platform.put("servers", &format!("i-{place}"), entry(address, "ready", FIRST_START));
        }
        let bounds = json!({"retry-slack": AMPLE_RETRIES});
        let gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
        gateway.wait_ready();
        Self { script, gateway, _platform: platform }
    }
}

#[googletest::test]
fn status_000_of_a_stream_that_goes_on_ends_it() {
    let site = ScriptedSite::start(&[RunEnd::BreaksOff, RunEnd::Invalid, RunEnd::Whole], 3);
    let answer = ask(site.gateway.clients, "/stream/a", "a", "key-1", &[], b"");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.text(), eq(&(1..=EVENTS).map(event).collect::<String>()));
    expect_that!(answer.whole, eq(true));
    expect_that!(site.script.runs("a"), eq(3));
}

#[googletest::test]
fn status_000_of_the_last_run_of_a_stream_is_passed_on() {
    let site = ScriptedSite::start(&[RunEnd::BreaksOff, RunEnd::Invalid], 2);
    let answer = ask(site.gateway.clients, "/stream/a", "a", "key-1", &[], b"");
    expect_that!(answer.status, eq(200));
    expect_that!(answer.text(), eq(&(1..=FIRST_EVENTS).map(event).collect::<String>()));
    // Clients see that it is not complete.
    expect_that!((answer.whole, answer.may_be_whole()), eq((false, false)));
}

#[googletest::test]
fn status_000_of_all_runs_is_passed_on() {
    let site = ScriptedSite::start(&[RunEnd::Invalid], 3);
    for route in ["plain", "once", "stream", "rigid"] {
        let answer = ask(site.gateway.clients, &format!("/{route}/a"), route, "key-1", &[], b"");
        expect_that!(answer.status, eq(502), "{route}");
        let runs = if matches!(route, "plain" | "stream") { 3 } else { 1 };
        expect_that!(site.script.runs(route), eq(runs), "{route}");
    }
}

#[googletest::test]
fn status_000_of_the_first_two_runs_is_passed_on() {
    let site = ScriptedSite::start(&[RunEnd::Invalid, RunEnd::Invalid, RunEnd::Whole], 3);
    for route in ["plain", "stream"] {
        let answer = ask(site.gateway.clients, &format!("/{route}/a"), route, "key-1", &[], b"");
        expect_that!((answer.status, answer.whole), eq((200, true)), "{route}");
    }
}

#[googletest::test]
fn status_000_of_a_further_run_ends_the_first_one() {
    let site = ScriptedSite::start(&[RunEnd::Pauses, RunEnd::Invalid], 2);
    let answer = ask(site.gateway.clients, "/stream/a", "a", "key-1", &[], b"");
    expect_that!((answer.status, answer.whole), eq((200, true)));
    expect_that!(answer.text(), eq(&(1..=EVENTS).map(event).collect::<String>()));
    expect_that!(site.script.runs("a"), eq(2));
}
