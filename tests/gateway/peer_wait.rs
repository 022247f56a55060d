//! Requests at a daemon that has just started and has not heard from its peers yet. After a kill of all
//! 78 daemons, 632 requests were refused for it within two seconds.

use std::{
    net::{SocketAddr, TcpListener, TcpStream},
    time::{Duration, Instant},
};

use googletest::prelude::*;
use serde_json::json;
use willowarch::gateway::policy::daemon::peer_contact::PeerContact;

use crate::{
    endpoint_standin::{EndpointManner, EndpointStandin},
    gateway_site::{Gateway, ask, configuration, endpoint_entry, wait_for},
    platform_standin::PlatformStandin,
};

/// The longest wait for peers of a daemon that hears of none.
const MAX_WAIT: Duration = Duration::from_millis(300);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// A peer that accepts connections and never responds.
fn silent_peer() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    (listener, address)
}

#[googletest::test]
fn requests_wait_for_the_peers_of_a_daemon_that_has_just_started() {
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let endpoint = EndpointStandin::start("i-0", EndpointManner::Answer);
    platform.put("servers", "i-0", endpoint_entry(&endpoint, "ready"));
    let (_listener, seed) = silent_peer();
    let daemon = Gateway::start_with("edge-1", &platform, &[seed], json!({}));
    wait_for("the listener", || TcpStream::connect(daemon.clients).is_ok());
    let began = Instant::now();
    let (mut served_at, mut refused_for_peers) = (None, 0);
    while served_at.is_none() && began.elapsed() < Duration::from_secs(3) {
        let response = ask(daemon.clients, "/plain/", "a", "key-1", &[], b"");
        refused_for_peers += usize::from(response.text().contains("no contact"));
        served_at = (response.status == 200).then(|| began.elapsed());
    }
    println!("served after {served_at:?}");
    expect_that!(refused_for_peers, eq(0));
    expect_that!(served_at, some(le(Duration::from_secs(1))));
}

#[googletest::test]
fn request_waits_no_longer_than_the_daemon() {
    let start = tokio::time::Instant::now();
    let mut contact = PeerContact::new(start);
    contact.begin_interval(start);
    let second = Duration::from_secs(1);
    expect_that!(contact.request_wait(second, start), some(eq(MAX_WAIT)));
    expect_that!(contact.request_wait(second, start + millis(200)), some(eq(millis(100))));
    expect_that!(contact.request_wait(second, start + MAX_WAIT), none());
    contact.receive_response(start);
    expect_that!(contact.request_wait(second, start + millis(10)), none());
}

/// The first gossip interval after a suspension may begin later than the request.
#[googletest::test]
fn request_waits_at_a_daemon_that_was_suspended_until_now() {
    let start = tokio::time::Instant::now();
    let mut contact = PeerContact::new(start);
    contact.begin_interval(start);
    contact.receive_response(start);
    let resumed = start + millis(1_500);
    expect_that!(contact.request_wait(Duration::from_secs(1), resumed), some(eq(MAX_WAIT)));
    expect_that!(contact.request_wait(millis(500), resumed), none());
}

/// What can't be served in time is refused at once.
#[googletest::test]
fn request_with_little_time_left_does_not_wait() {
    let start = tokio::time::Instant::now();
    let contact = PeerContact::new(start);
    expect_that!(contact.request_wait(millis(500), start), none());
    expect_that!(contact.request_wait(millis(600), start), some(eq(MAX_WAIT)));
}

/// It is not known how long a newer configuration takes to arrive.
#[googletest::test]
fn request_does_not_wait_for_a_newer_configuration() {
    let start = tokio::time::Instant::now();
    let mut contact = PeerContact::new(start);
    contact.observe_lag(true, start);
    expect_that!(contact.request_wait(Duration::from_secs(9), start), none());
}
