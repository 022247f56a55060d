//! Tasks of the daemon that holds the leader lease: usage reports, endpoint orders and roll-outs.
//!
//! `leader_tasks` is the loop; `lease_keeper`, `lease_acquire` and `lease_reconcile` maintain the lease
//! through `lease_store`; `endpoint_orders` collects the inputs for ordering endpoints. The rules are in
//! `policy::leader::{leader_lease, usage_reports, endpoint_orders, fleet_size}`.

pub mod brittle_services;
mod endpoint_orders;
mod fleet_members;
pub mod leader_tasks;
pub mod lease_acquire;
pub mod lease_keeper;
pub mod lease_object;
mod lease_reconcile;
pub mod lease_record;
pub mod lease_store;
mod quarantine;
mod record_restore;
mod rollout_starts;
pub mod rollout_tasks;
mod sole_versions;
