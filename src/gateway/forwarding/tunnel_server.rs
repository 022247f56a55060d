//! The forwarder's side of tunnels: connects to endpoints for daemons that don't reach them, and passes
//! the bytes on.
//!
//! Only endpoints in this daemon's list are connected to, at the address in it. The number of tunnels is
//! bounded, so that they leave this daemon's own clients enough of its VM; further ones are refused at
//! once. A tunnel ends with either of its connections.
//!
//! Connections to endpoints are opened over this daemon's own links, so what happens to them shows, as for its
//! own requests, whether it is partitioned itself.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    time::{Instant, sleep, timeout},
};

use super::{
    handshake::{TunnelOutcome, TunnelRequest, read_request, send_outcome},
    tunnel_stream::HEADER_LENGTH,
};
use crate::{
    boot_clock,
    counting::CountGuard,
    gateway::{
        context::GatewayContext, endpoint::EndpointRecord,
        policy::daemon::endpoint_access::LinkFailure, request::connection_pool::connect_direct,
    },
    http::server,
    ids::SharedName,
    kernel::LifePhase,
};

/// Name of the service.
pub const NAME: &str = "tunnel-server";
/// Most tunnels that a daemon carries. Bounds the memory and file descriptors that they use.
const MAX_TUNNELS: usize = 512;
/// Longest wait for the request that opens a tunnel, and for sending its result: several round trips.
const HANDSHAKE_LIMIT: Duration = Duration::from_millis(400);
/// Longest wait for a connection to an endpoint: shorter than that of the daemon that waits for it.
const CONNECT_LIMIT: Duration = Duration::from_millis(300);
/// A tunnel on which nothing has been passed on for this long is not in use, unless a response is awaited.
/// The forwarder can't tell an endpoint that pauses from one that has finished, so this is longer than a daemon
/// keeps a connection for its next request, if the endpoint announces no time for it.
const UNUSED_AFTER: Duration = Duration::from_secs(5);
/// Interval at which a stopping daemon checks whether a tunnel is in use.
const USE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Bytes read at a time, with the header of their frame.
const BUFFER_SIZE: usize = 4 * 1024;

/// Serves other daemons' tunnels until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<GatewayContext>) {
    let phase = context.kernel.phase();
    server::accept_each(listener, phase, |stream| {
        tokio::task::spawn_local(serve(stream, context.clone()));
    })
    .await;
}

async fn serve(mut daemon: TcpStream, context: Rc<GatewayContext>) {
    // Fails only on a socket that is already broken, which the first read will report.
    let _ = daemon.set_nodelay(true);
    // Without a valid request the connection is closed; the other daemon counts that as a failure.
    let Ok(Ok(request)) = timeout(HANDSHAKE_LIMIT, read_request(&mut daemon)).await else { return };
    let guard = context.carried_tunnels.enter();
    let (outcome, link) = open(&context, &request).await;
    log_tunnel(&context, &request, outcome);
    let sending = timeout(HANDSHAKE_LIMIT, send_outcome(&mut daemon, outcome));
    let (Ok(Ok(())), Some(link)) = (sending.await, link) else { return };
    carry(daemon, link, &context, guard).await;
}

/// Connection of this daemon to an endpoint.
struct EndpointLink {
    stream: TcpStream,
    endpoint: SharedName,
    /// When it began to be opened.
    begun: Instant,
}

async fn open(
    context: &GatewayContext,
    request: &TunnelRequest,
) -> (TunnelOutcome, Option<EndpointLink>) {
    let is_full = context.carried_tunnels.get() > MAX_TUNNELS;
    if is_full || context.is_leaving() || context.is_partitioned() {
        return (TunnelOutcome::NotCarried, None);
    }
    let Some(endpoint) = find_endpoint(context, request) else {
        return (TunnelOutcome::NotCarried, None);
    };
    let begun = boot_clock::now();
    match connect_direct(endpoint.address, begun + CONNECT_LIMIT).await {
        Ok(stream) => {
            context.endpoint_connected();
            let link = EndpointLink { stream, endpoint: endpoint.id.clone(), begun };
            (TunnelOutcome::Connected, Some(link))
        }
        Err(failure) => {
            context.endpoint_unreached(&endpoint.id, LinkFailure::NotConnected, begun);
            let outcome = match failure.is_refused() {
                true => TunnelOutcome::Refused,
                false => TunnelOutcome::NotReached,
            };
            (outcome, None)
        }
    }
}

fn find_endpoint(context: &GatewayContext, request: &TunnelRequest) -> Option<Rc<EndpointRecord>> {
    let list = context.endpoint_list.borrow();
    let is_requested =
        |one: &&Rc<EndpointRecord>| one.id == request.endpoint && one.born == request.born;
    list.endpoints.iter().find(is_requested).cloned()
}

