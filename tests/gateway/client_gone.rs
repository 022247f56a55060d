//! When a client closes its connection, the daemon cancels the request at the endpoint at once,
//! whatever the request is waiting for, and sends nothing more of it to any endpoint.

use std::{
    io::Write,
    net::{Shutdown, TcpStream},
    time::{Duration, Instant},
};

use googletest::prelude::*;

use crate::{
    endpoint_standin::EndpointManner,
    gateway_site::{Site, kept_request_bytes, wait_for},
};

/// Time within which the request must be cancelled at the endpoint.
const CANCEL_LIMIT: Duration = Duration::from_millis(500);
/// Time during which nothing more may arrive at an endpoint.
const QUIET: Duration = Duration::from_millis(1_500);

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Leaving {
    /// Closes its connection.
    Close,
    /// Closes its connection while the daemon has not read a second request on it yet.
    CloseWithUnread,
}

/// Sends a request to endpoints that behave like this, waits until the last of them works on it,
/// closes the connection, and checks that the request is cancelled and not sent again.
fn leave_during(behaviors: &[EndpointManner], path: &str, leaving: Leaving) {
    let site = Site::start(behaviors);
    let last = site.endpoints.last().expect("an endpoint");
    let mut client = TcpStream::connect(site.gateway.clients).expect("connect");
    client.write_all(&kept_request_bytes(path, "gone", "key-1", &[], b"")).expect("send");
    if leaving == Leaving::CloseWithUnread {
        let second = kept_request_bytes("/plain/", "unread", "key-1", &[], b"");
        client.write_all(&second).expect("send");
    }
    wait_for("the request at the endpoint", || !last.seen().is_empty());
    // After this pause the daemon has passed the request on and waits for the endpoint.
    std::thread::sleep(Duration::from_millis(50));
    client.shutdown(Shutdown::Both).expect("close");
    drop(client);
    let left_at = Instant::now();
    wait_for("cancellation at the endpoint", || last.was_cancelled());
    expect_that!(left_at.elapsed(), le(CANCEL_LIMIT));
    let arrivals = |id: &str| {
        let seen = site.endpoints.iter().flat_map(|endpoint| endpoint.seen());
        seen.filter(|request| request.id() == id).count()
    };
    let arrived = arrivals("gone");
    std::thread::sleep(QUIET);
    expect_that!(arrivals("gone"), eq(arrived));
    expect_that!(arrivals("unread"), eq(0));
}

/// A test for each case: how the endpoints behave, the route, and how the client leaves.
macro_rules! cases {
    ($($name:ident: $behaviors:expr, $path:expr, $leaving:expr;)*) => {
        $(
            #[googletest::test]
            fn $name() {
                leave_during(&$behaviors, $path, $leaving);
            }
        )*
    };
}

cases! {
    while_the_response_is_awaited: [EndpointManner::Silent], "/once/", Leaving::Close;
    while_a_stream_pauses: [EndpointManner::StallAfter(2)], "/rigid/", Leaving::Close;
    while_a_retry_is_awaited:
        [EndpointManner::Lose, EndpointManner::Silent], "/plain/", Leaving::Close;
    while_a_resumed_stream_pauses:
        [EndpointManner::BreakAfter(2), EndpointManner::StallAfter(1)], "/stream/", Leaving::Close;
    with_a_request_unread_behind_one_that_is_awaited:
        [EndpointManner::Silent], "/once/", Leaving::CloseWithUnread;
    with_a_request_unread_behind_a_stream:
        [EndpointManner::StallAfter(2)], "/rigid/", Leaving::CloseWithUnread;
}

#[googletest::test]
fn before_its_body_has_arrived() {
    let site = Site::start(&[EndpointManner::Answer]);
    let mut client = TcpStream::connect(site.gateway.clients).expect("connect");
    let whole = kept_request_bytes("/plain/", "gone", "key-1", &[], &[b'x'; 1_000]);
    client.write_all(&whole[..whole.len() - 500]).expect("send");
    std::thread::sleep(Duration::from_millis(50));
    drop(client);
    std::thread::sleep(QUIET);
    expect_that!(site.runs(), eq(&vec![0]));
}

#[googletest::test]
fn before_its_request_was_read() {
    let site = Site::start(&[EndpointManner::Answer]);
    site.gateway.signal("-STOP");
    let mut client = TcpStream::connect(site.gateway.clients).expect("connect");
    client.write_all(&kept_request_bytes("/plain/", "gone", "key-1", &[], b"")).expect("send");
    drop(client);
    site.gateway.signal("-CONT");
    std::thread::sleep(QUIET);
    expect_that!(site.runs(), eq(&vec![0]));
}
