//! Usage reports and endpoint orders of the daemon that holds the leader lease, also after it was replaced
//! or restarted.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, endpoint_entry, wait_for},
    platform_standin::{CloudCall, PlatformStandin},
};

pub fn reports(platform: &PlatformStandin) -> Vec<CloudCall> {
    let calls = platform.cloud_calls().into_iter();
    calls.filter(|call| call.path == "/reports").collect()
}

/// Number of requests of the account `reader` in the reports so far, over all windows; repeated reports
/// count once.
fn reported_total(platform: &PlatformStandin) -> u64 {
    let by_window: BTreeMap<u64, u64> = reports(platform)
        .into_iter()
        .filter_map(|report| {
            let count = report.body["counts"]["reader"].as_u64()?;
            Some((report.body["window"].as_u64()?, count))
        })
        .collect();
    by_window.values().sum()
}

/// Checks that all reports of one window are equal, whichever daemon sent them, and that fences never
/// decrease.
pub fn check_reports(reports: &[CloudCall]) {
    let mut contents: BTreeMap<u64, Value> = BTreeMap::new();
    let mut fence = 0;
    for report in reports {
        let window = report.body["window"].as_u64().expect("window");
        let known = contents.entry(window).or_insert_with(|| report.body.clone());
        assert_eq!(*known, report.body, "window {window} was reported with different contents");
        assert!(
            report.fence >= fence,
            "report with fence {} after one with fence {fence}",
            report.fence
        );
        fence = report.fence;
    }
}

fn start_platform() -> (PlatformStandin, EndpointStandin) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    (platform, endpoint)
}

/// Writes a configuration that makes the gateway order endpoints in two zones.
pub fn put_fleet(platform: &PlatformStandin) {
    let mut with_fleet = configuration(4, &["key-1"]);
    with_fleet["services"][0]["autoscale"] = json!({
        "min": 1, "max": 6, "boot-s": 0.5, "spot-price": 0.2,
        "zone-prices": {"hall-a": 1.0, "hall-b": 0.8},
    });
    platform.put("config", "main", with_fleet);
}

#[googletest::test]
fn usage_report_counts_all_requests() {
    let (platform, _endpoint) = start_platform();
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    for number in 0..7 {
        let answer = ask(gateway.clients, "/plain/", &format!("r-{number}"), "key-1", &[], b"");
        expect_that!(answer.status, eq(200));
    }
    wait_for("reports of all 7 requests", || reported_total(&platform) == 7);
    check_reports(&reports(&platform));
}

#[googletest::test]
fn requests_that_end_with_an_error_are_reported_once() {
    let (platform, endpoint) = start_platform();
    endpoint.set(EndpointManner::Fail);
    let other = EndpointStandin::start("i-1", EndpointManner::Fail);
    platform.put("servers", "i-1", endpoint_entry(&other, "ready"));
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    for (number, path) in ["/plain/", "/once/", "/stream/"].into_iter().enumerate() {
        let answer = ask(gateway.clients, path, &format!("r-{number}"), "key-1", &[], b"");
        expect_that!(answer.status, eq(500), "{path}");
    }
    wait_for("reports of all 3 requests", || reported_total(&platform) >= 3);
    // The request to /plain/ was attempted at both endpoints, but counts as one request.
    expect_that!(reported_total(&platform), eq(3));
}

#[googletest::test]
fn request_whose_answer_is_lost_is_reported() {
    let (platform, endpoint) = start_platform();
    endpoint.set(EndpointManner::Lose);
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    expect_that!(ask(gateway.clients, "/once/", "r-1", "key-1", &[], b"").status, eq(502));
    wait_for("the report of the request", || reported_total(&platform) == 1);
}

/// An ended daemon can't report its usage any more. The leader, which has lost its own state in a
/// restart, must get that usage from a third daemon to which the ended one had sent it.
#[googletest::test]
fn restarted_leader_reports_the_usage_of_an_ended_daemon() {
    let (platform, _endpoint) = start_platform();
    // No other daemon can acquire a lease of 60 s during the test, and a window of 4 s ends only after
    // both processes were killed.
    let bounds = json!({ "lease-ms": 60_000, "report-window-s": 4 });
    let mut leader = Gateway::start_with("edge-1", &platform, &[], bounds.clone());
    leader.wait_ready();
    wait_for("a report", || !reports(&platform).is_empty());
    let seeds = [leader.peers];
    let ending = Gateway::start_with("edge-2", &platform, &seeds, bounds.clone());
    let staying = Gateway::start_with("edge-3", &platform, &[leader.peers, ending.peers], bounds);
    ending.wait_ready();
    staying.wait_ready();
    for number in 0..7 {
        let answer = ask(ending.clients, "/plain/", &format!("r-{number}"), "key-1", &[], b"");
        expect_that!(answer.status, eq(200));
    }
    // Several gossip intervals of three daemons.
    std::thread::sleep(Duration::from_millis(800));
    drop(ending);
    leader.kill_and_restart();
    wait_for("reports of all 7 requests", || reported_total(&platform) == 7);
    check_reports(&reports(&platform));
}

