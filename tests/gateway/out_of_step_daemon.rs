//! A daemon that is cut off from the others, and perhaps from the store, while endpoints of another version join: a
//! stream that others have begun there must not go on at the version that this daemon takes for the only one.
//!
//! Its own list counts as current for some seconds, and the silence of the others was taken for "no record".

use std::{
    thread,
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    ending_endpoint::{EndCause, EndManner, EndPlace, EndScript, EndingEndpoint, Framing},
    gateway_site::{AMPLE_RETRIES, Gateway, RawAnswer, ask, configuration, read_metric, wait_for},
    loopback_proxy::{LinkState, LoopbackProxy},
    platform_standin::PlatformStandin,
};

const WHOLE: EndManner =
    EndManner { framing: Framing::Chunks, place: EndPlace::Whole, cause: EndCause::LastChunk };
const EVENT_PAUSE: Duration = Duration::from_millis(1);

/// How long a stream may live: two attempts of the routes' 4 s.
const STREAM_LIFE: Duration = Duration::from_secs(8);

/// Two daemons that have seen one version alone for as long as a stream may live. The first one's calls to the store
/// pass a link that can fail.
struct OutOfStepSite {
    platform: PlatformStandin,
    store_link: LoopbackProxy,
    endpoints: Vec<EndingEndpoint>,
    daemon: Gateway,
    other: Gateway,
}

impl OutOfStepSite {
    fn start() -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", configuration(3, &["key-1"]));
        let store_link = LoopbackProxy::start(platform.address);
        let other = Gateway::start("edge-other", &platform, &[]);
        let bounds = json!({"retry-slack": AMPLE_RETRIES});
        let daemon = Gateway::start_at("edge-cut", store_link.address, &[other.peers], bounds);
        let mut site = Self { platform, store_link, endpoints: Vec::new(), daemon, other };
        site.add_endpoint("v1");
        site.add_endpoint("v1");
        site.daemon.wait_ready();
        site.other.wait_ready();
        let ready_at = Instant::now();
        let mut number = 0;
        wait_for("one version alone to have served for as long as a stream may live", || {
            number += 1;
            site.take_up(&format!("early-{number}")).status == 200
        });
        // The other daemon's answer may have been the proof: its list is older.
        thread::sleep(STREAM_LIFE.saturating_sub(ready_at.elapsed()));
        site
    }

    fn add_endpoint(&mut self, version: &str) {
        let id = format!("i-{}", self.endpoints.len());
        let endpoint = EndingEndpoint::start(&id, &EndScript::new(&[WHOLE]), EVENT_PAUSE);
        let entry = json!({
            "service": "pool", "address": endpoint.address, "zone": "hall-a", "version": version,
            "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 1,
        });
        self.platform.put("servers", &id, entry);
        self.endpoints.push(endpoint);
    }

    /// Takes a stream up at the first daemon that was begun elsewhere.
    fn take_up(&self, stream: &str) -> RawAnswer {
        let (id, resumes) = (format!("next-{stream}"), format!("Resumes: {stream}"));
        let headers = ["Last-Event-Id: 3", &resumes];
        ask(self.daemon.clients, "/stream/one", &id, "key-1", &headers, b"")
    }

    fn arrivals(&self) -> usize {
        self.endpoints.iter().map(|endpoint| endpoint.seen().len()).sum()
    }

    /// Checks that a stream is refused at once and as not run.
    fn expect_unknown(&self, stream: &str) {
        let before = self.arrivals();
        let answer = self.take_up(stream);
        expect_that!(answer.status, eq(503));
        expect_that!(answer.header("retry-after"), some(anything()));
        expect_that!(answer.text(), contains_substring("version of the stream not known"));
        expect_that!(self.arrivals(), eq(before));
    }
}

#[googletest::test]
fn stream_of_a_version_that_joined_while_the_daemon_was_cut_off_goes_on_at_no_other() {
    let mut site = OutOfStepSite::start();
    site.other.signal("-STOP");
    site.store_link.set(LinkState::Silent);
    site.add_endpoint("v2");
    site.expect_unknown("begun-at-v2");
    site.other.signal("-CONT");
    site.store_link.set(LinkState::Open);
}

#[googletest::test]
fn stream_of_a_version_that_joined_while_the_others_were_silent_goes_on_at_no_other() {
    let mut site = OutOfStepSite::start();
    site.other.signal("-STOP");
    site.add_endpoint("v2");
    site.expect_unknown("begun-at-v2");
    site.other.signal("-CONT");
}

#[googletest::test]
fn stream_goes_on_while_the_others_are_silent_and_the_store_lists_one_version() {
    let site = OutOfStepSite::start();
    site.other.signal("-STOP");
    let answer = site.take_up("begun-elsewhere");
    expect_that!(answer.status, eq(200), "{}", answer.text());
    expect_that!(read_metric(site.daemon.metrics, "endpoint_list_checks"), some(ge(1.0)));
    site.other.signal("-CONT");
}

// Guards against a stream that is refused at first, and goes on at the wrong version when its client tries again.
#[googletest::test]
fn stream_that_was_refused_while_the_daemon_was_cut_off_is_refused_again() {
    let mut site = OutOfStepSite::start();
    site.other.signal("-STOP");
    site.store_link.set(LinkState::Silent);
    site.add_endpoint("v2");
    site.expect_unknown("begun-at-v2");
    site.expect_unknown("begun-at-v2");
    site.other.signal("-CONT");
    site.store_link.set(LinkState::Open);
}

#[googletest::test]
fn stream_goes_on_while_the_store_is_away_and_the_others_know_one_version() {
    let site = OutOfStepSite::start();
    site.platform.set_down(true);
    expect_that!(site.take_up("begun-elsewhere").status, eq(200));
}
