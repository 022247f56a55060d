//! How many requests a second daemons have for a service, from counts that only rise.

use std::time::Duration;

use tokio::time::Instant;

/// Time over which demand is averaged. Reports of it are up to seconds old: a shorter time would let
/// daemons whose demand rises at once all take shares that the others have not left yet.
const AVERAGED_OVER: Duration = Duration::from_secs(4);

/// Demand of one daemon for one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    counted: Option<(u64, Instant)>,
    per_second: f64,
}

impl DemandRate {
    /// Notes how many requests were counted up to now.
    pub fn observe(&mut self, requests: u64, now: Instant) {
        let before = self.counted.replace((requests, now));
        let Some((counted, at)) = before else { return };
        let elapsed = now.saturating_duration_since(at);
        if elapsed.is_zero() {
            self.counted = before;
            return;
        }
        let rate = requests.saturating_sub(counted) as f64 / elapsed.as_secs_f64();
        let weight = 1.0 - (-elapsed.div_duration_f64(AVERAGED_OVER)).exp();
        self.per_second += (rate - self.per_second) * weight;
    }

    /// Requests a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }
}
