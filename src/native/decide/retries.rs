//! Retries on the native path: how many attempts a request gets, and the pause before each.
//!
//! Decides what follows an attempt that brought no response:
//!
//! | the attempt | next |
//! |---|---|
//! | was refused before it started | another endpoint at once |
//! | failed and may have run | another endpoint after a pause, if the bucket allows |
//! | found every endpoint tried | all endpoints again, after a pause |
//!
//! An attempt that is silent is kept, and another endpoint gets an attempt too if there is one and
//! the bucket allows.
//!
//! After [`ATTEMPT_LIMIT`] attempts, the request ends in each of these cases. Retries are limited
//! to a fraction of first attempts, so that a brownout does not cause a retry storm. The limit is
//! a token bucket without a clock; the gateway's `gateway::policy::request::retry_budget` also earns
//! retries by time, and begins with none, since its deployments promise a bound over all daemons. The
//! two give different results, so they do not share code.
//!
//! Inputs: only this daemon's own attempts at one service. Requests that the daemon itself refuses
//! neither fill the bucket nor draw from it; requests that endpoints refuse before starting them
//! do not draw from it. A daemon that has just started has the full reserve.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Most attempts at one request, not counting moves to another endpoint. In a brownout, the bucket
/// limits retries further.
pub const ATTEMPT_LIMIT: u32 = 6;
/// Retries allowed per first attempt: enough for a brownout of half the endpoints.
const RETRY_FRACTION: f64 = 0.1;
/// Capacity of the bucket, in retries. Without this reserve, a daemon with few requests could not
/// retry.
const RETRY_RESERVE: f64 = 10.0;
/// First pause before a retry; each further one is twice as long. It is short compared with the
/// time to a first token.
const PAUSE_FIRST: Duration = Duration::from_millis(20);
/// Longest pause before a retry, which limits the delay that retries add.
const PAUSE_LONGEST: Duration = Duration::from_millis(1_000);
/// Random factor of a pause, so that retries are spread over time: the upper half.
const JITTER: std::ops::RangeInclusive<f64> = 0.5..=1.0;
/// Most doublings of the pause: enough to reach the longest pause, and far from an overflow.
const DOUBLINGS_MAX: u32 = 10;

/// Token bucket of retries for one service, filled by first attempts.
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

    /// Whether a retry is left.
    pub fn has_retry(&self) -> bool {
        self.level >= 1.0
    }

    /// Withdraws one retry; returns `false` if none is left.
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.has_retry();
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}

/// What to do after an attempt without a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetryVerdict {
    /// Begin the next attempt at once.
    Now,
    /// Begin the next attempt after a pause.
    After(Duration),
    /// End the request: its attempts or the service's retries are used up.
    GiveUp,
}

/// Decides after attempt number `attempts` (from 1) was refused before it started.
pub fn after_not_started(attempts: u32) -> RetryVerdict {
    if attempts >= ATTEMPT_LIMIT { RetryVerdict::GiveUp } else { RetryVerdict::Now }
}

/// Decides after attempt number `attempts` (from 1) failed and may have run. Draws from the bucket
/// even if the attempts are used up.
pub fn after_failure(attempts: u32, bucket: &mut RetryBucket, rng: &mut impl Rng) -> RetryVerdict {
    let allowed = bucket.try_withdraw();
    if !allowed || attempts >= ATTEMPT_LIMIT {
        return RetryVerdict::GiveUp;
    }
    RetryVerdict::After(retry_pause(attempts - 1, rng))
}

/// Decides whether a further attempt may be begun beside a silent one, after `attempts` attempts. The
/// bucket is drawn from when there is an endpoint for it.
pub fn may_run_beside(attempts: u32, bucket: &RetryBucket) -> bool {
    attempts < ATTEMPT_LIMIT && bucket.has_retry()
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
