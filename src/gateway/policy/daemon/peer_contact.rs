//! Whether this daemon knows what the others know: which requests crash endpoints.
//!
//! A daemon that has just started, or whose process has stood still, may have missed a quarantine.
//! Until a peer has responded to a call made since then, it runs no request. A daemon that
//! reaches no peer goes on alone after a bounded time. Without this wait, three daemons that were
//! started again one after the other ended two more endpoints under a request that all refused.

use std::time::Duration;

use tokio::time::Instant;

/// A process whose gossip did not run for this long has stood still: fifteen gossip intervals;
/// processes that are only slow run it more often.
const STANDSTILL: Duration = Duration::from_millis(1_500);
/// A daemon that has heard no peer for this long goes on alone: six calls begin in it; longer,
/// requests would be refused for it where most daemons are killed.
const MAX_WAIT: Duration = Duration::from_millis(300);

/// Since when this daemon runs without a standstill, and whether it has heard a peer since.
#[derive(Clone, Copy, Debug)]
pub struct PeerContact {
    running_since: Instant,
    ran_at: Instant,
    has_heard: bool,
}

impl PeerContact {
    /// Contact of a daemon that starts now.
    pub fn new(now: Instant) -> Self {
        Self { running_since: now, ran_at: now, has_heard: false }
    }

    /// Notes that a gossip interval begins.
    pub fn begin_interval(&mut self, now: Instant) {
        if self.stood_still(now) {
            self.running_since = now;
            self.has_heard = false;
        }
        self.ran_at = now;
    }

    /// Notes that a peer has responded to a call made at `called_at`.
    pub fn receive_response(&mut self, called_at: Instant) {
        self.has_heard |= called_at >= self.running_since;
    }

    /// Whether the daemon knows what the others know.
    pub fn is_current(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.running_since);
        !self.stood_still(now) && (self.has_heard || waited >= MAX_WAIT)
    }

    fn stood_still(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ran_at) >= STANDSTILL
    }
}
