//! Tasks of the daemon that holds the leader lease, and what happens to them when it goes.

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

/// Requests reported so far, over all windows; reports that are repeated count once.
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

/// Every window has one content, whoever reported it, and fences only rise.
pub fn check_reports(reports: &[CloudCall]) {
    let mut contents: BTreeMap<u64, Value> = BTreeMap::new();
    let mut fence = 0;
    for report in reports {
        let window = report.body["window"].as_u64().expect("window");
        let known = contents.entry(window).or_insert_with(|| report.body.clone());
        assert_eq!(*known, report.body, "window {window} reported in two ways");
        assert!(report.fence >= fence, "fence {} after {fence}", report.fence);
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

/// A configuration whose endpoints are ordered by the gateway, in two zones.
fn put_fleet(platform: &PlatformStandin) {
    let mut with_fleet = configuration(4, &["key-1"]);
    with_fleet["services"][0]["autoscale"] = json!({
        "min": 1, "max": 6, "boot-s": 0.5, "spot-price": 0.2,
        "zone-prices": {"hall-a": 1.0, "hall-b": 0.8},
    });
    platform.put("config", "main", with_fleet);
}

#[googletest::test]
fn usage_is_reported_with_its_counts() {
    let (platform, _endpoint) = start_platform();
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    for number in 0..7 {
        let answer = ask(gateway.clients, "/plain/", &format!("r-{number}"), "key-1", &[], b"");
        expect_that!(answer.status, eq(200));
    }
    wait_for("all counts", || reported_total(&platform) == 7);
    check_reports(&reports(&platform));
}

#[googletest::test]
fn runs_that_end_with_an_error_are_reported_once() {
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
    wait_for("all counts", || reported_total(&platform) >= 3);
    // The plain request ran twice, but is one request.
    expect_that!(reported_total(&platform), eq(3));
}

#[googletest::test]
fn run_whose_answer_is_lost_is_reported() {
    let (platform, endpoint) = start_platform();
    endpoint.set(EndpointManner::Lose);
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    expect_that!(ask(gateway.clients, "/once/", "r-1", "key-1", &[], b"").status, eq(502));
    wait_for("the count", || reported_total(&platform) == 1);
}

#[googletest::test]
fn restarted_leader_reports_what_an_ended_daemon_had_counted() {
    let (platform, _endpoint) = start_platform();
    // Nobody but the restarted holder can get the lease, and the window is over after the kills.
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
    // Several gossip rounds of three daemons.
    std::thread::sleep(Duration::from_millis(800));
    drop(ending);
    leader.kill_and_restart();
    wait_for("all counts", || reported_total(&platform) == 7);
    check_reports(&reports(&platform));
}

#[googletest::test]
fn successor_repeats_reports_exactly_and_raises_the_fence() {
    let (platform, _endpoint) = start_platform();
    let first = Gateway::start("edge-1", &platform, &[]);
    first.wait_ready();
    let second = Gateway::start("edge-2", &platform, &[first.peers]);
    second.wait_ready();
    wait_for("first reports", || reports(&platform).len() >= 2);
    let holder = reports(&platform)[0].holder.clone();
    let (holding, other) = if holder == "edge-1" { (first, second) } else { (second, first) };
    drop(holding);
    wait_for("a successor", || reports(&platform).iter().any(|call| call.holder != holder));
    let all = reports(&platform);
    let last = all.last().expect("reports");
    expect_that!(last.fence, gt(all[0].fence));
    check_reports(&all);
    drop(other);
}

#[googletest::test]
fn reports_go_on_when_answers_of_the_store_are_lost() {
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
fn endpoints_are_ordered_as_reclaimable_ones() {
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

#[googletest::test]
fn order_that_gets_no_answer_holds_up_no_other() {
    let (platform, _endpoint) = start_platform();
    platform.slow_orders("hall-a");
    put_fleet(&platform);
    let gateway = Gateway::start("edge-1", &platform, &[]);
    gateway.wait_ready();
    wait_for("an order beside the one without an answer", || platform.was_overtaken());
}

#[googletest::test]
fn restarted_holder_goes_on_at_once_with_a_new_fence() {
    let (platform, _endpoint) = start_platform();
    let bounds = serde_json::json!({ "lease-ms": 60_000 });
    let mut gateway = Gateway::start_with("edge-1", &platform, &[], bounds);
    gateway.wait_ready();
    wait_for("a report", || !reports(&platform).is_empty());
    let fence = reports(&platform).last().map(|report| report.fence);
    gateway.kill_and_restart();
    // Far sooner than the lease of a minute runs out.
    wait_for("a report with a new fence", || {
        reports(&platform).last().map(|report| report.fence) > fence
    });
    check_reports(&reports(&platform));
}
