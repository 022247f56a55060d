//! Body of a response to a client; the use of the client's connection ends with it.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::client_stream::ClientStream;
use crate::{
    gateway::request::client_listener::connection_use::RequestEnd,
    http::{BodyError, LocalBody},
};

/// Body of a response that marks its connection as idle after it has been passed on.
pub struct RequestBody {
    body: LocalBody,
    stream: ClientStream,
    /// Why the body is broken off, as soon as what has come before is sent.
    break_reason: Option<BodyError>,
    _end: RequestEnd,
}

impl RequestBody {
    /// Wraps the body of a response; dropping it ends the request.
    pub fn new(body: LocalBody, stream: ClientStream, end: RequestEnd) -> Self {
        Self { body, stream, break_reason: None, _end: end }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.break_reason.is_some() {
            ready!(self.stream.poll_flushed(task));
            return Poll::Ready(self.break_reason.take().map(Err));
        }
        let polled = ready!(self.body.as_mut().poll_frame(task));
        let Some(Err(error)) = polled else { return Poll::Ready(polled) };
        // The library drops what it has buffered when it gets an error, and sends it while the body isn't
        // ready.
        self.break_reason = Some(error);
        task.waker().wake_by_ref();
        Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
