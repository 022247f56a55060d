//! Configurations whose fields have the right types, but values that can't be meant. The daemons apply them, go on
//! serving, and follow later ones.

use std::{thread, time::Duration};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Gateway, Site, ask, configuration, wait_for},
};

/// Time in which a daemon applies a configuration and its leader tasks have run with it.
const APPLY_TIME: Duration = Duration::from_secs(4);
/// A time in milliseconds that a `Duration` holds, but that can't be added to a point in time.
const FAR_MS: f64 = 1e22;
/// The same in seconds.
const FAR_S: f64 = 1e19;

/// A configuration after this change.
fn changed(version: u64, change: fn(&mut Value)) -> Value {
    let mut changed = configuration(version, &["key-1"]);
    change(&mut changed);
    changed
}

/// Sets a field of all routes.
fn set_of_routes(configuration: &mut Value, field: &str, value: Value) {
    for route in configuration["routes"].as_array_mut().expect("routes") {
        route[field] = value.clone();
    }
}

fn play(change: fn(&mut Value)) {
    let mut site = Site::start(&[EndpointManner::Serve]);
    site.platform.put("config", "main", changed(4, change));
    thread::sleep(APPLY_TIME);
    for (number, path) in ["/plain/", "/stream/", "/once/"].into_iter().enumerate() {
        expect_that!(site.ask(path, &format!("a-{number}")).status, eq(200), "{path}");
    }
    expect_that!(site.gateway.has_ended(), eq(false));
    site.platform.put("config", "main", configuration(5, &["key-2"]));
    wait_for("a later configuration", || site.ask("/plain/", "late").status == 401);
    let started = Gateway::start("edge-2", &site.platform, &[site.gateway.peers]);
    started.wait_ready();
}

macro_rules! daemons_end_by_odd_configurations {
    ($($name:ident: $change:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($change);
        }
    )*};
}

daemons_end_by_odd_configurations! {
    too_long_timeouts_end_daemons: |all| set_of_routes(all, "timeout-ms", json!(FAR_MS));
    too_long_targets_end_requests: |all| set_of_routes(all, "target-latency-ms", json!(FAR_MS));
    too_long_gap_targets_end_streams: |all| set_of_routes(all, "gap-target-ms", json!(FAR_MS));
    too_long_header_timeout_ends_connections: |all| {
        all["limits"]["header-timeout-ms"] = json!(FAR_MS);
    };
    too_long_idle_timeout_ends_connections: |all| {
        all["limits"]["idle-timeout-ms"] = json!(FAR_MS);
    };
    timeouts_beyond_all_durations_fail_requests: |all| {
        set_of_routes(all, "timeout-ms", json!(1e300));
    };
    too_long_start_time_ends_the_leader: |all| all["services"][0]["autoscale"] = json!({
        "min": 1, "max": 6, "boot-s": FAR_S, "spot-price": 0.2, "zone-prices": {"hall-a": 1.0},
    });
    fleet_without_endpoints_ends_the_leader: |all| all["services"][0]["autoscale"] = json!({
        "min": 0, "max": 0, "boot-s": 0.5, "spot-price": 0.2, "zone-prices": {"hall-a": 1.0},
    });
    largest_fleet_ends_the_leader: |all| all["services"][0]["autoscale"] = json!({
        "min": 0, "max": u32::MAX, "boot-s": 0.5, "spot-price": 0.2, "zone-prices": {"hall-a": 1.0},
    });
    weights_with_an_overflowing_sum_end_requests: |all| {
        set_of_routes(all, "service", Value::Null);
        let part = json!({"service": "pool", "weight": u32::MAX});
        set_of_routes(all, "traffic-split", json!([part, part]));
    };
    largest_limits_end_connections: |all| {
        all["limits"]["max-header-bytes"] = json!(u64::MAX);
        all["limits"]["max-body-bytes"] = json!(u64::MAX);
    };
    largest_attempts_end_requests: |all| set_of_routes(all, "attempts", json!(u32::MAX));
    largest_rate_ends_requests: |all| {
        all["tenants"][0]["per-s"] = json!(1e308);
        all["tenants"][0]["burst"] = json!(1e308);
    };
    largest_memory_ends_requests: |all| {
        all["services"][0]["engine"] = json!({"slots": u32::MAX, "kv-capacity": u64::MAX});
    };
}

/// The counters of the account overflowed.
#[googletest::test]
fn largest_charge_ends_requests() {
    let mut site = Site::start(&[EndpointManner::Serve]);
    let change: fn(&mut Value) = |all| all["tenants"][0]["plain-tokens"] = json!(u64::MAX);
    site.platform.put("config", "main", changed(4, change));
    thread::sleep(APPLY_TIME);
    for number in 0..5 {
        let answer = site.ask("/plain/", &format!("a-{number}"));
        expect_that!(answer.status, any![eq(200), eq(429)]);
        expect_that!(answer.whole, eq(true));
    }
    expect_that!(site.gateway.has_ended(), eq(false));
}

/// Accounts' names are text of the operators; endpoints are told them as they are.
#[googletest::test]
fn accounts_with_names_beyond_ascii_are_named_to_endpoints() {
    let site = Site::start(&[EndpointManner::Answer]);
    for (number, name) in ["l\u{e6}ser", "\u{8aad}\u{8005}", "a&b+c#d%41 e"].into_iter().enumerate()
    {
        let key = format!("key-of-{number}");
        let mut named = configuration(4 + number as u64, &[&key]);
        named["tenants"][0]["name"] = json!(name);
        site.platform.put("config", "main", named);
        wait_for("a response to the account", || {
            ask(site.gateway.clients, "/plain/", "named", &key, &[], b"").status == 200
        });
        let seen = site.endpoints[0].seen();
        expect_that!(seen.last().expect("a request").header("x-tenant"), some(eq(name)));
    }
}
