//! One attempt at a request: an endpoint is chosen, connected to and asked.

use std::{rc::Rc, time::Duration};

use http_body_util::Full;
use hyper::{
    Request, Response,
    body::{Bytes, Incoming},
};
use tokio::time::Instant;

use super::{
    admission::Admitted,
    call::{AttemptHead, CallHead},
    connection_pool::{EndpointConnection, SendFailure},
    drain::drain,
    refusal::{NO_ENDPOINT_WAIT, Refusal},
    request_log::RequestTrace,
    response_meaning::{ResponseMeaning, ResponseSigns},
    run_guard::RunGuard,
};
use crate::{
    endpoint_health::AttemptResult,
    gateway::{
        context::GatewayContext,
        policy::{
            endpoint_choice::{ChoiceQuery, ChoiceResult, EndpointChoice},
            endpoint_load::{RunLoad, estimated_memory},
        },
    },
    ids::SharedName,
    platform::ingress,
};

/// A plain request that may be repeated is sent elsewhere after this many times its target.
const PLAIN_PATIENCE: f64 = 3.0;
/// A stream that may be continued is sent elsewhere after this many times its target.
const STREAM_PATIENCE: f64 = 1.6;

/// An answer of an endpoint, with all that is needed to relay it.
pub struct EndpointResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// What it says.
    pub signs: ResponseSigns,
    /// Connection that it comes over.
    pub connection: EndpointConnection,
    /// The run at the endpoint.
    pub guard: RunGuard,
}

/// State of the attempts at one request.
pub struct Attempts {
    /// Endpoints that were tried.
    pub tried: Vec<SharedName>,
    /// Attempts that reached an endpoint.
    pub sent: u32,
    /// Whether an attempt ended in a way that leaves open whether the request has run.
    pub maybe_run: bool,
}

/// Whether another endpoint may be sent the request; draws on the budget.
pub fn may_try_again(context: &GatewayContext, admitted: &Admitted, attempts: &Attempts) -> bool {
    let now = Instant::now();
    attempts.sent < admitted.route.attempts
        && now < admitted.deadline
        && context.try_withdraw_retry(&admitted.service.name, now)
}

