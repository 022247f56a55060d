//! An endpoint that restarts under its id has none of its earlier state, and its entry has a later
//! start time. Once another endpoint had responded at its address, the restarted one was not used
//! either: requests still got 503 1 s after the entry with the later start time was written.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Site, endpoint_entry, wait_for},
};

/// Time within which an endpoint has to be used after a later start.
const USED_WITHIN: Duration = Duration::from_secs(1);
/// Wait after writing an entry: longer than an entry takes to be applied.
const APPLY_TIME: Duration = Duration::from_millis(1_500);

fn entry(endpoint: &EndpointStandin, born: u64) -> Value {
    let mut entry = endpoint_entry(endpoint, "ready");
    entry["born"] = json!(born);
    entry
}

/// A site with one endpoint, started at 5, that counts as ended because another one responded at
/// its address.
fn ended_site() -> Site {
    let site = Site::start(&[EndpointManner::Answer]);
    let endpoint = &site.endpoints[0];
    site.platform.put("servers", &endpoint.id, entry(endpoint, 5));
    std::thread::sleep(APPLY_TIME);
    endpoint.set(EndpointManner::Other);
    expect_that!(site.ask("/plain/", "a").status, eq(503));
    endpoint.set(EndpointManner::Answer);
    expect_that!(site.ask("/plain/", "b").status, eq(503), "an ended endpoint is not chosen again");
    site
}

#[googletest::test]
fn endpoint_is_used_again_after_a_later_start() {
    let site = ended_site();
    let endpoint = &site.endpoints[0];
    site.platform.put("servers", &endpoint.id, entry(endpoint, 6));
    std::thread::sleep(USED_WITHIN);
    expect_that!(site.ask("/plain/", "c").status, eq(200));
}

#[googletest::test]
fn entry_of_the_same_or_an_earlier_start_does_not_bring_an_ended_endpoint_back() {
    let site = ended_site();
    let endpoint = &site.endpoints[0];
    for (number, born) in [5, 4].into_iter().enumerate() {
        let mut entry = entry(endpoint, born);
        entry["seq"] = json!(10 + number);
        site.platform.put("servers", &endpoint.id, entry);
        std::thread::sleep(APPLY_TIME);
        expect_that!(site.ask("/plain/", "c").status, eq(503), "born {born}");
    }
}

#[googletest::test]
fn delayed_draining_entry_of_an_earlier_start_is_ignored() {
    let site = Site::start(&[EndpointManner::Answer]);
    let endpoint = &site.endpoints[0];
    site.platform.put("servers", &endpoint.id, entry(endpoint, 6));
    std::thread::sleep(APPLY_TIME);
    let mut delayed = entry(endpoint, 5);
    delayed["state"] = json!("draining");
    site.platform.put("servers", &endpoint.id, delayed);
    std::thread::sleep(APPLY_TIME);
    expect_that!(site.ask("/plain/", "a").status, eq(200));
    // The daemon has to read the whole list again.
    site.platform.forget_history();
    std::thread::sleep(APPLY_TIME);
    expect_that!(site.ask("/plain/", "b").status, eq(200));
}

#[googletest::test]
fn daemon_without_the_store_learns_of_a_later_start_from_a_peer() {
    let site = ended_site();
    let endpoint = &site.endpoints[0];
    let refusing = crate::platform_standin::PlatformStandin::start();
    refusing.set_down(true);
    let seeds = [site.gateway.peers];
    let other = crate::gateway_site::Gateway::start("edge-2", &refusing, &seeds);
    other.wait_ready();
    let ask = |id: &str| crate::gateway_site::ask(other.clients, "/plain/", id, "key-1", &[], b"");
    endpoint.set(EndpointManner::Other);
    expect_that!(ask("a").status, eq(503));
    endpoint.set(EndpointManner::Answer);
    expect_that!(ask("b").status, eq(503));
    site.platform.put("servers", &endpoint.id, entry(endpoint, 6));
    wait_for("the later start", || ask("c").status == 200);
}
