//! What two software versions of a service write does not fit together: a stream may go on only at
//! the version that began it, within one answer and when its client takes it up at another daemon.
//!
//! Of 216 streams at nine daemons with six endpoints each of two versions, 33 held events of both within one
//! answer, and 9 more over their clients' tries.

use std::{thread::sleep, time::Duration};

use googletest::prelude::*;

use crate::{
    fleet_places::acquire_fleet_slot,
    version_fleet::{ClientTries, VersionFleet, VersionOutcome},
};

const DEFAULT_DAEMONS: usize = 9;
pub const CLIENTS: u64 = 36;
const LOAD_TIME: Duration = Duration::from_secs(8);
const KILL_AT: Duration = Duration::from_secs(3);
/// When all daemons are killed, and how long before a version goes.
const KILLS_AT: [Duration; 3] =
    [Duration::from_secs(3), Duration::from_millis(5_500), Duration::from_secs(8)];
const KILL_LEAD: Duration = Duration::from_millis(200);
const KILLS_TIME: Duration = Duration::from_secs(11);
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Time after which a daemon that was started again has to serve.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// Twice the time limit of the fleet's routes, and what the leader takes to record it.
pub const STREAM_LIFE: Duration = Duration::from_secs(10);
/// When a version goes for good, and how long after the other one counts as the only one all daemons are killed.
const END_AT: Duration = Duration::from_millis(500);
const KILL_DELAY: Duration = Duration::from_secs(2);
/// Tries of clients that go on until daemons serve again.
const MANY_TRIES: ClientTries =
    ClientTries { max: 14, refused_pause: Duration::from_millis(1_200) };
/// Most streams that may hold events of two versions.
const ALLOWED_MIXED: usize = 2;
/// Least number of streams taken up for which the share that goes on counts.
const MIN_TAKE_UPS: usize = 12;

pub fn daemon_count() -> usize {
    let count = std::env::var("VERSION_DAEMONS").ok().and_then(|text| text.parse().ok());
    count.unwrap_or(DEFAULT_DAEMONS)
}

/// Checks that no stream holds two versions, and that those taken up from a time on go on.
pub fn check(outcome: &VersionOutcome, from: Duration) {
    let (taken_up, gone_on) = outcome.taken_up(from);
    let whole = outcome.streams.iter().filter(|stream| stream.is_whole).count();
    println!(
        "{} streams, {whole} whole; {} hold two versions, {} of them in one answer; {gone_on} of {taken_up} \
         taken up go on",
        outcome.streams.len(),
        outcome.mixed(),
        outcome.mixed_in_answer(),
    );
    outcome.print_mixed();
    expect_that!(outcome.mixed(), le(ALLOWED_MIXED));
    if taken_up >= MIN_TAKE_UPS {
        let share = gone_on as f64 / taken_up as f64;
        expect_that!(share, ge(outcome.begun_share() / 2.0));
    }
    for stream in outcome.streams.iter().filter(|stream| stream.is_whole) {
        expect_that!(stream.ids(), eq(&(1..=10).collect::<Vec<u64>>()));
    }
}

macro_rules! streams_of_versions {
    ($($name:ident: [$($version:literal * $count:literal),+], $from:expr, $faults:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            let _slot = acquire_fleet_slot();
            let versions = [$(vec![$version; $count]),+].concat();
            let fleet = VersionFleet::start(daemon_count(), &versions);
            check(&fleet.run(CLIENTS, LOAD_TIME, $faults), $from);
        }
    )*};
}

/// The daemons have seen one version alone for as long as a stream may live, and the leader has recorded it.
#[googletest::test]
fn streams_of_one_version_go_on_after_all_daemons_were_killed() {
    let _slot = acquire_fleet_slot();
    let fleet = VersionFleet::start(daemon_count(), &["v1"; 12]);
    sleep(STREAM_LIFE);
    let outcome = fleet.run(CLIENTS, LOAD_TIME, |fleet, _| {
        let all: Vec<usize> = (0..fleet.addresses.len()).collect();
        sleep(KILL_AT);
        fleet.kill(&all);
        fleet.start_again(&all);
    });
    check(&outcome, KILL_AT);
}

/// No daemon was left that knew at which of two versions a stream had begun: 0 of 732 streams that clients took up
/// again went on.
#[googletest::test]
fn streams_of_two_versions_go_on_after_all_daemons_were_killed() {
    let _slot = acquire_fleet_slot();
    let fleet = VersionFleet::start(daemon_count(), &[["v1"; 6], ["v2"; 6]].concat());
    let outcome = fleet.run(CLIENTS, LOAD_TIME, |fleet, _| {
        let all: Vec<usize> = (0..fleet.addresses.len()).collect();
        sleep(KILL_AT);
        fleet.kill(&all);
        fleet.start_again(&all);
    });
    check(&outcome, KILL_AT);
    let (taken_up, gone_on) = outcome.taken_up_since(KILL_AT);
    println!("{gone_on} of {taken_up} streams from before the kill go on");
    expect_that!(taken_up, ge(MIN_TAKE_UPS));
    let share = gone_on as f64 / taken_up as f64;
    expect_that!(share, ge(outcome.begun_share() / 2.0));
}

