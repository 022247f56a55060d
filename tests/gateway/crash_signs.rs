//! Which failures of a request count as crashes of the endpoint, what the refusal of a quarantined
//! request says, how daemons learn of a quarantine, and how an operator ends one.

use std::{process::Command, thread, time::Duration};

use googletest::prelude::*;
use serde_json::Value;

use crate::{
    crash_fleet::{CrashFleet, send_crashing},
    crashing_endpoint::{CRASHING_LATE, CrashingEndpoint, LATE_CRASH_DELAY},
    endpoint_standin::EndpointManner,
    gateway_site::{Site, ask, wait_for},
};

const PATH: &str = "/plain/page/";
/// Time in which the leader renews the lease a few times.
const LEASE_RENEWAL_TIME: Duration = Duration::from_secs(2);
/// Long enough for a daemon to notice that it was suspended.
const SUSPENSION_TIME: Duration = Duration::from_secs(2);
/// Time in which a daemon finds out whether the endpoint of a broken run has crashed.
const CRASH_CHECK_TIME: Duration = Duration::from_millis(300);

/// Each case: a path, and how endpoints that keep running handle its requests. The request must
/// not be quarantined: it is served as soon as the endpoints serve requests again.
macro_rules! is_no_crash {
    ($($name:ident: $path:expr, $manner:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let site = Site::start(&[$manner, $manner]);
            for number in 0..5 {
                let id = format!("a-{number}");
                ask(site.gateway.clients, $path, &id, "key-1", &[], b"same");
                thread::sleep(CRASH_CHECK_TIME);
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

is_no_crash! {
    lost_response_is_no_crash: PATH, EndpointManner::Lose;
    stream_that_breaks_is_no_crash: "/stream/page/", EndpointManner::BreakAfter(2);
    stream_that_breaks_at_once_is_no_crash: "/rigid/page/", EndpointManner::BreakAfter(0);
    failure_is_no_crash: PATH, EndpointManner::Fail;
    foreign_response_is_no_crash: PATH, EndpointManner::Foreign;
    refusal_is_no_crash: PATH, EndpointManner::Full;
}

/// The daemon's log after an endpoint has ended during a request. With `is_draining`, the entries
/// of all endpoints were marked as draining before that.
fn log_after_endpoint_end(is_draining: bool) -> String {
    let fleet = CrashFleet::start(1, 2);
    let clients = fleet.daemons[0].clients;
    let request = thread::spawn(move || send_crashing(clients, "/once/page/", CRASHING_LATE, 0));
    wait_for("the request to be sent", || fleet.metric(0, "attempts") == Some(1.0));
    if is_draining {
        fleet.endpoints.iter().for_each(CrashingEndpoint::drain);
    }
    thread::sleep(LATE_CRASH_DELAY + CRASH_CHECK_TIME);
    let answer = request.join().expect("a client").expect("an answer");
    expect_that!(answer.status, eq(502));
    expect_that!(fleet.metric(0, "runs_broken"), some(eq(1.0)));
    std::fs::read_to_string(&fleet.daemons[0].log).expect("log")
}

#[googletest::test]
fn endpoint_that_drains_before_it_ends_is_no_crash() {
    expect_that!(log_after_endpoint_end(true).contains("endpoint ended"), eq(false));
}

#[googletest::test]
fn endpoint_that_ends_without_draining_is_a_crash() {
    expect_that!(log_after_endpoint_end(false).contains("endpoint ended"), eq(true));
}

#[googletest::test]
fn daemon_that_was_suspended_learns_what_is_quarantined_before_it_runs_a_request() {
    let fleet = CrashFleet::start(3, 12);
    fleet.daemons[2].signal("-STOP");
    wait_for("refusal by the others", || fleet.refuses(0, PATH) && fleet.refuses(1, PATH));
    thread::sleep(SUSPENSION_TIME);
    let crashes = fleet.crashes();
    fleet.daemons[2].signal("-CONT");
    expect_that!(fleet.send(2, PATH).expect("an answer").status, eq(503));
    wait_for("the resumed daemon to refuse the request", || fleet.refuses(2, PATH));
    expect_that!(fleet.crashes(), eq(crashes));
}

#[googletest::test]
fn refusal_says_that_the_request_has_not_run_and_when_to_retry() {
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
        expect_that!(fleet.crashes(), eq(crashes), "a refused request must not run");
    }
}

#[googletest::test]
fn daemons_that_start_after_all_have_ended_know_what_is_quarantined() {
    let mut fleet = CrashFleet::start(3, 12);
    fleet.send_until_refused(PATH);
    thread::sleep(LEASE_RENEWAL_TIME);
    let crashes = fleet.crashes();
    fleet.restart_daemons();
    expect_that!(fleet.all_refuse(PATH), eq(true));
    expect_that!(fleet.crashes(), eq(crashes));
}

#[googletest::test]
fn daemon_that_restarts_alone_learns_what_is_quarantined() {
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

/// Output of a command of the operators' tool.
pub fn willowctl(arguments: &[&str]) -> Value {
    let mut command = Command::new(env!("CARGO_BIN_EXE_willowctl"));
    let output = command.args(["--json", "gateway"]).args(arguments).output().expect("willowctl");
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[googletest::test]
fn operator_ends_a_quarantine_at_all_daemons() {
    let fleet = CrashFleet::start(3, 12);
    fleet.send_until_refused(PATH);
    let [first, .., last] = fleet.daemons.as_slice() else { panic!("fewer than two daemons") };
    let listed = willowctl(&["quarantined", &first.metrics.to_string()]);
    let fingerprint = listed["quarantined"][0]["fingerprint"].as_str().expect("a fingerprint");
    expect_that!(listed["quarantined"][0]["crashes"].as_u64(), some(ge(3)));
    fleet.mend_endpoints();
    let ended = willowctl(&["end-quarantine", fingerprint, &last.metrics.to_string()]);
    expect_that!(ended["ended"].as_str(), some(eq(fingerprint)));
    wait_for("all daemons to serve the request", || fleet.all_serve(PATH));
    let listed = willowctl(&["quarantined", &first.metrics.to_string()]);
    expect_that!(listed["quarantined"].as_array().map(Vec::len), some(eq(0)));
}
