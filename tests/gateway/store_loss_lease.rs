//! The leader lease and the usage reports of its holder, after the store was restored from a copy.
//! No fence may be used twice, and no usage window may be reported twice.

use std::{
    collections::{BTreeMap, BTreeSet},
    thread,
    time::Duration,
};

use googletest::prelude::*;
use serde_json::Value;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, configuration, endpoint_entry, wait_for},
    leader_tasks::{check_reports, reports},
    platform_standin::{CloudCall, PlatformStandin},
};

/// Time for which the store is unreachable: shorter than the lease (1.5 s).
const UNREACHABLE_TIME: Duration = Duration::from_millis(400);
/// Time in which the current usage window and the next one are reported.
const REPORTING_TIME: Duration = Duration::from_secs(4);

struct LeaseSite {
    platform: PlatformStandin,
    daemons: Vec<Gateway>,
    _endpoint: EndpointStandin,
}

fn start(daemon_count: usize) -> LeaseSite {
    let platform = PlatformStandin::start();
    platform.set_era(1);
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let mut daemons: Vec<Gateway> = Vec::new();
    for place in 0..daemon_count {
        let seeds: Vec<_> = daemons.iter().map(|daemon| daemon.peers).collect();
        daemons.push(Gateway::start(&name_of(place), &platform, &seeds));
    }
    daemons.iter().for_each(Gateway::wait_ready);
    LeaseSite { platform, daemons, _endpoint: endpoint }
}

fn name_of(place: usize) -> String {
    format!("holder-{place}")
}

impl LeaseSite {
    /// The index of the daemon that the lease record names, and its fence.
    fn holder(&self) -> Option<(usize, u64)> {
        let record: Value = self.platform.get("gateway-leases", "duties")?;
        let place = (0..self.daemons.len()).find(|place| record["holder"] == name_of(*place))?;
        Some((place, record["fence"].as_u64()?))
    }

    fn wait_for_reports(&self, count: usize) {
        let before = reports(&self.platform).len();
        wait_for("reports", || reports(&self.platform).len() >= before + count);
    }

    fn lose_writes(&self) {
        self.platform.set_down(true);
        thread::sleep(UNREACHABLE_TIME);
        self.platform.restore_copy();
        self.platform.set_down(false);
    }

    /// Kills the holder and waits until another daemon has the lease and has sent two reports: the
    /// one that it took over and one of its own. Returns the index of the former holder.
    fn move_lease(&mut self) -> usize {
        let (former, fence) = self.holder().expect("a holder");
        self.daemons[former].kill();
        wait_for("another holder", || self.holder().is_some_and(|(_, now)| now > fence));
        self.wait_for_reports(2);
        former
    }
}

/// Checks that each fence belongs to one holder, that fences only rise, and that all reports of a
/// window have the same content.
fn check_fences(reports: &[CloudCall]) {
    check_reports(reports);
    let mut holders: BTreeMap<u64, BTreeSet<&str>> = BTreeMap::new();
    for report in reports {
        holders.entry(report.fence).or_default().insert(&report.holder);
    }
    for (fence, names) in holders {
        expect_that!(names.len(), eq(1), "holders of fence {fence}: {names:?}");
    }
}

fn reported_windows(reports: &[CloudCall]) -> BTreeSet<u64> {
    reports.iter().filter_map(|report| report.body["window"].as_u64()).collect()
}

/// Number of reports beyond the first of their window.
fn repeated_reports(reports: &[CloudCall]) -> usize {
    reports.len() - reported_windows(reports).len()
}

/// After the restore the holder read the lease record of the copy, and reported all windows since
/// then a second time.
#[googletest::test]
fn windows_are_not_reported_again_after_the_store_lost_the_lease() {
    let site = start(3);
    site.wait_for_reports(1);
    site.platform.copy_contents();
    site.wait_for_reports(2);
    site.lose_writes();
    site.wait_for_reports(2);
    let sent = reports(&site.platform);
    check_fences(&sent);
    expect_that!(repeated_reports(&sent), eq(0));
}

/// The copy names a former holder with a lower fence. A daemon acquired the lease from this record
/// and got a fence that had been used already.
#[googletest::test]
fn fence_of_a_lost_lease_is_not_used_again() {
    let mut site = start(3);
    site.wait_for_reports(1);
    site.platform.copy_contents();
    let former = site.move_lease();
    let (second, _) = site.holder().expect("a holder");
    site.daemons[second].kill();
    let before = reports(&site.platform).len();
    site.lose_writes();
    site.daemons[former].start_again();
    site.wait_for_reports(1);
    thread::sleep(REPORTING_TIME);
    let sent = reports(&site.platform);
    check_fences(&sent);
    let (before, after) = sent.split_at(before);
    expect_that!(reported_windows(before).is_disjoint(&reported_windows(after)), eq(true));
    expect_that!(repeated_reports(after), eq(0));
}

/// As above, but all daemons have restarted since, so that none remembers the lost lease.
#[googletest::test]
fn fence_of_a_lost_lease_is_not_used_again_after_all_daemons_restarted() {
    let mut site = start(3);
    site.wait_for_reports(1);
    site.platform.copy_contents();
    site.move_lease();
    site.platform.set_down(true);
    site.daemons.iter_mut().for_each(Gateway::kill);
    site.lose_writes();
    site.daemons.iter_mut().for_each(Gateway::start_again);
    site.wait_for_reports(1);
    thread::sleep(REPORTING_TIME);
    check_fences(&reports(&site.platform));
}

/// The copy says that a former holder has released the lease, while its successor still holds it.
#[googletest::test]
fn lease_that_is_held_is_not_acquired_because_a_copy_shows_it_released() {
    let site = start(4);
    site.wait_for_reports(1);
    let (former, fence) = site.holder().expect("a holder");
    site.daemons[former].signal("-STOP");
    wait_for("another holder", || site.holder().is_some_and(|(_, now)| now > fence));
    site.platform.copy_contents();
    let mut record = site.platform.get("gateway-leases", "duties").expect("a record");
    record["released"] = true.into();
    record["fence"] = fence.into();
    record["holder"] = name_of(former).into();
    site.wait_for_reports(1);
    site.platform.set_down(true);
    thread::sleep(UNREACHABLE_TIME);
    site.platform.restore_copy();
    site.platform.put("gateway-leases", "duties", record);
    site.platform.set_down(false);
    thread::sleep(REPORTING_TIME);
    site.daemons[former].signal("-CONT");
    site.wait_for_reports(1);
    check_fences(&reports(&site.platform));
}
