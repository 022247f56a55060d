//! Rules of the leader: the lease, usage reports and orders of endpoints.

pub mod endpoint_orders;
pub mod fleet_size;
pub mod leader_lease;
pub mod observed_service;
pub mod reclaim_wave;
pub mod run_times;
pub mod usage_counts;
pub mod usage_reports;
pub mod wall_clock;
pub mod zone_plan;
