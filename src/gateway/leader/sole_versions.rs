//! Stores in the lease record which services one software version alone has served, and restores it, so that
//! daemons which start after all others have ended can continue streams from before.

use std::time::Duration;

use super::lease_record::SoleVersion;
use crate::{
    boot_clock,
    gateway::{context::GatewayContext, policy::request::stream_origin::stream_life},
};

/// Services that one version alone has served for as long as a stream may live, as this daemon knows.
pub fn stored_versions(context: &GatewayContext) -> Vec<SoleVersion> {
    let now = boot_clock::now();
    let seen_ms = context.wall_clock.borrow().now_ms(now);
    let life = stream_life(context.configuration().as_deref());
    let sole = context.versions.borrow_mut().sole_versions(life, now);
    let sole = sole.into_iter();
    sole.map(|(service, version)| SoleVersion { service, version, seen_ms }).collect()
}

/// Restores the versions of a lease record, unless another version may have come and gone since: the store
/// lists an endpoint for some time after its last word.
pub fn restore_versions(context: &GatewayContext, stored: &[SoleVersion]) {
    let now = boot_clock::now();
    let now_ms = context.wall_clock.borrow().now_ms(now);
    for SoleVersion { service, version, seen_ms } in stored {
        let age = Duration::from_millis(now_ms.saturating_sub(*seen_ms));
        if age <= context.settings.entry_ttl {
            context.versions.borrow_mut().restore(service, version, age, now);
        }
    }
}
