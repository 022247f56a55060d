//! Requests that come slowly to an endpoint, and why.

use derive_more::Display;
use tokio::time::Instant;

/// Why requests come slowly.
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
    /// It no longer names a limit.
    #[display("its limit has ended")]
    LimitEnded,
}

/// Requests that come slowly after a pause.
#[derive(Clone, Copy, Debug)]
pub(super) struct ProbeWindow {
    /// Requests that may wait for their responses.
    pub(super) allowed: u32,
    /// Those that do.
    pub(super) waiting: u32,
    /// Why they come slowly. One that fails may be sent more where no other has room.
    pub(super) cause: ProbeCause,
    /// Since when they do.
    pub(super) since: Instant,
    /// Until when it is expected to refuse or fail again.
    pub(super) risky_until: Instant,
}

impl ProbeWindow {
    pub(super) fn has_place(self) -> bool {
        self.waiting < self.allowed
    }

    pub(super) fn is_after_failure(self) -> bool {
        self.cause == ProbeCause::Failed
    }
}