fn log_tunnel(context: &GatewayContext, request: &TunnelRequest, outcome: TunnelOutcome) {
    context.metrics.count_labelled("tunnels_requested", "outcome", &outcome.to_string());
    if !context.tunnel_lines.borrow_mut().allows(boot_clock::now()) {
        return;
    }
    spdlog::info!("tunnel", kv: {
        id: = request.request, daemon: = request.daemon, endpoint: = request.endpoint, outcome:
    });
}

/// What has ended a tunnel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TunnelEnd {
    /// The other daemon has closed it.
    Daemon,
    /// The endpoint has closed its connection, or this has failed.
    Endpoint,
    /// This daemon stops, and it is not in use.
    Unused,
}

/// Use of one tunnel.
struct TunnelUse {
    /// Whether the endpoint has sent nothing since the daemon last sent a request.
    awaits_response: Cell<bool>,
    /// Whether the endpoint has ever sent anything.
    has_response: Cell<bool>,
    /// Whether bytes of the endpoint wait for the daemon to take them.
    is_blocked: Cell<bool>,
    /// When bytes were last passed on.
    active_at: Cell<Instant>,
}

impl TunnelUse {
    fn new() -> Self {
        Self {
            awaits_response: Cell::new(true),
            has_response: Cell::new(false),
            is_blocked: Cell::new(false),
            active_at: Cell::new(boot_clock::now()),
        }
    }

    fn passed_on(&self, is_request: bool) {
        self.awaits_response.set(is_request);
        self.active_at.set(boot_clock::now());
    }

    fn is_unused(&self) -> bool {
        let awaits_nothing = !self.awaits_response.get() && !self.is_blocked.get();
        awaits_nothing && boot_clock::since(self.active_at.get()) > UNUSED_AFTER
    }
}

/// Passes bytes on in both directions until either connection ends, or until this daemon stops and
/// the tunnel is not in use.
async fn carry(
    daemon: TcpStream,
    link: EndpointLink,
    context: &GatewayContext,
    _tunnel: CountGuard,
) {
    let (from_daemon, to_daemon) = daemon.into_split();
    let (from_endpoint, to_endpoint) = link.stream.into_split();
    let usage = TunnelUse::new();
    let end = tokio::select! {
        end = pass_requests(from_daemon, to_endpoint, &usage) => end,
        end = pass_responses(from_endpoint, to_daemon, context, &usage) => end,
        () = until_unused(context, &usage) => TunnelEnd::Unused,
    };
    if end == TunnelEnd::Endpoint && !usage.has_response.get() {
        context.metrics.count("tunnels_unanswered", 1);
        context.endpoint_unreached(&link.endpoint, LinkFailure::Closed, link.begun);
    }
}

/// Passes requests on until either connection ends.
async fn pass_requests(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    usage: &TunnelUse,
) -> TunnelEnd {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        // An error ends the tunnel like a close.
        let length = from.read(&mut buffer).await.unwrap_or(0);
        usage.passed_on(true);
        if length == 0 {
            return TunnelEnd::Daemon;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return TunnelEnd::Endpoint;
        }
    }
}

/// Passes responses on in frames until either connection ends; only a regular end of the endpoint's
/// connection is passed on as such.
async fn pass_responses(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    context: &GatewayContext,
    usage: &TunnelUse,
) -> TunnelEnd {
    let mut buffer = vec![0; BUFFER_SIZE];
    loop {
        let read = from.read(&mut buffer[HEADER_LENGTH..]).await;
        let Ok(length) = read else { return TunnelEnd::Endpoint };
        usage.passed_on(false);
        if length > 0 && !usage.has_response.replace(true) {
            context.endpoint_responded(true);
        }
        buffer[..HEADER_LENGTH].copy_from_slice(&(length as u32).to_be_bytes());
        usage.is_blocked.set(true);
        let sent = to.write_all(&buffer[..HEADER_LENGTH + length]).await;
        usage.is_blocked.set(false);
        usage.active_at.set(boot_clock::now());
        if length == 0 {
            return TunnelEnd::Endpoint;
        }
        if sent.is_err() {
            return TunnelEnd::Daemon;
        }
    }
}

/// Waits until this daemon is stopping and the tunnel is not in use.
async fn until_unused(context: &GatewayContext, usage: &TunnelUse) {
    let mut phase = context.kernel.phase();
    // Fails only after the kernel has ended, and the process with it.
    let _ = phase.wait_for(|phase| *phase >= LifePhase::Draining).await;
    while !usage.is_unused() {
        sleep(USE_CHECK_INTERVAL).await;
    }
}
