//! When a daemon that stops refuses requests and connections, and when it cuts the requests that are still in progress.
//!
//! A request that is cut has no response, and one that may run once can't be repeated then. So from some time on a
//! request is passed on only if its own deadline ends it before the cut. That is decided when it is passed on: its
//! head may have arrived long before, while its body, an endpoint or a retry was awaited.
//!
//! Inputs are the time of the signal and the grace time, at whose end the process is killed, and the deadlines of
//! requests. A grace time that is shorter than the usual steps shortens them.

use std::time::Duration;

use tokio::time::Instant;

/// Time after the signal from which requests are refused: by then the load balancer sends new
/// connections elsewhere, and a long request might be cut off.
const REFUSE_AFTER: Duration = Duration::from_millis(2_800);
/// Part of the time until the cut during which requests are passed on whatever their deadlines are, where that is
/// shorter than [`REFUSE_AFTER`].
const ANY_DEADLINE_PART: f64 = 0.4;
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
    /// From then on only requests whose deadline comes before the cut are passed on.
    pub bounded_from: Instant,
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
        let until_cut = cut_at.saturating_duration_since(begun);
        Self {
            bounded_from: begun + REFUSE_AFTER.min(until_cut.mul_f64(ANY_DEADLINE_PART)),
            refuse_at: cut_at.min(begun + REFUSE_AFTER),
            close_at: cut_at.min(begun + ACCEPT_FOR),
            cut_at,
        }
    }

    /// Whether a request that has to end by `deadline` may be passed on at `now`.
    pub fn may_pass_on(&self, deadline: Instant, now: Instant) -> bool {
        now < self.bounded_from || deadline <= self.cut_at
    }
}
