//! The partitioned daemon's side of an open tunnel.
//!
//! What the endpoint sends arrives in frames, and the last one is empty. Without it the end of the
//! forwarder's connection is an error: a response that ends with its connection would otherwise seem
//! complete when the forwarder has ended. Bytes to the endpoint are sent as they are.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Length of the number of bytes before each frame, a big-endian `u32`.
pub const HEADER_LENGTH: usize = 4;

/// How far the frames have been read.
#[derive(Debug)]
enum FramePosition {
    /// In a frame's header, after this number of its bytes.
    Header([u8; HEADER_LENGTH], usize),
    /// In a frame, before this number of bytes.
    Payload(usize),
    /// After the last frame.
    End,
}

/// Connection to an endpoint through another daemon.
#[derive(Debug)]
pub struct TunnelStream {
    stream: TcpStream,
    position: FramePosition,
}

impl TunnelStream {
    /// Wraps a connection on which the forwarder has reported that it is connected to the endpoint.
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, position: FramePosition::Header([0; HEADER_LENGTH], 0) }
    }

    /// Reads a part of a header.
    fn poll_header(
        &mut self,
        task: &mut Context<'_>,
        mut header: [u8; HEADER_LENGTH],
        read: usize,
    ) -> Poll<io::Result<()>> {
        let mut rest = ReadBuf::new(&mut header[read..]);
        ready!(Pin::new(&mut self.stream).poll_read(task, &mut rest))?;
        let read = read + rest.filled().len();
        if rest.filled().is_empty() {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        self.position = match (read, u32::from_be_bytes(header)) {
            (HEADER_LENGTH, 0) => FramePosition::End,
            (HEADER_LENGTH, length) => FramePosition::Payload(length as usize),
            _ => FramePosition::Header(header, read),
        };
        Poll::Ready(Ok(()))
    }

    /// Reads a part of a frame of which `left` bytes are left.
    fn poll_payload(
        &mut self,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        left: usize,
    ) -> Poll<io::Result<()>> {
        let wanted = left.min(buffer.remaining());
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(wanted));
        ready!(Pin::new(&mut self.stream).poll_read(task, &mut part))?;
        let read = part.filled().len();
        if read == 0 {
            return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()));
        }
        buffer.advance(read);
        self.position = match left - read {
            0 => FramePosition::Header([0; HEADER_LENGTH], 0),
            left => FramePosition::Payload(left),
        };
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for TunnelStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            match self.position {
                FramePosition::End => return Poll::Ready(Ok(())),
                FramePosition::Header(header, read) => {
                    ready!(self.poll_header(task, header, read))?;
                }
                FramePosition::Payload(left) => return self.poll_payload(task, buffer, left),
            }
        }
    }
}

impl AsyncWrite for TunnelStream {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, task: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(task)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(task, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
