//! Another writer corrupts the lease record or removes it. Daemons that could not decode the record
//! treated the lease as absent: each write was conditional on no object and failed, since there was
//! one. So no daemon ever acquired the lease again, and usage reports and orders ended for good.
//! Each daemon logged repeatedly:
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

/// Fence of the lease, if a daemon has written it.
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

fn check(corrupt: impl Fn(&PlatformStandin)) {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let _daemons = start_daemons(&platform);
    wait_for("a report", || reports(&platform).len() > 1);
    let former = fence(&platform).expect("a lease");
    corrupt(&platform);
    wait_for("another lease", || fence(&platform).is_some_and(|fence| fence > former));
    let sent = reports(&platform).len();
    wait_for("further reports", || reports(&platform).len() > sent + 1);
    let all = reports(&platform);
    check_reports(&all);
    expect_that!(all.last().expect("a report").fence, gt(former));
}

fn corrupt_with(record: Value) -> impl Fn(&PlatformStandin) {
    move |platform| {
        platform.put(KIND, NAME, record.clone());
    }
}

macro_rules! replaced {
    ($($name:ident: $corrupt:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($corrupt);
        }
    )*};
}

replaced! {
    lease_that_is_empty: corrupt_with(json!({}));
    lease_that_is_no_object: corrupt_with(json!("released"));
    lease_with_fields_of_other_types: corrupt_with(json!({"holder": 5, "fence": "7"}));
    lease_with_a_fence_out_of_range: corrupt_with(json!({
        "holder": "edge-9", "incarnation": 1, "fence": 1e30, "renewals": 0, "report": null,
    }));
    lease_that_was_removed: |platform: &PlatformStandin| platform.remove(KIND, NAME);
}
