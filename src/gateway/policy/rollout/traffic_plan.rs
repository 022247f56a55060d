//! The leader's plan of a roll-out: a small share of the requests for as long as there is time, then a
//! larger one, and the whole traffic just before the time is over.
//!
//! Answers the load pattern in which a new version turns bad late, or only under load. A bad version
//! may get a bounded number of requests until the deadline, so each larger share begins as late as
//! possible. The second share is only as large as that number lasts until a verdict has reached all
//! daemons, which takes longer in a large fleet, and is kept until its own responses are known. All
//! shares go to few endpoints (`version_split`), each of which has the load of a former one.
//!
//! Inputs are the leader's own list of endpoints, the loads that daemons report (up to two seconds
//! old) and the sums of responses. A leader that knows nothing of earlier steps begins with the small
//! share again; the other daemons keep the plan with more steps and tell it.

use std::time::Duration;

use super::rollout_order::{RolloutPhase, TrafficPlan};

/// Part of the requests allowed at a bad version that the first share spends.
const CANARY_SPENDING: f64 = 0.25;
/// Part of them that the second share spends until all daemons know that the version is bad.
const SHIFT_SPENDING: f64 = 0.5;
/// Largest second share, for services with few requests.
const MAX_SHIFT_SHARE: f64 = 0.5;
/// Responses of the target version, at the present share, without which the share is not enlarged,
/// unless the service has few requests.
const MIN_RESPONSES: u64 = 20;
/// Fraction of a service's responses that suffices if it has few.
const FEW_RESPONSES_FRACTION: f64 = 0.05;
/// Time in which enough responses at the second share arrive, in addition to the time until they are
/// known.
const RESPONSE_TIME: Duration = Duration::from_secs(1);
/// Time from a bad response until all daemons know of it, and then of the verdict, as a multiple of the
/// time until it is known.
const VERDICT_DELAYS: f64 = 1.5;
/// How long before the end of the roll-out all requests go to the target version, so that those at
/// former endpoints finish.
const DRAIN_TIME: Duration = Duration::from_millis(3_500);
/// Time before the end of the roll-out at which it is completed although requests still run at
/// former endpoints.
const COMPLETION_MARGIN: Duration = Duration::from_millis(800);
/// Duration of a roll-out from which these two times hold; they are shorter in a shorter one.
const FULL_DURATION: Duration = Duration::from_secs(12);

/// How many requests a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// Fraction of the service's requests from the order to its deadline.
    pub share: f64,
    /// Requests beyond that.
    pub slack: f64,
}

/// What the leader knows of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlanInputs {
    /// Time since the order.
    pub elapsed: Duration,
    /// Time from the order until its deadline.
    pub duration: Duration,
    /// Time since the last change of the plan, as far as this daemon knows it.
    pub step_age: Duration,
    /// Endpoints of the target version that take requests.
    pub target_endpoints: usize,
    /// Endpoints of other versions that take requests.
    pub former_endpoints: usize,
    /// Requests known to run at endpoints of other versions.
    pub former_running: u32,
    /// Time after which all daemons know a change, and the leader knows their loads.
    pub spread_time: Duration,
    /// Requests for the service, per second.
    pub demand: f64,
    /// Responses of the target version since the last change of the plan.
    pub target_responses: u64,
    /// Responses of all versions since then.
    pub all_responses: u64,
    /// Whether the target version may be worse than the others.
    pub looks_worse: bool,
    /// Whether the target version has been found to be bad.
    pub is_stopped: bool,
}

impl PlanInputs {
    fn is_overdue(&self) -> bool {
        self.elapsed >= self.duration
    }

    /// A time before the end, shortened in a short roll-out.
    fn scaled(&self, before_end: Duration) -> Duration {
        before_end.mul_f64(self.duration.div_duration_f64(FULL_DURATION).min(1.0))
    }

    /// Whether no more than this time is left.
    fn is_within(&self, before_end: Duration) -> bool {
        self.elapsed + before_end >= self.duration
    }

    /// Time for which the second share is kept at least: its responses have to be known.
    fn shift_time(&self) -> Duration {
        self.spread_time + RESPONSE_TIME
    }

