//! Opens connections to endpoints, and the ways in which an attempt may fail without a response.

use std::{io::ErrorKind, net::SocketAddr};

use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::{
        TrySendError,
        http1::{self, SendRequest},
    },
};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
    time::{Instant, timeout_at},
};

use super::bounded_stream::{BoundedStream, HeadAllowance};
use crate::{boot_clock, gateway::call::call_body::BodyFrames};

/// Most bytes that the HTTP library buffers of what an endpoint sends.
const READ_BUFFER_LIMIT: usize = 64 * 1024;

/// Sends requests over one connection.
#[derive(Debug)]
pub(super) struct RequestSender {
    sender: SendRequest<BodyFrames>,
    head: HeadAllowance,
}

impl RequestSender {
    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &mut self,
        request: Request<BodyFrames>,
    ) -> Result<Response<Incoming>, TrySendError<Request<BodyFrames>>> {
        self.head.limit();
        let response = self.sender.try_send_request(request).await?;
        self.head.lift();
        Ok(response)
    }

    /// Waits until the connection takes a request.
    pub async fn ready(&mut self) -> hyper::Result<()> {
        self.sender.ready().await
    }

    /// Whether the connection has been closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

/// Why an attempt has no response.
#[derive(Clone, Debug, derive_more::Display)]
pub enum SendFailure {
    /// The endpoint's address refuses connections.
    #[display("connection refused")]
    Refused,
    /// This daemon doesn't reach the endpoint, and no other daemon carries a connection to it; nothing
    /// was sent.
    #[display("no path")]
    NoPath,
    /// No connection could be opened in time; nothing was sent.
    #[display("no connection in time")]
    NoConnection,
    /// The connection was closed before anything was sent.
    #[display("connection closed before sending")]
    ClosedBefore,
    /// The connection broke after sending had begun: the request may have run.
    #[display("connection broke: {_0}")]
    Broken(String),
    /// No response arrived in time: the request may have run.
    #[display("no response in time")]
    NoResponse,
}

impl SendFailure {
    /// Whether the request has certainly not been sent.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Refused | Self::NoPath | Self::NoConnection | Self::ClosedBefore)
    }

    /// Whether the endpoint's address refuses connections.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused)
    }
}

/// Opens a connection over this daemon's own links.
///
/// # Errors
///
/// `Refused`, or `NoConnection` if there is none in time.
pub async fn connect_direct(address: SocketAddr, until: Instant) -> Result<TcpStream, SendFailure> {
    let connecting = timeout_at(boot_clock::timer_at(until), TcpStream::connect(address));
    match connecting.await {
        Ok(Ok(stream)) => {
            // Fails only on a socket that is already broken, which sending will report.
            let _ = stream.set_nodelay(true);
            Ok(stream)
        }
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Err(SendFailure::Refused),
        // Unreachable or not connected in time: this makes no difference to the request.
        Ok(Err(_)) | Err(_) => Err(SendFailure::NoConnection),
    }
}

/// Starts HTTP on a new connection.
pub(super) async fn start_http<S>(stream: S) -> Result<RequestSender, SendFailure>
where
    S: AsyncRead + AsyncWrite + Unpin + 'static,
{
    let stream = BoundedStream::new(stream);
    let head = stream.allowance();
    let mut builder = http1::Builder::new();
    let handshake = builder.max_buf_size(READ_BUFFER_LIMIT).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|_| SendFailure::ClosedBefore)?;
    tokio::task::spawn_local(async move {
        // Errors are returned to the request that uses the connection.
        let _ = connection.await;
    });
    Ok(RequestSender { sender, head })
}
