//! Advances roll-outs as the leader: collects the inputs of `policy::rollout::traffic_plan`, tells the
//! other daemons the new plan by gossip, and records the state in the store.
//!
//! A write of the state is conditional on the object as last read, so that a leader that has been
//! replaced cannot overwrite its successor's state. After a conflict or a lost response the object is
//! read again.

use std::time::Duration;

use futures::future::join_all;
use tokio::time::{Instant, timeout};

use super::lease_store::STORE_TIMEOUT;
use crate::{
    boot_clock,
    errors::{FailureCause, StepError},
    gateway::{
        context::GatewayContext,
        policy::rollout::{
            rollout_order::{KnownRollout, RecordedState},
            traffic_plan::{ExposureBounds, PlanInputs, next_plan},
            version_comparison::looks_worse,
        },
        store_watch::rollout_watch,
    },
    ids::SharedName,
    platform::{
        rollouts::{ROLLOUT_KIND, RolloutStatus},
        store::WriteResult,
    },
    store_position::StorePosition,
};

/// Time that the last requests to former endpoints take to reach them and to be reported, in addition
/// to the age of reports.
const SPREAD_MARGIN: Duration = Duration::from_millis(500);

/// Least time over which responses are counted to estimate the demand.
const MIN_STEP_AGE: Duration = Duration::from_millis(500);

/// Replaces the plans of roll-outs whose next step is due.
pub fn advance_plans(context: &GatewayContext, now: Instant) {
    let Some(bounds) = context.settings.bounds.exposure else { return };
    let known: Vec<KnownRollout> = context.rollouts.borrow().known().cloned().collect();
    for rollout in known.iter().filter(|rollout| rollout.is_active()) {
        advance_plan(context, rollout, bounds, now);
    }
}

fn advance_plan(
    context: &GatewayContext,
    rollout: &KnownRollout,
    bounds: ExposureBounds,
    now: Instant,
) {
    let inputs = plan_inputs(context, rollout, now);
    let Some(plan) = next_plan(rollout.plan, bounds, &inputs) else { return };
    let service = &rollout.order.service;
    // A new plan begins new sums.
    let responses = context.rollouts.borrow().responses(service, now);
    context.rollouts.borrow_mut().apply_plan(service, plan, now);
    context.metrics.count_labelled("rollout_steps", "phase", &plan.phase.to_string());
    spdlog::info!("roll-out", kv: {
        outcome = "step", service: = service, target: = rollout.order.target, phase: = plan.phase,
        share = plan.share, elapsed_ms = inputs.elapsed.as_millis() as u64,
        target_endpoints = inputs.target_endpoints, former_endpoints = inputs.former_endpoints,
        former_running = inputs.former_running, target_responses = inputs.target_responses,
        target_bad = responses.target.bad, all_responses = inputs.all_responses,
        former_bad = responses.former.bad, looks_worse = inputs.looks_worse,
        is_stopped = inputs.is_stopped
    });
}

fn plan_inputs(context: &GatewayContext, rollout: &KnownRollout, now: Instant) -> PlanInputs {
    let service = &rollout.order.service;
    let endpoints = context.endpoints.borrow();
    let rollouts = context.rollouts.borrow();
    let (target_endpoints, former_endpoints) =
        endpoints.count_versions(service, &rollout.order.target);
    let responses = rollouts.responses(service, now);
    let all_responses = responses.target.total() + responses.former.total();
    let step_age = rollouts.plan_age(service, now);
    // A daemon that has just started has not measured the demand yet.
    let responses_per_s = all_responses as f64 / step_age.max(MIN_STEP_AGE).as_secs_f64();
    PlanInputs {
        elapsed: now.saturating_duration_since(rollout.begun_at),
        duration: rollout.order.duration,
        step_age,
        target_endpoints,
        former_endpoints,
        former_running: endpoints.running_at_others(service, &rollout.order.target, now),
        spread_time: context.sharing(now).report_age + SPREAD_MARGIN,
        demand: endpoints.demand(service).max(responses_per_s),
        target_responses: responses.target.total(),
        all_responses,
        looks_worse: looks_worse(&responses),
        is_stopped: rollout.is_stopped,
    }
}

/// Writes the states of roll-outs that the store doesn't hold yet.
///
/// # Errors
///
/// The store failed or did not respond in time; the states that it did not take stay due.
pub async fn record_states(context: &GatewayContext) -> Result<(), StepError> {
    let due = context.rollouts.borrow().unrecorded();
    // Sent concurrently: one that fails must delay neither the others nor the renewal of the lease.
    let writes = due.into_iter().map(async |(service, recorded, position)| {
        let written = record_state(context, &service, recorded, position).await;
        written.inspect_err(|error| {
            spdlog::warn!("roll-out", kv: { outcome = "not recorded", service:, error: });
        })
    });
    join_all(writes).await.into_iter().collect()
}

async fn record_state(
    context: &GatewayContext,
    service: &SharedName,
    recorded: RecordedState,
    position: StorePosition,
) -> Result<(), StepError> {
    let status = RolloutStatus::of(&recorded);
    let writing = context.store.write_status(ROLLOUT_KIND, service, position, &status);
    let written = within_limit(context, "write roll-out", writing).await;
    match written {
        Ok(WriteResult::Written(position)) => {
            let (state, target) = (recorded.state, recorded.target.clone());
            context.rollouts.borrow_mut().mark_recorded(service, recorded, position);
            spdlog::info!("roll-out", kv: { outcome = "recorded", service:, target:, state: });
            Ok(())
        }
        // An error is returned, and logged, after the object has been read.
        Ok(WriteResult::Conflict | WriteResult::WrittenInLaterEra) | Err(_) => {
            read_again(context, service, position).await?;
            written.map(drop)
        }
    }
}

/// Reads an order, known at `position`, after a write whose outcome is not known or that met another one.
async fn read_again(
    context: &GatewayContext,
    service: &SharedName,
    position: StorePosition,
) -> Result<(), StepError> {
    let reading = context.store.read(ROLLOUT_KIND, service);
    match within_limit(context, "read roll-out", reading).await? {
        Some(object) => rollout_watch::observe_order(context, &object),
        None => {
            // An order that is written after the removal has a higher position than the next one.
            let removed_at = StorePosition::new(position.era(), position.revision() + 1);
            let now = boot_clock::now();
            context.rollouts.borrow_mut().withdraw(service, removed_at, now);
        }
    }
    Ok(())
}

async fn within_limit<T>(
    context: &GatewayContext,
    step: &'static str,
    call: impl Future<Output = Result<T, StepError>>,
) -> Result<T, StepError> {
    let peer = || context.settings.store_address.to_string();
    let timed_out =
        |_| StepError::new(step, peer(), FailureCause::TimedOut(STORE_TIMEOUT.as_millis() as u64));
    timeout(STORE_TIMEOUT, call).await.map_err(timed_out)?
}
