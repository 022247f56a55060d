//! Retry budget: retries are a bounded share of first attempts, so that a brownout is
//! never answered with a storm.
//!
//! The daemon's own refusals and endpoints' refusals before starting neither draw
//! from the budget nor fill it.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Share of first attempts that may be spent on retries.
const RETRY_SHARE: f64 = 0.1;
/// Retries that a quiet daemon may spend at once.
const RETRY_RESERVE: f64 = 10.0;
/// First pause before a retry; each further one is twice as long.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
/// Longest pause before a retry.
const PAUSE_LONGEST: Duration = Duration::from_millis(1_000);

/// Budget of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBucket {
    level: f64,
}

impl Default for RetryBucket {
    fn default() -> Self {
        Self { level: RETRY_RESERVE }
    }
}

impl RetryBucket {
    /// A first attempt was made.
    pub fn earn(&mut self) {
        self.level = (self.level + RETRY_SHARE).min(RETRY_RESERVE);
    }

    /// Draws one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}

/// Pause before retry number `retry` (from 0), with full jitter.
pub fn retry_pause(retry: u32, rng: &mut impl Rng) -> Duration {
    let longest = (PAUSE_FIRST * 2_u32.pow(retry.min(10))).min(PAUSE_LONGEST);
    longest.mul_f64(rng.random_range(0.5..=1.0))
}
