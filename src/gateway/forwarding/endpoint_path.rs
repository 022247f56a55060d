//! Opens a connection to an endpoint: over this daemon's own links, or through another daemon.
//!
//! A daemon that is partitioned from all endpoints uses tunnels, if others carry them. Any other one
//! starts with its own connection; if that takes longer than usual, it opens a tunnel in addition and
//! uses whichever is open first. A partition thus delays few requests before the daemon has noticed it. Opening a
//! connection has no effect at the endpoint, so nothing runs twice.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{
    open_path::{OpenPath, OpenTunnel},
    tunnel_opener::open_tunnel,
};
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        endpoint::EndpointRecord,
        policy::daemon::endpoint_access::LinkFailure,
        request::connection_pool::{SendFailure, connect_direct},
    },
};

/// Longest wait for a new connection: several round trips. After it another endpoint is tried.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// Time after which a tunnel is opened in addition: several round trips, as a lost packet is sent again
/// only after a second.
const TUNNEL_DELAY: Duration = Duration::from_millis(100);

/// Opens a connection to an endpoint for the request `id`.
///
/// # Errors
///
/// Nothing was sent, whatever the failure.
pub async fn open_path(
    context: &GatewayContext,
    endpoint: &EndpointRecord,
    id: &str,
    deadline: Instant,
) -> Result<OpenPath, SendFailure> {
    let begun = boot_clock::now();
    let until = deadline.min(begun + CONNECT_LIMIT);
    if context.uses_tunnels(begun) {
        return open_tunnel(context, endpoint, id, until).await.map(OpenPath::Tunnel);
    }
    let opened = tokio::select! {
        biased;
        direct = connect_direct(endpoint.address, until) => direct.map(OpenPath::Direct),
        tunnel = open_later(context, endpoint, id, until) => Ok(OpenPath::Tunnel(tunnel)),
    };
    match opened {
        Ok(OpenPath::Direct(_)) => context.endpoint_connected(),
        // The forwarder has reached the endpoint before this daemon has.
        _ => context.endpoint_unreached(&endpoint.id, LinkFailure::NotConnected, begun),
    }
    opened
}

/// Opens a tunnel after `TUNNEL_DELAY`; never returns if there is none.
async fn open_later(
    context: &GatewayContext,
    endpoint: &EndpointRecord,
    id: &str,
    until: Instant,
) -> OpenTunnel {
    sleep(TUNNEL_DELAY).await;
    if context.has_forwarder(boot_clock::now())
        && let Ok(tunnel) = open_tunnel(context, endpoint, id, until).await
    {
        return tunnel;
    }
    std::future::pending().await
}
