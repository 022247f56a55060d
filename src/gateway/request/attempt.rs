//! One attempt at a request: chooses an endpoint, connects to it and sends it the request.
//!
//! `policy::endpoint::endpoint_choice` chooses the endpoint, and `policy::request::retries` decides what
//! follows the attempt. An attempt waits for its response until the request's deadline;
//! `policy::request::time_limits` says from when on it is silent, so that another one may run too.

mod choice;
mod connection;
pub mod endpoint_response;
mod open_request;
mod response_evaluation;

use std::rc::Rc;

use hyper::Request;
use tokio::time::{Instant, sleep_until};

use self::{
    choice::{
        borrow_missing_slot, check_quarantine, check_stop, choose, memory_tokens, prompt_tokens,
    },
    connection::{connect, not_connected, send},
    endpoint_response::EndpointResponse,
    response_evaluation::evaluate_response,
};
pub use self::{
    choice::{has_another, wait_for_room},
    open_request::{Attempts, OpenRequest},
};
use super::{
    admission::Admitted,
    connection_pool::{EndpointConnection, SendFailure},
    crash_watch,
    run_guard::RunGuard,
};
use crate::{
    boot_clock,
    endpoint_health::AttemptResult,
    gateway::{
        call::call_body::BodyFrames,
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
    platform::ingress,
};

/// How one attempt ended.
pub enum AttemptEnd {
    /// An endpoint has run the request and responded.
    Responded(Box<EndpointResponse>),
    /// There is no usable response.
    Failed(AttemptFailure),
}

/// Makes one attempt, which has been reserved: chooses an endpoint, connects, sends the request, and reads the head of the
/// response. `resume_after` is the id of the last event that the client received of a broken
/// stream.
pub async fn attempt(
    request: OpenRequest<'_>,
    resume_after: Option<u64>,
) -> Result<AttemptEnd, Refusal> {
    let OpenRequest { context, admitted, attempts, trace } = request;
    let borrowed = borrow_missing_slot(request).await;
    // From here until it is counted as begun, or refused, nothing is awaited.
    attempts.borrow_mut().reserved -= 1;
    check_quarantine(request)?;
    check_stop(request)?;
    attempts.borrow_mut().knows_partition |= context.is_partitioned();
    let choice = choose(request)?;
    let endpoint = choice.endpoint.clone();
    trace.borrow_mut().attempt(&choice, prompt_tokens(&admitted.call.head));
    let (begun_before, silent_at) = begin_attempt(request, &choice);
    let mut guard = begin_run(context, admitted, &choice);
    if let Some(slot) = borrowed.filter(|slot| *slot.endpoint() == endpoint.id) {
        trace.borrow_mut().slot_borrowed(slot.lender());
        guard.keep_slot(slot);
    }
    let mut connection = match connect(context, &choice, admitted, begun_before).await {
        Ok(connection) => connection,
        Err(failure) => return not_connected(request, &failure, guard),
    };
    trace.borrow_mut().path(connection.path());
    if !may_still_be_sent(request) || !guard.try_mark_sent() {
        return Ok(return_unsent(request, connection));
    }
    let head = endpoint_request(admitted, &endpoint.id, resume_after, boot_clock::now());
    let sending = send(context, &mut connection, head, admitted.deadline, &guard);
    match flag_silence(sending, silent_at, &guard).await {
        Err(failure) => {
            trace.borrow_mut().failed(&failure, &endpoint.id);
            Ok(AttemptEnd::Failed(after_send_failure(request, &failure, guard)))
        }
        Ok(response) => Ok(evaluate_response(request, response, silent_at, connection, guard)),
    }
}

/// Whether a request may be sent over the connection that was opened for it: meanwhile crashes may have been reported,
/// or a stop may have begun.
fn may_still_be_sent(request: OpenRequest<'_>) -> bool {
    let OpenRequest { context, admitted, attempts, .. } = request;
    let is_trial = attempts.borrow().is_trial;
    let is_quarantined = !is_trial && crash_watch::is_quarantined(context, admitted);
    !is_quarantined && request.ends_before_stop()
}

/// Counts an attempt as begun. Returns the number of those before it, and when it counts as silent.
fn begin_attempt(request: OpenRequest<'_>, choice: &EndpointChoice) -> (u32, Instant) {
    let OpenRequest { admitted, attempts, .. } = request;
    let Admitted { route, deadline, .. } = admitted;
    let mut attempts = attempts.borrow_mut();
    let begun_before = attempts.begun;
    let wait = choice.estimated_wait();
    let now = boot_clock::now();
    let silent_at = time_limits::head_silence(route, begun_before, wait, *deadline, now);
    attempts.tried.push(choice.endpoint.id.clone());
    attempts.begun += 1;
    attempts.silent_at = Some(silent_at);
    (begun_before, silent_at)
}

/// Marks the run as silent while it has not responded although `silent_at` has passed.
async fn flag_silence<T>(
    responding: impl Future<Output = T>,
    silent_at: Instant,
    guard: &RunGuard,
) -> T {
    tokio::pin!(responding);
    tokio::select! {
        biased;
        response = responding.as_mut() => return response,
        () = sleep_until(boot_clock::timer_at(silent_at)) => guard.set_silent(true),
    }
    let response = responding.await;
    guard.set_silent(false);
    response
}

/// Returns the connection unused: its endpoint stopped accepting requests while it was being
/// opened.
fn return_unsent(request: OpenRequest<'_>, connection: EndpointConnection) -> AttemptEnd {
    request.trace.borrow_mut().not_sent();
    request.attempts.borrow_mut().begun -= 1;
    request.context.connections.give_back(connection, None);
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

fn after_send_failure(
    request: OpenRequest<'_>,
    failure: &SendFailure,
    mut guard: RunGuard,
) -> AttemptFailure {
    let OpenRequest { context, admitted, attempts, .. } = request;
    let ended = match failure.is_unsent() {
        true => {
            guard.was_not_sent();
            attempts.borrow_mut().begun -= 1;
            AttemptFailure::NotSent
        }
        false => {
            context.connections.discard_connections(guard.endpoint());
            // Endpoints report requests that they do not run, so most requests without a response
            // have run.
            admitted.count_run(context);
            AttemptFailure::MayHaveRun
        }
    };
    if matches!(failure, SendFailure::Broken(_)) {
        record_broken_run(request, guard.record(), guard.begun());
    }
    match failure {
        // A closed idle connection says nothing about the endpoint's health, so the endpoint may be
        // chosen again.
        SendFailure::ClosedBefore => {
            attempts.borrow_mut().tried.retain(|tried| **tried != *guard.endpoint());
            guard.finish(AttemptResult::Neutral);
        }
        _ => guard.finish(AttemptResult::Failed),
    }
    ended
}

/// Records that a run broke, and starts a check of its endpoint.
pub fn record_broken_run(request: OpenRequest<'_>, endpoint: &Rc<EndpointRecord>, begun: Instant) {
    let OpenRequest { context, admitted, trace, .. } = request;
    let request = admitted.fingerprint();
    let shared_parts: Rc<[PartId]> = admitted.call.head.shared_parts().collect();
    trace.borrow_mut().run_broke(request, &shared_parts);
    let run = BrokenRun { request, shared_parts, begun, broken: boot_clock::now() };
    crash_watch::run_broke(context, endpoint, run);
}

fn endpoint_request(
    admitted: &Admitted,
    endpoint: &str,
    resume_after: Option<u64>,
    now: Instant,
) -> Request<BodyFrames> {
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
    ingress::endpoint_request(&admitted.call, &attempt, admitted.call.body.frames())
}
