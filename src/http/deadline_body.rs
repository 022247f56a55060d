//! Body of a call that is not written after a time.
//!
//! `hyper` asks for the body before it flushes the head, so a call that is overdue by then is not sent at
//! all. A call may wait for its connection while its VM is suspended, and would be sent right after.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::time::Instant;

use crate::boot_clock;

/// The call was not sent, because the time for it had passed.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("not sent in time")]
pub struct OverdueCall;

/// Body of a call.
#[derive(Debug)]
pub struct DeadlineBody {
    bytes: Full<Bytes>,
    write_by: Option<Instant>,
}

impl DeadlineBody {
    /// Creates a body with these bytes. It is not written after `write_by`, a time of `boot_clock`.
    pub fn new(bytes: Bytes, write_by: Option<Instant>) -> Self {
        Self { bytes: Full::new(bytes), write_by }
    }
}

impl Body for DeadlineBody {
    type Data = Bytes;
    type Error = OverdueCall;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        task: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, OverdueCall>>> {
        if self.write_by.is_some_and(|at| boot_clock::now() > at) {
            return Poll::Ready(Some(Err(OverdueCall)));
        }
        let frame = Pin::new(&mut self.bytes).poll_frame(task);
        frame.map(|frame| frame.map(|bytes| bytes.map_err(|never| match never {})))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes.size_hint()
    }
}
