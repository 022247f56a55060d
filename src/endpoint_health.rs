//! Decides whether an endpoint may be given requests, from the results of earlier attempts at
//! it alone: ejection after failures in a row, then one probe at a time until one succeeds.
//!
//! The native path keeps one `EndpointHealth` for each endpoint (`native::decide::routing`); the
//! gateway compares endpoints with each other (`gateway::policy::endpoint::failure_rate`), since
//! its daemons share many. An endpoint without results counts as healthy; results are not shared
//! between daemons.

use std::time::Duration;

use tokio::time::Instant;

/// Failures in a row after which an endpoint is ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// First ejection; each further one without a success in between is twice as long.
const EJECT_FIRST: Duration = Duration::from_secs(1);
/// Longest ejection: a recovered endpoint gets requests again within it.
const EJECT_LONGEST: Duration = Duration::from_secs(30);
/// Most doublings; the ejection has reached `EJECT_LONGEST` long before. The power of two stays
/// within 32 bits.
const DOUBLING_LIMIT: u32 = 8;

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

    /// Failures in a row, up to the ejection, however long ago.
    pub fn failures(&self) -> u32 {
        self.failures
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
