//! Decides whether this daemon is up to date with its peers: which requests crash endpoints, which
//! endpoints drain, and which configuration is the newest.
//!
//! A daemon that has just started, or whose process was suspended, may have missed a quarantine.
//! It runs no requests until a peer has responded to a call made after that. A daemon that reaches
//! no peer continues alone after a limited time. What a daemon reads from the store as it starts
//! may come from a restored, outdated copy. It therefore waits for a response to a call made after
//! reading, and for the configuration of its peers if that is newer. Without this wait, three
//! daemons that were restarted one after the other crashed two more endpoints with a request that
//! all daemons had been refusing.
//!
//! Answers the load pattern in which all daemons are killed at once and clients retry before the
//! daemons have exchanged messages. The wait ends soon and at a known time, so requests wait for it
//! here if it leaves them enough of their own time, rather than be sent again over a new connection.

use std::time::Duration;

use tokio::time::Instant;

/// A process whose gossip has not run for this long was suspended: fifteen gossip intervals. In a
/// process that is only slow, gossip runs more often.
const SUSPENSION_THRESHOLD: Duration = Duration::from_millis(1_500);
/// A daemon that gets no response from a peer for this long continues alone. It starts six calls
/// in that time; with a longer wait, requests would be refused where most daemons were killed.
const MAX_WAIT: Duration = Duration::from_millis(300);
/// Part of a request's time that it may spend waiting for peers.
const MAX_WAIT_FRACTION: f64 = 0.5;
/// Time after its start for which a daemon waits for a newer configuration that peers have
/// reported: the time limit of a call that requests one.
const MAX_CATCH_UP: Duration = Duration::from_millis(2_500);

/// Whether a peer has responded since this daemon started or was last suspended, and whether the
/// daemon has caught up with the configuration of its peers.
#[derive(Clone, Copy, Debug)]
pub struct PeerContact {
    running_since: Instant,
    last_interval_at: Instant,
    response_received: bool,
    started_at: Instant,
    /// Whether the daemon has not caught up since its start: it has no configuration, or peers have
    /// reported a newer one.
    is_lagging: bool,
    has_caught_up: bool,
}

impl PeerContact {
    /// Contact of a daemon that starts now.
    pub fn new(now: Instant) -> Self {
        Self {
            running_since: now,
            last_interval_at: now,
            response_received: false,
            started_at: now,
            is_lagging: false,
            has_caught_up: false,
        }
    }

    /// Time since this daemon started or was last suspended.
    pub fn running_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.running_since)
    }

    /// Called when a gossip interval begins.
    pub fn begin_interval(&mut self, now: Instant) {
        if self.was_suspended(now) {
            self.running_since = now;
            self.response_received = false;
        }
        self.last_interval_at = now;
    }

    /// Called when this daemon has read something at `now` that may be older than what its peers
    /// know: it has to wait for a new response.
    pub fn expect_response(&mut self, now: Instant) {
        self.running_since = now;
        self.response_received = false;
    }

    /// Called when an up-to-date peer has responded to a call made at `called_at`.
    pub fn receive_response(&mut self, called_at: Instant) {
        self.response_received |= called_at >= self.running_since;
    }

    /// Records whether this daemon has no configuration or peers have reported a newer one. Once a
    /// daemon has caught up, it no longer waits for newer configurations.
    pub fn observe_lag(&mut self, is_lagging: bool, now: Instant) {
        self.has_caught_up |= !is_lagging && self.peer_wait_is_over(now);
        self.is_lagging = is_lagging && !self.has_caught_up;
    }

    /// Whether the daemon is up to date with its peers, or has waited long enough for them.
    pub fn is_current(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started_at);
        self.peer_wait_is_over(now) && (!self.is_lagging || age >= MAX_CATCH_UP)
    }

    /// How long a request that has `time_left` waits for peers; none if it doesn't: the daemon is up to
    /// date, it isn't known when it will be, or too little of the request's time would be left.
    pub fn request_wait(&self, time_left: Duration, now: Instant) -> Option<Duration> {
        if self.is_lagging || self.peer_wait_is_over(now) {
            return None;
        }
        // After a suspension the wait begins with the interval that is due now.
        let begun = if self.was_suspended(now) { now } else { self.running_since };
        let wait = MAX_WAIT.saturating_sub(now.saturating_duration_since(begun));
        (wait <= time_left.mul_f64(MAX_WAIT_FRACTION)).then_some(wait)
    }

    fn peer_wait_is_over(&self, now: Instant) -> bool {
        let waited = now.saturating_duration_since(self.running_since);
        !self.was_suspended(now) && (self.response_received || waited >= MAX_WAIT)
    }

    fn was_suspended(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_interval_at) >= SUSPENSION_THRESHOLD
    }
}
