//! Tunnels of a forwarder that stops: responses in progress go on through them, though their endpoints pause.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};
use willowarch::gateway::forwarding::{
    handshake::{TunnelOutcome, TunnelRequest, read_outcome, send_request},
    tunnel_stream::TunnelStream,
};

use crate::{
    gateway_site::{Gateway, configuration},
    platform_standin::PlatformStandin,
};

const TUNNEL_PORT: u16 = 8005;
/// Grace time of the forwarder, in seconds: longer than any pause here.
const GRACE_S: u64 = 12;
/// Longest time for a tunnel without a response in progress to end after the stop has begun.
const UNUSED_LIMIT: Duration = Duration::from_secs(9);
/// Time for which nothing is read of a response: longer than a tunnel without use is kept.
const READ_PAUSE: Duration = Duration::from_secs(8);
/// Length in bytes of a response that no buffer on its way takes whole.
const LONG_RESPONSE: usize = 32 * 1024 * 1024;
const FIRST_PART: &[u8] = b"data: 1\n\n";
const LAST_PART: &[u8] = b"data: 2\n\n";

/// A forwarder, an endpoint, and an open tunnel between them.
struct OpenTunnel {
    forwarder: Gateway,
    tunnel: TunnelStream,
    endpoint: TcpStream,
    _platform: PlatformStandin,
}

async fn open_tunnel() -> OpenTunnel {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let platform = PlatformStandin::start();
    platform.put("config", "main", configuration(3, &["key-1"]));
    let entry = json!({
        "service": "pool", "address": listener.local_addr().expect("address"), "zone": "hall-a",
        "version": "v1", "slots": 4, "state": "ready", "cold-left-ms": 0, "seq": 1,
    });
    platform.put("servers", "i-0", entry);
    let forwarder = Gateway::start_with("edge-1", &platform, &[], json!({"grace-s": GRACE_S}));
    forwarder.wait_ready();
    let address = SocketAddr::new(forwarder.clients.ip(), TUNNEL_PORT);
    let mut daemon = TcpStream::connect(address).await.expect("connect");
    let request = TunnelRequest {
        endpoint: "i-0".into(),
        born: 0,
        daemon: "edge-2".into(),
        request: "a".into(),
    };
    send_request(&mut daemon, &request).await.expect("send");
    let (outcome, accepted) = tokio::join!(read_outcome(&mut daemon), listener.accept());
    assert_eq!(outcome.expect("outcome"), TunnelOutcome::Connected);
    let endpoint = accepted.expect("accept").0;
    OpenTunnel { forwarder, tunnel: TunnelStream::new(daemon), endpoint, _platform: platform }
}

/// Has a request and the first part of its response carried, and the forwarder stop then.
async fn stopping_forwarder() -> OpenTunnel {
    let mut open = open_tunnel().await;
    open.tunnel.write_all(b"GET").await.expect("write");
    open.endpoint.read_exact(&mut [0; 3]).await.expect("read");
    open.endpoint.write_all(FIRST_PART).await.expect("write");
    open.tunnel.read_exact(&mut [0; FIRST_PART.len()]).await.expect("first part");
    open.forwarder.signal("-TERM");
    open
}

/// Guards against a stream that a stopping forwarder cuts while its endpoint is at work.
async fn response_goes_on_after(pause: Duration) {
    let mut open = stopping_forwarder().await;
    sleep(pause).await;
    // Fails if the forwarder has closed the connection; the read reports it.
    let _ = open.endpoint.write_all(LAST_PART).await;
    let mut last = [0; LAST_PART.len()];
    let read = open.tunnel.read_exact(&mut last).await;
    assert!(read.is_ok(), "cut after a pause of {pause:?}: {read:?}");
    assert_eq!(&last, LAST_PART);
}

macro_rules! response_goes_on_through_a_stopping_forwarder {
    ($($name:ident: $pause_ms:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            response_goes_on_after(Duration::from_millis($pause_ms)).await;
        }
    )*};
}

response_goes_on_through_a_stopping_forwarder! {
    tunnelled_stream_that_pauses_shortly: 1_000;
    tunnelled_stream_that_pauses_for_three_seconds: 3_000;
    tunnelled_stream_that_pauses_for_four_seconds: 4_000;
}

/// Guards against a response that a stopping forwarder cuts while its reader is slow.
#[tokio::test]
async fn tunnelled_response_that_is_read_late() {
    let OpenTunnel { forwarder, mut tunnel, mut endpoint, _platform } = stopping_forwarder().await;
    let sending = tokio::spawn(async move {
        // Fails if the forwarder has closed the connection; the reads report it.
        let _ = endpoint.write_all(&vec![b'x'; LONG_RESPONSE]).await;
        endpoint
    });
    sleep(READ_PAUSE).await;
    let mut received = vec![0; LONG_RESPONSE];
    let read = tunnel.read_exact(&mut received).await;
    assert!(read.is_ok(), "cut while it was read late: {read:?}");
    drop((sending, forwarder));
}

/// Guards against a forwarder whose stop takes all of its grace time, since a daemon keeps an unused tunnel.
#[tokio::test]
async fn unused_tunnel_ends_before_the_grace_time() {
    let mut open = stopping_forwarder().await;
    let stopped = Instant::now();
    let read = open.tunnel.read(&mut [0; 1]).await;
    assert!(read.is_err(), "{read:?}");
    assert!(stopped.elapsed() < UNUSED_LIMIT, "{:?}", stopped.elapsed());
}
