//! Stores in the lease record which services one software version alone has served, and restores it, so that
//! daemons which start after all others have ended can continue streams from before.
//!
//! A stream may be older than that: its client may have tried for long at daemons that have ended since. So the record
//! counts only after the log of streams has been read, which names the streams that are at another version or not
//! known.

use std::{rc::Rc, time::Duration};

use tokio::time::sleep;

use super::lease_record::SoleVersion;
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext, gossip::streams::log::begin_read,
        policy::request::stream_origin::stream_life,
    },
};

/// Interval between checks whether the log has been read: short beside the time in which a daemon becomes ready.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Services that one version alone has served for as long as a stream may live, as this daemon knows.
pub fn stored_versions(context: &GatewayContext) -> Vec<SoleVersion> {
    let now = boot_clock::now();
    let seen_ms = context.wall_clock.borrow().now_ms(now);
    let life = stream_life(context.configuration().as_deref());
    let sole = context.versions.borrow_mut().sole_versions(life, now).into_iter();
    let alone_ms = life.as_millis() as u64;
    sole.map(|(service, version)| SoleVersion { service, version, seen_ms, alone_ms }).collect()
}

/// Restores the versions of a lease record, as soon as the log of streams has been read.
pub fn restore_versions(context: &Rc<GatewayContext>, stored: &[SoleVersion]) {
    if stored.is_empty() {
        return;
    }
    if context.streams.is_log_read() {
        stored.iter().for_each(|version| restore_version(context, version));
        return;
    }
    let (context, stored) = (context.clone(), stored.to_vec());
    tokio::task::spawn_local(async move {
        while !context.streams.is_log_read() {
            let is_any_fresh = stored.iter().any(|version| is_fresh(&context, version));
            if !is_any_fresh {
                return;
            }
            begin_read(&context);
            sleep(CHECK_INTERVAL).await;
        }
        stored.iter().for_each(|version| restore_version(&context, version));
    });
}

/// Whether no other version can have come and gone since the record: the store lists an endpoint for some time after its
/// last word.
fn is_fresh(context: &GatewayContext, version: &SoleVersion) -> bool {
    age_of(context, version) <= context.settings.entry_ttl
}

fn age_of(context: &GatewayContext, version: &SoleVersion) -> Duration {
    let now_ms = context.wall_clock.borrow().now_ms(boot_clock::now());
    Duration::from_millis(now_ms.saturating_sub(version.seen_ms))
}

fn restore_version(context: &GatewayContext, stored: &SoleVersion) {
    if !is_fresh(context, stored) {
        return;
    }
    let SoleVersion { service, version, alone_ms, .. } = stored;
    let (alone, age) = (Duration::from_millis(*alone_ms), age_of(context, stored));
    context.versions.borrow_mut().restore(service, version, alone, age, boot_clock::now());
}
