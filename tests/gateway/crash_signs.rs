//! What counts as a crash and what doesn't, what the client is told, and how a quarantine ends.

use std::{process::Command, thread, time::Duration};

use googletest::prelude::*;
use serde_json::Value;

use crate::{
    crash_fleet::{CrashFleet, send_crashing},
    crashing_endpoint::{CRASHING_LATE, CrashingEndpoint, LATE_TIME},
    endpoint_standin::EndpointManner,
    gateway_site::{Site, ask, wait_for},
};

const PATH: &str = "/plain/page/";
/// Time in which the leader has written the lease again, a few times.
const RENEWAL_TIME: Duration = Duration::from_secs(2);
/// Longer than a process stands still unnoticed.
const FREEZE_TIME: Duration = Duration::from_secs(2);
/// Time after which a broken run has been looked into.
const CHECK_TIME: Duration = Duration::from_millis(300);

/// Names each case: a path, and what endpoints do that don't end. The request is then served.
macro_rules! no_crash {
    ($($name:ident: $path:expr, $manner:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let site = Site::start(&[$manner, $manner]);
            for number in 0..5 {
                let id = format!("a-{number}");
                ask(site.gateway.clients, $path, &id, "key-1", &[], b"same");
                thread::sleep(CHECK_TIME);
            }
            site.endpoints.iter().for_each(|endpoint| endpoint.set(EndpointManner::Serve));
            wait_for("the request to be served", || {
                ask(site.gateway.clients, $path, "b", "key-1", &[], b"same").status == 200
            });
            let log = std::fs::read_to_string(&site.gateway.log).expect("log");
            expect_that!(log.contains("request quarantined"), eq(false));
        }
    )*};
}

no_crash! {
    lost_response_is_no_crash: PATH, EndpointManner::Lose;
    stream_that_breaks_is_no_crash: "/stream/page/", EndpointManner::BreakAfter(2);
    stream_that_breaks_at_once_is_no_crash: "/rigid/page/", EndpointManner::BreakAfter(0);
    failure_is_no_crash: PATH, EndpointManner::Fail;
    foreign_response_is_no_crash: PATH, EndpointManner::Foreign;
    refusal_is_no_crash: PATH, EndpointManner::Full;
}

/// The daemon's log after an endpoint has ended with a request in progress; `leaves` says that all
/// endpoints were known to be leaving by then.
fn log_of_an_end(leaves: bool) -> String {
    let fleet = CrashFleet::start(1, 2);
    let clients = fleet.daemons[0].clients;
    let request = thread::spawn(move || send_crashing(clients, "/once/page/", CRASHING_LATE, 0));
    wait_for("the request to be sent", || fleet.metric(0, "attempts") == Some(1.0));
    if leaves {
        fleet.endpoints.iter().for_each(CrashingEndpoint::drain);
    }
    thread::sleep(LATE_TIME + CHECK_TIME);
    let answer = request.join().expect("a client").expect("an answer");
    expect_that!(answer.status, eq(502));
    expect_that!(fleet.metric(0, "runs_broken"), some(eq(1.0)));
    std::fs::read_to_string(&fleet.daemons[0].log).expect("log")
}

#[googletest::test]
fn endpoint_that_leaves_as_planned_is_no_crash() {
    expect_that!(log_of_an_end(true).contains("endpoint ended"), eq(false));
}

#[googletest::test]
fn endpoint_that_ends_without_a_word_is_a_crash() {
    expect_that!(log_of_an_end(false).contains("endpoint ended"), eq(true));
}

#[googletest::test]
fn daemon_that_was_frozen_learns_what_is_quarantined_before_it_runs_a_request() {
    let fleet = CrashFleet::start(3, 12);
    fleet.daemons[2].signal("-STOP");
    wait_for("the others to refuse it", || fleet.refuses(0, PATH) && fleet.refuses(1, PATH));
    thread::sleep(FREEZE_TIME);
    let crashes = fleet.crashes();
    fleet.daemons[2].signal("-CONT");
    expect_that!(fleet.send(2, PATH).expect("an answer").status, eq(503));
    wait_for("its refusal", || fleet.refuses(2, PATH));
    expect_that!(fleet.crashes(), eq(crashes));
}

#[googletest::test]
fn client_is_told_at_once_that_the_request_has_not_run_and_when_it_may() {
    let fleet = CrashFleet::start(2, 12);
    for path in ["/plain/page/", "/once/page/", "/stream/page/"] {
        let refusal = fleet.send_until_refused(path);
        let crashes = fleet.crashes();
        expect_that!(refusal.status, eq(503));
        expect_that!(refusal.text(), eq("the same request has crashed endpoints"));
        expect_that!(refusal.header("x-response-seal"), none());
        let wait = refusal.header("retry-after").and_then(|text| text.parse::<f64>().ok());
        expect_that!(wait, some(all!(gt(20.0), le(30.0))));
        expect_that!(fleet.all_refuse(path), eq(true));
        expect_that!(fleet.crashes(), eq(crashes), "a refused request does not run");
    }
}

#[googletest::test]
fn daemons_that_start_after_all_have_ended_know_what_is_quarantined() {
    let mut fleet = CrashFleet::start(3, 12);
    fleet.send_until_refused(PATH);
    thread::sleep(RENEWAL_TIME);
    let crashes = fleet.crashes();
    fleet.restart_daemons();
    expect_that!(fleet.all_refuse(PATH), eq(true));
    expect_that!(fleet.crashes(), eq(crashes));
}

#[googletest::test]
fn daemon_that_starts_alone_is_told_what_is_quarantined() {
    let mut fleet = CrashFleet::start(3, 12);
    fleet.send_until_refused(PATH);
    let crashes = fleet.crashes();
    for daemon in &mut fleet.daemons {
        daemon.kill_and_restart();
        daemon.wait_ready();
    }
    expect_that!(fleet.all_refuse(PATH), eq(true));
    expect_that!(fleet.crashes(), eq(crashes));
}

fn willowctl(words: &[&str]) -> Value {
    let mut command = Command::new(env!("CARGO_BIN_EXE_willowctl"));
    let output = command.args(["--json", "gateway"]).args(words).output().expect("willowctl");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[googletest::test]
fn operator_ends_a_quarantine_at_all_daemons() {
    let fleet = CrashFleet::start(3, 12);
    fleet.send_until_refused(PATH);
    let [first, .., last] = fleet.daemons.as_slice() else { panic!("no daemons") };
    let shown = willowctl(&["quarantined", &first.metrics.to_string()]);
    let fingerprint = shown["quarantined"][0]["fingerprint"].as_str().expect("a fingerprint");
    expect_that!(shown["quarantined"][0]["crashes"].as_u64(), some(ge(3)));
    fleet.mend_endpoints();
    let ended = willowctl(&["end-quarantine", fingerprint, &last.metrics.to_string()]);
    expect_that!(ended["ended"].as_str(), some(eq(fingerprint)));
    wait_for("the request to be served by all", || fleet.all_serve(PATH));
    let shown = willowctl(&["quarantined", &first.metrics.to_string()]);
    expect_that!(shown["quarantined"].as_array().map(Vec::len), some(eq(0)));
}
