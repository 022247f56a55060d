//! Daemons that the lease record names, so that a daemon whose seeds have all been replaced finds the fleet.
//!
//! Every daemon reads the record as it starts, and again while gossip doesn't report renewals of the lease.

use std::net::SocketAddr;

use tokio::time::Instant;

use super::lease_record::LeaseRecord;
use crate::{
    boot_clock,
    gateway::{context::GatewayContext, policy::daemon::fleet_contact::RenewalNumber},
};

/// Number of addresses in a record: some of these daemons may have ended when it is read.
const MAX_MEMBERS: usize = 8;

/// Addresses of random daemons that this one hears.
pub fn stored_members(context: &GatewayContext) -> Vec<SocketAddr> {
    let now = boot_clock::now();
    context.peers.borrow().sample_heard(MAX_MEMBERS, now, &mut rand::rng())
}

/// Applies a record that was requested at `asked_at`: calls the holder and the members that it names, unless they
/// are known already, and notes the renewal.
pub fn apply_record(context: &GatewayContext, record: &LeaseRecord, asked_at: Instant) {
    let members = record.members.iter().take(MAX_MEMBERS).copied();
    context.peers.borrow_mut().add_addresses(record.address.into_iter().chain(members));
    if record.incarnation != context.incarnation.0 && !record.released {
        let LeaseRecord { fence, renewals, .. } = *record;
        context.read_renewal(RenewalNumber { fence, renewals }, asked_at);
    }
}
