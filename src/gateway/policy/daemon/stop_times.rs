//! When a daemon that stops refuses requests and connections, and when it cuts the requests that are still in progress.
//!
//! Inputs are the time of the signal and the grace time, at whose end the process is killed. A grace time that is
//! shorter than the usual steps shortens them.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the signal from which requests are refused: by then the load balancer sends new
/// connections elsewhere, and a long request might be cut off.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Time after the signal until which connections are accepted. Longer than [`REFUSE_AFTER`], since a
/// request can only be refused on an accepted connection.
const ACCEPT_FOR: Duration = Duration::from_millis(3_500);
/// Longest part of the grace time that is reserved for writing the logs and exiting.
const MAX_MARGIN: Duration = Duration::from_millis(500);
/// The grace time divided by this is reserved if that is shorter: requests at work in the last sixth may be cut.
const MARGIN_DIVISOR: u32 = 8;

/// Times at which a stop goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopTimes {
    /// From then on requests are refused.
    pub refuse_at: Instant,
    /// From then on no connections are accepted.
    pub close_at: Instant,
    /// Requests that are still in progress are cut.
    pub cut_at: Instant,
}

impl StopTimes {
    /// Times of a stop that was asked for at `begun`.
    pub fn new(begun: Instant, grace: Duration) -> Self {
        let margin = MAX_MARGIN.min(grace / MARGIN_DIVISOR);
        let cut_at = begun + (grace - margin);
        Self {
            refuse_at: cut_at.min(begun + REFUSE_AFTER),
            close_at: cut_at.min(begun + ACCEPT_FOR),
            cut_at,
        }
    }
}
