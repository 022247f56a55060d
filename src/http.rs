//! HTTP/1.1 over `hyper`: server loop, client, paths of URLs, and a client of JSON APIs; used by the gateway, the
//! native interface and the stand-ins.
//!
//! `hyper` is used instead of the blocking `tiny_http` and `ureq` because responses are streamed:
//! docs/design/http.md has the measurement.

pub mod api_client;
pub mod client;
pub mod connector;
pub mod deadline_body;
pub mod response_framing;
pub mod server;
pub mod url_path;

use bytes::Bytes;
use futures::StreamExt;
use http_body_util::{BodyExt, Full, StreamBody, combinators::UnsyncBoxBody};
use hyper::body::Frame;
use tokio::sync::mpsc;

/// Error that ends a body early; its connection is then closed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Body of the responses that [`server`] sends.
pub type ResponseBody = UnsyncBoxBody<Bytes, BodyError>;

/// Response body that is not `Send`: it stays on the thread of its daemon.
pub type LocalBody = std::pin::Pin<Box<dyn hyper::body::Body<Data = Bytes, Error = BodyError>>>;

/// Creates a body with all of `bytes`.
pub fn whole_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(BodyError::from).boxed_unsync()
}

/// Creates a body that streams the chunks sent through the returned sender, which buffers up to
/// `capacity` of them. Sending fails once the other side has closed the connection.
pub fn stream_body(capacity: usize) -> (mpsc::Sender<Result<Bytes, BodyError>>, ResponseBody) {
    let (sender, mut receiver) = mpsc::channel(capacity);
    let stream = futures::stream::poll_fn(move |task| receiver.poll_recv(task));
    let frames = stream.map(|piece: Result<Bytes, BodyError>| piece.map(Frame::data));
    (sender, StreamBody::new(frames).boxed_unsync())
}
