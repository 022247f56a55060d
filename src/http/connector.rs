//! Connects the HTTP client, and decides what happens to bytes that are on their way when a connection ends.
//!
//! A closed connection is not gone for the kernel: it goes on sending what the peer has not acknowledged,
//! for minutes, also after the process has ended. Where a call must not arrive after its caller has given it
//! up, the connection is reset instead, whoever ends it (a time limit, a dropped task, the end of the
//! process), and the kernel itself gives up while the process is frozen.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use hyper::{
    Uri,
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use tokio::net::TcpStream;
use tower_service::Service;

/// Longest wait for a TCP connection: the same as the shortest limit of a whole call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time after which the kernel discards bytes that the peer has not acknowledged: no longer than a call
/// of the lease holder may take (`platform::cloud`).
pub const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(1_000);

/// Error that prevents a connection.
type ConnectError = Box<dyn std::error::Error + Send + Sync>;

/// What happens to bytes that are on their way when a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnacknowledgedBytes {
    /// The kernel goes on sending them.
    Delivered,
    /// The kernel discards them.
    Discarded,
}

/// Connector with a time limit.
#[derive(Clone, Debug)]
pub struct TcpConnector {
    tcp: HttpConnector,
    unacknowledged: UnacknowledgedBytes,
}

impl TcpConnector {
    /// Creates a connector whose connections all end in the same way.
    pub fn new(unacknowledged: UnacknowledgedBytes) -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_connect_timeout(Some(CONNECT_TIMEOUT));
        tcp.set_nodelay(true);
        if unacknowledged == UnacknowledgedBytes::Discarded {
            tcp.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT));
        }
        Self { tcp, unacknowledged }
    }
}

impl Service<Uri> for TcpConnector {
    type Response = CallStream;
    type Error = ConnectError;
    type Future = Pin<Box<dyn Future<Output = Result<CallStream, ConnectError>> + Send>>;

    fn poll_ready(&mut self, task: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.tcp.poll_ready(task).map_err(ConnectError::from)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let connecting = self.tcp.call(uri);
        let unacknowledged = self.unacknowledged;
        Box::pin(async move { Ok(CallStream::new(connecting.await?, unacknowledged)?) })
    }
}

/// Connection of a call.
#[derive(Debug)]
pub struct CallStream {
    stream: TokioIo<TcpStream>,
    unacknowledged: UnacknowledgedBytes,
}

impl CallStream {
    fn new(stream: TokioIo<TcpStream>, unacknowledged: UnacknowledgedBytes) -> io::Result<Self> {
        if unacknowledged == UnacknowledgedBytes::Discarded {
            stream.inner().set_zero_linger()?;
        }
        Ok(Self { stream, unacknowledged })
    }
}

impl Connection for CallStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for CallStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(task, buffer)
    }
}

impl Write for CallStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(task, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(task)
    }

    /// Does nothing on a connection that is to be reset: an end in order would follow the bytes on their way.
    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.unacknowledged {
            UnacknowledgedBytes::Delivered => Pin::new(&mut self.stream).poll_shutdown(task),
            UnacknowledgedBytes::Discarded => Poll::Ready(Ok(())),
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(task, slices)
    }
}
