//! Decides whether an endpoint may be given requests, from the results of earlier attempts at this
//! endpoint only: ejection after consecutive failures, then one probe at a time until one succeeds.
//!
//! The native path keeps one `EndpointHealth` for each endpoint (`native::decide::routing`); the
//! gateway compares endpoints with each other (`gateway::policy::endpoint::failure_rate`), since
//! its daemons share many endpoints. An endpoint without results counts as healthy; results are not
//! shared between daemons.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive failures after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection, doubled by each further one without a success in between.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection: a recovered endpoint gets requests again within it.
const EJECT_LONGEST: Duration = Duration::from_secs(30);
/// Most doublings: keeps the power of two within 32 bits. The ejection reaches `EJECT_LONGEST`
/// earlier.
const DOUBLING_LIMIT: u32 = 8;

/// Result of an attempt with respect to the endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The endpoint responded.
    Succeeded,
    /// The endpoint failed, the connection broke, or the attempt timed out.
    Failed,
    /// No effect: the endpoint refused before starting, or the daemon ended the attempt.
    Neutral,
}

/// Whether an endpoint may be given requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It takes requests.
    Healthy,
    /// The ejection is over; one request may be sent as a probe.
    Probing,
    /// It is ejected, or a probe is in progress.
    Ejected,
}

/// Health of one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub struct EndpointHealth {
    failures: u32,
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

    /// Consecutive failures since the last success or ejection, however old.
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Records that a probe was sent.
    pub fn begin_probe(&mut self) {
        self.probing = true;
    }

    /// Records a finished attempt. A failed probe ejects immediately.
    pub fn record(&mut self, result: AttemptResult, now: Instant) {
        let probed = std::mem::take(&mut self.probing);
        match result {
            AttemptResult::Succeeded => *self = Self::default(),
            AttemptResult::Neutral => {}
            AttemptResult::Failed => {
                self.failures += 1;
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
