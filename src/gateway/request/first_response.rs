//! Makes attempts at a request until one has a response to pass on.
//!
//! An attempt that is silent for too long goes on while another one is made, if that may have a response
//! sooner; the first response is passed on, and the other attempts end. An attempt is thus ended only once
//! there is a response. `policy::request::time_limits` says when an attempt is silent,
//! `policy::request::retries` what follows one that has failed.

use std::{future::Future, pin::Pin, time::Duration};

use futures::{StreamExt, stream::FuturesUnordered};
use tokio::time::{Instant, sleep_until};

use super::{
    admission::Admitted,
    attempt::{
        AttemptEnd, OpenRequest, attempt,
        endpoint_response::{BodyStart, EndpointResponse},
        has_another, record_broken_run, wait_for_room,
    },
};
use crate::{
    boot_clock,
    endpoint_health::AttemptResult,
    gateway::policy::request::{
        refusal::Refusal,
        retries::{AttemptFailure, FailureStep, after_failure, may_retry_response},
        time_limits::{self, CheckPause},
    },
};

/// The end of an attempt, or why it couldn't be made.
type AttemptOutcome = Result<AttemptEnd, Refusal>;

/// What follows the end of an attempt.
enum NextStep {
    /// The response is passed on.
    PassOn(Box<EndpointResponse>),
    /// Another attempt is made.
    TryNext,
    /// Attempts in progress are awaited; the request is refused for this reason if there are none.
    Refuse(Refusal),
}

/// Attempts in progress at one request.
struct AttemptRace<'a> {
    request: OpenRequest<'a>,
    running: FuturesUnordered<Pin<Box<dyn Future<Output = AttemptOutcome> + 'a>>>,
    /// When to check whether another attempt may be made while others are in progress.
    check_at: Instant,
    pause: CheckPause,
    /// Whether the last check found that none may be made: another list of endpoints may change that.
    awaits_endpoints: bool,
    /// An endpoint's error response, passed on rather than a refusal if no attempt succeeds.
    error: Option<Box<EndpointResponse>>,
}

/// The first response to pass on.
///
/// # Errors
///
/// No endpoint has responded, and none may be tried any more.
pub async fn first_response(request: OpenRequest<'_>) -> Result<EndpointResponse, Refusal> {
    let now = boot_clock::now();
    let mut race = AttemptRace {
        request,
        running: FuturesUnordered::new(),
        check_at: now,
        pause: CheckPause::new(now),
        awaits_endpoints: false,
        error: None,
    };
    race.begin();
    loop {
        let Some(outcome) = race.next_outcome().await else { continue };
        let refusal = match race.next_step(outcome) {
            NextStep::PassOn(response) => return Ok(*response),
            NextStep::TryNext => {
                race.begin();
                continue;
            }
            NextStep::Refuse(refusal) => refusal,
        };
        if race.running.is_empty() {
            return race.error.map(|error| *error).ok_or(refusal);
        }
        race.check_later();
    }
}

impl<'a> AttemptRace<'a> {
    fn begin(&mut self) {
        let Admitted { route, deadline, .. } = self.request.admitted;
        self.request.attempts.borrow_mut().reserve();
        let begun = self.request.attempts.borrow().begun;
        let now = boot_clock::now();
        self.check_at = time_limits::head_silence(route, begun, Duration::ZERO, *deadline, now);
        self.running.push(Box::pin(run_attempt(self.request)));
    }

    /// Waits for the end of an attempt. Returns none if the last one was silent first; another one is then
    /// begun too, if that is allowed.
    async fn next_outcome(&mut self) -> Option<AttemptOutcome> {
        let may_check = self.check_at < self.request.admitted.deadline;
        tokio::select! {
            biased;
            outcome = self.running.next() => outcome,
            () = sleep_until(boot_clock::timer_at(self.check_at)), if may_check => {
                self.handle_silence();
                None
            }
            () = self.request.context.endpoints_changed.notified(), if self.awaits_endpoints => {
                self.handle_silence();
                None
            }
        }
    }

