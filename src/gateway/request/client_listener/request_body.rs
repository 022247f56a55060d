//! Body of a response to a client, and the use of the client's connection that ends with it.

use std::{
    cell::Cell,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use super::client_stream::ClientStream;
use crate::{
    boot_clock,
    http::{BodyError, LocalBody},
};

/// Whether a connection is in use, and since when it is idle.
#[derive(Debug)]
pub struct ConnectionUse {
    /// Whether a request is being handled or its response is being passed on.
    pub is_busy: Cell<bool>,
    /// Whether a request has begun.
    pub had_request: Cell<bool>,
    /// Whether a request's body has not been read to its end.
    pub has_unread_body: Cell<bool>,
    /// When the last response ended, or the connection began.
    pub idle_since: Cell<Instant>,
}

impl ConnectionUse {
    /// Use of a connection that has just begun.
    pub fn new() -> Self {
        Self {
            is_busy: Cell::new(false),
            had_request: Cell::new(false),
            has_unread_body: Cell::new(false),
            idle_since: Cell::new(boot_clock::now()),
        }
    }

    /// Marks the connection as busy until the returned guard is dropped.
    pub fn begin_request(self: &Rc<Self>) -> RequestEnd {
        self.is_busy.set(true);
        self.had_request.set(true);
        RequestEnd(self.clone())
    }

    fn end_request(&self) {
        self.is_busy.set(false);
        self.idle_since.set(boot_clock::now());
    }
}

/// When dropped, marks the connection as idle: with the response's body, or before there is one.
pub struct RequestEnd(Rc<ConnectionUse>);

impl Drop for RequestEnd {
    fn drop(&mut self) {
        self.0.end_request();
    }
}

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
