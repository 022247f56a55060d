//! HTTP/1.1 over `hyper`: the server loop and the client that every process uses.
//!
//! `hyper` stands in for the house style's `tiny_http` and `ureq` where answers
//! stream; docs/design/http.md has the measurement behind it.

pub mod client;
pub mod server;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Why a body ended before its end; its connection is closed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of every answer that a server here sends.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Body of an answer that stays on the thread of its daemon.
pub type LocalBody = std::pin::Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// Body that holds `bytes` whole.
pub fn whole_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(BodyError::from).boxed_unsync()
}

/// Body that is sent piece by piece as `sender` gives them. The sender is told when
/// the other side has left.
pub fn stream_body(capacity: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, ResponseBody) {
    let (sender, mut receiver) = mpsc::channel(capacity);
    let stream = futures::stream::poll_fn(move |task| receiver.poll_recv(task));
    let frames = stream.map(|piece: Result<Bytes, BodyError>| piece.map(Frame::data));
    (sender, StreamBody::new(frames).boxed_unsync())
}
