//! Decides whether an attempt may be made, and at which endpoint, by the rules in
//! `policy::endpoint` and `policy::request::crash_ledger`.

use std::time::Duration;

use rand::RngExt;
use tokio::time::Instant;

use super::{Attempts, OpenRequest};
use crate::{
    boot_clock,
    gateway::{
        call::CallHead,
        context::GatewayContext,
        gossip::endpoint_signals::slot_loans::{BorrowedSlot, WantedSlot, borrow_slot},
        policy::{
            endpoint::{
                endpoint_choice::{ChoiceQuery, ChoiceResult, EndpointChoice},
                endpoint_load::estimated_memory,
                endpoint_table::EndpointTable,
                room_forecast::RoomForecast,
            },
            request::{refusal::Refusal, retries::NoAttempt, retry_after},
            rollout::version_split::{SplitInputs, filters, may_go_on},
        },
        request::{admission::Admitted, crash_watch},
    },
    ids::SharedName,
};

/// Part of the route's target for which a request waits for a slot of another daemon.
const BORROW_FRACTION: f64 = 0.125;
/// Least time for which it waits, whatever the target: some round trips.
const MIN_BORROW_TIME: Duration = Duration::from_millis(20);

/// Refuses a request that crashes endpoints, at its first attempt and at each retry. Otherwise a
/// single such request would end another endpoint with each retry.
pub fn check_quarantine(request: OpenRequest<'_>) -> Result<(), Refusal> {
    let OpenRequest { context, admitted, attempts, .. } = request;
    let mut attempts = attempts.borrow_mut();
    if attempts.is_trial && attempts.begun == 0 {
        return Ok(());
    }
    let may_have_run = attempts.may_have_run;
    let refusal = |reason: NoAttempt| reason.refusal(may_have_run, admitted.route.target);
    if !context.is_up_to_date_with_peers(boot_clock::now()) {
        return Err(refusal(NoAttempt::NoPeerContact));
    }
    attempts.is_trial = crash_watch::decide_run(context, admitted).map_err(refusal)?;
    Ok(())
}

/// Refuses a request that a stop of this daemon could cut, unless its response has begun.
pub fn check_stop(request: OpenRequest<'_>) -> Result<(), Refusal> {
    if request.ends_before_stop() {
        return Ok(());
    }
    let may_have_run = request.attempts.borrow().may_have_run;
    Err(NoAttempt::Leaving.refusal(may_have_run, request.admitted.route.target))
}

/// Chooses an endpoint that has not been tried.
pub fn choose(request: OpenRequest<'_>) -> Result<EndpointChoice, Refusal> {
    let OpenRequest { context, admitted, attempts, trace } = request;
    let attempts = &*attempts.borrow();
    let refusal = |reason: NoAttempt| reason.refusal(attempts.may_have_run, admitted.route.target);
    let now = boot_clock::now();
    if now >= admitted.deadline {
        return Err(refusal(NoAttempt::DeadlineOver));
    }
    let query = choice_query(context, admitted, attempts);
    if attempts.tried.is_empty() {
        context.endpoints.borrow_mut().count_request(&admitted.service.name);
    }
    let endpoints = context.endpoints.borrow();
    let reason = match choose_by_version(context, &endpoints, &query, now) {
        ChoiceResult::Endpoint(choice) => return Ok(choice),
        ChoiceResult::Full => {
            if endpoints.is_any_at_limit(&admitted.service.name, now) {
                context.token_borrower.borrow_mut().record_shortage(now);
            }
            why_full(&endpoints, admitted, now)
        }
        ChoiceResult::None if attempts.version.is_some() => NoAttempt::NoVersion,
        ChoiceResult::None => NoAttempt::NoEndpoint,
    };
    trace.borrow_mut().found_no_endpoint(&endpoints.room(&admitted.service.name, now));
    Err(refusal(reason))
}

/// Borrows a slot from another daemon for a request for which only slots are missing here.
pub async fn borrow_missing_slot(request: OpenRequest<'_>) -> Option<BorrowedSlot> {
    let OpenRequest { context, admitted, attempts, .. } = request;
    let service = &admitted.service.name;
    let now = boot_clock::now();
    let is_brittle = context.endpoints.borrow().is_brittle(service, now);
    if now >= admitted.deadline || !is_brittle || !is_full(request) {
        return None;
    }
    let wanted = {
        let attempts = attempts.borrow();
        WantedSlot {
            service: service.clone(),
            version: attempts.version.clone(),
            tried: attempts.tried.clone(),
            until: admitted.deadline,
        }
    };
    let limit = admitted.route.target.mul_f64(BORROW_FRACTION).max(MIN_BORROW_TIME);
    borrow_slot(context, &wanted, limit).await
}

