//! An endpoint that starts again under its id holds and knows nothing of before. Its entry then
//! tells a later start. After another had once responded at its address, it was not used any more:
//! its requests got 503 also 1 s after the entry of its next start.

use std::time::Duration;

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Site, endpoint_entry, wait_for},
};

/// Time within which a later start is used.
const USED_WITHIN: Duration = Duration::from_secs(1);
/// Time of a change that must change nothing.
const APPLY_TIME: Duration = Duration::from_millis(1_500);

fn entry(endpoint: &EndpointStandin, born: u64) -> Value {
    let mut entry = endpoint_entry(endpoint, "ready");
    entry["born"] = json!(born);
    entry
}

/// A site whose one endpoint, born at 5, has been found to have ended.
fn ended_site() -> Site {
    let site = Site::start(&[EndpointManner::Answer]);
    let endpoint = &site.endpoints[0];
    site.platform.put("servers", &endpoint.id, entry(endpoint, 5));
    std::thread::sleep(APPLY_TIME);
    endpoint.set(EndpointManner::Other);
    expect_that!(site.ask("/plain/", "a").status, eq(503));
    endpoint.set(EndpointManner::Answer);
    expect_that!(site.ask("/plain/", "b").status, eq(503), "it is not chosen again");
    site
}

#[googletest::test]
fn later_start_is_used() {
    let site = ended_site();
    let endpoint = &site.endpoints[0];
    site.platform.put("servers", &endpoint.id, entry(endpoint, 6));
    std::thread::sleep(USED_WITHIN);
    expect_that!(site.ask("/plain/", "c").status, eq(200));
}

#[googletest::test]
fn same_or_earlier_start_changes_nothing() {
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
fn late_entry_of_an_earlier_start_does_not_take_the_endpoint_away() {
    let site = Site::start(&[EndpointManner::Answer]);
    let endpoint = &site.endpoints[0];
    site.platform.put("servers", &endpoint.id, entry(endpoint, 6));
    std::thread::sleep(APPLY_TIME);
    let mut late = entry(endpoint, 5);
    late["state"] = json!("draining");
    site.platform.put("servers", &endpoint.id, late);
    std::thread::sleep(APPLY_TIME);
    expect_that!(site.ask("/plain/", "a").status, eq(200));
    // The list is read anew.
    site.platform.forget_history();
    std::thread::sleep(APPLY_TIME);
    expect_that!(site.ask("/plain/", "b").status, eq(200));
}

#[googletest::test]
fn other_daemons_are_told_of_a_later_start() {
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