    /// Sets the next check after an attempt that has ended without a response.
    fn check_later(&mut self) {
        self.request.attempts.borrow_mut().silent_at = None;
        self.check_at = self.pause.next(boot_clock::now());
    }

    fn handle_silence(&mut self) {
        let (request, now) = (self.request, boot_clock::now());
        // Later than for any other attempt if its endpoint has other prompts to process first.
        let silent_at = request.attempts.borrow().silent_at;
        if let Some(silent_at) = silent_at.filter(|silent_at| *silent_at > now) {
            self.check_at = silent_at;
            return;
        }
        request.trace.borrow_mut().attempt_silent();
        self.check_at = self.pause.next(now);
        self.awaits_endpoints = !request.may_run_elsewhere();
        if !self.awaits_endpoints {
            self.begin();
        }
    }

    fn next_step(&mut self, outcome: AttemptOutcome) -> NextStep {
        match outcome {
            Err(refusal) => NextStep::Refuse(refusal),
            Ok(AttemptEnd::Responded(response)) => self.after_response(response),
            Ok(AttemptEnd::Failed(failure)) => self.after_failed(failure),
        }
    }

    /// Passes a response on, unless it is an error or lacks its body and another endpoint may still do better.
    fn after_response(&mut self, response: Box<EndpointResponse>) -> NextStep {
        let request = self.request;
        let kind = request.admitted.route.kind;
        let is_server_error = response.response.status().is_server_error();
        let is_broken = response.body_start == BodyStart::Broken;
        if !may_retry_response(kind, is_server_error) && !is_broken {
            return NextStep::PassOn(response);
        }
        let will_retry = has_another(request) && request.may_try_again();
        if !will_retry && self.running.is_empty() {
            return NextStep::PassOn(response);
        }
        request.attempts.borrow_mut().may_have_run = true;
        self.drop_response(response, is_server_error);
        match will_retry {
            true => NextStep::TryNext,
            false => NextStep::Refuse(Refusal::Unknown),
        }
    }

    /// Drops a response for another attempt. An error response is kept, since its endpoint has finished the
    /// request.
    fn drop_response(&mut self, response: Box<EndpointResponse>, is_server_error: bool) {
        if is_server_error {
            self.error = Some(response);
            return;
        }
        self.request.trace.borrow_mut().missing_body();
        record_broken_run(self.request, response.guard.record(), response.guard.begun());
        response.guard.finish(AttemptResult::Failed);
    }

    fn after_failed(&self, failure: AttemptFailure) -> NextStep {
        let OpenRequest { context, admitted, attempts, .. } = self.request;
        let may_have_run = attempts.borrow().may_have_run;
        let step = after_failure(failure, admitted.route.kind, may_have_run);
        let reason = match step {
            FailureStep::TryNext => return NextStep::TryNext,
            FailureStep::RetryOr(_) if self.request.may_try_again() => {
                attempts.borrow_mut().may_have_run |= failure == AttemptFailure::MayHaveRun;
                return NextStep::TryNext;
            }
            FailureStep::RetryOr(reason) | FailureStep::GiveUp(reason) => reason,
        };
        attempts.borrow_mut().may_have_run |= failure == AttemptFailure::MayHaveRun;
        let is_deadline_over = boot_clock::now() >= admitted.deadline;
        NextStep::Refuse(reason.refusal(is_deadline_over, wait_for_room(context, admitted)))
    }
}

/// Makes an attempt. A response without the beginning of its body is none if the request may be sent to another
/// endpoint; of a stream, only if it has been.
async fn run_attempt(request: OpenRequest<'_>) -> AttemptOutcome {
    let mut end = attempt(request, None).await?;
    let admitted = request.admitted;
    let kind = admitted.route.kind;
    if let AttemptEnd::Responded(response) = &mut end
        && kind.may_run_again()
        && (!kind.is_stream() || request.attempts.borrow().begun > 1)
        && !response.response.status().is_server_error()
    {
        response.read_body_start(admitted.deadline).await;
    }
    Ok(end)
}
