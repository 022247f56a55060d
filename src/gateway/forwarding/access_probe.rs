//! Sends health checks to endpoints over this daemon's own links: while the daemon is partitioned from all
//! endpoints, to find the end of the partition, and while it may be, to find out at once. A daemon whose
//! requests all wait would otherwise notice a partition late.

use std::{io, rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use rand::{RngExt, seq::IteratorRandom};
use tokio::{
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        endpoint::EndpointRecord,
        policy::daemon::endpoint_access::LinkFailure,
        request::connection_pool::{bounded_stream::BoundedStream, connect_direct},
    },
    platform::ingress,
};

/// Name of the service.
pub const NAME: &str = "access-probe";
/// Greatest random time added to the wait for a probe: many daemons may be partitioned at the same time.
const PROBE_JITTER: Duration = Duration::from_millis(50);
/// Longest wait for a connection, and for a response.
const PROBE_LIMIT: Duration = Duration::from_millis(400);

/// Probes endpoints while that is needed, until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    loop {
        context.access_doubted.notified().await;
        while let Some(wait) = next_probe(&context) {
            sleep(wait + PROBE_JITTER.mul_f64(rand::rng().random())).await;
            if let Some(endpoint) = draw_endpoint(&context) {
                probe(&context, &endpoint).await;
            }
        }
    }
}

fn next_probe(context: &GatewayContext) -> Option<Duration> {
    context.endpoint_access.borrow().next_probe(boot_clock::now())
}

fn draw_endpoint(context: &GatewayContext) -> Option<Rc<EndpointRecord>> {
    let list = context.endpoint_list.borrow();
    list.endpoints.iter().choose(&mut rand::rng()).cloned()
}

/// Sends one health check and records its result. Any response shows that the endpoint is reached.
async fn probe(context: &GatewayContext, endpoint: &EndpointRecord) {
    let (begun, path) = (boot_clock::now(), health_path(context, endpoint));
    context.metrics.count("access_probes", 1);
    let failure = match connect_direct(endpoint.address, begun + PROBE_LIMIT).await {
        // Refused or not in time: neither is a connection.
        Err(_) => LinkFailure::NotConnected,
        Ok(stream) => {
            context.endpoint_connected();
            match timeout(PROBE_LIMIT, exchange(stream, endpoint, &path)).await {
                Ok(Ok(())) => return context.endpoint_responded(true),
                Ok(Err(_)) => LinkFailure::Closed,
                // Out of time.
                Err(_) => LinkFailure::Silent,
            }
        }
    };
    context.endpoint_unreached(&endpoint.id, failure, begun);
}

fn health_path(context: &GatewayContext, endpoint: &EndpointRecord) -> String {
    let configuration = context.configuration();
    let service = configuration.as_ref().and_then(|one| one.services.get(&endpoint.service));
    service.map_or_else(|| "/".to_owned(), |service| service.health_path.to_string())
}

async fn exchange(stream: TcpStream, endpoint: &EndpointRecord, path: &str) -> io::Result<()> {
    let handshake = http1::handshake::<_, Empty<Bytes>>(TokioIo::new(BoundedStream::new(stream)));
    let (mut sender, connection) = handshake.await.map_err(io::Error::other)?;
    tokio::task::spawn_local(async move {
        // Errors are returned to the request on the connection.
        let _ = connection.await;
    });
    let request = ingress::health_check(endpoint.address, path);
    sender.send_request(request).await.map(|_| ()).map_err(io::Error::other)
}
