//! Retries of a service stay within the budget of the whole fleet while daemons end and start again.
//!
//! Each process had its own budget, which began with its part of the reserve. With seven daemons, all
//! killed every four seconds, endpoints received 273 requests again in ten seconds; 198 were allowed.
//!
//! `RETRY_DAEMONS=78 cargo test --test gateway retries_over_lives` runs a larger fleet.

use std::time::Duration;

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    fleet_places::acquire_fleet_slot,
    retry_fleet::{DaemonEnds, RetryFleet},
};

/// Number of daemons if the environment variable is not set.
const DEFAULT_DAEMONS: usize = 7;

const LOSE_MOST: EndpointManner = EndpointManner::Sometimes(60, &EndpointManner::Lose);
const FAIL_ALL: EndpointManner = EndpointManner::Fail;

fn daemon_count() -> usize {
    let named = std::env::var("RETRY_DAEMONS").ok().and_then(|text| text.parse().ok());
    named.unwrap_or(DEFAULT_DAEMONS)
}

fn check(manner: EndpointManner, ends: DaemonEnds) {
    let _place = acquire_fleet_slot();
    let outcome = RetryFleet::start(daemon_count()).play(manner, ends);
    let (worst, sent, served) = (outcome.worst_window(), outcome.sent.len(), outcome.served);
    let (beyond, statuses) = (outcome.beyond.len(), &outcome.statuses);
    println!("{worst:?}; sent {sent}, served {served}, retried {beyond}, statuses {statuses:?}");
    expect_that!(worst.beyond as f64, le(worst.allowed));
    // Otherwise nothing would have been shown.
    expect_that!(beyond, gt(0));
}

macro_rules! retries_stay_within_the_budget {
    ($($name:ident: $manner:expr, $ends:expr;)*) => {$(
        #[googletest::test]
        fn $name() {
            check($manner, $ends);
        }
    )*};
}

retries_stay_within_the_budget! {
    retries_while_all_daemons_run: LOSE_MOST, DaemonEnds::None;
    retries_while_all_daemons_are_killed:
        LOSE_MOST, DaemonEnds::KillAll(Duration::from_secs(2));
    retries_around_one_kill_of_all_daemons:
        FAIL_ALL, DaemonEnds::KillAll(Duration::from_secs(6));
    retries_while_daemons_are_killed_by_turns:
        LOSE_MOST, DaemonEnds::KillOne(Duration::from_millis(500));
    retries_while_daemons_are_stopped_by_turns:
        FAIL_ALL, DaemonEnds::StopOne(Duration::from_millis(100));
}
