//! Lease records of another writer whose fields have the right types, but values that can't be meant. The daemons
//! live, answer requests, and one of them renews the lease.

use std::{thread, time::Duration};

use googletest::prelude::*;
use serde_json::{Value, json};

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    fleet_places::acquire_fleet_slot,
    gateway_site::{Gateway, ask, configuration, endpoint_entry, wait_for},
    leader_tasks::reports,
    platform_standin::PlatformStandin,
};

const KIND: &str = "gateway-leases";
const NAME: &str = "duties";
const DAEMONS: usize = 2;
/// Time in which the lease (1.5 s) is acquired again, and renewed several times.
const ACQUIRE_TIME: Duration = Duration::from_secs(5);

/// Time in which windows of usage (1 s) are reported.
const REPORT_TIME: Duration = Duration::from_secs(8);

fn play(change: fn(&mut Value)) {
    play_with_reports(change, false);
}

/// Checks in addition that windows of usage are reported afterwards.
fn play_with_reports(change: fn(&mut Value), has_reports: bool) {
    let _place = acquire_fleet_slot();
    let platform = PlatformStandin::start_with(4 * DAEMONS);
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let mut daemons: Vec<Gateway> = Vec::new();
    for place in 0..DAEMONS {
        let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.peers).collect();
        daemons.push(Gateway::start(&format!("lease-{place}"), &platform, &seeds));
    }
    daemons.iter().for_each(Gateway::wait_ready);
    let record = || platform.get(KIND, NAME);
    wait_for("renewals", || {
        record().is_some_and(|record| record["renewals"].as_u64().is_some_and(|count| count > 1))
    });
    let mut odd = record().expect("a lease record");
    change(&mut odd);
    platform.put(KIND, NAME, odd);
    thread::sleep(ACQUIRE_TIME);
    for daemon in &mut daemons {
        expect_that!(daemon.has_ended(), eq(false));
        let answer = ask(daemon.clients, "/plain/", "a", "key-1", &[], b"");
        expect_that!(answer.status, eq(200));
    }
    let before = record();
    wait_for("a renewal", || record() != before);
    if has_reports {
        let sent = reports(&platform).len();
        thread::sleep(REPORT_TIME);
        expect_that!(reports(&platform).len(), gt(sent), "further reports of usage");
    }
    // Daemons that start read the record.
    let mut started = Gateway::start("lease-late", &platform, &[daemons[0].peers]);
    started.wait_ready();
    expect_that!(ask(started.clients, "/plain/", "b", "key-1", &[], b"").status, eq(200));
    expect_that!(started.has_ended(), eq(false));
}

macro_rules! daemons_end_by_odd_lease_records {
    ($($name:ident: $change:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($change);
        }
    )*};
}

#[googletest::test]
fn largest_first_window_stops_usage_reports() {
    play_with_reports(|record| record["first_window"] = json!(u64::MAX), true);
}

#[googletest::test]
fn largest_reported_window_stops_usage_reports() {
    let report = |record: &mut Value| {
        record["report"] = json!({"window": u64::MAX, "counts": {"reader": 1}});
    };
    play_with_reports(report, true);
}

#[googletest::test]
fn largest_renewals_stop_usage_reports() {
    play_with_reports(|record| record["renewals"] = json!(u64::MAX), true);
}

daemons_end_by_odd_lease_records! {
    largest_renewals_end_daemons: |record| record["renewals"] = json!(u64::MAX);
    largest_fence_ends_daemons: |record| record["fence"] = json!(u64::MAX);
    largest_daemon_count_ends_daemons: |record| record["daemons"] = json!(u64::MAX);
    largest_era_ends_daemons: |record| record["era"] = json!(u64::MAX);
    largest_first_window_ends_daemons: |record| record["first_window"] = json!(u64::MAX);
    largest_reported_window_ends_daemons: |record| {
        record["report"] = json!({"window": u64::MAX, "counts": {"reader": 1}});
    };
    largest_reported_counts_end_daemons: |record| {
        let counts = json!({"reader": u64::MAX, "other": u64::MAX});
        record["report"] = json!({"window": 1, "counts": counts});
    };
    most_required_endpoints_end_daemons: |record| record["needs"] = json!({"pool": 1e308});
    longest_ages_end_daemons: |record| {
        record["sole_versions"] = json!([
            {"service": "pool", "version": "v1", "seen_ms": 0, "alone_ms": u64::MAX},
            {"service": "pool", "version": "v1", "seen_ms": u64::MAX, "alone_ms": u64::MAX},
        ]);
        record["rollouts"] = json!([
            {"service": "pool", "order": u64::MAX, "begun_ms": 0},
            {"service": "pool", "order": 1, "begun_ms": u64::MAX},
        ]);
        record["quarantined_parts"] = json!([
            {"part": "00000000000000ff", "trials": u32::MAX, "crash_age_ms": u64::MAX},
            {"part": "00000000000000fe", "trials": u32::MAX, "crash_age_ms": 0},
        ]);
    };
}
