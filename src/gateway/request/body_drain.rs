//! Reads the rest of a response body that is not passed on, so that its connection can be reused.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use tokio::time::timeout;

use super::{connection_pool::EndpointConnection, response_meaning::ResponseMetadata};
use crate::gateway::context::GatewayContext;

/// Longest wait for the rest of the body. These responses are short, and a new connection costs
/// less than the resources that a longer wait would hold.
const DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// Longest rest of a body that is read, in bytes. Endpoints in trouble send bytes without end.
const DRAIN_BYTES: usize = 64 * 1024;

/// Reads the rest of the body in a separate task. If that fails, takes too long or the rest is too long, the
/// connection is closed and the next attempt opens a new one.
pub fn drain_body(
    context: &Rc<GatewayContext>,
    response: Response<Incoming>,
    connection: EndpointConnection,
    metadata: ResponseMetadata,
) {
    if metadata.closes {
        return;
    }
    let pool = context.connections.clone();
    tokio::task::spawn_local(async move {
        let is_whole = timeout(DRAIN_LIMIT, read_rest(response.into_body())).await;
        if is_whole == Ok(true) {
            pool.give_back(connection, metadata.keep);
        }
    });
}

/// Reads a body to its end; false if it breaks or is too long.
async fn read_rest(mut body: Incoming) -> bool {
    let mut length = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else { return false };
        length += frame.data_ref().map_or(0, Bytes::len);
        if length > DRAIN_BYTES {
            return false;
        }
    }
    true
}
