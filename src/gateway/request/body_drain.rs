//! Reads the rest of a response body that is not passed on, so that its connection can be reused.

use std::{rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Response, body::Incoming};
use tokio::time::timeout;

use super::{connection_pool::EndpointConnection, response_meaning::ResponseMetadata};
use crate::gateway::context::GatewayContext;

/// Longest wait for the rest of the body. These responses are short, and a new connection costs
/// less than the resources that a longer wait would hold.
const DRAIN_LIMIT: Duration = Duration::from_millis(200);

/// Reads the rest of the body in a separate task. If that fails or takes too long, the connection
/// is closed and the next attempt opens a new one.
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
        let whole = timeout(DRAIN_LIMIT, response.into_body().collect()).await;
        if matches!(whole, Ok(Ok(_))) {
            pool.give_back(connection, metadata.keep);
        }
    });
}
