//! Cap'n Proto RPC over a TCP connection whose traffic is counted. Used between the native daemons
//! (schema/peer.capnp) and by the gateway's gossip (schema/exchange.capnp).

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use capnp_rpc::{RpcSystem, rpc_twoparty_capnp::Side, twoparty};
use futures::io::{AsyncRead, AsyncWrite, BufReader, BufWriter};
use tokio::net::TcpStream;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// Size of the read and the write buffer of a connection, in bytes. Longer parts of messages are read and
/// written without a copy; a daemon has a connection to and from each of its many peers.
const BUFFER_SIZE: usize = 1_024;

/// Counts the bytes sent and received over all connections that share it.
#[derive(Clone, Debug, Default)]
pub struct TrafficCounter {
    bytes: Rc<Cell<u64>>,
}

impl TrafficCounter {
    /// Number of bytes so far.
    pub fn bytes(&self) -> u64 {
        self.bytes.get()
    }

    fn add(&self, polled: &Poll<std::io::Result<usize>>) {
        if let Poll::Ready(Ok(count)) = polled {
            self.bytes.set(self.bytes.get() + *count as u64);
        }
    }
}

/// The read or write half of a connection, which adds its traffic to the counter.
struct CountedHalf<T> {
    inner: T,
    counter: TrafficCounter,
}

impl<T: AsyncRead + Unpin> AsyncRead for CountedHalf<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_read(task, buffer);
        self.counter.add(&polled);
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for CountedHalf<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.inner).poll_write(task, buffer);
        self.counter.add(&polled);
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(task)
    }

    fn poll_close(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_close(task)
    }
}

/// Creates the RPC system of one connection. A server passes its bootstrap capability.
pub fn rpc_system(
    stream: TcpStream,
    side: Side,
    bootstrap: Option<capnp::capability::Client>,
    counter: &TrafficCounter,
) -> RpcSystem<Side> {
    // This fails only on a broken socket, which the RPC system detects by itself.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let reader = CountedHalf { inner: reader.compat(), counter: counter.clone() };
    let writer = CountedHalf { inner: writer.compat_write(), counter: counter.clone() };
    let reader = BufReader::with_capacity(BUFFER_SIZE, reader);
    let writer = BufWriter::with_capacity(BUFFER_SIZE, writer);
    let network = twoparty::VatNetwork::new(reader, writer, side, Default::default());
    RpcSystem::new(Box::new(network), bootstrap)
}
