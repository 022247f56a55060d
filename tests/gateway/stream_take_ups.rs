//! A client takes up a stream at a daemon, and names the attempt that brought its first event: the stream goes on
//! at the version that began it, or not at all where that isn't known.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    ending_endpoint::{EndCause, EndManner, EndPlace, EndScript, EndingEndpoint, Framing},
    gateway_site::{Gateway, RawAnswer, ask, configuration, wait_for},
    platform_standin::PlatformStandin,
};

/// Streams over which the version of one is checked: with two endpoints each, few would go on at the
/// right one by chance.
const TAKE_UPS: usize = 8;
const WHOLE: EndManner =
    EndManner { framing: Framing::Chunks, place: EndPlace::Whole, cause: EndCause::LastChunk };

/// A daemon and two endpoints of each version.
struct TakeUpSite {
    platform: PlatformStandin,
    endpoints: Vec<(EndingEndpoint, &'static str)>,
    gateway: Gateway,
}

/// Two accounts, and a second service with routes of its own.
fn two_accounts() -> Value {
    let mut all = configuration(3, &["key-1"]);
    let mut other = all["tenants"][0].clone();
    other["name"] = json!("other-reader");
    other["api-keys"] = json!(["key-2"]);
    all["tenants"].as_array_mut().expect("list").push(other);
    all
}

impl TakeUpSite {
    fn start(versions: &[&'static str]) -> Self {
        let platform = PlatformStandin::start();
        platform.put("config", "main", two_accounts());
        let script = EndScript::new(&[WHOLE]);
        let start = |(index, version): (usize, &&'static str)| {
            let id = format!("i-{index}");
            (EndingEndpoint::start(&id, &script, Duration::from_millis(1)), *version)
        };
        let endpoints: Vec<_> = versions.iter().enumerate().map(start).collect();
        for (endpoint, version) in &endpoints {
            platform.put("servers", endpoint.id(), entry(endpoint, version));
        }
        let gateway = Gateway::start("edge-1", &platform, &[]);
        gateway.wait_ready();
        Self { platform, endpoints, gateway }
    }

    fn ask(&self, id: &str, key: &str, headers: &[&str]) -> RawAnswer {
        ask(self.gateway.clients, "/stream/one", id, key, headers, b"")
    }

    /// Begins a stream and returns the version of its endpoint.
    fn begin(&self, id: &str) -> &'static str {
        let answer = self.ask(id, "key-1", &[]);
        assert_eq!(answer.status, 200);
        self.version_of(&answer)
    }

    fn version_of(&self, answer: &RawAnswer) -> &'static str {
        let seal = answer.header("x-response-seal").expect("seal");
        let is_of =
            |(endpoint, _): &&(EndingEndpoint, _)| seal == format!("seal-{}", endpoint.id());
        self.endpoints.iter().find(is_of).expect("an endpoint of the fleet").1
    }

    fn arrivals(&self) -> usize {
        self.endpoints.iter().map(|(endpoint, _)| endpoint.seen().len()).sum()
    }
}

fn entry(endpoint: &EndingEndpoint, version: &str) -> Value {
    json!({
        "service": "pool", "address": endpoint.address, "zone": "hall-a", "version": version,
        "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 1,
    })
}

#[googletest::test]
fn stream_goes_on_at_the_version_that_began_it_however_often_it_is_taken_up() {
    let site = TakeUpSite::start(&["v1", "v1", "v2", "v2"]);
    let version = site.begin("first");
    for number in 0..TAKE_UPS {
        let id = format!("next-{number}");
        let answer = site.ask(&id, "key-1", &["Last-Event-Id: 3", "Resumes: first"]);
        expect_that!(answer.status, eq(200));
        expect_that!(site.version_of(&answer), eq(version));
    }
}

#[googletest::test]
fn attempt_that_takes_nothing_up_may_run_at_any_version() {
    let site = TakeUpSite::start(&["v1", "v2"]);
    // Names an attempt, but has no event of it.
    let answer = site.ask("new", "key-1", &["Resumes: never-sent"]);
    expect_that!(answer.status, eq(200));
}

/// Take-ups for which it isn't known which version began the stream, where two versions serve.
macro_rules! unknown_take_up {
    ($($name:ident: $key:literal, [$($header:literal),+];)*) => {$(
        #[googletest::test]
        fn $name() {
            let site = TakeUpSite::start(&["v1", "v2"]);
            site.begin("first");
            let before = site.arrivals();
            let answer = site.ask("next", $key, &[$($header),+]);
            expect_that!(answer.status, eq(503));
            expect_that!(answer.header("retry-after"), some(anything()));
            expect_that!(answer.text(), contains_substring("version of the stream not known"));
            expect_that!(site.arrivals(), eq(before));
        }
    )*};
}

unknown_take_up! {
    stream_that_was_never_begun_does_not_go_on: "key-1", ["Last-Event-Id: 3", "Resumes: never-sent"];
    stream_without_the_attempt_that_began_it_does_not_go_on: "key-1", ["Last-Event-Id: 3"];
    stream_with_an_empty_attempt_does_not_go_on: "key-1", ["Last-Event-Id: 3", "Resumes: "];
    stream_with_two_attempts_does_not_go_on: "key-1", ["Last-Event-Id: 3", "Resumes: first", "Resumes: first"];
    stream_of_another_account_does_not_go_on: "key-2", ["Last-Event-Id: 3", "Resumes: first"];
}

#[googletest::test]
fn stream_whose_version_is_gone_does_not_go_on() {
    let site = TakeUpSite::start(&["v1", "v2"]);
    let version = site.begin("first");
    let gone = site.endpoints.iter().find(|(_, of)| *of == version).expect("endpoint");
    site.platform.remove("servers", gone.0.id());
    wait_for("the daemon to know that the version is gone", || {
        let answer = site.ask("next", "key-1", &["Last-Event-Id: 3", "Resumes: first"]);
        answer.status == 503 && answer.text().contains("no endpoint of the stream's version")
    });
    expect_that!(site.ask("new", "key-1", &[]).status, eq(200));
}

/// A daemon that has seen one version alone, for as long as a stream may live, needs no record.
#[googletest::test]
fn stream_without_a_record_goes_on_where_one_version_alone_has_served() {
    let site = TakeUpSite::start(&["v1", "v1"]);
    let mut number = 0;
    // Another stream each time: one that has gone on has a record.
    let mut take_up = || {
        number += 1;
        let resumes = format!("Resumes: elsewhere-{number}");
        site.ask("next", "key-1", &["Last-Event-Id: 3", &resumes])
    };
    // The daemon has just started: another version may have served before.
    expect_that!(take_up().status, eq(503));
    wait_for("the daemon to have served for as long as a stream may live", || {
        take_up().status == 200
    });
    // A second version: a stream that began at it may have no record here.
    let script = EndScript::new(&[WHOLE]);
    let second = EndingEndpoint::start("i-9", &script, Duration::from_millis(1));
    site.platform.put("servers", second.id(), entry(&second, "v2"));
    wait_for("the daemon to know the second version", || take_up().status == 503);
}
