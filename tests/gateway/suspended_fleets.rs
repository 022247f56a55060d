//! Fleets of which daemons are suspended while endpoints of a second version join and those of the first go. A daemon
//! that runs again has an old list, and requests that clients sent meanwhile: it must not take up a stream of
//! the second version at the first one, even if those that could tell it are silent or the store is away.

use std::{
    thread::{self, sleep},
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    stream_versions::{CLIENTS, STREAM_LIFE, check, daemon_count},
    version_fleet::VersionFleet,
};

const ENDPOINTS_PER_VERSION: usize = 6;
const LOAD_TIME: Duration = Duration::from_secs(16);
/// When endpoints of the second version begin to join, and those of the first to go.
const JOIN_FROM: Duration = Duration::from_millis(1_300);
const LEAVE_FROM: Duration = Duration::from_secs(8);
/// Time from one endpoint to the next: all join while the first daemons are suspended.
const JOIN_INTERVAL: Duration = Duration::from_millis(200);
const LEAVE_INTERVAL: Duration = Duration::from_millis(800);
/// One in so many daemons is suspended, for this time.
const DAEMONS_PER_SUSPENDED: usize = 3;
const SUSPENDED_TIME: Duration = Duration::from_secs(3);
const SUSPEND_FROM: Duration = Duration::from_secs(1);
/// How often one daemon is suspended, and how often all are by turns.
const SUSPENSIONS: usize = 3;
const TURNS: usize = 2;
/// Time between two suspensions of a daemon, and from the first daemon's suspension to the next one's.
const RUNNING_TIME: Duration = Duration::from_millis(1_500);
const SUSPENSION_OFFSET: Duration = Duration::from_secs(1);
/// How long the other daemons are suspended once the first ones run again.
const OTHERS_SUSPENDED_TIME: Duration = Duration::from_secs(2);
const STORE_DOWN_TIME: Duration = Duration::from_secs(2);

/// What else happens when the suspended daemons run again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Besides {
    OthersSuspended,
    OthersSuspendedStoreDown,
}

fn sleep_until(begun: Instant, at: Duration) {
    sleep(at.saturating_sub(begun.elapsed()));
}

/// Places of the daemons that are suspended at first, and of the others.
fn divided_places(fleet: &VersionFleet) -> (Vec<usize>, Vec<usize>) {
    let count = fleet.addresses.len();
    let first = count / DAEMONS_PER_SUSPENDED;
    ((0..first).collect(), (first..count).collect())
}

/// Lets the second version join and the first one go, one endpoint after the other.
fn replace_version(fleet: &VersionFleet, begun: Instant) {
    sleep_until(begun, JOIN_FROM);
    for _ in 0..ENDPOINTS_PER_VERSION {
        fleet.add_endpoint("v2");
        sleep(JOIN_INTERVAL);
    }
    sleep_until(begun, LEAVE_FROM);
    for _ in 0..ENDPOINTS_PER_VERSION {
        fleet.end_endpoint("v1");
        sleep(LEAVE_INTERVAL);
    }
}

/// Suspends one daemon several times.
fn suspend_daemon(fleet: &VersionFleet, place: usize, from: Duration, begun: Instant) {
    sleep_until(begun, from);
    for _ in 0..SUSPENSIONS {
        fleet.signal(&[place], "-STOP");
        sleep(SUSPENDED_TIME);
        fleet.signal(&[place], "-CONT");
        sleep(RUNNING_TIME);
    }
}

/// Suspends daemons at times that overlap.
fn suspend_in_turn(fleet: &VersionFleet, begun: Instant) {
    let (suspended, _) = divided_places(fleet);
    thread::scope(|scope| {
        for place in suspended {
            let from = SUSPEND_FROM + SUSPENSION_OFFSET * place as u32;
            scope.spawn(move || suspend_daemon(fleet, place, from, begun));
        }
    });
}

/// Suspends daemons together, and the others right as these run again.
fn suspend_by_turns(fleet: &VersionFleet, besides: Besides, begun: Instant) {
    let (first, others) = divided_places(fleet);
    sleep_until(begun, SUSPEND_FROM);
    for _ in 0..TURNS {
        fleet.signal(&first, "-STOP");
        sleep(SUSPENDED_TIME);
        let turned_at = Instant::now();
        fleet.set_store_down(besides == Besides::OthersSuspendedStoreDown);
        fleet.signal(&others, "-STOP");
        fleet.signal(&first, "-CONT");
        sleep_until(turned_at, OTHERS_SUSPENDED_TIME);
        fleet.signal(&others, "-CONT");
        if besides == Besides::OthersSuspendedStoreDown {
            sleep_until(turned_at, STORE_DOWN_TIME);
            fleet.set_store_down(false);
        }
        sleep(RUNNING_TIME);
    }
}

/// Plays these suspensions while the version is replaced.
fn play(suspensions: impl FnOnce(&VersionFleet, Instant)) {
    let _slot = acquire_fleet_slot();
    let fleet = VersionFleet::start(daemon_count(), &["v1"; ENDPOINTS_PER_VERSION]);
    sleep(STREAM_LIFE);
    let outcome = fleet.run(CLIENTS, LOAD_TIME, |fleet, begun| {
        thread::scope(|scope| {
            scope.spawn(|| replace_version(fleet, begun));
            suspensions(fleet, begun);
        });
    });
    let (first, second) = (outcome.streams_of("v1"), outcome.streams_of("v2"));
    println!("{first} streams with events of v1, {second} of v2");
    check(&outcome, Duration::ZERO);
    expect_that!(first, gt(0));
    expect_that!(second, gt(0));
}

macro_rules! streams_while_a_version_is_replaced {
    ($($name:ident: $suspensions:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            play($suspensions);
        }
    )*};
}

streams_while_a_version_is_replaced! {
    streams_at_suspended_daemons: suspend_in_turn;
    streams_at_daemons_that_run_again_beside_suspended_ones: |fleet, begun| {
        suspend_by_turns(fleet, Besides::OthersSuspended, begun);
    };
    streams_at_daemons_that_run_again_beside_suspended_ones_without_the_store: |fleet, begun| {
        suspend_by_turns(fleet, Besides::OthersSuspendedStoreDown, begun);
    };
}