/// Kills all daemons and starts them again at these times. One version goes just before a kill, if `end_at` names it.
fn play_kills(end_at: Option<Duration>) {
    let _slot = acquire_fleet_slot();
    let fleet = VersionFleet::start(daemon_count(), &[["v1"; 6], ["v2"; 6]].concat());
    let outcome = fleet.run(CLIENTS, KILLS_TIME, |fleet, begun| {
        let all: Vec<usize> = (0..fleet.addresses.len()).collect();
        for at in KILLS_AT {
            sleep((at - KILL_LEAD).saturating_sub(begun.elapsed()));
            if end_at == Some(at) {
                fleet.end_version("v1");
            }
            sleep(at.saturating_sub(begun.elapsed()));
            fleet.kill(&all);
            fleet.start_again(&all);
        }
    });
    let (taken_up, gone_on) = outcome.taken_up(Duration::ZERO);
    println!("{gone_on} of {taken_up} taken up go on");
    check(&outcome, KILLS_TIME);
}

#[googletest::test]
fn streams_of_two_versions_are_joined_over_three_kills() {
    play_kills(None);
}

#[googletest::test]
fn streams_of_a_version_that_has_just_gone_are_joined_over_three_kills() {
    play_kills(Some(KILLS_AT[0]));
}

#[googletest::test]
fn streams_of_a_version_that_goes_before_a_second_kill_are_joined() {
    play_kills(Some(KILLS_AT[1]));
}

/// A version went, and clients tried to take up its streams for longer than the daemons looked back. Only the killed
/// daemons knew of these tries: the others took the streams for those of the version that was left.
#[googletest::test]
fn streams_that_clients_try_for_long_are_joined_after_all_daemons_were_killed() {
    let _slot = acquire_fleet_slot();
    let fleet = VersionFleet::start(daemon_count(), &[["v1"; 6], ["v2"; 6]].concat());
    let kill_at = END_AT + STREAM_LIFE + KILL_DELAY;
    let outcome = fleet.run_tries(CLIENTS, kill_at + CONTACT_TIME, MANY_TRIES, |fleet, begun| {
        let all: Vec<usize> = (0..fleet.addresses.len()).collect();
        sleep(END_AT.saturating_sub(begun.elapsed()));
        fleet.end_version("v1");
        sleep(kill_at.saturating_sub(begun.elapsed()));
        fleet.kill(&all);
        fleet.start_again(&all);
    });
    let (taken_up, gone_on) = outcome.taken_up_since(END_AT);
    println!("{taken_up} tries at streams from before the end of the version, {gone_on} go on");
    println!("{} hold two versions", outcome.mixed());
    expect_that!(taken_up, ge(MIN_TAKE_UPS));
    expect_that!(outcome.mixed(), eq(0));
}

streams_of_versions! {
    streams_of_two_versions: ["v1" * 6, "v2" * 6], Duration::ZERO, |_, _| {};
    streams_of_a_version_with_few_endpoints: ["v1" * 8, "v2" * 2], Duration::ZERO, |_, _| {};
    streams_of_two_versions_at_daemons_that_are_killed: ["v1" * 6, "v2" * 6], KILL_AT + CONTACT_TIME, |fleet, _| {
        sleep(KILL_AT);
        fleet.kill(&[1, 3, 5, 7]);
        sleep(RESTART_AFTER);
        fleet.start_again(&[1, 3, 5, 7]);
    };
    streams_of_two_versions_at_daemons_that_are_all_killed: ["v1" * 6, "v2" * 6], KILL_AT + CONTACT_TIME, |fleet, _| {
        let all: Vec<usize> = (0..fleet.addresses.len()).collect();
        sleep(KILL_AT);
        fleet.kill(&all);
        sleep(RESTART_AFTER);
        fleet.start_again(&all);
    };
    streams_of_one_version: ["v1" * 12], Duration::ZERO, |_, _| {};
    streams_of_one_version_at_daemons_that_are_killed: ["v1" * 12], Duration::ZERO, |fleet, _| {
        sleep(KILL_AT);
        fleet.kill(&[1, 3, 5, 7]);
        sleep(RESTART_AFTER);
        fleet.start_again(&[1, 3, 5, 7]);
    };
}
