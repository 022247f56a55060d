//! Body of a request that has arrived completely: in segments as they were allocated, which all of its runs
//! share. The memory is accounted for until the last of them is dropped.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::gateway::request::admission::body_store::BodyCharge;

/// A complete body; clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct CallBody {
    segments: Rc<[Bytes]>,
    _charge: Option<Rc<BodyCharge>>,
}

impl CallBody {
    /// A body whose memory is accounted for by `charge`.
    pub fn new(segments: Vec<Bytes>, charge: BodyCharge) -> Self {
        Self { segments: segments.into(), _charge: Some(Rc::new(charge)) }
    }

    /// Its bytes, in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Number of its bytes.
    pub fn length(&self) -> u64 {
        self.segments.iter().map(|segment| segment.len() as u64).sum()
    }

    /// The body to send in one run.
    pub fn frames(&self) -> BodyFrames {
        BodyFrames { body: self.clone(), next: 0, left: self.length() }
    }
}

impl From<Bytes> for CallBody {
    /// A body whose memory is accounted for elsewhere.
    fn from(bytes: Bytes) -> Self {
        Self { segments: Rc::new([bytes]), _charge: None }
    }
}

/// The segments of a body on their way to an endpoint.
#[derive(Clone, Debug)]
pub struct BodyFrames {
    body: CallBody,
    next: usize,
    left: u64,
}

impl Body for BodyFrames {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let segment = self.body.segments.get(self.next).cloned();
        self.next += 1;
        self.left -= segment.as_ref().map_or(0, |segment| segment.len() as u64);
        Poll::Ready(segment.map(|segment| Ok(Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}
