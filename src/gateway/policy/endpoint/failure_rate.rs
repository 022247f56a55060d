//! How often an endpoint fails this daemon's requests, and whether it does so more than the others
//! of its service.
//!
//! Failures are responses with a status from 500 up that are the endpoint's own, broken
//! connections, and silence beyond a time limit; `docs/design/endpoint-failures.md` lists what counts.
//! A request that fails at every endpoint says nothing of them, so an endpoint is an outlier only if
//! its fraction of failures is well above the median of the others. Where most fail, none is.
//!
//! Inputs are this daemon's own attempts of the last seconds. An endpoint without attempts counts as
//! one without failures. What an outlier is then sent is decided by `endpoint_pause` and
//! `endpoint_choice`. The native path ejects by failures in a row (`endpoint_health`): its daemons
//! have few endpoints each, and the engines report their state.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a result counts half: an endpoint that is avoided gets no request whose success
/// would show that it works again.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Failures, as far as they still count, below which nothing is held against an endpoint: a single
/// one counts for four seconds.
const MIN_FAILURES: f64 = 0.25;
/// Fraction of failures that is never held against an endpoint.
const USUAL_FRACTION: f64 = 0.1;
/// An outlier fails more often than the others by this factor.
const OUTLIER_FACTOR: f64 = 2.0;

/// Results of one endpoint, which fade.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failures: f64,
    successes: f64,
    faded_at: Option<Instant>,
    /// Fraction of failures above which it is an outlier, once it has been judged.
    accepted_fraction: Option<f64>,
}

impl FailureRate {
    /// A request was served.
    pub fn succeeded(&mut self, now: Instant) {
        self.fade(now);
        self.successes += 1.0;
    }

    /// A request has failed, while the others of the service fail at these fractions.
    pub fn failed(&mut self, others: Vec<f64>, now: Instant) {
        self.fade(now);
        self.failures += 1.0;
        self.accepted_fraction =
            median(others).map(|usual| USUAL_FRACTION + OUTLIER_FACTOR * usual);
    }

    /// Fraction of requests that fail; 0 while hardly any has.
    pub fn fraction(&self, now: Instant) -> f64 {
        if self.failures * self.left_at(now) < MIN_FAILURES {
            return 0.0;
        }
        self.failures / (self.failures + self.successes)
    }

    /// Whether it fails more often than the others.
    pub fn is_outlier(&self, now: Instant) -> bool {
        self.accepted_fraction.is_some_and(|accepted| self.fraction(now) > accepted)
    }

    fn fade(&mut self, now: Instant) {
        let left = self.left_at(now);
        self.failures *= left;
        self.successes *= left;
        self.faded_at = Some(now);
    }

    /// Part of earlier results that still counts.
    fn left_at(&self, now: Instant) -> f64 {
        let age = self.faded_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.div_duration_f64(HALF_LIFE)).exp2()
    }
}

/// The upper median; none of nothing: an endpoint that is alone has no others to be compared with.
fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
