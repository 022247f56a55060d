//! The log of streams in the store, from which daemons know after a kill of all of them at which of several versions a
//! stream goes on.

use std::time::{Duration, Instant};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    ending_endpoint::{EndCause, EndManner, EndPlace, EndScript, EndingEndpoint, Framing},
    gateway_site::{AMPLE_RETRIES, Gateway, RawAnswer, ask, configuration, read_metric, wait_for},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
};

const LOG_KIND: &str = "gateway-streams";
const WHOLE: EndManner =
    EndManner { framing: Framing::Chunks, place: EndPlace::Whole, cause: EndCause::LastChunk };
/// Streams of other daemons in the log, and the bandwidth of the daemon's link to the store: reading the log takes
/// twice as long as a request waits for it.
const LOGGED_STREAMS: usize = 15_000;
const BYTES_PER_S: u32 = 400_000;
/// Time in which a client takes a stream up again and again.
const TAKE_UP_TIME: Duration = Duration::from_secs(6);
/// Streams that are begun one after the other, and the time after which each has to be in the log: an event of a
/// stream that the client can lose comes later.
const STREAMS: usize = 8;
const LOG_LIMIT: Duration = Duration::from_millis(350);

/// Streams that may be passed on before they are in the log, since the store answered late.
const ALLOWED_LATE: usize = STREAMS / 2;

/// A daemon before endpoints of two versions.
struct LogSite {
    platform: PlatformStandin,
    store_link: LoopbackProxy,
    _endpoints: Vec<EndingEndpoint>,
    daemon: Gateway,
}

impl LogSite {
    fn start() -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        let script = EndScript::new(&[WHOLE]);
        let versions = ["v1", "v1", "v2", "v2"].iter().enumerate();
        let endpoints = versions.map(|(index, version)| {
            let id = format!("i-{index}");
            let endpoint = EndingEndpoint::start(&id, &script, Duration::from_millis(1));
            let entry = json!({
                "service": "pool", "address": endpoint.address, "zone": "hall-a",
                "version": version, "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 1,
            });
            platform.put("servers", &id, entry);
            endpoint
        });
        let endpoints = endpoints.collect();
        let store_link = LoopbackProxy::start(platform.address);
        let bounds = json!({"retry-slack": AMPLE_RETRIES});
        let daemon = Gateway::start_at("edge-1", store_link.address, &[], bounds);
        daemon.wait_ready();
        Self { platform, store_link, _endpoints: endpoints, daemon }
    }

    fn ask(&self, id: &str, headers: &[&str]) -> RawAnswer {
        ask(self.daemon.clients, "/stream/one", id, "key-1", headers, b"")
    }

    /// Objects of the log.
    fn log(&self) -> Vec<Value> {
        let names = (0..64).map(|number| format!("0-{number}"));
        names.filter_map(|name| self.platform.get(LOG_KIND, &name)).collect()
    }

    /// Number of streams in the log.
    fn logged_streams(&self) -> usize {
        let digits = |version: &Value| version["keys"].as_str().map_or(0, str::len);
        let versions = |segment: &Value| segment["versions"].as_array().cloned();
        self.log().iter().filter_map(versions).flatten().map(|one| digits(&one) / 16).sum()
    }
}

// Guards against take-ups that are refused for good because each of them ends the read of the log that it waits for.
#[googletest::test]
fn log_that_takes_longer_to_read_than_a_request_waits_is_read() {
    let mut site = LogSite::start();
    expect_that!(site.ask("first", &[]).status, eq(200));
    wait_for("the stream to be in the log", || site.logged_streams() > 0);
    let others: String = (0..LOGGED_STREAMS).map(|number| format!("{number:016x}")).collect();
    let versions = json!([{"service": "pool", "version": "v1", "keys": others}]);
    site.platform.put(LOG_KIND, "1-0", json!({"begin_ms": 0, "versions": versions}));
    site.daemon.kill();
    site.store_link.set(LinkState::Limited(BYTES_PER_S));
    site.daemon.start_again();
    site.daemon.wait_ready();
    let begun = Instant::now();
    let mut statuses = Vec::new();
    while begun.elapsed() < TAKE_UP_TIME && !statuses.contains(&200) {
        let id = format!("next-{}", statuses.len());
        statuses.push(site.ask(&id, &["Last-Event-Id: 3", "Resumes: first"]).status);
        std::thread::sleep(Duration::from_millis(100));
    }
    expect_that!(statuses, contains(eq(&200)));
}

// Guards against streams that a kill of all daemons makes unknown although they began some time before it.
#[googletest::test]
fn stream_is_in_the_log_soon_after_it_has_begun() {
    let site = LogSite::start();
    for number in 1..=STREAMS {
        expect_that!(site.ask(&format!("first-{number}"), &[]).status, eq(200));
        let begun = Instant::now();
        wait_for("the stream to be in the log", || site.logged_streams() >= number);
        expect_that!(begun.elapsed(), le(LOG_LIMIT));
        // Streams are begun at any time between two writes.
        std::thread::sleep(Duration::from_millis(70));
    }
}

// Guards against a client that takes up a stream which nothing outlives: it had an event before any record was written.
#[googletest::test]
fn stream_of_which_a_client_has_an_event_is_in_the_log() {
    let site = LogSite::start();
    let mut late = 0;
    for number in 1..=STREAMS {
        expect_that!(site.ask(&format!("first-{number}"), &[]).status, eq(200));
        late += usize::from(site.logged_streams() < number);
        wait_for("the stream to be in the log", || site.logged_streams() >= number);
        std::thread::sleep(Duration::from_millis(70));
    }
    let known_late = read_metric(site.daemon.metrics, "streams_logged_late").unwrap_or(0.0);
    expect_that!(late, all!(le(known_late as usize), le(ALLOWED_LATE)));
}
