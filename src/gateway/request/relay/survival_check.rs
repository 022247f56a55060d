//! Finds out whether an endpoint goes on after the end of a response that ended with its connection.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext, endpoint::EndpointRecord, forwarding::endpoint_path::open_path,
        policy::request::response_end::EndpointSurvival,
    },
};

/// Delay of the check. A process that ends closes its connections and its listener within a few
/// milliseconds.
const CHECK_DELAY: Duration = Duration::from_millis(10);
/// Longest wait for a connection, during which the client waits for the end: several round trips.
const CHECK_LIMIT: Duration = Duration::from_millis(150);

/// Checks whether the endpoint accepts connections. A new connection is kept for the next request there, since
/// the former one has ended.
pub async fn check_survival(
    context: &GatewayContext,
    endpoint: &Rc<EndpointRecord>,
    id: &str,
) -> EndpointSurvival {
    sleep(CHECK_DELAY).await;
    if context.connections.has_open(endpoint) {
        return EndpointSurvival::Alive;
    }
    let until = boot_clock::now() + CHECK_LIMIT;
    match open_path(context, endpoint, id, until).await {
        Ok(open) => {
            if let Ok(connection) = context.connections.add_new(endpoint, open).await {
                context.connections.give_back(connection, None);
            }
            EndpointSurvival::Alive
        }
        Err(failure) if failure.is_refused() => {
            EndpointSurvival::after_refusal(is_listed(context, endpoint))
        }
        Err(_) => EndpointSurvival::Unknown,
    }
}

/// Whether the newest list has this start of the endpoint, and the endpoint takes requests.
fn is_listed(context: &GatewayContext, endpoint: &EndpointRecord) -> bool {
    let endpoints = context.endpoints.borrow();
    endpoints.knows_start(endpoint) && endpoints.is_ready(&endpoint.id)
}
