//! Body of a client's request, which tells its connection whether it was read to its end.

use std::{
    error::Error,
    io,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::gateway::request::client_listener::connection_use::ConnectionUse;

/// Why the rest of a body can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFault {
    /// The client has closed its connection, or its sending side.
    BrokenOff,
    /// Its chunks or trailers aren't valid, or longer than the HTTP library reads.
    NotValid,
}

impl BodyFault {
    fn of(error: &hyper::Error) -> Self {
        let cause = error.source().and_then(|source| source.downcast_ref::<io::Error>());
        match cause.map(io::Error::kind) {
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput) => Self::NotValid,
            _ => Self::BrokenOff,
        }
    }
}

/// Body of a request on a client's connection.
#[derive(Debug)]
pub struct ClientBody {
    body: Incoming,
    usage: Rc<ConnectionUse>,
    is_whole: bool,
}

impl ClientBody {
    /// Wraps the body of a request that begins on the connection.
    pub fn new(body: Incoming, usage: Rc<ConnectionUse>) -> Self {
        let is_whole = body.is_end_stream();
        if !is_whole {
            usage.begin_body();
        }
        Self { body, usage, is_whole }
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = BodyFault;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyFault>>> {
        let polled = Pin::new(&mut self.body).poll_frame(task);
        if let Poll::Ready(None) = polled {
            self.is_whole = true;
            self.usage.end_body(true);
        }
        polled.map(|frame| frame.map(|frame| frame.map_err(|error| BodyFault::of(&error))))
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for ClientBody {
    fn drop(&mut self) {
        self.usage.end_body(self.is_whole);
    }
}
