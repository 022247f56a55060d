//! The rule that decides whether a daemon is partitioned from all endpoints.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::{
    gateway::policy::daemon::endpoint_access::{AccessChange, EndpointAccess},
    ids::SharedName,
};

/// What happens to a new connection, at a time in milliseconds.
#[derive(Clone, Copy)]
enum Event {
    /// A connection to the endpoint of this number, begun at the first time, fails at the second.
    Failed(u32, u64, u64),
    /// An endpoint responds.
    Reached(u64),
}
use Event::{Failed, Reached};

/// Plays the events; returns whether the daemon is partitioned after each.
fn verdicts(known: usize, events: &[Event]) -> Vec<bool> {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut access = EndpointAccess::default();
    let play = |event: &Event| {
        match *event {
            Failed(endpoint, begun, failed) => {
                let endpoint: SharedName = format!("i-{endpoint}").into();
                access.failed(&endpoint, known, at(begun), at(failed));
            }
            Reached(time) => {
                access.reached(at(time));
            }
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
        12, [Failed(1, 0, 400), Failed(2, 10, 410), Failed(3, 20, 420)] => [false, false, true];
    failures_at_one_endpoint:
        12, [Failed(1, 0, 400), Failed(1, 10, 410), Failed(1, 20, 420)] => [false, false, false];
    response_between_failures:
        12, [Failed(1, 0, 5), Failed(2, 5, 9), Reached(12), Failed(3, 20, 24)]
        => [false, false, false, false];
    failures_of_attempts_begun_before_a_response:
        12, [Reached(100), Failed(1, 0, 400), Failed(2, 0, 400), Failed(3, 0, 400)]
        => [false, false, false, false];
    response_ends_it:
        12, [Failed(1, 0, 5), Failed(2, 5, 9), Failed(3, 9, 13), Reached(300)]
        => [false, false, true, false];
    both_of_two_known_endpoints: 2, [Failed(1, 0, 5), Failed(2, 5, 9)] => [false, true];
    the_only_known_endpoint: 1, [Failed(1, 0, 5), Failed(1, 5, 9)] => [false, false];
    failures_long_apart:
        12, [Failed(1, 0, 5), Failed(2, 2_000, 2_005), Failed(3, 4_100, 4_105)]
        => [false, false, false];
}

#[googletest::test]
fn changes_are_reported_once() {
    let start = Instant::now();
    let mut access = EndpointAccess::default();
    let fail = |access: &mut EndpointAccess, name: &str| {
        access.failed(&SharedName::from(name), 9, start, start)
    };
    expect_that!(fail(&mut access, "a"), none());
    expect_that!(fail(&mut access, "b"), none());
    expect_that!(fail(&mut access, "c"), some(eq(AccessChange::Lost { unreached: 3 })));
    expect_that!(fail(&mut access, "d"), none());
    let after = Duration::from_secs(2);
    expect_that!(access.reached(start + after), some(eq(AccessChange::Regained { after })));
    expect_that!(access.reached(start + after), none());
}