/// How one attempt ended.
pub enum AttemptEnd {
    /// An endpoint has answered, and the answer says that the request ran.
    Answer(Box<EndpointResponse>),
    /// Nothing was sent.
    NotSent,
    /// The endpoint has not run it and never will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// One attempt: chooses an endpoint, connects, sends, and reads the head of the answer.
/// `continued` is the last event that the client has of a stream that goes on.
pub async fn attempt(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    continued: Option<u64>,
    trace: &mut RequestTrace,
) -> Result<AttemptEnd, Refusal> {
    let choice = choose(context, admitted, attempts)?;
    let endpoint = choice.endpoint.clone();
    attempts.tried.push(endpoint.id.clone());
    trace.attempt(&choice);
    let load = RunLoad { uncached: choice.uncached, memory: memory_tokens(&admitted.call.head) };
    let guard = RunGuard::begin(context.clone(), &endpoint, &admitted.call.head.parts, load);
    let repeatable = admitted.route.kind.may_run_again();
    let taking = context.connections.take(&endpoint, repeatable, admitted.deadline);
    let mut connection = match taking.await {
        Ok(connection) => connection,
        Err(failure) => {
            trace.failed(&failure);
            guard.finish(AttemptResult::Failed);
            return Ok(AttemptEnd::NotSent);
        }
    };
    let now = Instant::now();
    let request = endpoint_request(admitted, &endpoint.id, continued, now);
    let until = attempt_timeout(admitted, attempts, now);
    match connection.send(request, until).await {
        Err(failure) => {
            trace.failed(&failure);
            let end = match failure.is_unsent() {
                true => AttemptEnd::NotSent,
                false => {
                    attempts.sent += 1;
                    context.connections.discard_connections(&endpoint.id);
                    AttemptEnd::Unknown
                }
            };
            // NOTE: a kept connection that its endpoint has closed says nothing of its health.
            let closed = matches!(failure, SendFailure::ClosedBefore);
            guard.finish(if closed { AttemptResult::Neutral } else { AttemptResult::Failed });
            if closed {
                attempts.tried.pop();
            }
            Ok(end)
        }
        Ok(response) => {
            attempts.sent += 1;
            Ok(judge(context, admitted, response, connection, guard, trace))
        }
    }
}

fn judge(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    response: Response<Incoming>,
    connection: EndpointConnection,
    guard: RunGuard,
    trace: &mut RequestTrace,
) -> AttemptEnd {
    let signs = ingress::read_response(&admitted.call.head.id, &response);
    trace.answered(response.status(), signs.meaning);
    match signs.meaning {
        ResponseMeaning::Ran => {
            AttemptEnd::Answer(Box::new(EndpointResponse { response, signs, connection, guard }))
        }
        ResponseMeaning::NotRun => {
            context.endpoints.borrow_mut().mark_full(guard.endpoint(), Instant::now());
            guard.finish(AttemptResult::Neutral);
            drain(context, response, connection, signs);
            AttemptEnd::NotRun
        }
        ResponseMeaning::OtherEndpoint => {
            context.endpoints.borrow_mut().mark_ended(guard.endpoint());
            context.connections.discard_connections(guard.endpoint());
            guard.finish(AttemptResult::Failed);
            AttemptEnd::NotRun
        }
        ResponseMeaning::Foreign => {
            context.connections.discard_connections(guard.endpoint());
            guard.finish(AttemptResult::Failed);
            AttemptEnd::Unknown
        }
    }
}

fn choose(
    context: &GatewayContext,
    admitted: &Admitted,
    attempts: &Attempts,
) -> Result<EndpointChoice, Refusal> {
    let head = &admitted.call.head;
    let now = Instant::now();
    if now >= admitted.deadline {
        return Err(if attempts.maybe_run {
            Refusal::OutOfTime
        } else {
            Refusal::Full(NO_ENDPOINT_WAIT)
        });
    }
    let query = ChoiceQuery {
        service: &admitted.service.name,
        parts: &head.parts,
        prompt_tokens: head.tokens.map_or(0, |tokens| tokens.prompt),
        memory_tokens: memory_tokens(head),
        tried: &attempts.tried,
        memory_capacity: admitted.service.engine.as_ref().map(|engine| engine.memory_tokens),
    };
    match context.endpoints.borrow().choose(&query, now, &mut rand::rng()) {
        ChoiceResult::Endpoint(choice) => Ok(choice),
        _ if attempts.maybe_run => Err(Refusal::Unknown),
        ChoiceResult::Full => Err(Refusal::Full(retry_after(admitted))),
        ChoiceResult::None => Err(Refusal::NoEndpoint(NO_ENDPOINT_WAIT)),
    }
}

/// When a client that found all endpoints full may come back: soon enough to be in time.
pub fn retry_after(admitted: &Admitted) -> Duration {
    const PART_OF_TARGET: f64 = 0.5;
    admitted.route.target.mul_f64(PART_OF_TARGET)
}

fn memory_tokens(head: &CallHead) -> u64 {
    estimated_memory(head.tokens, head.answer_guess)
}

fn endpoint_request(
    admitted: &Admitted,
    endpoint: &str,
    continued: Option<u64>,
    now: Instant,
) -> Request<Full<Bytes>> {
    const LOWEST: u8 = 9;
    const ROUTE_RANKS: u8 = 3;
    let account = admitted.account.as_ref();
    let rank = account.map_or(0, |account| account.priority).saturating_mul(ROUTE_RANKS);
    let priority = rank.saturating_add(admitted.route.priority).min(LOWEST);
    let attempt = AttemptHead {
        endpoint,
        account: account.map(|account| &*account.name),
        left: Some(admitted.deadline.saturating_duration_since(now)),
        priority: admitted.service.engine.is_some().then_some(priority),
        last_event: continued,
    };
    ingress::endpoint_request(&admitted.call, &attempt, Full::new(admitted.call.body.clone()))
}

/// How long the head of an answer is waited for.
fn attempt_timeout(admitted: &Admitted, attempts: &Attempts, now: Instant) -> Instant {
    let route = &admitted.route;
    let last = attempts.sent + 1 >= route.attempts;
    if last || !route.kind.may_run_again() {
        return admitted.deadline;
    }
    let times = if route.kind.is_stream() { STREAM_PATIENCE } else { PLAIN_PATIENCE };
    admitted.deadline.min(now + route.target.mul_f64(times))
}
