//! The gateway: passes clients' requests through to replicas, with their streams, under
//! the operators' configuration, and carries out the duties of its deployment.
//!
//! docs/design/platform.md tells how its parts work together.

pub mod admission;
pub mod attempt;
pub mod behind;
pub mod call;
pub mod choice;
pub mod client_edge;
pub mod configuration;
pub mod configuration_check;
pub mod connections;
pub mod context;
pub mod daemon;
pub mod dispatch;
pub mod duties;
pub mod events;
pub mod exchange;
pub mod fleet_orders;
pub mod fleet_plan;
pub mod lease;
pub mod lease_record;
pub mod news;
pub mod peers;
pub mod prompt_memory;
pub mod quota;
pub mod read_rate;
pub mod readiness;
pub mod refusal;
pub mod relay;
pub mod replica;
pub mod replica_load;
pub mod request_log;
pub mod retry_budget;
pub mod rows;
pub mod run_guard;
pub mod settings;
pub mod state;
pub mod store_watch;
pub mod tally_source;
pub mod usage;
pub mod wall_clock;
