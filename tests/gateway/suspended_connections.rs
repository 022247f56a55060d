//! Client connections of a daemon that is suspended for longer than its idle time: a request that arrives meanwhile is
//! not idle, although the daemon reads it late.

use std::{
    thread::{self, sleep},
    time::Duration,
};

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{KeptConnection, Site, configuration, kept_request_bytes},
};

const CONNECTIONS: usize = 16;
/// As many as have room for all requests at once.
const ENDPOINTS: usize = CONNECTIONS / 4;
const IDLE_MS: u64 = 200;
/// Time within which a new configuration is applied.
const APPLY_LIMIT: Duration = Duration::from_millis(1_500);
/// Longer than the idle time and the daemon's margin, and shorter than a request may take.
const SUSPENDED_TIME: Duration = Duration::from_millis(1_500);

/// Connections that had been at rest for 7 ms were closed without a response when their daemon ran again.
#[googletest::test]
fn requests_that_arrive_while_the_daemon_is_suspended_are_answered() {
    let site = Site::start(&[EndpointManner::Answer; ENDPOINTS]);
    let mut short_idle = configuration(4, &["key-1"]);
    short_idle["limits"]["idle-timeout-ms"] = IDLE_MS.into();
    site.platform.put("config", "main", short_idle);
    sleep(APPLY_LIMIT);
    let request = |id: &str| kept_request_bytes("/plain/", id, "key-1", &[], b"");
    let mut connections = Vec::new();
    for number in 0..CONNECTIONS {
        let mut connection = KeptConnection::open(site.gateway.clients).expect("connection");
        let answer = connection.ask(&request(&format!("before-{number}"))).expect("answer");
        expect_that!(answer.status, eq(200));
        connections.push(connection);
    }
    site.gateway.signal("-STOP");
    let clients: Vec<_> = connections
        .into_iter()
        .enumerate()
        .map(|(number, mut connection)| {
            let bytes = request(&format!("during-{number}"));
            thread::spawn(move || connection.ask(&bytes))
        })
        .collect();
    sleep(SUSPENDED_TIME);
    site.gateway.signal("-CONT");
    for client in clients {
        let answer = client.join().expect("client").expect("an answer or a refusal");
        // A refusal promises that the request has not run.
        let is_refused = answer.status == 503 && answer.header("retry-after").is_some();
        expect_that!(answer.status == 200 || is_refused, eq(true), "status {}", answer.status);
    }
}