#[googletest::test]
fn next_lease_holder_repeats_reports_unchanged_with_a_higher_fence() {
    let (platform, _endpoint) = start_platform();
    let first = Gateway::start("edge-1", &platform, &[]);
    first.wait_ready();
    let second = Gateway::start("edge-2", &platform, &[first.peers]);
    second.wait_ready();
    wait_for("first reports", || reports(&platform).len() >= 2);
    let holder = reports(&platform)[0].holder.clone();
    let (holding, other) = if holder == "edge-1" { (first, second) } else { (second, first) };
    drop(holding);
    wait_for("a new holder", || reports(&platform).iter().any(|call| call.holder != holder));
    let all = reports(&platform);
    let last = all.last().expect("reports");
    expect_that!(last.fence, gt(all[0].fence));
    check_reports(&all);
    drop(other);
}

#[googletest::test]
fn reports_continue_after_lost_store_answers() {
    let (platform, _endpoint) = start_platform();
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    wait_for("first reports", || reports(&platform).len() >= 2);
    platform.lose_answers(3);
    let before = reports(&platform).len();
    wait_for("further reports", || reports(&platform).len() > before + 2);
    check_reports(&reports(&platform));
}

#[googletest::test]
fn reclaimable_endpoints_are_ordered_in_both_zones() {
    let (platform, endpoint) = start_platform();
    put_fleet(&platform);
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    let orders = || -> Vec<Value> {
        let calls = platform.cloud_calls().into_iter();
        calls.filter(|call| call.path == "/scale").map(|call| call.body).collect()
    };
    wait_for("orders in both zones", || {
        let zones = ["hall-a", "hall-b"];
        let ordered = |zone: &str| {
            orders().iter().any(|order| order["zone"] == zone && order["use-spot"] == true)
        };
        zones.into_iter().all(ordered)
    });
    expect_that!(endpoint.seen().len(), eq(0));
}

/// While the cloud has not answered an order for one zone, orders for other zones must be sent.
#[googletest::test]
fn unanswered_order_does_not_delay_orders_for_other_zones() {
    let (platform, _endpoint) = start_platform();
    platform.slow_orders("hall-a");
    put_fleet(&platform);
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    wait_for("an order for another zone while one is not answered", || platform.was_overtaken());
}

#[googletest::test]
fn restarted_holder_resumes_reports_before_the_lease_expires_with_a_new_fence() {
    let (platform, _endpoint) = start_platform();
    let bounds = serde_json::json!({ "lease-ms": 60_000 });
    let mut gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
    gateway.wait_ready();
    wait_for("a report", || !reports(&platform).is_empty());
    let fence = reports(&platform).last().map(|report| report.fence);
    gateway.kill_and_restart();
    // The lease of 60 s expires long after the time that `wait_for` allows.
    wait_for("a report with a new fence", || {
        reports(&platform).last().map(|report| report.fence) > fence
    });
    check_reports(&reports(&platform));
}

/// The store accepts neither reads nor writes of one order, whose name comes before that of the other.
#[googletest::test]
fn order_that_cannot_be_recorded_stops_other_leader_tasks() {
    let (platform, _endpoint) = start_platform();
    platform.refuse_object("rollouts", "a");
    for service in ["a", "pool"] {
        let order = json!({"service": service, "target-version": "v2", "duration-s": 60});
        platform.put("rollouts", service, order);
    }
    let bounds = json!({"exposure-share": 0.1, "exposure-slack": 50});
    let gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
    gateway.wait_ready();
    wait_for("the state of the other order", || {
        platform.status("rollouts", "pool").is_some_and(|status| status["state"] == "active")
    });
    expect_that!(ask(gateway.clients, "/plain/", "r-0", "key-1", &[], b"").status, eq(200));
    wait_for("a report of the request", || reported_total(&platform) == 1);
    check_reports(&reports(&platform));
}
