//! Applies what the holder of the lease has recorded for daemons that start.

use std::rc::Rc;

use tokio::time::Instant;

use super::{
    brittle_services, fleet_members, lease_record::LeaseRecord, quarantine, rollout_starts,
    sole_versions,
};
use crate::gateway::context::GatewayContext;

/// Applies a record that was requested at `asked_at`.
pub fn restore_record(context: &Rc<GatewayContext>, record: &LeaseRecord, asked_at: Instant) {
    fleet_members::apply_record(context, record, asked_at);
    quarantine::restore_requests(context, &record.quarantined);
    quarantine::restore_parts(context, &record.quarantined_parts);
    rollout_starts::restore_starts(context, &record.rollouts);
    sole_versions::restore_versions(context, &record.sole_versions);
    brittle_services::restore_services(context, &record.brittle_services, asked_at);
    context.quotas.borrow_mut().set_throttled_before(record.throttled.iter().cloned());
}
