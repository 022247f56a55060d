//! From a client's request to its answer: checked, admitted, and run at an endpoint.

use std::rc::Rc;

use hyper::{Request, Response, body::Incoming};
use tokio::time::Instant;

use super::{
    admission::{self, Admitted, admit},
    attempt::{AttemptEnd, Attempts, EndpointResponse, attempt, may_try_again, retry_after},
    refusal::Refusal,
    relay,
    request_log::RequestTrace,
};
use crate::{
    endpoint_health::AttemptResult,
    gateway::{configuration::RouteKind, context::GatewayContext},
    http::LocalBody,
    platform::ingress,
};

/// Why a connection is closed without an answer.
const CLIENT_BROKE_OFF: &str = "client broke off";

/// Answers a client's request.
pub async fn answer(
    context: &Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, std::io::Error> {
    // NOTE: the HTTP library drops a length that stands beside chunks, so a body in chunks
    // may be meant to end elsewhere. What follows it is never read as another request.
    let last = ingress::is_chunked(request.headers());
    let mut answered = respond_to(context, request).await;
    if let (true, Ok(answer)) = (last, &mut answered) {
        ingress::close_after(answer.headers_mut());
    }
    answered
}

async fn respond_to(
    context: &Rc<GatewayContext>,
    request: Request<Incoming>,
) -> Result<Response<LocalBody>, std::io::Error> {
    let received = Instant::now();
    let _active = context.active.enter();
    let (parts, body) = request.into_parts();
    let head = match ingress::read_head(parts) {
        Ok(head) => head,
        Err(error) => {
            let refusal = Refusal::BadHead(error);
            RequestTrace::new(context, None).refused(&refusal);
            return Ok(refusal.answer(None));
        }
    };
    let id = head.id.clone();
    let mut trace = RequestTrace::new(context, Some(id.clone()));
    match admit(context, head, body, received).await {
        Err(Refusal::BodyBroken) => {
            trace.refused(&Refusal::BodyBroken);
            Err(std::io::Error::other(CLIENT_BROKE_OFF))
        }
        Err(refusal) => {
            trace.refused(&refusal);
            Ok(refusal.answer(Some(&id)))
        }
        Ok(admitted) => {
            trace.admitted(&admitted);
            Ok(run(context, admitted, trace).await)
        }
    }
}

/// Runs an admitted request: attempts until one has an answer to pass on.
async fn run(
    context: &Rc<GatewayContext>,
    admitted: Admitted,
    mut trace: RequestTrace,
) -> Response<LocalBody> {
    let admitted = Rc::new(admitted);
    let mut attempts = Attempts { tried: Vec::new(), sent: 0, maybe_run: false };
    match first_response(context, &admitted, &mut attempts, &mut trace).await {
        Ok(answer) => relay::pass_on(context, admitted, attempts, answer, trace),
        Err(refusal) => {
            if refusal.retry_after().is_some() {
                admission::give_quota_back(context, &admitted);
            }
            trace.refused(&refusal);
            refusal.answer(Some(&admitted.call.head.id))
        }
    }
}

/// Attempts until an endpoint answers with something to pass on.
async fn first_response(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    trace: &mut RequestTrace,
) -> Result<EndpointResponse, Refusal> {
    loop {
        let end = attempt(context, admitted, attempts, None, trace).await?;
        let may_go_on = |attempts: &Attempts| may_try_again(context, admitted, attempts);
        match end {
            AttemptEnd::Answer(answer) => {
                let failed = answer.response.status().is_server_error();
                let again =
                    failed && admitted.route.kind == RouteKind::Idempotent && may_go_on(attempts);
                if !again {
                    return Ok(*answer);
                }
                answer.guard.finish(AttemptResult::Neutral);
            }
            AttemptEnd::NotSent => {}
            AttemptEnd::NotRun if attempts.maybe_run => {
                if !may_go_on(attempts) {
                    return Err(Refusal::Unknown);
                }
            }
            AttemptEnd::NotRun => {
                if !may_go_on(attempts) {
                    return Err(Refusal::Full(retry_after(admitted)));
                }
            }
            AttemptEnd::Unknown => {
                attempts.maybe_run = true;
                let again = admitted.route.kind.may_run_again() && may_go_on(attempts);
                if !again {
                    let over = Instant::now() >= admitted.deadline;
                    return Err(if over { Refusal::OutOfTime } else { Refusal::Unknown });
                }
            }
        }
    }
}
