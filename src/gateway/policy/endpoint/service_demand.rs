//! Demand of a daemon for a service, in requests per second, from a counter that only rises.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which demand is averaged. Reports of it are up to seconds old: with a shorter time,
/// daemons whose demand rises suddenly would use shares that the others are still using.
const AVERAGING_TIME: Duration = Duration::from_secs(4);

/// Demand of one daemon for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    last_count: Option<(u64, Instant)>,
    per_second: f64,
}

impl DemandRate {
    /// Updates the rate with the number of requests counted until `now`.
    pub fn observe(&mut self, requests: u64, now: Instant) {
        let before = self.last_count.replace((requests, now));
        let Some((count, at)) = before else { return };
        let elapsed = now.saturating_duration_since(at);
        if elapsed.is_zero() {
            self.last_count = before;
            return;
        }
        let rate = requests.saturating_sub(count) as f64 / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.div_duration_f64(AVERAGING_TIME)).exp();
        self.per_second += (rate - self.per_second) * weight;
    }

    /// Requests per second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}
