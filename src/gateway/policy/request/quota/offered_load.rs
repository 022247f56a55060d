//! Units per second that clients request from an account, as a moving average.

use tokio::time::Instant;

/// Time constant of the average, in seconds: about the age of reports in a fleet of 87 daemons
/// (1.8 s), and short enough to follow a sudden rise.
const AVERAGE_TIME_S: f64 = 1.5;

/// Exponentially weighted moving average of requested units.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferedLoad {
    /// Units per second at `updated_at`.
    rate: f64,
    updated_at: Option<Instant>,
}

impl OfferedLoad {
    /// Units per second, decayed to `now`.
    pub fn rate(&self, now: Instant) -> f64 {
        let since_update = |at| now.saturating_duration_since(at).as_secs_f64();
        let elapsed_s = self.updated_at.map_or(0.0, since_update);
        self.rate * (-elapsed_s / AVERAGE_TIME_S).exp()
    }

    /// Counts units requested at `now`.
    pub fn add(&mut self, units: u64, now: Instant) {
        self.rate = self.rate(now) + units as f64 / AVERAGE_TIME_S;
        self.updated_at = Some(now);
    }
}
