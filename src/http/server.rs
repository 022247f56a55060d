//! HTTP server: accepts connections and calls a handler for each request.
//!
//! The native interface, the stand-ins and the operators' and metrics ports of both kinds of daemon
//! use it. The gateway's client port needs control over single connections and has its own loop
//! (`gateway::request::client_listener`). Everything runs on the thread of the `LocalSet`.

use std::{net::SocketAddr, time::Duration};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
    time::Instant,
};

use super::ResponseBody;
use crate::{
    counting::OpenCount,
    errors::{FailureCause, StepError},
    kernel::LifePhase,
    logs::LineBudget,
};

/// Longest time a client may take to send a request head: enough for slow networks, while a client
/// that sends nothing does not keep its connection for long.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest request head, in bytes.
const HEAD_LIMIT: usize = 32 * 1024;
/// Most connections open at once; further ones are closed as soon as they are accepted. Bounds the
/// memory and file descriptors that clients can use.
const CONNECTION_LIMIT: usize = 8_192;
/// Pause after a failed accept. The usual cause is a lack of file descriptors, which lasts: without
/// a pause the loop would use a whole core.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Log lines a second about failed accepts; further lines would tell an operator nothing new.
const ACCEPT_LINES: u32 = 1;

/// Extension of a response: the connection is closed instead of sending the response.
#[derive(Clone, Copy, Debug)]
pub struct CloseConnection;

/// Binds a listener to `address`.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(address).await.map_err(|error| {
        let cause = FailureCause::Unreachable(error.to_string());
        StepError::new("bind", address.to_string(), cause)
    })
}

/// Accepts connections and calls `start` with each, until the phase is `Stopping`.
pub async fn accept_each(
    listener: TcpListener,
    mut phase: watch::Receiver<LifePhase>,
    mut start: impl FnMut(TcpStream),
) {
    let mut failure_lines = LineBudget::new(ACCEPT_LINES, Instant::now());
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => start(stream),
            Err(error) => {
                if failure_lines.allows(Instant::now()) {
                    spdlog::warn!("accept failed", kv: { error: });
                }
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves HTTP on `listener` until the phase is `Stopping`. While draining, connections close after
/// the response in progress.
pub async fn serve<H, F>(listener: TcpListener, phase: watch::Receiver<LifePhase>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let open = OpenCount::default();
    let connections = phase.clone();
    accept_each(listener, phase, |stream| {
        if open.get() >= CONNECTION_LIMIT {
            return;
        }
        // Fails only if the socket is already broken; serving the connection then fails too.
        let _ = stream.set_nodelay(true);
        let guard = open.enter();
        let connection = serve_connection(stream, connections.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            let _guard = guard;
            connection.await;
        });
    })
    .await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    mut phase: watch::Receiver<LifePhase>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<ResponseBody>> + 'static,
{
    let service = service_fn(move |request| {
        let response = handler(request);
        async move {
            let response = response.await;
            match response.extensions().get::<CloseConnection>() {
                Some(_) => Err(std::io::Error::other("closed instead of responding")),
                None => Ok(response),
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(HEAD_LIMIT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // The result is not needed: a broken connection affects only its client, which notices it.
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = phase.wait_for(|phase| *phase >= LifePhase::Draining) => {}
    }
    connection.as_mut().graceful_shutdown();
    tokio::select! {
        _ = connection.as_mut() => {}
        _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => {}
    }
}
