//! The connection of one attempt: takes or opens it, sends the request over it, and records what that
//! shows of this daemon's own links (`policy::daemon::endpoint_access`).

use std::{mem, time::Duration};

use hyper::{Request, Response, body::Incoming};
use tokio::time::{Instant, sleep};

use super::{AttemptEnd, OpenRequest};
use crate::{
    boot_clock,
    endpoint_health::AttemptResult,
    gateway::{
        call::call_body::BodyFrames,
        context::GatewayContext,
        forwarding::{endpoint_path::open_path, open_path::EndpointPath},
        policy::{
            daemon::endpoint_access::LinkFailure,
            endpoint::endpoint_choice::EndpointChoice,
            request::{
                refusal::Refusal,
                retries::{AttemptFailure, NoAttempt, connection_reuse},
            },
        },
        request::{
            admission::Admitted,
            connection_pool::{EndpointConnection, SendFailure},
            run_guard::RunGuard,
        },
    },
};

/// Time without a response after which a new connection counts as silent: longer than endpoints that work
/// are silent.
const SILENCE_SIGN: Duration = Duration::from_millis(1_500);

/// Takes an idle connection to the chosen endpoint, or opens one, after `begun_before` others.
pub async fn connect(
    context: &GatewayContext,
    choice: &EndpointChoice,
    admitted: &Admitted,
    begun_before: u32,
) -> Result<EndpointConnection, SendFailure> {
    let endpoint = &choice.endpoint;
    let reuse = connection_reuse(admitted.route.kind, begun_before);
    let uses_tunnels = context.uses_tunnels(boot_clock::now());
    if let Some(idle) = context.connections.take(endpoint, reuse, uses_tunnels).await {
        return Ok(idle);
    }
    let open = open_path(context, endpoint, &admitted.call.head.id, admitted.deadline).await?;
    context.connections.add_new(endpoint, open).await
}

/// Handles an attempt without a connection. If it has shown that this daemon's own links have failed,
/// the endpoints that it did not reach may be tried again over others.
///
/// # Errors
///
/// The refusal of a request for which neither this daemon nor another one reaches endpoints.
pub fn not_connected(
    request: OpenRequest<'_>,
    failure: &SendFailure,
    guard: RunGuard,
) -> Result<AttemptEnd, Refusal> {
    let OpenRequest { context, admitted, attempts, trace } = request;
    let attempts = &mut *attempts.borrow_mut();
    attempts.begun -= 1;
    trace.borrow_mut().failed(failure, guard.endpoint());
    if matches!(failure, SendFailure::NoPath) {
        return Err(NoAttempt::NoPath.refusal(attempts.may_have_run, admitted.route.target));
    }
    attempts.unreached.push(guard.record().id.clone());
    let result = match context.is_partitioned() && !attempts.knows_partition {
        true => {
            attempts.knows_partition = true;
            let unreached = mem::take(&mut attempts.unreached);
            attempts.tried.retain(|tried| !unreached.contains(tried));
            AttemptResult::Neutral
        }
        false => AttemptResult::Failed,
    };
    guard.finish(result);
    Ok(AttemptEnd::Failed(AttemptFailure::NotSent))
}

/// Sends the request and records whether a response arrives over this daemon's own links. If none
/// arrives over a new connection for a while, that is recorded too, and the response is awaited further.
pub async fn send(
    context: &GatewayContext,
    connection: &mut EndpointConnection,
    request: Request<BodyFrames>,
    until: Instant,
    guard: &RunGuard,
) -> Result<Response<Incoming>, SendFailure> {
    if connection.path() != EndpointPath::Direct {
        return connection.send(request, until).await;
    }
    let (is_new, endpoint) = (connection.is_new(), &guard.record().id);
    let sending = connection.send(request, until);
    tokio::pin!(sending);
    let sent = tokio::select! {
        biased;
        sent = sending.as_mut() => sent,
        () = sleep(SILENCE_SIGN), if is_new => {
            context.endpoint_unreached(endpoint, LinkFailure::Silent, guard.begun());
            sending.await
        }
    };
    match &sent {
        Ok(_) => context.endpoint_responded(is_new),
        Err(SendFailure::Broken(_)) if is_new => {
            context.endpoint_unreached(endpoint, LinkFailure::Closed, guard.begun());
        }
        Err(_) => {} // Says nothing of the links.
    }
    sent
}
