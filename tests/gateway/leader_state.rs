//! State of the leader tasks: the leader lease, the wall clock and the usage counts.

use std::{collections::BTreeMap, time::Duration};

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::{
        gossip::report_source::ReportSource,
        policy::leader::{
            leader_lease::{LeaderLease, LeaseRenewal},
            usage_counts::UsageCounts,
            wall_clock::SteadyWallClock,
        },
    },
    ids::{IncarnationId, SharedName},
};

fn daemon(number: u64) -> ReportSource {
    ReportSource::Daemon(IncarnationId(number))
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[googletest::test]
fn lease_holder_stops_acting_before_others_may_acquire_the_lease() {
    let lease = Duration::from_secs(3);
    let start = Instant::now();
    let mut view = LeaderLease {
        fence: 1,
        renewals: 4,
        renewed_at: Some(start),
        own: true,
        ..LeaderLease::default()
    };
    expect_that!(view.may_act(lease, start + millis(2_000)), eq(true));
    expect_that!(view.may_act(lease, start + millis(2_200)), eq(false));
    expect_that!(view.is_renewal_overdue(lease, start + millis(2_900)), eq(false));
    view.observe(renewal(2, 0, start + millis(500)));
    expect_that!(view.own, eq(false));
    view.observe(renewal(1, 9, start + millis(900)));
    expect_that!(view.fence, eq(2));
}

fn renewal(fence: u64, renewals: u64, renewed_at: Instant) -> LeaseRenewal {
    LeaseRenewal { fence, renewals, holder: "edge-2".into(), renewed_at }
}

#[googletest::test]
fn renewal_start_is_known_for_the_newest_renewal_and_is_the_earliest_seen() {
    let start = Instant::now();
    let at = |count| start + millis(count);
    let mut view = LeaderLease::default();
    view.observe(renewal(2, 5, at(1_000)));
    expect_that!(view.renewal_start(2, 5), some(eq(at(1_000))));
    expect_that!(view.renewal_start(2, 6), none());
    expect_that!(view.renewal_start(1, 5), none());
    // The same renewal in a message with a longer delay, then in one with a shorter delay.
    view.observe(renewal(2, 5, at(1_900)));
    expect_that!(view.renewal_start(2, 5), some(eq(at(1_000))));
    view.observe(renewal(2, 5, at(990)));
    expect_that!(view.renewal_start(2, 5), some(eq(at(990))));
    // An older renewal in a delayed message.
    view.observe(renewal(2, 4, at(2_500)));
    expect_that!(view.renewal_start(2, 5), some(eq(at(990))));
    view.observe(renewal(2, 6, at(2_000)));
    expect_that!(view.renewal_start(2, 5), none());
    view.acquire_or_renew(renewal(3, 0, at(6_000)));
    expect_that!(view.renewal_start(3, 0), none());
}

#[googletest::test]
fn wall_clock_jumps_are_not_followed_at_once() {
    let start = Instant::now();
    let mut clock = SteadyWallClock::new(1_000_000, start);
    let seconds = |count| start + Duration::from_secs(count);
    clock.compare(1_003_400, seconds(1));
    clock.compare(1_008_400, seconds(6));
    expect_that!(clock.now_ms(seconds(6)), eq(1_006_000));
    clock.compare(1_007_000, seconds(7));
    expect_that!(clock.now_ms(seconds(7)), eq(1_007_000));
    for second in 10..40 {
        clock.compare(1_000_000 + second * 1_000 - 5_000, seconds(second));
    }
    expect_that!(clock.now_ms(seconds(40)), eq(1_035_000));
}

#[googletest::test]
fn usage_adds_up_over_daemons_and_repeated_reports() {
    let mut usage = UsageCounts::default();
    let (reader, kiosk): (SharedName, SharedName) = ("reader".into(), "kiosk".into());
    usage.count(&reader, 7);
    usage.count(&reader, 7);
    usage.count(&kiosk, 8);
    usage.receive(daemon(1), 7, [(reader.clone(), 3)].into());
    usage.receive(daemon(1), 7, [(reader.clone(), 5)].into());
    usage.receive(daemon(2), 7, [(kiosk.clone(), 1)].into());
    expect_that!(usage.total(7), eq(&BTreeMap::from([(reader, 7), (kiosk.clone(), 1)])));
    expect_that!(usage.total(8), eq(&BTreeMap::from([(kiosk, 1)])));
}

#[googletest::test]
fn relayed_usage_counts_once() {
    let mut usage = UsageCounts::default();
    let reader: SharedName = "reader".into();
    let counts = |count: u64| -> BTreeMap<SharedName, u64> { [(reader.clone(), count)].into() };
    usage.receive_relayed(IncarnationId(1), 7, &counts(3));
    expect_that!(usage.total(7), eq(&counts(3)));
    // Two peers relay a later and an earlier count of the same daemon; then it reports its own.
    usage.receive_relayed(IncarnationId(1), 7, &counts(5));
    usage.receive_relayed(IncarnationId(1), 7, &counts(4));
    expect_that!(usage.total(7), eq(&counts(5)));
    usage.receive(daemon(1), 7, counts(6));
    expect_that!(usage.total(7), eq(&counts(6)));
}

#[googletest::test]
fn usage_of_old_windows_and_ended_daemons_is_dropped() {
    let mut usage = UsageCounts::default();
    let reader: SharedName = "reader".into();
    for number in 0..1_000 {
        usage.receive(daemon(number), number, [(reader.clone(), 1)].into());
    }
    usage.count(&reader, 999);
    // The newest nine windows: the current one and the eight before it.
    expect_that!(usage.reported_in_group().count(), eq(9));
    expect_that!(usage.total(990), is_empty());
    expect_that!(usage.total(991), eq(&BTreeMap::from([(reader.clone(), 1)])));
    expect_that!(usage.total(999), eq(&BTreeMap::from([(reader, 2)])));
}
