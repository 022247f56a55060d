//! Evaluates the head of a response: what it means for the request and for its endpoint.
//!
//! Every response is evaluated here, whether it is passed on, dropped for a retry, or abandoned.
//! The signals of endpoints are listed in `docs/design/endpoint-signals.md`.

use std::rc::Rc;

use hyper::{Response, StatusCode, body::Incoming};
use tokio::time::Instant;

use super::{
    AttemptEnd, OpenRequest,
    endpoint_response::{BodyStart, EndpointResponse},
};
use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        context::GatewayContext,
        policy::{
            endpoint::request_limit::plausible_limit,
            request::{
                refusal::status_promises_not_run,
                retries::{AttemptFailure, is_endpoint_failure},
            },
        },
        request::{
            admission::Admitted,
            body_drain::drain_body,
            connection_pool::EndpointConnection,
            response_meaning::{LimitSignal, ResponseMeaning, ResponseMetadata},
            run_guard::RunGuard,
        },
    },
    http::response_framing::FramingError,
    platform::ingress::{self, SentRequest},
};

/// Evaluates the head of a response.
pub fn evaluate_response(
    request: OpenRequest<'_>,
    response: Response<Incoming>,
    silent_at: Instant,
    connection: EndpointConnection,
    guard: RunGuard,
) -> AttemptEnd {
    let OpenRequest { context, admitted, trace, .. } = request;
    let sent = SentRequest::new(&admitted.call.head, guard.endpoint());
    let metadata = match ingress::read_response(sent, &response) {
        Ok(metadata) => metadata,
        Err(error) => return reject_malformed(request, error, guard),
    };
    trace.borrow_mut().responded(response.status(), &metadata, guard.endpoint());
    record_signals(&metadata, &guard);
    let (status, body_start) = (response.status(), BodyStart::Unread);
    let response =
        EndpointResponse { response, body_start, silent_at, metadata, connection, guard };
    handle_meaning(context, admitted, response, status)
}

/// Handles a response according to its meaning.
fn handle_meaning(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    response: EndpointResponse,
    status: StatusCode,
) -> AttemptEnd {
    match response.metadata.meaning {
        ResponseMeaning::Ran if status_promises_not_run(status) => {
            // Clients would understand the status as a promise that the endpoint did not make.
            admitted.count_run(context);
            handle_refusal(context, response, AttemptFailure::MayHaveRun)
        }
        ResponseMeaning::Ran => handle_run(context, admitted, response),
        ResponseMeaning::NotRun => handle_refusal(context, response, AttemptFailure::NotRun),
        ResponseMeaning::OtherWeights => {
            // It says nothing about how the endpoint serves others.
            let EndpointResponse { response, metadata, connection, guard, .. } = response;
            guard.finish(AttemptResult::Neutral);
            drain_body(context, response, connection, metadata);
            AttemptEnd::Failed(AttemptFailure::NotRun)
        }
        ResponseMeaning::OtherEndpoint => {
            response.guard.endpoint_ended();
            discard_mismatched(context, response, AttemptFailure::NotRun)
        }
        ResponseMeaning::Foreign => {
            discard_mismatched(context, response, AttemptFailure::MayHaveRun)
        }
        ResponseMeaning::Unacceptable => {
            admitted.count_run(context);
            discard_mismatched(context, response, AttemptFailure::MayHaveRun)
        }
    }
}

/// Rejects a response whose head can't be read with certainty. Its connection ends.
fn reject_malformed(request: OpenRequest<'_>, error: FramingError, guard: RunGuard) -> AttemptEnd {
    let OpenRequest { context, admitted, trace, .. } = request;
    trace.borrow_mut().malformed(&error, guard.endpoint());
    // Endpoints report requests that they do not run, but nothing in this head is certain.
    admitted.count_run(context);
    context.connections.discard_connections(guard.endpoint());
    guard.finish(AttemptResult::Failed);
    AttemptEnd::Failed(AttemptFailure::MayHaveRun)
}

/// Records the signals of the endpoint in the response.
fn record_signals(metadata: &ResponseMetadata, guard: &RunGuard) {
    if metadata.signals.is_draining {
        // While the store is unreachable, endpoint lists may still contain it as ready.
        guard.endpoint_drains();
    }
    let is_own = matches!(
        metadata.meaning,
        ResponseMeaning::Ran | ResponseMeaning::NotRun | ResponseMeaning::OtherWeights
    );
    if is_own {
        guard.endpoint_brittle(metadata.signals.is_brittle);
    }
    // An endpoint announces a limit when it is overloaded and can't serve more requests than that.
    match metadata.signals.limit {
        LimitSignal::PerSecond(limit) if is_own => guard.endpoint_limits(plausible_limit(limit)),
        LimitSignal::Absent if is_own => guard.endpoint_limits(None),
        // The endpoint's limit is unknown.
        LimitSignal::PerSecond(_) | LimitSignal::Absent | LimitSignal::Unreadable => {}
    }
}

fn handle_run(
    context: &GatewayContext,
    admitted: &Admitted,
    mut response: EndpointResponse,
) -> AttemptEnd {
    let status = response.response.status();
    let is_success = status.is_success();
    if !(admitted.route.kind.is_stream() && is_success) {
        // An error response counts as a run, even if it is dropped for a retry. A stream counts
        // when its first event arrives.
        admitted.count_run(context);
    }
    if is_endpoint_failure(status) {
        response.guard.endpoint_failed();
    }
    AttemptEnd::Responded(Box::new(response))
}

fn handle_refusal(
    context: &Rc<GatewayContext>,
    response: EndpointResponse,
    failure: AttemptFailure,
) -> AttemptEnd {
    let EndpointResponse { response, metadata, connection, mut guard, .. } = response;
    guard.endpoint_refused(metadata.signals.backoff);
    guard.finish(AttemptResult::Neutral);
    drain_body(context, response, connection, metadata);
    AttemptEnd::Failed(failure)
}

/// Handles a response from another endpoint, to another request, or that no client accepts.
fn discard_mismatched(
    context: &GatewayContext,
    response: EndpointResponse,
    failure: AttemptFailure,
) -> AttemptEnd {
    context.connections.discard_connections(response.guard.endpoint());
    response.guard.finish(AttemptResult::Failed);
    AttemptEnd::Failed(failure)
}
