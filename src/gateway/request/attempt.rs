//! One attempt at a request: chooses an endpoint, connects to it and sends it the request.
//!
//! `policy::endpoint::endpoint_choice` chooses the endpoint, `policy::request::time_limits` limits
//! the wait for a response, and `policy::request::retries` decides what follows the attempt.

mod choice;
mod connection;
pub mod endpoint_response;
mod response_evaluation;

use std::rc::Rc;

use http_body_util::Full;
use hyper::{Request, body::Bytes};
use tokio::time::Instant;

pub use self::choice::{has_another, wait_for_room};
use self::{
    choice::{check_quarantine, choose, memory_tokens, prompt_tokens},
    connection::{connect, not_connected, send},
    endpoint_response::EndpointResponse,
    response_evaluation::evaluate_response,
};
use super::{
    admission::Admitted,
    connection_pool::{EndpointConnection, SendFailure},
    crash_watch,
    request_log::RequestTrace,
    run_guard::RunGuard,
};
use crate::{
    boot_clock,
    endpoint_health::AttemptResult,
    gateway::{
        call::{AttemptHead, PartId},
        context::GatewayContext,
        endpoint::EndpointRecord,
        policy::{
            endpoint::{endpoint_choice::EndpointChoice, endpoint_load::RunLoad},
            request::{
                crash_checks::BrokenRun, endpoint_priority::endpoint_priority, refusal::Refusal,
                retries::AttemptFailure, time_limits,
            },
        },
    },
    ids::SharedName,
    platform::ingress,
};

/// State of the attempts at one request.
#[derive(Default)]
pub struct Attempts {
    /// Endpoints that have been tried.
    pub tried: Vec<SharedName>,
    /// Number of attempts that reached an endpoint.
    pub sent: u32,
    /// Whether the request may have run in one of them.
    pub may_have_run: bool,
    /// Endpoints of these to which no connection could be opened.
    unreached: Vec<SharedName>,
    /// Whether this daemon has been found to be partitioned since the first attempt.
    knows_partition: bool,
    /// Version at which a stream goes on, once it has begun.
    pub version: Option<SharedName>,
    /// Whether this is the trial of a quarantined request; only one attempt may reach an endpoint.
    is_trial: bool,
}

/// Whether the request may be retried: attempts and time are left, and the service's retry budget
/// allows it. Withdraws the retry from the budget if so.
pub fn may_try_again(
    context: &GatewayContext,
    admitted: &Admitted,
    attempts: &Attempts,
    trace: &mut RequestTrace,
) -> bool {
    let now = boot_clock::now();
    if attempts.sent >= admitted.route.attempts {
        trace.not_retried(&"no attempts left");
        return false;
    }
    if now >= admitted.deadline {
        trace.not_retried(&"no time left");
        return false;
    }
    let withdrawal = context.try_withdraw_retry(&admitted.service.name, now);
    trace.retry_withdrawal(&admitted.service.name, withdrawal);
    withdrawal.is_granted()
}

/// How one attempt ended.
pub enum AttemptEnd {
    /// An endpoint has run the request and responded.
    Responded(Box<EndpointResponse>),
    /// There is no usable response.
    Failed(AttemptFailure),
}

/// Makes one attempt: chooses an endpoint, connects, sends the request, and reads the head of the
/// response. `resume_after` is the id of the last event that the client received of a broken
/// stream.
pub async fn attempt(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    resume_after: Option<u64>,
    trace: &mut RequestTrace,
) -> Result<AttemptEnd, Refusal> {
    check_quarantine(context, admitted, attempts)?;
    attempts.knows_partition |= context.is_partitioned();
    let choice = choose(context, admitted, attempts, trace)?;
    let endpoint = choice.endpoint.clone();
    attempts.tried.push(endpoint.id.clone());
    trace.attempt(&choice, prompt_tokens(&admitted.call.head));
    let mut guard = begin_run(context, admitted, &choice);
    let mut connection = match connect(context, &choice, admitted, attempts.sent).await {
        Ok(connection) => connection,
        Err(failure) => return not_connected(context, admitted, attempts, &failure, guard, trace),
    };
    trace.path(connection.path());
    // Crashes may have been reported while the connection was being opened.
    let is_refused = !attempts.is_trial && crash_watch::is_quarantined(context, admitted);
    if is_refused || !guard.try_mark_sent() {
        return Ok(return_unsent(context, connection, trace));
    }
    let now = boot_clock::now();
    let request = endpoint_request(admitted, &endpoint.id, resume_after, now);
    let until = response_deadline(admitted, attempts, &choice, now);
    match send(context, &mut connection, request, until, &guard).await {
        Err(failure) => {
            trace.failed(&failure);
            let ended = after_send_failure(context, admitted, attempts, &failure, guard, trace);
            Ok(AttemptEnd::Failed(ended))
        }
        Ok(response) => {
            attempts.sent += 1;
            Ok(evaluate_response(context, admitted, response, until, connection, guard, trace))
        }
    }
}

