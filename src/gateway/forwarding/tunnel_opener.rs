//! Opens tunnels to endpoints through other daemons, chosen by `policy::daemon::forwarder_choice`.

use std::{net::SocketAddr, time::Duration};

use tokio::{
    net::TcpStream,
    time::{Instant, timeout_at},
};

use super::{
    handshake::{TunnelOutcome, TunnelRequest, read_outcome, send_request},
    open_path::OpenTunnel,
    tunnel_stream::TunnelStream,
};
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext, endpoint::EndpointRecord, request::connection_pool::SendFailure,
    },
};

/// Most daemons through which one connection is tried.
const MAX_FORWARDERS: usize = 3;
/// Longest wait for one of them: several round trips, and its own connection to the endpoint.
const OPEN_LIMIT: Duration = Duration::from_millis(400);

/// Opens a tunnel to an endpoint for the request `id`.
///
/// # Errors
///
/// `Refused` or `NoConnection` if a forwarder could not connect to the endpoint, `NoPath` if no daemon
/// carries a tunnel.
pub async fn open_tunnel(
    context: &GatewayContext,
    endpoint: &EndpointRecord,
    id: &str,
    until: Instant,
) -> Result<OpenTunnel, SendFailure> {
    let mut tried = Vec::new();
    let mut failure = SendFailure::NoPath;
    while tried.len() < MAX_FORWARDERS && boot_clock::now() < until {
        let Some(forwarder) = choose_forwarder(context, &tried) else { break };
        tried.push(forwarder);
        match open_through(context, forwarder, endpoint, id, until).await {
            Ok(stream) => return Ok(OpenTunnel { stream, forwarder }),
            Err(SendFailure::Refused) => return Err(SendFailure::Refused),
            Err(other) => {
                // It carries no tunnel now, or may be partitioned itself without having noticed.
                context.forwarders.borrow_mut().failed(forwarder, boot_clock::now());
                failure = other;
            }
        }
    }
    Err(failure)
}

fn choose_forwarder(context: &GatewayContext, tried: &[SocketAddr]) -> Option<SocketAddr> {
    let now = boot_clock::now();
    let candidates = context.forwarder_candidates(now);
    context.forwarders.borrow().choose(&candidates, tried, now, &mut rand::rng())
}

async fn open_through(
    context: &GatewayContext,
    forwarder: SocketAddr,
    endpoint: &EndpointRecord,
    id: &str,
    until: Instant,
) -> Result<TunnelStream, SendFailure> {
    let until = until.min(boot_clock::now() + OPEN_LIMIT);
    let request = TunnelRequest {
        endpoint: endpoint.id.clone(),
        born: endpoint.born,
        daemon: context.settings.name.clone(),
        request: id.into(),
    };
    let opening = timeout_at(boot_clock::timer_at(until), shake_hands(forwarder, &request));
    // Whatever prevents the handshake, this forwarder carries no tunnel now.
    let Ok(Ok((stream, outcome))) = opening.await else { return Err(SendFailure::NoPath) };
    match outcome {
        TunnelOutcome::Connected => Ok(TunnelStream::new(stream)),
        TunnelOutcome::Refused => Err(SendFailure::Refused),
        TunnelOutcome::NotReached => Err(SendFailure::NoConnection),
        TunnelOutcome::NotCarried => Err(SendFailure::NoPath),
    }
}

async fn shake_hands(
    forwarder: SocketAddr,
    request: &TunnelRequest,
) -> Result<(TcpStream, TunnelOutcome), capnp::Error> {
    let mut stream = TcpStream::connect(forwarder).await?;
    stream.set_nodelay(true)?;
    send_request(&mut stream, request).await?;
    let outcome = read_outcome(&mut stream).await?;
    Ok((stream, outcome))
}
