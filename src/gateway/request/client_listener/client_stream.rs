//! A client's connection that detects its close while the HTTP library is not reading.
//!
//! The library stops reading while it has unparsed bytes of the next request, and so does not
//! detect a close after these bytes. Bytes that are read here in the meantime are buffered for the
//! library.

use std::{
    cell::RefCell,
    io,
    mem::MaybeUninit,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::gateway::request::client_listener::connection_use::ConnectionUse;

/// Most bytes that are buffered for the library; a close after more than these is not detected.
/// Enough for a few requests without a body.
const MAX_BUFFERED: usize = 16 * 1024;
/// Size of a single read: the head of a request.
const READ_SIZE: usize = 1_024;
/// Size of a single read of bytes that are discarded.
const DISCARD_SIZE: usize = 16 * 1024;

struct StreamState {
    stream: TcpStream,
    usage: Rc<ConnectionUse>,
    buffered: BytesMut,
    is_closed: bool,
    /// Woken at the next flush.
    flush_waker: Option<Waker>,
}

/// A client's connection; clones share it.
#[derive(Clone)]
pub struct ClientStream {
    state: Rc<RefCell<StreamState>>,
}

impl ClientStream {
    /// Wraps an accepted connection, and tells `usage` when bytes arrive.
    pub fn new(stream: TcpStream, usage: Rc<ConnectionUse>) -> Self {
        let state = StreamState {
            stream,
            usage,
            buffered: BytesMut::new(),
            is_closed: false,
            flush_waker: None,
        };
        Self { state: Rc::new(RefCell::new(state)) }
    }

    /// Ready once everything has been given to the kernel that the library has begun to write.
    pub fn poll_flushed(&self, task: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        if !state.usage.has_unsent() {
            return Poll::Ready(());
        }
        state.flush_waker = Some(task.waker().clone());
        Poll::Pending
    }

    /// Whether bytes have arrived that nobody has read. Asks the kernel: the runtime learns of them later.
    pub fn has_unread(&self) -> bool {
        let state = self.state.borrow();
        if state.is_closed || !state.buffered.is_empty() {
            return !state.buffered.is_empty();
        }
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(&state.stream).peek(&mut byte).is_ok_and(|length| length > 0)
    }

    /// Sets whether the connection is reset, instead of closed, when it is dropped or the process ends.
    ///
    /// # Errors
    ///
    /// The socket doesn't have the option.
    pub fn set_reset_on_close(&self, resets: bool) -> io::Result<()> {
        let linger = resets.then_some(Duration::ZERO);
        SockRef::from(&self.state.borrow().stream).set_linger(linger)
    }

    /// Discards bytes that have arrived; ready with whether the client's side is still open.
    pub fn poll_discard(&self, task: &mut Context<'_>) -> Poll<bool> {
        let mut state = self.state.borrow_mut();
        state.buffered.clear();
        if state.is_closed {
            return Poll::Ready(false);
        }
        let mut bytes = [MaybeUninit::uninit(); DISCARD_SIZE];
        let mut buffer = ReadBuf::uninit(&mut bytes);
        let read = ready!(Pin::new(&mut state.stream).poll_read(task, &mut buffer));
        Poll::Ready(read.is_ok() && !buffer.filled().is_empty())
    }

    /// Ready once the client has closed its side of the connection.
    pub fn poll_closed(&self, task: &mut Context<'_>) -> Poll<()> {
        let mut state = self.state.borrow_mut();
        while !state.is_closed && state.buffered.len() < MAX_BUFFERED {
            let mut bytes = [0; READ_SIZE];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut state.stream).poll_read(task, &mut buffer));
            // An error counts as a close; the library will get it when it reads or writes.
            state.is_closed = read.is_err() || buffer.filled().is_empty();
            state.buffered.extend_from_slice(buffer.filled());
            if !buffer.filled().is_empty() {
                state.usage.bytes_arrived();
            }
            // The library may be waiting for the bytes that were read here.
            task.waker().wake_by_ref();
        }
        match state.is_closed {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        if !state.buffered.is_empty() {
            let length = state.buffered.len().min(buffer.remaining());
            buffer.put_slice(&state.buffered[..length]);
            state.buffered.advance(length);
            return Poll::Ready(Ok(()));
        }
        if state.is_closed {
            return Poll::Ready(Ok(()));
        }
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut state.stream).poll_read(task, buffer));
        if buffer.filled().len() > before {
            state.usage.bytes_arrived();
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        self: Pin<&mut Self>,
        task: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        state.usage.begin_write();
        Pin::new(&mut state.stream).poll_write(task, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.state.borrow_mut();
        ready!(Pin::new(&mut state.stream).poll_flush(task))?;
        state.usage.end_write();
        if let Some(waker) = state.flush_waker.take() {
            waker.wake();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.state.borrow_mut().stream).poll_shutdown(task)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        task: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.state.borrow_mut();
        state.usage.begin_write();
        Pin::new(&mut state.stream).poll_write_vectored(task, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.state.borrow().stream.is_write_vectored()
    }
}
