//! Wall clock for the numbers of usage windows that does not follow sudden jumps of the system's
//! clock.
//!
//! The time is advanced by the monotonic clock and compared with the system's clock in every gossip
//! interval. Small differences are applied immediately; a larger one is applied only after it has
//! lasted for `JUMP_ACCEPTED_AFTER`, so that a clock that is wrong for a few seconds does not move
//! requests into windows that were already reported.

use crate::boot_clock;
use std::time::Duration;

use tokio::time::Instant;

/// Time after which a jump is applied: longer than the windows that are still reported.
const JUMP_ACCEPTED_AFTER: Duration = Duration::from_secs(20);
/// Differences up to this many milliseconds are ordinary drift.
const MAX_DRIFT_MS: i64 = 100;

/// A jump of the system's clock that is not applied yet.
#[derive(Clone, Copy, Debug)]
struct ClockJump {
    /// Wall time of `SteadyWallClock::start` according to the system's clock.
    origin_ms: i64,
    since: Instant,
}

/// Wall clock that is advanced by the monotonic clock.
#[derive(Debug)]
pub struct SteadyWallClock {
    start: Instant,
    /// Wall time of `start`, in milliseconds since 1970.
    origin_ms: i64,
    jump: Option<ClockJump>,
}

impl SteadyWallClock {
    /// Clock that reads `wall_ms` (milliseconds since 1970) now.
    pub fn new(wall_ms: u64, now: Instant) -> Self {
        Self { start: now, origin_ms: wall_ms as i64, jump: None }
    }

    /// Compares it with the system's clock, which reads `wall_ms` now.
    pub fn compare(&mut self, wall_ms: u64, now: Instant) {
        let origin_ms = wall_ms as i64 - self.elapsed_ms(now);
        if (origin_ms - self.origin_ms).abs() <= MAX_DRIFT_MS {
            self.apply(origin_ms);
            return;
        }
        match self.jump {
            Some(jump) if (jump.origin_ms - origin_ms).abs() <= MAX_DRIFT_MS => {
                if now.saturating_duration_since(jump.since) >= JUMP_ACCEPTED_AFTER {
                    self.apply(origin_ms);
                }
            }
            _ => self.jump = Some(ClockJump { origin_ms, since: now }),
        }
    }

    fn apply(&mut self, origin_ms: i64) {
        self.origin_ms = origin_ms;
        self.jump = None;
    }

    /// Milliseconds since 1970.
    pub fn now_ms(&self, now: Instant) -> u64 {
        (self.origin_ms + self.elapsed_ms(now)).max(0) as u64
    }

    /// Number of the current window of this length.
    pub fn window(&self, length: Duration) -> u64 {
        self.now_ms(boot_clock::now()) / (length.as_millis() as u64).max(1)
    }

    fn elapsed_ms(&self, now: Instant) -> i64 {
        now.saturating_duration_since(self.start).as_millis() as i64
    }
}
