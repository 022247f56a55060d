//! The clients' port: accepts connections and keeps the configuration's time limits.

use std::{cell::Cell, rc::Rc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    time::{Instant, sleep, sleep_until, timeout},
};

use super::dispatch;
use crate::{
    gateway::context::{GatewayContext, Intake},
    kernel::LifePhase,
};

/// Name of the service.
pub const NAME: &str = "client-edge";
/// Most connections open at once; more wait in the listen queue.
const CONNECTION_LIMIT: usize = 2_500;
/// A connection is closed this much later than it may rest, so that a request that was sent
/// just in time does not cross the close.
const REST_MARGIN: Duration = Duration::from_millis(500);
/// Longest life of a connection that was accepted by a daemon on its way out.
const LEAVING_LIMIT: Duration = Duration::from_secs(30);
/// Smallest buffer for a head that the HTTP library takes.
const LEAST_BUFFER: usize = 8 * 1024;

/// What a connection is doing.
#[derive(Debug)]
struct ConnectionUse {
    /// Requests that have not been answered whole.
    busy: Cell<bool>,
    /// End of the last answer, or the start.
    rested_since: Cell<Instant>,
}

/// Serves clients until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<GatewayContext>) {
    let mut phase = context.kernel.phase();
    let open = context.client_connections.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept(), if open.get() < CONNECTION_LIMIT => accepted,
            () = sleep(Duration::from_millis(20)), if open.get() >= CONNECTION_LIMIT => continue,
            _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => return,
        };
        if context.intake.get() == Intake::Closed {
            return std::future::pending().await;
        }
        let Ok((stream, _)) = accepted else {
            // NOTE: out of descriptors; accepting again at once would spin.
            sleep(Duration::from_millis(20)).await;
            continue;
        };
        let guard = open.enter();
        let connection = serve_connection(stream, context.clone());
        tokio::task::spawn_local(async move {
            let _guard = guard;
            connection.await;
        });
    }
}

async fn serve_connection(stream: TcpStream, context: Rc<GatewayContext>) {
    // NOTE: fails only on a socket that is already broken, which reading finds out.
    let _ = stream.set_nodelay(true);
    let usage =
        Rc::new(ConnectionUse { busy: Cell::new(false), rested_since: Cell::new(Instant::now()) });
    let limits = context.configuration().map(|current| current.limits).unwrap_or_default();
    let service = service_fn({
        let (context, usage) = (context.clone(), usage.clone());
        move |request| {
            usage.busy.set(true);
            let (context, usage) = (context.clone(), usage.clone());
            async move {
                let answered = dispatch::answer(&context, request).await;
                usage.busy.set(false);
                usage.rested_since.set(Instant::now());
                answered
            }
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER))
        .auto_date_header(false)
        .keep_alive(!context.is_leaving())
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let mut phase = context.kernel.phase();
    if context.is_leaving() {
        // NOTE: it ends by itself after one answer; closed now, its request would be lost.
        let _ = timeout(LEAVING_LIMIT, connection).await;
        return;
    }
    loop {
        let limits = context.configuration().map(|current| current.limits).unwrap_or_default();
        let close_at = usage.rested_since.get() + limits.idle_timeout + REST_MARGIN;
        tokio::select! {
            _ = connection.as_mut() => return,
            () = sleep_until(close_at), if !usage.busy.get() => {
                if usage.rested_since.get() + limits.idle_timeout + REST_MARGIN > Instant::now() {
                    continue;
                }
                break;
            }
            () = sleep(limits.idle_timeout), if usage.busy.get() => continue,
            _ = phase.wait_for(|phase| *phase >= LifePhase::Draining) => break,
        }
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => {}
    }
}
