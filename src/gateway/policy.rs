//! The rules of the gateway, a file each: inputs and the time in, a decision out. No I/O.
//!
//! In the order in which a request meets them: `admission`, `key_freshness`, `quota`,
//! `time_limits`, `endpoint_choice`, `endpoint_priority`, `retries`, `retry_budget`, `refusal`,
//! `retry_after`. For the daemon itself: `readiness`, `daemon_count`, `store_watchers`,
//! `catch_up`. For the leader: `leader_lease`, `usage_counts`, `fleet_size`, `wall_clock`.

pub mod admission;
pub mod catch_up;
pub mod daemon_count;
pub mod endpoint_choice;
pub mod endpoint_load;
pub mod endpoint_orders;
pub mod endpoint_priority;
pub mod endpoint_status;
pub mod endpoint_table;
pub mod fleet_size;
pub mod key_freshness;
pub mod leader_lease;
pub mod prefill_rate;
pub mod prompt_cache;
pub mod quota;
pub mod readiness;
pub mod refusal;
pub mod retries;
pub mod retry_after;
pub mod retry_budget;
pub mod store_watchers;
pub mod time_limits;
pub mod usage_counts;
pub mod usage_reports;
pub mod wall_clock;
pub mod zone_plan;
