//! Listener for clients: accepts connections, serves the requests of each one after the other, and
//! closes connections that have been idle, or whose heads have been incomplete, for too long.
//!
//! A stopping daemon serves one request on each new connection; `daemon` describes the steps of a
//! stop.

pub mod client_body;
pub mod client_connections;
mod client_stream;
pub mod connection_end;
mod connection_expiry;
pub mod connection_use;
mod lingering_close;
mod request_body;
mod request_service;
mod unframed_response;

use std::{future::poll_fn, io, net::SocketAddr, rc::Rc, task::Poll, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::{
    net::{TcpListener, TcpStream},
    task::yield_now,
    time::sleep,
};

use self::{
    client_connections::ClientConnections,
    client_stream::ClientStream,
    connection_end::ConnectionEnd,
    connection_expiry::{client_limits, until_head_late, until_idle_at_stop, until_idle_too_long},
    connection_use::{ConnectionUse, RoomAnswer},
    request_service::{Handover, respond},
};
use crate::{boot_clock, gateway::context::GatewayContext, kernel::LifePhase};

/// Name of the service.
pub const NAME: &str = "client-edge";
/// Bytes of a client's connection that the kernel keeps unread, as far as it follows this: enough for an ordinary
/// request in a few round trips.
const RECEIVE_BUFFER: usize = 32 * 1024;
/// Longest time for which a connection accepted by a stopping daemon may have had no request; normally the
/// process exits earlier.
const UNUSED_LIMIT: Duration = Duration::from_secs(30);
/// Smallest buffer for a head that the HTTP library accepts, in bytes: the library panics below it.
const MIN_BUFFER: usize = 8 * 1024;
/// Pause before accepting again at the connection limit or after a failed accept: short for
/// clients, long enough to avoid a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Serves clients until the daemon stops.
pub async fn run(listener: TcpListener, context: Rc<GatewayContext>) {
    // Fails only on a kernel that sets the buffers itself; clients can then have it hold more unread bytes.
    let _ = SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER);
    let mut phase = context.kernel.phase();
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &context.client_connections) => accepted,
            () = context.intake.until_closed() => break,
            _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => return,
        };
        match accepted {
            Ok((stream, _)) => spawn_connection(stream, &context),
            // Usually out of file descriptors; accepting again at once would be a busy loop.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // The port closes, so that further clients go to another daemon at once instead of waiting for nothing.
    drop(listener);
    std::future::pending().await
}

/// Serves a connection in a task of its own.
fn spawn_connection(stream: TcpStream, context: &Rc<GatewayContext>) {
    let usage = Rc::new(ConnectionUse::starting_at(boot_clock::now()));
    let guard = context.client_connections.enter(usage.clone());
    // Fails only on a socket that is already broken, which the first read will report.
    let _ = stream.set_nodelay(true);
    let stream = ClientStream::new(stream, usage.clone());
    let context = context.clone();
    tokio::task::spawn_local(async move {
        let _guard = guard;
        serve_until_closed(&stream, &context, &usage).await;
        count_end(&context, &usage);
    });
}

/// Accepts a connection, and makes room for it.
async fn accept(
    listener: &TcpListener,
    open: &ClientConnections,
) -> io::Result<(TcpStream, SocketAddr)> {
    while !open.accepts() {
        sleep(ACCEPT_PAUSE).await;
    }
    let accepted = listener.accept().await?;
    while !open.has_room() && open.make_room() {
        // The task of the connection that is closed has to run.
        yield_now().await;
    }
    Ok(accepted)
}

/// Serves a connection until it ends, or is closed for another one.
async fn serve_until_closed(
    stream: &ClientStream,
    context: &Rc<GatewayContext>,
    usage: &Rc<ConnectionUse>,
) {
    let connection = serve_connection(stream.clone(), context.clone(), usage.clone());
    tokio::pin!(connection);
    loop {
        // The connection is polled first: a request that has arrived begins before the wish to close is looked at.
        tokio::select! {
            biased;
            () = connection.as_mut() => return,
            () = usage.close_asked() => {}
        }
        if usage.make_room(stream.has_unread()) == RoomAnswer::Close {
            usage.set_end(ConnectionEnd::ClosedForAnother);
            context.client_connections.count_closed_for_other();
            return;
        }
    }
}

/// Counts the end of a connection by its cause.
fn count_end(context: &GatewayContext, usage: &ConnectionUse) {
    let end = usage.end_cause().unwrap_or(ConnectionEnd::Finished);
    context.metrics.count_labelled("client_connections_ended", "cause", &end.to_string());
}

