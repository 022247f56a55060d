//! A streamed body of known length, so that the client gets it with the endpoint's Content-Length
//! instead of chunked encoding.

use std::{
    pin::Pin,
    task::{Context as TaskContext, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::http::BodyError;

/// Body of a known length.
pub struct SizedBody<B> {
    body: Pin<Box<B>>,
    left: u64,
}

impl<B> SizedBody<B> {
    /// Wraps a body of `length` bytes.
    pub fn new(body: B, length: u64) -> Self {
        Self { body: Box::pin(body), left: length }
    }
}

impl<B> Body for SizedBody<B>
where
    B: Body<Data = Bytes, Error = BodyError>,
{
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut TaskContext<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = self.body.as_mut().poll_frame(task);
        if let Poll::Ready(Some(Ok(frame))) = &polled
            && let Some(bytes) = frame.data_ref()
        {
            self.left = self.left.saturating_sub(bytes.len() as u64);
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
