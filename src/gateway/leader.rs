//! What the daemon that holds the leader lease does: usage reports, orders of endpoints.

pub mod endpoint_orders;
pub mod leader_tasks;
pub mod lease_keeper;
pub mod lease_record;
