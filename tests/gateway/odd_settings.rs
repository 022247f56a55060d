//! Settings of the right types at the ends of their ranges: the daemon lives and serves.

use std::{thread, time::Duration};

use googletest::prelude::*;
use serde_json::json;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, endpoint_entry},
    platform_standin::PlatformStandin,
};

/// Time in which the lease is acquired and the leader's tasks run.
const LEADER_TIME: Duration = Duration::from_secs(4);
/// Below the greatest bound.
const GREATEST: f64 = 9.9e8;

macro_rules! daemons_end_by_odd_settings {
    ($($name:ident: $bounds:tt;)*) => {$(
        #[googletest::test]
        fn $name() {
            let platform = PlatformStandin::start();
            platform.put("config", "main", configuration(3, &["key-1"]));
            let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
            platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
            let mut daemon = Gateway::start_with("edge-1", &platform, &[], json!($bounds));
            daemon.wait_ready();
            thread::sleep(LEADER_TIME);
            expect_that!(daemon.has_ended(), eq(false));
            let answer = ask(daemon.clients, "/plain/", "a", "key-1", &[], b"");
            expect_that!(answer.status, eq(200));
        }
    )*};
}

daemons_end_by_odd_settings! {
    shortest_usage_window_ends_the_leader: {"report-window-s": 1e-4};
    longest_usage_window_ends_the_leader: {"report-window-s": GREATEST};
    longest_lease_ends_the_leader: {"lease-ms": GREATEST};
    longest_times_end_daemons: {
        "grace-s": GREATEST, "revoke-ms": GREATEST, "config-apply-ms": GREATEST,
        "retry-window-s": GREATEST,
    };
    largest_allowances_end_daemons: {
        "retry-ratio": 1e308, "retry-slack": 1e308, "quota-overage": 1e308, "quota-slack": 1e308,
    };
}
