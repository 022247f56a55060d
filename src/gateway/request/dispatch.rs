//! Handles a client's request from its head to the response: admits it, runs it at an endpoint, and
//! passes the response on or refuses the request. `policy::request::retries` decides what follows
//! each attempt.

use std::rc::Rc;

use hyper::{Request, Response, body::Incoming};

use super::{
    admission::{self, Admitted, admit},
    attempt::{
        AttemptEnd, Attempts, attempt,
        endpoint_response::{BodyStart, EndpointResponse},
        has_another, may_try_again, record_broken_run, wait_for_room,
    },
    refusal_response::refusal_response,
    relay,
    request_log::RequestTrace,
};
use crate::{
    boot_clock,
    endpoint_health::AttemptResult,
    gateway::{
        context::GatewayContext,
        policy::request::{
            refusal::Refusal,
            retries::{AttemptFailure, FailureStep, after_failure, may_retry_response},
        },
    },
    http::LocalBody,
    platform::ingress,
};

/// Error that closes the connection of a client whose request did not arrive completely.
const INCOMPLETE_BODY: &str = "request body incomplete";

/// Responds to a client's request; an error closes the connection without a response.
pub async fn respond(
    context: &Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, std::io::Error> {
    // The HTTP library ignores a Content-Length sent with a chunked body, so the client may have
    // meant the body to end elsewhere. Closing the connection after the response prevents the bytes
    // that follow from being read as another request.
    let close = ingress::is_chunked(request.headers());
    let mut responded = respond_to(context, request).await;
    if let (true, Ok(response)) = (close, &mut responded) {
        ingress::close_after(response.headers_mut());
    }
    responded
}

async fn respond_to(
    context: &Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, std::io::Error> {
    let received = boot_clock::now();
    let _active = context.active.enter();
    let (parts, body) = request.into_parts();
    let head = match ingress::read_head(parts) {
        Ok(head) => head,
        Err(error) => {
            let refusal = Refusal::BadHead(error);
            RequestTrace::new(context, None).refused(&refusal);
            return Ok(refusal_response(&refusal, None));
        }
    };
    let id = head.id.clone();
    let mut trace = RequestTrace::new(context, Some(id.clone()));
    match admit(context, head, body, received, &mut trace).await {
        Err(Refusal::BodyBroken) => {
            trace.refused(&Refusal::BodyBroken);
            Err(std::io::Error::other(INCOMPLETE_BODY))
        }
        Err(refusal) => {
            trace.refused(&refusal);
            Ok(refusal_response(&refusal, Some(&id)))
        }
        Ok(admitted) => Ok(run(context, admitted, trace).await),
    }
}

/// Runs an admitted request: makes attempts until there is a response to pass on.
async fn run(
    context: &Rc<GatewayContext>,
    admitted: Admitted,
    mut trace: RequestTrace,
) -> Response<LocalBody> {
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts::default();
    attempts.version = admitted.origin.as_ref().map(|origin| origin.start.version.clone());
    match first_response(context, &admitted, &mut attempts, &mut trace).await {
        Ok(response) => relay::pass_on(context, admitted, attempts, response, trace),
        Err(refusal) => {
            if refusal.promises_not_run() {
                admission::refund_quota(context, &admitted);
            }
            trace.refused(&refusal);
            refusal_response(&refusal, Some(&admitted.call.head.id))
        }
    }
}

/// Makes attempts until an endpoint gives a response to pass on. If no attempt succeeds, an
/// endpoint's error response is passed on rather than a refusal of this daemon.
async fn first_response(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    trace: &mut RequestTrace,
) -> Result<EndpointResponse, Refusal> {
    let mut error = None;
    let refusal = loop {
        match attempt(context, admitted, attempts, None, trace).await {
            Err(refusal) => break refusal,
            Ok(AttemptEnd::Responded(mut response)) => {
                let will_retry = may_be_dropped(admitted, &mut response).await
                    && has_another(context, admitted, attempts)
                    && may_try_again(context, admitted, attempts, trace);
                if !will_retry {
                    return Ok(*response);
                }
                attempts.may_have_run = true;
                error = drop_response(context, admitted, *response, trace).or(error);
            }
            Ok(AttemptEnd::Failed(failure)) => {
                if let Some(refusal) = refusal_after(context, admitted, attempts, failure, trace) {
                    break refusal;
                }
            }
        }
    };
    error.ok_or(refusal)
}

/// Whether a response may be dropped for another attempt: if it is an error, or a head without a
/// body.
async fn may_be_dropped(admitted: &Admitted, response: &mut EndpointResponse) -> bool {
    let kind = admitted.route.kind;
    let is_server_error = response.response.status().is_server_error();
    may_retry_response(kind, is_server_error)
        || !kind.is_stream() && response.lacks_body(admitted.deadline).await
}

/// Drops a response for another attempt. An error response is returned, since its endpoint has
/// finished the request. Otherwise the connection is closed, so that the endpoint stops working on
/// a request that is sent to another one.
fn drop_response(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    response: EndpointResponse,
    trace: &mut RequestTrace,
) -> Option<EndpointResponse> {
    if response.response.status().is_server_error() {
        return Some(response);
    }
    trace.missing_body();
    if response.body_start == BodyStart::Broken {
        let (endpoint, begun) = (response.guard.record(), response.guard.begun());
        record_broken_run(context, admitted, endpoint, begun, trace);
    }
    response.guard.finish(AttemptResult::Failed);
    None
}

/// The refusal after a failed attempt; `None` if another attempt follows.
fn refusal_after(
    context: &GatewayContext,
    admitted: &Admitted,
    attempts: &mut Attempts,
    failure: AttemptFailure,
    trace: &mut RequestTrace,
) -> Option<Refusal> {
    let step = after_failure(failure, admitted.route.kind, attempts.may_have_run);
    let reason = match step {
        FailureStep::TryNext => None,
        FailureStep::RetryOr(_) if may_try_again(context, admitted, attempts, trace) => None,
        FailureStep::RetryOr(reason) | FailureStep::GiveUp(reason) => Some(reason),
    };
    attempts.may_have_run |= failure == AttemptFailure::MayHaveRun;
    let is_deadline_over = boot_clock::now() >= admitted.deadline;
    Some(reason?.refusal(is_deadline_over, wait_for_room(context, admitted)))
}
