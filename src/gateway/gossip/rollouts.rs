//! Sends what this daemon knows of roll-outs to other daemons, and applies what they know. Times are
//! sent as ages, so that clocks of different daemons are never compared.

use tokio::time::Instant;

use super::messages::RolloutSummary;
use crate::gateway::{
    context::GatewayContext,
    policy::rollout::rollout_order::{KnownRollout, RolloutOrder},
};

/// Roll-outs to send to another daemon.
pub fn own_rollouts(context: &GatewayContext, now: Instant) -> Vec<RolloutSummary> {
    let rollouts = context.rollouts.borrow();
    let summary = |known: &KnownRollout| RolloutSummary {
        order: known.order.id,
        service: known.order.service.clone(),
        target: known.order.target.clone(),
        duration: known.order.duration,
        age: now.saturating_duration_since(known.begun_at),
        position: known.position,
        plan: known.plan,
        is_stopped: known.is_stopped,
    };
    rollouts.known().map(summary).collect()
}

/// Applies the roll-outs that another daemon reports.
pub fn apply_rollouts(context: &GatewayContext, reported: Vec<RolloutSummary>, now: Instant) {
    let mut rollouts = context.rollouts.borrow_mut();
    for summary in reported {
        let RolloutSummary { order: id, service, target, duration, .. } = summary;
        let order = RolloutOrder { id, service, target, duration };
        // An order from before the start of the clock is older than it looks.
        let begun_at = now.checked_sub(summary.age).unwrap_or(now);
        let heard = KnownRollout {
            order,
            position: summary.position,
            begun_at,
            plan: summary.plan,
            is_stopped: summary.is_stopped,
        };
        let service = heard.order.service.clone();
        if rollouts.receive(heard, now)
            && let Some(known) = rollouts.of_service(&service)
        {
            log_order(known, "peer");
        }
    }
}

/// Logs an order that this daemon did not know before.
pub fn log_order(known: &KnownRollout, source: &'static str) {
    spdlog::info!("roll-out", kv: {
        outcome = "ordered", service: = known.order.service, target: = known.order.target,
        duration_ms = known.order.duration.as_millis() as u64, position: = known.position, source
    });
}

/// Stops the roll-outs whose target version serves badly, as far as this daemon knows.
pub fn evaluate_versions(context: &GatewayContext, now: Instant) {
    for bad in context.rollouts.borrow_mut().evaluate(now) {
        context.metrics.count("rollouts_stopped", 1);
        spdlog::warn!("roll-out", kv: {
            outcome = "stopped", service: = bad.service, target: = bad.target, route: = bad.route,
            target_bad = bad.counts.target.bad, target_responses = bad.counts.target.total(),
            former_bad = bad.counts.former.bad, former_responses = bad.counts.former.total()
        });
    }
}
