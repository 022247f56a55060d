//! Rules of one request. It meets `admission`, `key_freshness`, `quota`, `time_limits`,
//! `endpoint_priority`, `retries` and `retry_budget` in this order; `refusal` lists how it may be
//! refused, `retry_after` when the client may try again.

pub mod admission;
pub mod configuration_doubt;
pub mod crash_checks;
pub mod crash_ledger;
pub mod crash_record;
pub mod endpoint_priority;
pub mod fingerprint;
pub mod key_freshness;
pub mod quota;
pub mod refusal;
pub mod retries;
pub mod retry_after;
pub mod retry_budget;
pub mod time_limits;