/// Returns the connection unused: its endpoint stopped accepting requests while it was being
/// opened.
fn return_unsent(
    context: &GatewayContext,
    connection: EndpointConnection,
    trace: &mut RequestTrace,
) -> AttemptEnd {
    trace.not_sent();
    context.connections.give_back(connection, None);
    AttemptEnd::Failed(AttemptFailure::NotSent)
}

fn begin_run(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    choice: &EndpointChoice,
) -> RunGuard {
    let load =
        RunLoad { uncached_tokens: choice.uncached_tokens, memory_tokens: memory_tokens(admitted) };
    let parts = &admitted.call.head.parts;
    RunGuard::begin(context.clone(), &choice.endpoint, &admitted.route, parts, load)
}

fn response_deadline(
    admitted: &Admitted,
    attempts: &Attempts,
    choice: &EndpointChoice,
    now: Instant,
) -> Instant {
    let Admitted { route, deadline, .. } = admitted;
    time_limits::attempt_deadline(route, attempts.sent, choice.estimated_wait(), *deadline, now)
}

fn after_send_failure(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    attempts: &mut Attempts,
    failure: &SendFailure,
    mut guard: RunGuard,
    trace: &mut RequestTrace,
) -> AttemptFailure {
    let ended = match failure.is_unsent() {
        true => {
            guard.was_not_sent();
            AttemptFailure::NotSent
        }
        false => {
            attempts.sent += 1;
            context.connections.discard_connections(guard.endpoint());
            // Endpoints report requests that they do not run, so most requests without a response
            // have run.
            admitted.count_run(context);
            AttemptFailure::MayHaveRun
        }
    };
    if matches!(failure, SendFailure::Broken(_)) {
        record_broken_run(context, admitted, guard.record(), guard.begun(), trace);
    }
    match failure {
        // A closed idle connection says nothing about the endpoint's health, so the endpoint may be
        // chosen again.
        SendFailure::ClosedBefore => {
            guard.finish(AttemptResult::Neutral);
            attempts.tried.pop();
        }
        _ => guard.finish(AttemptResult::Failed),
    }
    ended
}

/// Records that a run broke, and starts a check of its endpoint.
pub fn record_broken_run(
    context: &Rc<GatewayContext>,
    admitted: &Admitted,
    endpoint: &Rc<EndpointRecord>,
    begun: Instant,
    trace: &mut RequestTrace,
) {
    let request = admitted.fingerprint();
    let shared_parts: Rc<[PartId]> = admitted.call.head.shared_parts().collect();
    trace.run_broke(request, &shared_parts);
    let run = BrokenRun { request, shared_parts, begun, broken: boot_clock::now() };
    crash_watch::run_broke(context, endpoint, run);
}

fn endpoint_request(
    admitted: &Admitted,
    endpoint: &str,
    resume_after: Option<u64>,
    now: Instant,
) -> Request<Full<Bytes>> {
    let account = admitted.account.as_ref();
    let priority =
        endpoint_priority(account.map(|account| account.priority), admitted.route.priority);
    let attempt = AttemptHead {
        endpoint,
        account: account.map(|account| &*account.name),
        left: Some(admitted.deadline.saturating_duration_since(now)),
        priority: admitted.service.engine.is_some().then_some(priority),
        last_event: resume_after,
    };
    ingress::endpoint_request(&admitted.call, &attempt, Full::new(admitted.call.body.clone()))
}
