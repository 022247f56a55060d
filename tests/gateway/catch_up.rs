//! Who is asked for a newer configuration or endpoint list.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::gateway::policy::daemon::catch_up::{CatchUpState, HeldRevisions};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[googletest::test]
fn a_newer_text_is_asked_of_one_daemon_at_a_time() {
    let start = Instant::now();
    let mut table = CatchUpState::default();
    let peer_listener = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let newer = HeldRevisions { configuration: 9, endpoints: 0 };
    let own = HeldRevisions { configuration: 8, endpoints: 0 };
    table.receive(peer_listener(1), newer, start);
    table.receive(peer_listener(2), newer, start);
    let asks = |table: &mut CatchUpState, port, attempt_timeout, now| {
        table.revisions_to_fetch(peer_listener(port), own, attempt_timeout, now).configuration
    };
    let attempt_timeout = millis(300);
    expect_that!(asks(&mut table, 1, attempt_timeout, start + millis(100)), eq(false));
    expect_that!(asks(&mut table, 1, attempt_timeout, start + millis(300)), eq(true));
    expect_that!(asks(&mut table, 1, attempt_timeout, start + millis(400)), eq(false));
    expect_that!(asks(&mut table, 2, attempt_timeout, start + millis(400)), eq(false));
    // The one that was asked does not answer: the next who tells of it is asked instead.
    table.receive(peer_listener(2), newer, start + millis(900));
    expect_that!(asks(&mut table, 2, attempt_timeout, start + millis(900)), eq(true));
    let caught_up =
        table.revisions_to_fetch(peer_listener(2), newer, attempt_timeout, start + millis(2_000));
    expect_that!(caught_up.configuration, eq(false));
}
