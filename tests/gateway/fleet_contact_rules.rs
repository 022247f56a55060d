//! Whether a daemon is in contact with the rest of the fleet, and how many daemons it assumes.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::{Instant, advance};
use willowarch::gateway::policy::{
    daemon::{
        daemon_count::{RecordedCount, assumed_sharing},
        fleet_contact::{ContactMonitor, FleetContact, HeardLease, RenewalNumber},
    },
    request::quota::QuotaSharing,
};

const LEASE: Duration = Duration::from_secs(3);
const LATE: Duration = Duration::from_secs(60);

fn renewal(fence: u64, renewals: u64) -> RenewalNumber {
    RenewalNumber { fence, renewals }
}

const NONE: HeardLease = HeardLease {
    is_own: false,
    renewal: RenewalNumber { fence: 0, renewals: 0 },
    is_overdue: true,
};

fn heard(renewals: u64) -> HeardLease {
    HeardLease { renewal: renewal(5, renewals), is_overdue: false, ..NONE }
}

fn overdue(renewals: u64) -> HeardLease {
    HeardLease { is_overdue: true, ..heard(renewals) }
}

fn own(renewals: u64) -> HeardLease {
    HeardLease { is_own: true, ..heard(renewals) }
}

struct ContactSite(ContactMonitor);

impl ContactSite {
    fn new() -> Self {
        Self(ContactMonitor::default())
    }

    fn contact(&mut self, lease: HeardLease) -> FleetContact {
        self.0.evaluate(lease, LEASE, Instant::now())
    }

    fn read(&mut self, renewals: u64, lease: HeardLease) {
        self.0.read(renewal(5, renewals), lease, Instant::now());
    }

    /// Reads renewals that gossip doesn't report.
    async fn separate(&mut self) {
        self.read(1, NONE);
        advance(LEASE).await;
        self.read(4, NONE);
    }
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn reported_renewals_show_contact() {
    let mut site = ContactSite::new();
    expect_that!(site.contact(NONE), eq(FleetContact::NoHolder));
    expect_that!(site.contact(heard(1)), eq(FleetContact::Joined));
    expect_that!(site.contact(overdue(1)), eq(FleetContact::NoHolder));
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn read_renewals_that_nobody_reports_show_a_separation() {
    let mut site = ContactSite::new();
    site.separate().await;
    expect_that!(site.contact(NONE), eq(FleetContact::Separated));
    expect_that!(site.contact(heard(1)), eq(FleetContact::Joined), "reported after all");
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn holder_that_has_ended_shows_no_separation() {
    let mut site = ContactSite::new();
    for _ in 0..3 {
        site.read(4, overdue(3));
        advance(LEASE).await;
        expect_that!(site.contact(overdue(3)), eq(FleetContact::NoHolder));
    }
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn renewals_read_within_a_second_show_no_separation() {
    let mut site = ContactSite::new();
    site.read(1, NONE);
    advance(Duration::from_millis(999)).await;
    site.read(2, NONE);
    expect_that!(site.contact(NONE), eq(FleetContact::NoHolder));
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn separated_daemon_stays_so_while_the_store_is_away() {
    let mut site = ContactSite::new();
    site.separate().await;
    advance(LATE).await;
    expect_that!(site.contact(NONE), eq(FleetContact::Separated));
}

#[googletest::gtest]
#[tokio::test(start_paused = true)]
async fn new_holder_leads_once_the_others_have_had_time_to_find_it() {
    let mut site = ContactSite::new();
    site.separate().await;
    expect_that!(site.contact(own(0)), eq(FleetContact::NoHolder));
    advance(LEASE * 2 - Duration::from_millis(1)).await;
    expect_that!(site.contact(own(3)), eq(FleetContact::NoHolder));
    advance(Duration::from_millis(1)).await;
    expect_that!(site.contact(own(4)), eq(FleetContact::Leads));
    expect_that!(site.contact(heard(5)), eq(FleetContact::Joined));
    expect_that!(site.contact(own(6)), eq(FleetContact::NoHolder), "a lease of its own again");
}

fn known(discovered: usize, recorded: RecordedCount, contact: FleetContact, age_ms: u64) -> usize {
    let discovered =
        QuotaSharing { known: discovered, heard: 1, report_age: Duration::from_millis(100) };
    assumed_sharing(discovered, recorded, contact, Duration::from_millis(age_ms)).known
}

#[googletest::test]
fn recorded_number_is_a_lower_bound_at_any_age() {
    let recorded = RecordedCount::Known(86);
    for age_ms in [0, 2_499, 2_500, 60_000] {
        for contact in [FleetContact::Joined, FleetContact::NoHolder] {
            expect_that!(known(3, recorded, contact, age_ms), eq(86), "{contact:?} at {age_ms}");
            expect_that!(known(90, recorded, contact, age_ms), eq(90), "{contact:?} at {age_ms}");
        }
    }
}

#[googletest::test]
fn separated_daemons_add_themselves_to_the_recorded_number() {
    expect_that!(known(3, RecordedCount::Known(86), FleetContact::Separated, 60_000), eq(89));
}

#[googletest::test]
fn holder_counts_the_daemons_that_it_knows() {
    expect_that!(known(3, RecordedCount::Known(86), FleetContact::Leads, 60_000), eq(3));
}

#[googletest::test]
fn daemon_that_knows_neither_peers_nor_a_record_assumes_others() {
    let contact = FleetContact::NoHolder;
    for age_ms in [0, 2_499, 2_500, 60_000] {
        expect_that!(known(1, RecordedCount::Unknown, contact, age_ms), eq(10), "{age_ms}");
    }
    expect_that!(known(3, RecordedCount::Unknown, contact, 2_499), eq(10));
    expect_that!(known(3, RecordedCount::Unknown, contact, 2_500), eq(3));
    expect_that!(known(1, RecordedCount::NoLease, contact, 2_499), eq(10));
    expect_that!(known(1, RecordedCount::NoLease, contact, 2_500), eq(1));
}