async fn serve_connection(
    stream: ClientStream,
    context: Rc<GatewayContext>,
    usage: Rc<ConnectionUse>,
) {
    let handover = Handover::default();
    serve_http(&stream, &context, &usage, &handover).await;
    if let Some(response) = handover.take() {
        let sending = unframed_response::send(stream.clone(), response);
        tokio::pin!(sending);
        let end = tokio::select! {
            // An error is the client's, or the response's own, which has its log line.
            sent = sending.as_mut() => sent.map_or(ConnectionEnd::BrokenOff, |()| ConnectionEnd::Finished),
            end = until_cut(&stream, &context, &usage) => end,
        };
        usage.set_end(end);
    }
    usage.end();
    if usage.has_unread_body() {
        let mut phase = context.kernel.phase();
        tokio::select! {
            () = lingering_close::discard_rest(&stream) => {}
            _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => {}
        }
    }
}

/// Serves requests until the connection ends or is handed over to a response.
async fn serve_http(
    stream: &ClientStream,
    context: &Rc<GatewayContext>,
    usage: &Rc<ConnectionUse>,
    handover: &Handover,
) {
    let service = service_fn(|request| {
        respond(context.clone(), usage.clone(), stream.clone(), handover.clone(), request)
    });
    let io = TokioIo::new(stream.clone());
    let connection = http1_builder(context).serve_connection(io, service);
    tokio::pin!(connection);
    let is_leaving = context.is_leaving();
    let mut finished = ConnectionEnd::Finished;
    // A connection that is handed over hasn't ended.
    let set_end = |end| {
        if handover.borrow().is_none() {
            usage.set_end(end);
        }
    };
    if !is_leaving {
        // The connection is polled first: bytes that it reads itself don't have to be buffered for it.
        finished = tokio::select! {
            biased;
            result = connection.as_mut() => return set_end(ConnectionEnd::of_library(result)),
            () = until_client_left(stream, usage) => return set_end(ConnectionEnd::ClientLeft),
            () = until_head_late(context, usage, stream) => return set_end(ConnectionEnd::HeadLate),
            () = until_idle_too_long(context, usage, stream) => ConnectionEnd::Idle,
            () = until_idle_at_stop(context, usage, stream) => ConnectionEnd::IdleAtStop,
        };
        if usage.is_busy() {
            finished = ConnectionEnd::Finished;
        } else if finished == ConnectionEnd::Idle {
            // A client that has read nothing of its response for that long doesn't keep others out.
            usage.end();
        }
        connection.as_mut().graceful_shutdown();
    }
    let end = tokio::select! {
        biased;
        end = until_last_response(connection.as_mut(), finished) => end,
        end = until_cut(stream, context, usage) => end,
        () = until_unused(usage), if is_leaving => ConnectionEnd::Unused,
    };
    // Before the library's part is dropped, and with it a request that is cut.
    set_end(end);
}

/// Waits for the end of a connection that takes no further requests; `finished` is why it takes none.
async fn until_last_response(
    connection: impl Future<Output = hyper::Result<()>>,
    finished: ConnectionEnd,
) -> ConnectionEnd {
    match connection.await {
        Ok(()) => finished,
        Err(error) => ConnectionEnd::of_library(Err(error)),
    }
}

/// Waits for as long as a connection that a stopping daemon accepts may have had no request.
async fn until_unused(usage: &ConnectionUse) {
    sleep(UNUSED_LIMIT).await;
    if usage.had_request() {
        std::future::pending().await
    }
}

/// Waits until a connection ends even under a request: its client has left, or the daemon ends.
async fn until_cut(
    stream: &ClientStream,
    context: &GatewayContext,
    usage: &ConnectionUse,
) -> ConnectionEnd {
    let mut phase = context.kernel.phase();
    tokio::select! {
        () = until_client_left(stream, usage) => ConnectionEnd::ClientLeft,
        _ = phase.wait_for(|phase| *phase == LifePhase::Stopping) => ConnectionEnd::DaemonStopped,
    }
}

/// Waits until the client closes its connection during a request. Dropping the connection then
/// cancels the endpoint's work immediately. Without this, if the client had sent another request
/// that was still unread, endpoints worked on until the deadline (2.95 s of 3 s, test
/// `client_gone`).
async fn until_client_left(stream: &ClientStream, usage: &ConnectionUse) {
    poll_fn(|task| match usage.is_busy() {
        true => stream.poll_closed(task),
        false => Poll::Pending,
    })
    .await;
}

fn http1_builder(context: &GatewayContext) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .max_buf_size(client_limits(context).head_bytes.max(MIN_BUFFER))
        .auto_date_header(false)
        .keep_alive(!context.is_leaving());
    builder
}
