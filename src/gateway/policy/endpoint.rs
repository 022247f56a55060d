//! Rules for choosing an endpoint, and the state of endpoints that they use.

pub mod endpoint_choice;
pub mod endpoint_load;
pub mod endpoint_pause;
pub mod endpoint_starts;
pub mod endpoint_status;
pub mod endpoint_table;
pub mod failure_rate;
pub mod load_reports;
pub mod prefill_rate;
pub mod prompt_cache;
pub mod request_limit;
pub mod room_forecast;
pub mod service_demand;
pub mod service_room;
pub mod signal_ledger;
