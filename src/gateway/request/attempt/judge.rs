//! What the head of a response means for its request, and what it says of its endpoint.
//!
//! All responses come through here, whatever becomes of them: passed on, dropped for a retry, or
//! abandoned. What endpoints may say is listed in `docs/design/endpoint-signals.md`.

use std::rc::Rc;

use hyper::{Response, body::Incoming};
use tokio::time::Instant;

use super::{
    AttemptEnd,
    endpoint_response::{BodyStart, EndpointResponse},
};
use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        context::GatewayContext,
        policy::{
            endpoint::request_limit::plausible_limit,
            request::{
                refusal::promises_no_run,
                retries::{AttemptFailure, is_endpoint_failure},
            },
        },
        request::{
            admission::Admitted,
            connection_pool::EndpointConnection,
            drain::drain,
            request_log::RequestTrace,
            response_meaning::{LimitSignal, ResponseMeaning, ResponseSigns},
            run_guard::RunGuard,
        },
    },
    platform::ingress,
};

/// Judges the head of a response.
pub fn judge(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    response: Response<Incoming>,
    awaited_until: Instant,
    connection: EndpointConnection,
    guard: RunGuard,
    trace: &mut RequestTrace,
) -> AttemptEnd {
    let signs = ingress::read_response(&admitted.call.head.id, &response);
    trace.responded(response.status(), &signs);
    note_signals(&signs, &guard);
    let (status, body_start) = (response.status(), BodyStart::Unread);
    let response =
        EndpointResponse { response, body_start, awaited_until, signs, connection, guard };
    match signs.meaning {
        ResponseMeaning::Ran if promises_no_run(status) => {
            // The client would take the status for a promise that the endpoint has not made.
            admitted.count_run(context);
            refused(context, response, AttemptFailure::MayHaveRun)
        }
        ResponseMeaning::Ran => ran(context, admitted, response),
        ResponseMeaning::NotRun => refused(context, response, AttemptFailure::NotRun),
        ResponseMeaning::OtherEndpoint => {
            response.guard.endpoint_ended();
            not_its_own(context, response, AttemptFailure::NotRun)
        }
        ResponseMeaning::Foreign => not_its_own(context, response, AttemptFailure::MayHaveRun),
    }
}

/// Notes what the endpoint says of itself.
fn note_signals(signs: &ResponseSigns, guard: &RunGuard) {
    if signs.signals.is_draining {
        // Lists may call it ready for as long as the store is away.
        guard.endpoint_drains();
    }
    // An endpoint names a limit when it is in need: what it gets beyond is more than it can serve.
    match (signs.meaning, signs.signals.limit) {
        (ResponseMeaning::Ran | ResponseMeaning::NotRun, LimitSignal::PerSecond(limit)) => {
            guard.endpoint_limits(plausible_limit(limit));
        }
        (ResponseMeaning::Ran | ResponseMeaning::NotRun, LimitSignal::NotSaid) => {
            guard.endpoint_limits(None);
        }
        // Nothing is known of the limit.
        (ResponseMeaning::OtherEndpoint | ResponseMeaning::Foreign, _)
        | (_, LimitSignal::Unreadable) => {}
    }
}

fn ran(
    context: &GatewayContext,
    admitted: &Admitted,
    mut response: EndpointResponse,
) -> AttemptEnd {
    let status = response.response.status();
    let is_success = status.is_success();
    if !(admitted.route.kind.is_stream() && is_success) {
        // An error is a run too, also if it is dropped for a retry. A stream's run begins with
        // its first event.
        admitted.count_run(context);
    }
    if is_endpoint_failure(status) {
        response.guard.endpoint_failed();
    }
    AttemptEnd::Responded(Box::new(response))
}

fn refused(
    context: &Rc<GatewayContext>,
    response: EndpointResponse,
    failure: AttemptFailure,
) -> AttemptEnd {
    let EndpointResponse { response, signs, connection, mut guard, .. } = response;
    guard.endpoint_refused(signs.signals.backoff);
    guard.finish(AttemptResult::Neutral);
    drain(context, response, connection, signs);
    AttemptEnd::Failed(failure)
}

/// The response is of another endpoint, or to another request.
fn not_its_own(
    context: &GatewayContext,
    response: EndpointResponse,
    failure: AttemptFailure,
) -> AttemptEnd {
    context.connections.discard_connections(response.guard.endpoint());
    response.guard.finish(AttemptResult::Failed);
    AttemptEnd::Failed(failure)
}
