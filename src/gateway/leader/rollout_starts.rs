//! Stores the starts of roll-outs in the lease record and restores them from it, so that a deadline
//! still holds after all daemons have been restarted.

use std::time::Duration;

use super::lease_record::RolloutStart;
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        policy::rollout::rollout_order::{KnownRollout, OrderId},
    },
};

/// Starts of the roll-outs in progress that this daemon knows of.
pub fn stored_starts(context: &GatewayContext) -> Vec<RolloutStart> {
    let now = boot_clock::now();
    let now_ms = context.wall_clock.borrow().now_ms(now);
    let rollouts = context.rollouts.borrow();
    let active = rollouts.known().filter(|known| known.is_active());
    let start = |known: &KnownRollout| {
        let age_ms = now.saturating_duration_since(known.begun_at).as_millis() as u64;
        RolloutStart {
            service: known.order.service.clone(),
            order: known.order.id.0,
            begun_ms: now_ms.saturating_sub(age_ms),
        }
    };
    active.map(start).collect()
}

/// Restores the starts of a lease record.
pub fn restore_starts(context: &GatewayContext, stored: &[RolloutStart]) {
    let now = boot_clock::now();
    let now_ms = context.wall_clock.borrow().now_ms(now);
    for start in stored {
        let age = Duration::from_millis(now_ms.saturating_sub(start.begun_ms));
        let begun_at = now.checked_sub(age).unwrap_or(now);
        context.rollouts.borrow_mut().restore_start(OrderId(start.order), begun_at);
    }
}