/// Whether all endpoints that may serve the request are full.
fn is_full(request: OpenRequest<'_>) -> bool {
    let OpenRequest { context, admitted, attempts, .. } = request;
    let attempts = attempts.borrow();
    let query = choice_query(context, admitted, &attempts);
    let endpoints = context.endpoints.borrow();
    let choice = choose_by_version(context, &endpoints, &query, boot_clock::now());
    matches!(choice, ChoiceResult::Full)
}

/// Whether there is an endpoint for another attempt. Only then may the last response be dropped:
/// otherwise the client would get an error of this daemon instead of it.
pub fn has_another(request: OpenRequest<'_>) -> bool {
    let OpenRequest { context, admitted, attempts, .. } = request;
    let attempts = attempts.borrow();
    let query = choice_query(context, admitted, &attempts);
    let endpoints = context.endpoints.borrow();
    let choice = choose_by_version(context, &endpoints, &query, boot_clock::now());
    matches!(choice, ChoiceResult::Endpoint(_))
}

/// Chooses an endpoint among the versions that a roll-out of the service, if there is one, allows.
fn choose_by_version(
    context: &GatewayContext,
    endpoints: &EndpointTable,
    query: &ChoiceQuery<'_>,
    now: Instant,
) -> ChoiceResult {
    let rng = &mut rand::rng();
    let rollouts = context.rollouts.borrow();
    let Some(rollout) = rollouts.of_service(query.service) else {
        return endpoints.choose(query, now, rng);
    };
    let (target, former) = endpoints.count_versions(query.service, &rollout.order.target);
    let inputs = SplitInputs {
        draw: rng.random(),
        is_retry: !query.tried.is_empty(),
        has_target: target > 0,
        has_former: former > 0,
        plan_age: rollouts.plan_age(query.service, now),
    };
    if let Some(version) = query.version {
        return match may_go_on(rollout, version, &inputs) {
            true => endpoints.choose(query, now, rng),
            false => ChoiceResult::None,
        };
    }
    let mut result = ChoiceResult::None;
    for filter in &filters(rollout, &inputs) {
        result = endpoints.choose_version(query, filter, now, rng);
        if matches!(result, ChoiceResult::Endpoint(_)) {
            break;
        }
    }
    result
}

fn choice_query<'a>(
    context: &GatewayContext,
    admitted: &'a Admitted,
    attempts: &'a Attempts,
) -> ChoiceQuery<'a> {
    let head = &admitted.call.head;
    let service = &admitted.service.name;
    let may_retry =
        attempts.begun + 1 < admitted.route.attempts && may_afford_retry(context, service);
    ChoiceQuery {
        service,
        version: attempts.version.as_deref(),
        parts: &head.parts,
        prompt_tokens: prompt_tokens(head),
        memory_tokens: memory_tokens(admitted),
        tried: &attempts.tried,
        memory_capacity: admitted.service.engine.as_ref().map(|engine| engine.memory_tokens),
        load_age: context.peers.borrow().report_age(),
        may_retry,
        may_retry_after_failure: may_retry && admitted.route.kind.may_run_again(),
    }
}

/// Whether the budget allows a retry if an endpoint refuses or fails the request. Without a retry,
/// a failure that was to be expected of the endpoint would reach the client. The budget is not
/// checked while all endpoints are healthy.
fn may_afford_retry(context: &GatewayContext, service: &SharedName) -> bool {
    let now = boot_clock::now();
    !context.endpoints.borrow().any_risky(service, now) || context.has_retry(service, now)
}

/// Why no endpoint was chosen. Endpoints may be full for this request and have capacity for others.
fn why_full(endpoints: &EndpointTable, admitted: &Admitted, now: Instant) -> NoAttempt {
    match endpoints.forecast(&admitted.service.name, now) {
        forecast @ RoomForecast::Later { .. } => {
            let target = admitted.route.target;
            let wait = retry_after::by_forecast(forecast, target, now, &mut rand::rng());
            NoAttempt::RoomLater(wait)
        }
        RoomForecast::Now | RoomForecast::Unknown => NoAttempt::AllFull,
    }
}

/// Retry-after of a request that no endpoint accepted.
pub fn wait_for_room(context: &GatewayContext, admitted: &Admitted) -> Duration {
    let now = boot_clock::now();
    let forecast = context.endpoints.borrow().forecast(&admitted.service.name, now);
    retry_after::by_forecast(forecast, admitted.route.target, now, &mut rand::rng())
}

/// Tokens of the prompt; 0 if the client doesn't send the number.
pub fn prompt_tokens(head: &CallHead) -> u64 {
    head.tokens.map_or(0, |tokens| tokens.prompt)
}

/// Memory that a run may need, in tokens.
pub fn memory_tokens(admitted: &Admitted) -> u64 {
    let head = &admitted.call.head;
    estimated_memory(head.tokens, head.expected_response)
}
