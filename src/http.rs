//! HTTP/1.1 over `hyper`: server loop, client, and the client of JSON APIs; shared by the
//! gateway, the native interface and the stand-ins.
//!
//! `hyper` is used in place of the house style's `tiny_http` and `ureq` because responses
//! stream: docs/design/http.md has the measurement.

pub mod api_client;
pub mod client;
pub mod server;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Why a body ended before its end; its connection is closed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of every response that a server here sends.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Body of a response that stays on the thread of its daemon.
pub type LocalBody = std::pin::Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// Body that holds `bytes` whole.
pub fn whole_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(BodyError::from).boxed_unsync()
}

/// Body that is sent chunk by chunk as they come from the returned sender, of which
/// `capacity` may wait. Sending fails once the other side has closed the connection.
pub fn stream_body(capacity: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, ResponseBody) {
    let (sender, mut receiver) = mpsc::channel(capacity);
    let stream = futures::stream::poll_fn(move |task| receiver.poll_recv(task));
    let frames = stream.map(|piece: Result<Bytes, BodyError>| piece.map(Frame::data));
    (sender, StreamBody::new(frames).boxed_unsync())
}
