//! Server loop: accepts connections and answers each request with a handler.

use std::{net::SocketAddr, time::Duration};

use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::watch,
};

use super::ResponseBody;
use crate::{
    counting::OpenCount,
    errors::{FailureCause, StepError},
    kernel::LifePhase,
};

/// Longest time a caller may take to send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Largest request head, in bytes.
const HEAD_LIMIT: usize = 32 * 1024;
/// Most connections open at once; more wait in the listen queue.
const CONNECTION_LIMIT: usize = 8_192;

/// Marker on an answer: close the connection instead of sending it.
#[derive(Clone, Copy, Debug)]
pub struct CloseConnection;

/// Binds `address`.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, StepError> {
    TcpListener::bind(address).await.map_err(|error| {
        let cause = FailureCause::Unreachable(error.to_string());
        StepError::new("bind", address.to_string(), cause)
    })
}

/// Accepts connections and hands each to `take`, until the phase is `Stopping`.
pub async fn accept_each(
    listener: TcpListener,
    mut phase: watch::Receiver<LifePhase>,
    mut take: impl FnMut(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => take(stream),
            // NOTE: out of descriptors; accepting again at once would spin.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// Serves `listener` until the phase is `Stopping`; while draining, connections close
/// after the answer in progress.
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
        let answer = handler(request);
        async move {
            let answer = answer.await;
            match answer.extensions().get::<CloseConnection>() {
                Some(_) => Err(std::io::Error::other("closed instead of answering")),
                None => Ok(answer),
            }
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT).max_buf_size(HEAD_LIMIT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
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
