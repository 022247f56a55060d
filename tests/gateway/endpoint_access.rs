//! The rule that decides whether a daemon is partitioned from all endpoints.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::policy::daemon::endpoint_access::{AccessChange, EndpointAccess, LinkFailure},
    ids::SharedName,
};

/// What happens to a connection, at a time in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// A connection to the endpoint of this number, begun at the first time, can't be opened, at the
    /// second.
    NotConnected(u32, u64, u64),
    /// The same, but it is closed without a response.
    Closed(u32, u64, u64),
    /// The same, but it is silent.
    Silent(u32, u64, u64),
    /// A connection is opened.
    Connected(u64),
    /// A response arrives over a new connection.
    Reached(u64),
    /// A response arrives over a connection opened earlier.
    Responded(u64),
}
use Event::{Closed, Connected, NotConnected, Reached, Responded, Silent};

/// Plays the events; returns whether the daemon is partitioned after each.
fn verdicts(known: usize, events: &[Event]) -> Vec<bool> {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut access = EndpointAccess::default();
    let play = |event: &Event| {
        let mut fail = |endpoint: u32, failure, begun, failed| {
            let endpoint: SharedName = format!("i-{endpoint}").into();
            access.failed(&endpoint, failure, known, at(begun), at(failed));
        };
        match *event {
            NotConnected(endpoint, begun, failed) => {
                fail(endpoint, LinkFailure::NotConnected, begun, failed);
            }
            Closed(endpoint, begun, failed) => fail(endpoint, LinkFailure::Closed, begun, failed),
            Silent(endpoint, begun, failed) => fail(endpoint, LinkFailure::Silent, begun, failed),
            Connected(time) => drop(access.connected(at(time))),
            Reached(time) => drop(access.reached(at(time))),
            Responded(time) => access.responded(at(time)),
        }
        access.is_partitioned()
    };
    events.iter().map(play).collect()
}

macro_rules! verdicts_after_events {
    ($($name:ident: $known:expr, [$($event:expr),*] => [$($verdict:expr),*];)*) => {$(
        #[googletest::test]
        fn $name() {
            expect_that!(verdicts($known, &[$($event),*]), eq(&vec![$($verdict),*]));
        }
    )*};
}

verdicts_after_events! {
    failures_at_three_endpoints:
        12, [NotConnected(1, 0, 400), NotConnected(2, 10, 410), NotConnected(3, 20, 420)]
        => [false, false, true];
    failures_at_one_endpoint:
        12, [NotConnected(1, 0, 400), NotConnected(1, 10, 410), NotConnected(1, 20, 420)]
        => [false, false, false];
    failures_of_different_kinds:
        12, [NotConnected(1, 0, 400), Closed(2, 10, 410), Silent(3, 20, 420)]
        => [false, false, false];
    connection_between_failures_to_connect:
        12, [NotConnected(1, 0, 5), NotConnected(2, 5, 9), Connected(12), NotConnected(3, 20, 24)]
        => [false, false, false, false];
    connection_between_closed_ones:
        12, [Closed(1, 0, 5), Closed(2, 5, 9), Connected(12), Closed(3, 20, 24)]
        => [false, false, false, true];
    response_between_closed_connections:
        12, [Closed(1, 0, 5), Closed(2, 5, 9), Reached(12), Closed(3, 20, 24)]
        => [false, false, false, false];
    response_over_an_older_connection_between_closed_ones:
        12, [Closed(1, 0, 5), Closed(2, 5, 9), Responded(12), Closed(3, 20, 24)]
        => [false, false, false, true];
    response_over_an_older_connection_between_silent_ones:
        12, [Silent(1, 0, 1500), Silent(2, 0, 1500), Responded(1600), Silent(3, 200, 1700)]
        => [false, false, false, false];
    failures_of_attempts_begun_before_a_response:
        12, [Reached(100), NotConnected(1, 0, 400), NotConnected(2, 0, 400), NotConnected(3, 0, 400)]
        => [false, false, false, false];
    connection_ends_failures_to_connect:
        12, [NotConnected(1, 0, 5), NotConnected(2, 5, 9), NotConnected(3, 9, 13), Connected(300)]
        => [false, false, true, false];
    only_a_response_ends_silence:
        12, [Silent(1, 0, 5), Silent(2, 5, 9), Silent(3, 9, 13), Connected(300), Reached(310)]
        => [false, false, true, true, false];
    both_of_two_known_endpoints:
        2, [NotConnected(1, 0, 5), NotConnected(2, 5, 9)] => [false, true];
    the_only_known_endpoint:
        1, [NotConnected(1, 0, 5), NotConnected(1, 5, 9)] => [false, false];
    failures_long_apart:
        12, [NotConnected(1, 0, 400), NotConnected(2, 2_000, 2_400), NotConnected(3, 4_100, 4_500)]
        => [false, false, false];
}

#[googletest::test]
fn changes_are_reported_once() {
    let start = Instant::now();
    let mut access = EndpointAccess::default();
    let failure = LinkFailure::NotConnected;
    let fail = |access: &mut EndpointAccess, name: &str| {
        access.failed(&SharedName::from(name), failure, 9, start, start)
    };
    expect_that!(fail(&mut access, "a"), none());
    expect_that!(fail(&mut access, "b"), none());
    let lost = AccessChange::Lost { failure, unreached: 3 };
    expect_that!(fail(&mut access, "c"), some(eq(lost)));
    expect_that!(fail(&mut access, "d"), none());
    let after = Duration::from_secs(2);
    expect_that!(access.reached(start + after), some(eq(AccessChange::Regained { after })));
    expect_that!(access.reached(start + after), none());
}

#[googletest::test]
fn daemon_without_contact_probes_after_a_single_failure() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut access = EndpointAccess::default();
    let fail = |access: &mut EndpointAccess, begun: u64, failed: u64| {
        let failure = LinkFailure::NotConnected;
        access.failed(&SharedName::from("a"), failure, 9, at(begun), at(failed));
    };
    expect_that!(access.next_probe(at(0)), none());
    access.reached(at(0));
    fail(&mut access, 10, 100);
    expect_that!(access.next_probe(at(100)), none());
    expect_that!(access.next_probe(at(500)), some(eq(Duration::ZERO)));
    access.responded(at(501));
    expect_that!(access.next_probe(at(502)), none());
    expect_that!(access.next_probe(at(5_000)), none());
}
