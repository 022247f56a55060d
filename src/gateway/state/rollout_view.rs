//! Roll-outs as operators see them: how far each is, and how both versions respond.

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::{
    gateway::{
        context::GatewayContext,
        policy::rollout::{rollout_order::KnownRollout, version_counts::VersionCounts},
    },
    ids::SharedName,
};

/// A roll-out as one daemon knows it. Ages are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct RolloutView {
    /// The service.
    pub service: SharedName,
    /// The version that is being rolled out.
    pub target: SharedName,
    /// Phase.
    pub phase: String,
    /// Fraction of the requests that goes to the version.
    pub share: f64,
    /// Whether the version has been found to be bad.
    pub stopped: bool,
    /// Time since the order.
    pub age_ms: u64,
    /// Time from the order to its deadline.
    pub duration_ms: u64,
    /// Endpoints of the version, and of others, that take requests.
    pub endpoints: (usize, usize),
    /// Responses of the version since the last step: all, and the bad ones among them.
    pub target_responses: (u64, u64),
    /// Responses of the others.
    pub former_responses: (u64, u64),
}

/// All roll-outs that this daemon knows.
pub fn views(context: &GatewayContext, now: Instant) -> Vec<RolloutView> {
    context.rollouts.borrow().known().map(|known| view(context, known, now)).collect()
}

fn view(context: &GatewayContext, known: &KnownRollout, now: Instant) -> RolloutView {
    let order = &known.order;
    let counts = context.rollouts.borrow().responses(&order.service, now);
    let numbers = |counts: VersionCounts| (counts.total(), counts.bad);
    RolloutView {
        service: order.service.clone(),
        target: order.target.clone(),
        phase: known.plan.phase.to_string(),
        share: known.plan.share,
        stopped: known.is_stopped,
        age_ms: now.saturating_duration_since(known.begun_at).as_millis() as u64,
        duration_ms: order.duration.as_millis() as u64,
        endpoints: context.endpoints.borrow().count_versions(&order.service, &order.target),
        target_responses: numbers(counts.target),
        former_responses: numbers(counts.former),
    }
}
