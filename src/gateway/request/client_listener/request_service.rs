//! Responds to the requests of a client's connection.

use std::{cell::RefCell, future::poll_fn, io, rc::Rc};

use hyper::{
    Request, Response, Version,
    body::{Body, Incoming},
};

use super::{
    client_body::ClientBody, client_stream::ClientStream, connection_use::ConnectionUse,
    request_body::RequestBody,
};
use crate::{
    gateway::{
        context::GatewayContext,
        request::{dispatch, relay::EndsWithConnection},
    },
    http::LocalBody,
    platform::ingress,
};

/// Error that ends the HTTP library's part in a connection.
const HANDED_OVER: &str = "the response ends with the connection";

/// A response that has to end with the connection, which the HTTP library leaves to it.
pub(super) type Handover = Rc<RefCell<Option<Response<RequestBody>>>>;

/// Responds to one request. The connection counts as busy until the response's body is dropped.
///
/// # Errors
///
/// Ends the library's part in the connection: the response has been handed over, or there is none.
pub(super) async fn respond(
    context: Rc<GatewayContext>,
    usage: Rc<ConnectionUse>,
    stream: ClientStream,
    handover: Handover,
    request: Request<Incoming>,
) -> Result<Response<RequestBody>, io::Error> {
    let end = usage.begin_request();
    let version = request.version();
    let request = request.map(|body| ClientBody::new(body, usage.clone()));
    let response = dispatch::respond(&context, &usage, request).await?;
    let ends_connection = ends_with_connection(&response, version);
    let mut response = response.map(|body| RequestBody::new(body, stream.clone(), end));
    if usage.has_unread_body() {
        // The connection ends, and bytes that follow are discarded: the client must not send another request.
        ingress::close_after(response.headers_mut());
    }
    if !ends_connection {
        return Ok(response);
    }
    // Former responses on the connection come first.
    poll_fn(|task| stream.poll_flushed(task)).await;
    *response.version_mut() = version;
    *handover.borrow_mut() = Some(response);
    Err(io::Error::other(HANDED_OVER))
}

/// Whether the end of a response can be marked by nothing but that of the connection.
fn ends_with_connection(response: &Response<LocalBody>, version: Version) -> bool {
    let body = response.body();
    let has_length = body.is_end_stream() || body.size_hint().exact().is_some();
    let has_chunks = version != Version::HTTP_10;
    !has_length && (!has_chunks || response.extensions().get::<EndsWithConnection>().is_some())
}
