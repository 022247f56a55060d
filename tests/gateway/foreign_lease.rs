//! Another writer replaces the lease record with an invalid one, or removes it. Daemons could not
//! decode such a record and treated the lease as missing: each write was to create it and failed,
//! because the object existed. So no daemon ever acquired the lease again, and usage reports and
//! orders stopped for good. Every daemon repeated this log line:
//!
//!     lease record not decoded: missing field `holder`

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, endpoint_entry, wait_for},
    leader_tasks::{check_reports, reports},
    platform_standin::PlatformStandin,
};

const KIND: &str = "gateway-leases";
const NAME: &str = "duties";
const DAEMONS: usize = 3;

/// Fence of the lease, if the record is one that a daemon has written.
fn fence(platform: &PlatformStandin) -> Option<u64> {
    let record = platform.get(KIND, NAME)?;
    record["holder"].as_str()?;
    record["fence"].as_u64()
}

fn start_daemons(platform: &PlatformStandin) -> Vec<Gateway> {
    let mut daemons: Vec<Gateway> = Vec::new();
    for place in 0..DAEMONS {
        let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.peers).collect();
        daemons.push(Gateway::start(&format!("lease-{place}"), platform, &seeds));
    }
    daemons.iter().for_each(Gateway::wait_ready);
    daemons
}

/// Checks that a daemon acquires the lease with a higher fence after `damage`, and reports again.
fn check(damage: impl Fn(&PlatformStandin)) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let _daemons = start_daemons(&platform);
    wait_for("a report", || reports(&platform).len() > 1);
    let former = fence(&platform).expect("a lease");
    damage(&platform);
    wait_for("a lease with a higher fence", || {
        fence(&platform).is_some_and(|fence| fence > former)
    });
    let sent = reports(&platform).len();
    wait_for("further reports", || reports(&platform).len() > sent + 1);
    let all = reports(&platform);
    check_reports(&all);
    expect_that!(all.last().expect("a report").fence, gt(former));
}

fn replace_with(record: Value) -> impl Fn(&PlatformStandin) {
    move |platform| {
        platform.put(KIND, NAME, record.clone());
    }
}

macro_rules! lease_cases {
    ($($name:ident: $damage:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($damage);
        }
    )*};
}

lease_cases! {
    lease_that_is_empty: replace_with(json!({}));
    lease_that_is_no_object: replace_with(json!("released"));
    lease_with_fields_of_other_types: replace_with(json!({"holder": 5, "fence": "7"}));
    lease_with_a_fence_out_of_range: replace_with(json!({
        "holder": "edge-9", "incarnation": 1, "fence": 1e30, "renewals": 0, "report": null,
    }));
    lease_that_was_removed: |platform: &PlatformStandin| platform.remove(KIND, NAME);
}
