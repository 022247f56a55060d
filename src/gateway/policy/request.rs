//! Rules for a single request, applied in this order: `admission`, `key_freshness`, `body_memory`, `quota`,
//! `time_limits`, `endpoint_priority`, `retries` and `retry_budget`. `refusal` lists the reasons
//! for which a request may be refused, and `retry_after` sets the time after which the client may
//! retry. `stream_origin` decides where a stream goes on that its client takes up again.

pub mod admission;
pub mod body_memory;
pub mod configuration_doubt;
pub mod crash_checks;
pub mod crash_ledger;
pub mod crash_record;
pub mod endpoint_priority;
pub mod fingerprint;
pub mod key_freshness;
pub mod quota;
pub mod refusal;
pub mod response_end;
pub mod retries;
pub mod retry_after;
pub mod retry_budget;
pub mod stream_origin;
pub mod time_limits;
