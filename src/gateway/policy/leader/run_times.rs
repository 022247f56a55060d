//! How many requests would run if there were enough endpoints.
//!
//! Answers the load pattern in which endpoints are lost faster than others start. Those that are left are
//! slow, so requests stay longer and more of them run, although no more arrive. Counted as they are, they
//! ask for twice the endpoints, which come when the backlog is gone. While fewer endpoints serve than are
//! required, and until the backlog is gone, no more requests count than arrive in the time for which one
//! usually runs.
//!
//! Inputs are the requests that daemons report as running and as arriving, up to two seconds old. Until
//! the usual time is known, as at a leader that has just started, the running requests count as they are.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which the usual run time is averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(8);
/// Multiple of the usual run time that counts in a shortage: some endpoints are needed to work off the
/// backlog.
const SHORTAGE_MARGIN: f64 = 1.25;

/// Time after a shortage in which a backlog may be left. If more requests run for longer, they are of
/// another kind.
const MAX_BACKLOG_TIME: Duration = Duration::from_secs(10);

/// The time for which a service's requests usually run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunTimes {
    /// In seconds.
    usual: Option<f64>,
    observed_at: Option<Instant>,
    /// When fewer endpoints served than were required; none if there is no backlog of that time.
    short_at: Option<Instant>,
}

impl RunTimes {
    /// Running requests to count, of `running` that are observed while `arriving` arrive per second.
    pub fn counted(&mut self, running: f64, arriving: f64, is_short: bool, now: Instant) -> f64 {
        if is_short {
            self.short_at = Some(now);
        }
        let expected = self.usual.map(|usual| usual * arriving * SHORTAGE_MARGIN);
        if let Some(expected) = expected
            && running > expected
            && self.has_backlog(now)
        {
            return expected;
        }
        if !is_short {
            self.short_at = None;
            if arriving > 0.0 {
                self.observe(running / arriving, now);
            }
        }
        running
    }

    fn has_backlog(&self, now: Instant) -> bool {
        self.short_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_BACKLOG_TIME)
    }

    fn observe(&mut self, run_time: f64, now: Instant) {
        let before = self.observed_at.replace(now);
        let elapsed = before.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        let usual = self.usual.unwrap_or(run_time);
        self.usual = Some(usual + (run_time - usual) * weight);
    }
}
