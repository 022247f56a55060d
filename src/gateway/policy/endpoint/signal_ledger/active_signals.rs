//! Valid signals of one start of an endpoint, from its responses to this daemon or to others, and
//! the rules by which a new signal replaces an earlier one.

use std::time::Duration;

use tokio::time::Instant;

/// Reports of different daemons whose times differ by less may be about the same response: times
/// are sent as ages, which are too small by the duration of the message, at most a gossip call's
/// timeout. Without this tolerance, a daemon that gets its own report of a refusal back from a peer
/// would treat it as a later refusal and report it again, without end.
const REPORT_SKEW: Duration = Duration::from_millis(400);

/// Time after a failure from which another one is the first of a new series: daemons avoid the endpoint
/// until then.
const FAILURES_APART: Duration = Duration::from_secs(4);

/// Limit in a response of an endpoint, or its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests per second; none if the response has no limit.
    pub limit: Option<f64>,
    /// When the response with the limit arrived or, without a limit, when its request was sent.
    pub at: Instant,
}

/// Valid signals of one start of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ActiveSignals {
    /// Since when it drains.
    pub draining_since: Option<Instant>,
    /// End of its back-off for this daemon.
    pub backoff_until: Option<Instant>,
    /// When it last refused a request of any daemon without a known reason, or failed one.
    pub not_served_at: Option<Instant>,
    /// When it last failed a request of any daemon.
    pub failed_at: Option<Instant>,
    /// Newest known limit, or the absence of one.
    pub limit: Option<LimitObservation>,
    /// When its limit ended.
    pub limit_ended_at: Option<Instant>,
}

impl ActiveSignals {
    /// The limit, in requests per second.
    pub fn limit_per_second(&self) -> Option<f64> {
        self.limit?.limit
    }

    /// Records an observation of this daemon. The absence of a limit is kept only if one was known.
    pub(super) fn record_limit(&mut self, observation: LimitObservation) {
        let is_later =
            self.limit.map_or(observation.limit.is_some(), |known| observation.at > known.at);
        if is_later {
            self.set_limit(observation);
        }
    }

    fn set_limit(&mut self, observation: LimitObservation) {
        self.limit_ended_at = match (self.limit_per_second(), observation.limit) {
            (_, Some(_)) => None,
            (Some(_), None) => Some(observation.at),
            (None, None) => self.limit_ended_at.or(Some(observation.at)),
        };
        self.limit = Some(observation);
    }

    /// Records an observation that another daemon has reported.
    pub(super) fn receive_limit(&mut self, observation: LimitObservation) {
        match self.limit {
            Some(known) if observation.at + REPORT_SKEW <= known.at => {}
            // Reported ages are too small by the duration of the message, so either observation may
            // be the later one. If the limit has ended, the earlier time is kept: otherwise daemons
            // would pass the report around with a later time at each step.
            Some(known) if observation.at <= known.at + REPORT_SKEW => {
                let limit = least_limit(known.limit, observation.limit);
                let at =
                    if known.limit.is_none() { known.at.min(observation.at) } else { known.at };
                self.set_limit(LimitObservation { limit, at });
            }
            _ => self.set_limit(observation),
        }
    }

    /// Records that it has been draining since `since` or longer. Returns whether that was unknown.
    pub(super) fn record_draining(&mut self, since: Instant) -> bool {
        let known = self.draining_since;
        self.draining_since = Some(known.map_or(since, |known| known.min(since)));
        known.is_none()
    }

    /// Records that it has failed a request. Returns whether the report is new, and whether it is the
    /// first one for a while.
    pub(super) fn record_failed(&mut self, at: Instant) -> (bool, bool) {
        let known = self.failed_at;
        let is_new = known.is_none_or(|known| at > known + REPORT_SKEW);
        let is_first = known.is_none_or(|known| at > known + FAILURES_APART);
        if is_new {
            self.failed_at = Some(at);
        }
        (is_new, is_first)
    }

    /// Records that it has not served a request. Returns whether the report is new.
    pub(super) fn record_not_served(&mut self, at: Instant) -> bool {
        let known = self.not_served_at;
        let is_new = known.is_none_or(|known| at > known + REPORT_SKEW);
        if is_new {
            self.not_served_at = Some(at);
        }
        is_new
    }
}

/// The smaller of two limits; none counts as greater than any limit.
fn least_limit(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (limit, None) | (None, limit) => limit,
    }
}
