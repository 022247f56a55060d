//! Decides whether an endpoint may be given requests, from the results of earlier attempts at
//! it alone: ejection after failures in a row, then one probe at a time until one succeeds.
//!
//! Both paths keep one `EndpointHealth` for each endpoint (`native::decide::routing`,
//! `gateway::policy::endpoint::endpoint_choice`). An endpoint without results counts as healthy; results
//! are not shared between daemons.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which an endpoint is ejected.
///
/// Basis: chosen, not measured; part of the retry rules in docs/measurements/README.md.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection; each further one without a success in between is twice as long.
///
/// Basis: chosen, not measured.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection.
///
/// Basis: chosen, not measured: a recovered endpoint gets requests again within it.
const EJECT_LONGEST: Duration = Duration::from_secs(30);
/// Most doublings; the ejection has reached `EJECT_LONGEST` long before.
///
/// Basis: keeps the power of two within 32 bits.
const DOUBLING_LIMIT: u32 = 8;

/// Time after which a failure counts half: an endpoint that is avoided gets no request whose
/// success would show that it has recovered.
///
/// Basis: stolni, 6 days with 3 seeds, against a penalty that stays: +0.003 +- 0.002 with 0.5 s,
/// +0.008 +- 0.003 with 2 s.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// What the end of an attempt says about the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint responded.
    Succeeded,
    /// It failed, broke or timed out.
    Failed,
    /// Nothing: the endpoint refused before starting, or the daemon ended the attempt.
    Neutral,
}

/// Whether an endpoint may be given requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// Takes requests.
    Healthy,
    /// The ejection is over; one request may go to it as a probe.
    Probing,
    /// Ejected for now.
    Ejected,
}

/// Record of one endpoint's health.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
    failed_at: Option<Instant>,
    ejections: u32,
    ejected_until: Option<Instant>,
    probing: bool,
}

impl EndpointHealth {
    /// State at `now`.
    pub fn state(&self, now: Instant) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(until) if now < until || self.probing => HealthState::Ejected,
            Some(_) => HealthState::Probing,
        }
    }

    /// Failures in a row, up to the ejection, however long ago; the native path counts these,
    /// since it was not measured with a penalty that fades.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Failures in a row up to the ejection, weighted by how recent the last one is.
    pub fn recent_failures(&self, now: Instant) -> f64 {
        let age = self.failed_at.map_or(Duration::MAX, |at| now.saturating_duration_since(at));
        f64::from(self.failures) * (-age.div_duration_f64(FAILURE_HALF_LIFE)).exp2()
    }

    /// A request was sent to an ejected endpoint.
    pub fn begin_probe(&mut self) {
        self.probing = true;
    }

    /// Records a finished attempt. A failed probe ejects at once.
    pub fn record(&mut self, result: AttemptResult, now: Instant) {
        let probed = std::mem::take(&mut self.probing);
        match result {
            AttemptResult::Succeeded => *self = Self::default(),
            AttemptResult::Neutral => {}
            AttemptResult::Failed => {
                self.failures += 1;
                self.failed_at = Some(now);
                if probed || self.failures >= FAILURES_TO_EJECT {
                    self.eject(now);
                }
            }
        }
    }

    fn eject(&mut self, now: Instant) {
        let doublings = self.ejections.min(DOUBLING_LIMIT);
        let pause = (EJECT_FIRST * 2_u32.pow(doublings)).min(EJECT_LONGEST);
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + pause);
    }
}
