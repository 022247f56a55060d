//! Retries on the native path: how many, and after which pause.
//!
//! Decides what follows an attempt that brought no response:
//!
//! | the attempt | next |
//! |---|---|
//! | was refused before it started | another endpoint at once |
//! | failed and may have run | another endpoint after a pause, if the bucket allows |
//! | found every endpoint tried | all endpoints again, after a pause |
//!
//! After [`ATTEMPT_LIMIT`] attempts each of them ends the request. Retries are a bounded
//! fraction of first attempts, so that a brownout is not answered with a retry storm. This is
//! a token bucket without a clock; the gateway's rule, `gateway::policy::request::retry_budget`, counts
//! requests and retries in a sliding window, with a reserve that all daemons share. The two
//! answer differently, so they stay two.
//!
//! Inputs: this daemon's own attempts at one service, no older state. Refusals by the daemon
//! itself neither fill the bucket nor draw from it; refusals by endpoints before they started do
//! not draw from it. A daemon that has just started has the full reserve.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Most attempts at one request, moves apart: the bucket is the tighter bound in a brownout.
pub const ATTEMPT_LIMIT: u32 = 6;
/// Fraction of first attempts that may be spent on retries. Enough for a brownout of half the
/// endpoints.
const RETRY_FRACTION: f64 = 0.1;
/// Retries that a quiet daemon may spend at once: without it, a daemon with few requests could not
/// retry.
const RETRY_RESERVE: f64 = 10.0;
/// First pause before a retry; each further one is twice as long. Short beside a first token.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
/// Longest pause before a retry: bounds the delay that retries add.
const PAUSE_LONGEST: Duration = Duration::from_millis(1_000);
/// Part of the pause that is drawn at random, so that retries do not come together: the upper half.
const JITTER: std::ops::RangeInclusive<f64> = 0.5..=1.0;
/// Most doublings of the pause: past the longest pause, and far from an overflow.
const DOUBLINGS_MAX: u32 = 10;

/// Retries that may be spent at one service; a token bucket that first attempts fill.
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
    /// Counts a first attempt.
    pub fn deposit(&mut self) {
        self.level = (self.level + RETRY_FRACTION).min(RETRY_RESERVE);
    }

    /// Withdraws one retry; `false` if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}

/// What follows an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    /// The next attempt, at once.
    Now,
    /// The next attempt, after a pause.
    After(Duration),
    /// The request ends: its attempts or the service's retries are used up.
    GiveUp,
}

/// Decides after attempt number `attempts` (from 1) was refused before it started.
pub fn after_not_started(attempts: u32) -> RetryVerdict {
    if attempts >= ATTEMPT_LIMIT { RetryVerdict::GiveUp } else { RetryVerdict::Now }
}

/// Decides after attempt number `attempts` (from 1) failed and may have run. It draws from the
/// bucket also where the attempts are used up.
pub fn after_failure(attempts: u32, bucket: &mut RetryBucket, rng: &mut impl Rng) -> RetryVerdict {
    let allowed = bucket.try_withdraw();
    if !allowed || attempts >= ATTEMPT_LIMIT {
        return RetryVerdict::GiveUp;
    }
    RetryVerdict::After(retry_pause(attempts - 1, rng))
}

/// Decides after `attempts` attempts, when every endpoint has been tried.
pub fn after_all_tried(attempts: u32, rng: &mut impl Rng) -> RetryVerdict {
    if attempts >= ATTEMPT_LIMIT {
        return RetryVerdict::GiveUp;
    }
    RetryVerdict::After(retry_pause(attempts, rng))
}

/// Pause before retry number `retry` (from 0).
pub fn retry_pause(retry: u32, rng: &mut impl Rng) -> Duration {
    let longest = (PAUSE_FIRST * 2_u32.pow(retry.min(DOUBLINGS_MAX))).min(PAUSE_LONGEST);
    longest.mul_f64(rng.random_range(JITTER))
}
