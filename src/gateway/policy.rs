//! The rules of the gateway, a file each: inputs and the time in, a decision out. No I/O.

pub mod catch_up;
pub mod endpoint_choice;
pub mod endpoint_load;
pub mod endpoint_orders;
pub mod fleet_size;
pub mod leader_lease;
pub mod prefill_rate;
pub mod prompt_cache;
pub mod quota;
pub mod retry_budget;
pub mod usage_counts;
pub mod usage_reports;
pub mod wall_clock;
pub mod zone_plan;