    /// Whether the target version has served enough requests well at the present share.
    fn has_served_well(&self) -> bool {
        let few = (self.all_responses as f64 * FEW_RESPONSES_FRACTION) as u64;
        let has_responses = self.target_responses >= MIN_RESPONSES.min(few);
        self.target_endpoints > 0 && has_responses && !self.looks_worse
    }

    /// Whether the former endpoints may end: nothing runs there any more, or there is no time left.
    fn may_complete(&self) -> bool {
        let is_drained = self.former_running == 0 && self.step_age >= self.spread_time;
        let is_last_moment = self.is_within(self.scaled(COMPLETION_MARGIN));
        self.target_endpoints > 0 && (is_drained || is_last_moment)
    }
}

fn allowed_requests(bounds: ExposureBounds, demand: f64, duration: Duration) -> f64 {
    bounds.share * demand * duration.as_secs_f64() + bounds.slack
}

/// The first share of the requests, of which `demand` arrive per second during `duration`. It never exceeds
/// the allowed fraction: a daemon that has just started underestimates the demand.
pub fn canary_share(bounds: ExposureBounds, demand: f64, duration: Duration) -> f64 {
    let requests = (demand * duration.as_secs_f64()).max(1.0);
    let allowed = allowed_requests(bounds, demand, duration);
    (CANARY_SPENDING * allowed / requests).min(bounds.share)
}

/// The second share: as large as the allowed requests last until all daemons would know that the version
/// is bad.
pub fn shift_share(bounds: ExposureBounds, inputs: &PlanInputs) -> f64 {
    let verdict_time = inputs.spread_time.mul_f64(VERDICT_DELAYS) + RESPONSE_TIME;
    let requests = (inputs.demand * verdict_time.as_secs_f64()).max(1.0);
    let allowed = allowed_requests(bounds, inputs.demand, inputs.duration);
    (SHIFT_SPENDING * allowed / requests).min(MAX_SHIFT_SHARE)
}

/// The plan that follows `plan`; none if it stays.
pub fn next_plan(
    plan: TrafficPlan,
    bounds: ExposureBounds,
    inputs: &PlanInputs,
) -> Option<TrafficPlan> {
    let (phase, share) = next_phase(plan.phase, bounds, inputs)?;
    Some(TrafficPlan { phase, share, step: plan.step.saturating_add(1) })
}

fn next_phase(
    phase: RolloutPhase,
    bounds: ExposureBounds,
    inputs: &PlanInputs,
) -> Option<(RolloutPhase, f64)> {
    if inputs.is_stopped && !phase.is_final() {
        return Some((RolloutPhase::Reverted, 0.0));
    }
    let drain_time = inputs.scaled(DRAIN_TIME);
    match phase {
        RolloutPhase::Ordered => begin(bounds, inputs),
        RolloutPhase::Canary | RolloutPhase::Shift if !inputs.has_served_well() => {
            inputs.is_overdue().then_some((RolloutPhase::Reverted, 0.0))
        }
        RolloutPhase::Canary if inputs.is_within(drain_time + inputs.shift_time()) => {
            Some((RolloutPhase::Shift, shift_share(bounds, inputs)))
        }
        RolloutPhase::Shift
            if inputs.step_age >= inputs.shift_time() && inputs.is_within(drain_time) =>
        {
            Some((RolloutPhase::Drain, 1.0))
        }
        RolloutPhase::Drain if inputs.may_complete() => Some((RolloutPhase::Completed, 1.0)),
        RolloutPhase::Canary
        | RolloutPhase::Shift
        | RolloutPhase::Drain
        | RolloutPhase::Completed
        | RolloutPhase::Reverted
        | RolloutPhase::Withdrawn => None,
    }
}

/// What follows an order that has not begun.
fn begin(bounds: ExposureBounds, inputs: &PlanInputs) -> Option<(RolloutPhase, f64)> {
    if inputs.target_endpoints > 0 && inputs.former_endpoints == 0 {
        // All endpoints have this version already.
        return Some((RolloutPhase::Completed, 1.0));
    }
    if inputs.is_overdue() {
        return Some((RolloutPhase::Reverted, 0.0));
    }
    let share = canary_share(bounds, inputs.demand, inputs.duration);
    (inputs.target_endpoints > 0).then_some((RolloutPhase::Canary, share))
}
