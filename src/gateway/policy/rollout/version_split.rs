//! Decides at which version of a service one request runs during a roll-out.
//!
//! Answers the load pattern of a roll-out whose target version may be bad: it gets a bounded share of
//! the requests, and a request that fails there is retried at a version known to serve.
//!
//! Inputs are the plan as this daemon last heard it and the endpoints of its list. A daemon that
//! has not received a plan sends nothing to the target version.

use std::time::Duration;

use super::rollout_order::{KnownRollout, RolloutPhase};
use crate::ids::SharedName;

/// Time after a completed roll-out in which former endpoints may have ended although they are still
/// listed: longer than the store keeps the entries of endpoints that no longer write them.
const COMPLETION_TIME: Duration = Duration::from_secs(10);

/// Which endpoints of a service may run a request.
#[derive(Clone, Debug, PartialEq)]
pub enum VersionFilter {
    /// Those of any version.
    Any,
    /// Those of all versions but this one.
    Except(SharedName),
    /// Some of this version: as many as this fraction of the other versions' endpoints, so that each
    /// gets about as many requests as one of those.
    Share(SharedName, f64),
    /// Those of this version.
    Only(SharedName),
}

/// Inputs of the decision for one request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SplitInputs {
    /// A random number from 0 to 1.
    pub draw: f64,
    /// Whether an endpoint has been tried already.
    pub is_retry: bool,
    /// Whether the target version has an endpoint that takes requests.
    pub has_target: bool,
    /// Whether any other version has one.
    pub has_former: bool,
    /// Time since this daemon learned of the plan.
    pub plan_age: Duration,
}

/// Whether a stream that a version has begun may go on there. Endpoints of a former version end as soon as
/// the roll-out is completed, and a version that was found to be bad runs nothing more.
pub fn may_go_on(rollout: &KnownRollout, version: &str, inputs: &SplitInputs) -> bool {
    let is_target = *rollout.order.target == *version;
    match rollout.plan.phase {
        RolloutPhase::Completed => {
            is_target || !inputs.has_target || inputs.plan_age >= COMPLETION_TIME
        }
        RolloutPhase::Reverted | RolloutPhase::Withdrawn => !is_target || !inputs.has_former,
        RolloutPhase::Ordered
        | RolloutPhase::Canary
        | RolloutPhase::Shift
        | RolloutPhase::Drain => !(is_target && rollout.is_stopped),
    }
}

/// The endpoints that may run a request, those first that are tried first.
pub fn filters(rollout: &KnownRollout, inputs: &SplitInputs) -> Vec<VersionFilter> {
    let SplitInputs { has_former, has_target, .. } = *inputs;
    let target = &rollout.order.target;
    let except = VersionFilter::Except(target.clone());
    let share = rollout.plan.share;
    match rollout.plan.phase {
        RolloutPhase::Completed if has_target && inputs.plan_age < COMPLETION_TIME => {
            vec![VersionFilter::Only(target.clone())]
        }
        RolloutPhase::Completed => vec![VersionFilter::Any],
        // Nothing else is left, and nobody compares the versions any more.
        RolloutPhase::Reverted | RolloutPhase::Withdrawn if !has_former => {
            vec![VersionFilter::Any]
        }
        RolloutPhase::Reverted | RolloutPhase::Withdrawn => vec![except],
        _ if rollout.is_stopped => vec![except],
        // The order names the version that has been serving.
        RolloutPhase::Ordered if !has_former => vec![VersionFilter::Any],
        RolloutPhase::Ordered => vec![except],
        // The former endpoints may end at any moment.
        RolloutPhase::Drain => vec![VersionFilter::Only(target.clone())],
        RolloutPhase::Canary | RolloutPhase::Shift if inputs.draw < share && !inputs.is_retry => {
            vec![VersionFilter::Share(target.clone(), share), except]
        }
        RolloutPhase::Canary | RolloutPhase::Shift => vec![except],
    }
}
