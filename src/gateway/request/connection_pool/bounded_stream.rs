//! A stream to an endpoint that may send only so many bytes before the head of its response is complete.
//!
//! The HTTP library limits the length of a single head, but not the number of informational heads that may
//! precede it, and it parses all that it has read before other tasks run.

use std::{
    cell::Cell,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Longest head of a response, with all informational heads before it, in bytes.
const HEAD_LIMIT: usize = 64 * 1024;

/// Bytes that may still arrive before the head of a response is complete.
#[derive(Clone, Debug)]
pub struct HeadAllowance(Rc<Cell<Option<usize>>>);

impl HeadAllowance {
    /// A head is awaited.
    pub fn limit(&self) {
        self.0.set(Some(HEAD_LIMIT));
    }

    /// The head has been received; what follows is read as the client takes it.
    pub fn lift(&self) {
        self.0.set(None);
    }

    fn is_spent(&self) -> bool {
        self.0.get() == Some(0)
    }

    fn spend(&self, bytes: usize) {
        self.0.set(self.0.get().map(|left| left.saturating_sub(bytes)));
    }
}

/// A stream whose reads fail once its allowance is spent.
#[derive(Debug)]
pub struct BoundedStream<S> {
    stream: S,
    allowance: HeadAllowance,
}

impl<S> BoundedStream<S> {
    /// Wraps a new stream, for which a head is awaited.
    pub fn new(stream: S) -> Self {
        Self { stream, allowance: HeadAllowance(Rc::new(Cell::new(Some(HEAD_LIMIT)))) }
    }

    /// Its allowance.
    pub fn allowance(&self) -> HeadAllowance {
        self.allowance.clone()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for BoundedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.is_spent() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "head of the response too long");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.allowance.spend(buffer.filled().len() - before);
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for BoundedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
