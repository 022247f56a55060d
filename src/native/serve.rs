//! From a client's request to its response.
//!
//! The gateway's path is `crate::gateway::request`; it shares no task or state with this one.

pub mod context;
pub mod listeners;
pub mod planning;
pub mod run;
pub mod services;
pub mod timeline;

use std::time::Duration;

/// Retry-after of refusals that know no better time: overload, no endpoint, no table. Long enough
/// that refused clients add little load.
const RETRY_AFTER: Duration = Duration::from_secs(1);
