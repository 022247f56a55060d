//! Serves clients' requests on the native path.
//!
//! The gateway has its own path (`crate::gateway::request`), which shares no task or state with this
//! one.

pub mod context;
pub mod listeners;
pub mod planning;
pub mod run;
pub mod services;
pub mod timeline;

use std::time::Duration;

/// Retry-after of refusals for which no better time is known: overload, no endpoint, no table. Long
/// enough that refused clients add little load.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Longest time that a client is kept waiting for a request that may not be retried, more than the
/// 30 s wait for a remote holder; and longest silence of a run for which there is no better one.
const CLIENT_WAIT: Duration = Duration::from_secs(45);
