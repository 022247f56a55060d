//! Slow start of an endpoint after a pause, and its cause.

use derive_more::Display;
use tokio::time::Instant;

/// Why an endpoint is in a slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum ProbeCause {
    /// It has refused a request of this daemon.
    #[display("it has refused a request of this daemon")]
    Refused,
    /// It has failed a request of this daemon, and fails more often than others.
    #[display("it has failed a request of this daemon")]
    Failed,
    /// Another daemon reports that it refuses or fails.
    #[display("another daemon reports that it refuses or fails")]
    Reported,
    /// It no longer sends a limit in its responses.
    #[display("its limit has ended")]
    LimitEnded,
}

/// State of a slow start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeWindow {
    /// Requests that may be in progress at once.
    pub(super) allowed: u32,
    /// Requests in progress.
    pub(super) waiting: u32,
    /// Cause of the slow start. After a failure, more may be sent if no other endpoint has room.
    pub(super) cause: ProbeCause,
    /// Beginning of the slow start.
    pub(super) since: Instant,
    /// Until when the endpoint is likely to refuse or fail again.
    pub(super) risky_until: Instant,
}

impl ProbeWindow {
    pub(super) fn has_room(self) -> bool {
        self.waiting < self.allowed
    }

    pub(super) fn is_after_failure(self) -> bool {
        self.cause == ProbeCause::Failed
    }
}
