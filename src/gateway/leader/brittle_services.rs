//! Stores in the lease record which services are brittle, and restores it, so that a daemon that starts keeps to
//! shares of their slots before a peer or a response tells it.

use tokio::time::Instant;

use crate::{
    boot_clock,
    gateway::{context::GatewayContext, gossip::endpoint_signals::brittle::divide_slots},
    ids::SharedName,
};

/// Services whose endpoints have said to some daemon that they are brittle.
pub fn stored_services(context: &GatewayContext) -> Vec<SharedName> {
    let brittle = context.endpoints.borrow().brittle_services(boot_clock::now());
    brittle.into_iter().map(|(service, _)| service).collect()
}

/// Assumes that the services of a lease record that was read at `read_at` are brittle, until this daemon knows
/// better.
pub fn restore_services(context: &GatewayContext, stored: &[SharedName], read_at: Instant) {
    for service in stored {
        context.endpoints.borrow_mut().assume_brittle(service, read_at);
    }
    if !stored.is_empty() {
        divide_slots(context, read_at);
    }
}
