//! Versions of a service's endpoints at which a stream may have been begun, as this daemon has seen them.

use std::time::Duration;

use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        policy::{request::stream_origin::stream_life, rollout::version_history::ServedVersions},
    },
};

/// Whether streams of a service are recorded at other daemons.
pub fn needs_record(context: &GatewayContext, service: &str) -> bool {
    !matches!(served_versions(context, service), ServedVersions::Only(_))
}

/// Versions that have served while a stream may have lived that is new.
pub fn served_versions(context: &GatewayContext, service: &str) -> ServedVersions {
    served_versions_since(context, service, Duration::ZERO)
}

/// Versions that have served while a stream may have lived that was first taken up `age` ago.
pub fn served_versions_since(
    context: &GatewayContext,
    service: &str,
    age: Duration,
) -> ServedVersions {
    let now = boot_clock::now();
    let life = stream_life(context.configuration().as_deref());
    context.versions.borrow_mut().served(service, life + age, now)
}

/// Time since this daemon's list of endpoints was confirmed; none if it never was.
pub fn list_age(context: &GatewayContext) -> Option<Duration> {
    context.versions.borrow().list_age(boot_clock::now())
}

/// Whether streams of a service are written into the log: several versions serve it, or did before all
/// daemons ended.
pub fn serves_several_versions(context: &GatewayContext, service: &str) -> bool {
    match served_versions(context, service) {
        ServedVersions::Several => true,
        ServedVersions::Unknown => context.streams.has_restored.get(),
        ServedVersions::Only(_) => false,
    }
}
