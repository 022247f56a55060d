//! How many connections of clients a daemon keeps open, and which one is closed for a new one.

use std::time::Duration;

use googletest::prelude::*;
use tokio::time::Instant;
use willowarch::gateway::{
    policy::daemon::client_connections::{
        ConnectionStage, OpenConnection, connection_limit, first_to_close,
    },
    settings::VmSize,
};

const MB: u64 = 1_000_000;

#[googletest::test]
fn limit_follows_from_memory_and_descriptors() {
    let limit = |memory_mb, descriptors| {
        connection_limit(VmSize { memory_bytes: memory_mb * MB, descriptors })
    };
    expect_that!(limit(260, 4_100), eq(1_322));
    expect_that!(limit(160, 4_100), eq(813));
    expect_that!(limit(512, 8_192), eq(2_500));
    expect_that!(limit(512, 600), eq(250));
    expect_that!(limit(1, 100), eq(1));
}

#[googletest::test]
fn connection_that_serves_nobody_is_closed_first() {
    use ConnectionStage::{Body, Ending, Idle, New, Running};
    let now = Instant::now();
    let choose =
        |connections: &[(ConnectionStage, u64)]| {
            first_to_close(connections.iter().enumerate().map(|(id, &(stage, age))| {
                OpenConnection { id, stage, since: now - Duration::from_millis(age) }
            }))
        };
    expect_that!(choose(&[(Body, 9), (Idle, 9), (New, 9), (Ending, 1)]), some(eq(3)));
    expect_that!(choose(&[(Body, 9), (Idle, 9), (New, 1), (Running, 9)]), some(eq(2)));
    expect_that!(choose(&[(Body, 9), (Idle, 1), (Idle, 2), (Idle, 1)]), some(eq(2)));
    expect_that!(choose(&[(Body, 9), (Running, 99)]), some(eq(0)));
    expect_that!(choose(&[(Running, 9), (Running, 99)]), none());
}
