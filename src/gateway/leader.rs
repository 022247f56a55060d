//! Tasks of the daemon that holds the leader lease: usage reports and endpoint orders.
//!
//! `leader_tasks` is the loop; `lease_keeper`, `lease_acquire` and `lease_reconcile` keep the lease by way
//! of `lease_store`; `endpoint_orders` collects what orders are decided from. The rules stand in
//! `policy::{leader_lease, usage_reports, endpoint_orders, fleet_size}`.

pub mod endpoint_orders;
pub mod leader_tasks;
pub mod lease_acquire;
pub mod lease_keeper;
mod lease_reconcile;
pub mod lease_record;
pub mod lease_sight;
pub mod lease_store;
mod quarantine;
