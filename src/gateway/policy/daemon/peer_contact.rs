//! Whether this daemon knows what the others know: which requests crash endpoints, which endpoints
//! drain, and which configuration is the newest.
//!
//! A daemon that has just started, or whose process has stood still, may have missed a quarantine.
//! Until a peer has responded to a call made since then, it runs no request. A daemon that
//! reaches no peer goes on alone after a bounded time. What a daemon reads from the store as it starts
//! may be of a copy: it then waits for a response to a call made since, and for the configuration
//! that its peers hold, if that is newer. Without this wait, three daemons that were
//! started again one after the other ended two more endpoints under a request that all refused.

use std::time::Duration;

use tokio::time::Instant;

/// A process whose gossip did not run for this long has stood still: fifteen gossip intervals;
/// processes that are only slow run it more often.
const STANDSTILL: Duration = Duration::from_millis(1_500);
/// A daemon that has heard no peer for this long goes on alone: six calls begin in it; longer,
/// requests would be refused for it where most daemons are killed.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Time after its start in which a daemon waits for a newer configuration that peers have reported:
/// as long as a call that requests one may take.
const MAX_CATCH_UP: Duration = Duration::from_millis(2_500);

/// Since when this daemon runs without a standstill, and whether it has heard a peer since.
#[derive(Clone, Copy, Debug)]
pub struct PeerContact {
    running_since: Instant,
    ran_at: Instant,
    has_heard: bool,
    started_at: Instant,
    /// Whether peers have reported a newer configuration since the start, and it was not yet held.
    is_lagging: bool,
    has_caught_up: bool,
}

impl PeerContact {
    /// Contact of a daemon that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            running_since: now,
            ran_at: now,
            has_heard: false,
            started_at: now,
            is_lagging: false,
            has_caught_up: false,
        }
    }

    /// Notes that a gossip interval begins.
    pub fn begin_interval(&mut self, now: Instant) {
        if self.stood_still(now) {
            self.running_since = now;
            self.has_heard = false;
        }
        self.ran_at = now;
    }

    /// Notes that what this daemon has read at `now` may be older than what its peers know.
    pub fn expect_response(&mut self, now: Instant) {
        self.running_since = now;
        self.has_heard = false;
    }

    /// Notes that a peer that knows what the others know has responded to a call made at `called_at`.
    pub fn receive_response(&mut self, called_at: Instant) {
        self.has_heard |= called_at >= self.running_since;
    }

    /// Notes whether peers have reported a newer configuration than the one held, or none is held. After
    /// a daemon has once caught up, it serves by what it has.
    pub fn observe_lag(&mut self, is_lagging: bool, now: Instant) {
        self.has_caught_up |= !is_lagging && self.has_response(now);
        self.is_lagging = is_lagging && !self.has_caught_up;
    }

    /// Whether the daemon knows what the others know.
    pub fn is_current(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        self.has_response(now) && (!self.is_lagging || age >= MAX_CATCH_UP)
    }

    fn has_response(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.running_since);
        !self.stood_still(now) && (self.has_heard || waited >= MAX_WAIT)
    }

    fn stood_still(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.ran_at) >= STANDSTILL
    }
}
