//! Failure rate of an endpoint for this daemon's requests, and whether it is well above that of the
//! other endpoints of the service (an outlier).
//!
//! Failures are responses of the endpoint itself with a status of 500 or above, broken connections
//! and timeouts; `docs/design/endpoint-failures.md` lists what counts. A request that fails at
//! every endpoint tells nothing about any of them, so an endpoint is an outlier only if its
//! fraction of failures is well above the median of the others. If most endpoints fail, there is no
//! outlier.
//!
//! Inputs are this daemon's own attempts of the last seconds. An endpoint without attempts counts
//! as one without failures. `endpoint_pause` and `endpoint_choice` decide what an outlier is sent.
//! The native path ejects after consecutive failures (`endpoint_health`): its daemons have few
//! endpoints each, and the engines report their state.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a result counts half. Results expire because an endpoint that is avoided gets
/// no request whose success would show that it works again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Weight of failures below which they are ignored: a single one counts for four seconds.
const MIN_FAILURES: f64 = 0.25;
/// Fraction of failures that never makes an endpoint an outlier.
const TOLERATED_FRACTION: f64 = 0.1;
/// An outlier fails more often than the others by at least this factor.
const OUTLIER_FACTOR: f64 = 2.0;

/// Results of one endpoint, whose weight decays with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failures: f64,
    successes: f64,
    decayed_at: Option<Instant>,
    /// Fraction of failures above which it is an outlier; none before its first failure.
    accepted_fraction: Option<f64>,
}

impl FailureRate {
    /// Records that a request has succeeded.
    pub fn succeeded(&mut self, now: Instant) {
        self.decay(now);
        self.successes += 1.0;
    }

    /// Records that a request has failed; `others` are the failure fractions of the other endpoints
    /// of the service.
    pub fn failed(&mut self, others: Vec<f64>, now: Instant) {
        self.decay(now);
        self.failures += 1.0;
        self.accepted_fraction =
            median(others).map(|usual| TOLERATED_FRACTION + OUTLIER_FACTOR * usual);
    }

    /// Fraction of requests that fail; 0 while their weight is below `MIN_FAILURES`.
    pub fn fraction(&self, now: Instant) -> f64 {
        if self.failures * self.remaining_weight(now) < MIN_FAILURES {
            return 0.0;
        }
        self.failures / (self.failures + self.successes)
    }

    /// Whether it fails more often than the other endpoints of the service.
    pub fn is_outlier(&self, now: Instant) -> bool {
        self.accepted_fraction.is_some_and(|accepted| self.fraction(now) > accepted)
    }

    fn decay(&mut self, now: Instant) {
        let weight = self.remaining_weight(now);
        self.failures *= weight;
        self.successes *= weight;
        self.decayed_at = Some(now);
    }

    /// Remaining weight of the recorded results.
    fn remaining_weight(&self, now: Instant) -> f64 {
        let age = self.decayed_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.div_duration_f64(HALF_LIFE)).exp2()
    }
}

/// The upper median; none if there are no other endpoints to compare with.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
