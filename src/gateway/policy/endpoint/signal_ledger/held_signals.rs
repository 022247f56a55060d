//! Signals that hold for one start of an endpoint, from its responses to this daemon or to others, and
//! which of two of them counts.

use std::time::Duration;

use tokio::time::Instant;

/// Reports of different daemons that are less apart may be of one response: times come as ages, and
/// look younger by what their messages took, a gossip call's time limit at most. Otherwise a refusal
/// would return to the daemon that reported it as a later one, again and again.
const REPORT_SKEW: Duration = Duration::from_millis(400);

/// What an endpoint has said of its limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitObservation {
    /// Requests a second; none if it takes as many as come.
    pub limit: Option<f64>,
    /// When a response came that names it, or the request was sent whose response names none.
    pub at: Instant,
}

/// Signals that hold for one start of an endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HeldSignals {
    /// Since when it drains.
    pub draining_since: Option<Instant>,
    /// Until when it wants no requests from this daemon.
    pub backoff_until: Option<Instant>,
    /// When it last refused a request of any daemon for no known reason, or failed one.
    pub not_served_at: Option<Instant>,
    /// What it said last of its limit.
    pub limit: Option<LimitObservation>,
    /// Since when it names none, if it has named one.
    pub limit_ended_at: Option<Instant>,
}

impl HeldSignals {
    /// The limit that it names, in requests a second.
    pub fn limit_per_second(&self) -> Option<f64> {
        self.limit?.limit
    }

    /// Takes what it has said to this daemon. That it names no limit is kept only where one was known.
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

    /// Takes what it has said to another daemon.
    pub(super) fn receive_limit(&mut self, observation: LimitObservation) {
        match self.limit {
            Some(known) if observation.at + REPORT_SKEW <= known.at => {}
            // Ages look smaller by what messages took: either may be the later one. One that has ended is
            // taken up with the time of the report, or it would go round as a later and later observation.
            Some(known) if observation.at <= known.at + REPORT_SKEW => {
                let limit = least_limit(known.limit, observation.limit);
                let at =
                    if known.limit.is_none() { known.at.min(observation.at) } else { known.at };
                self.set_limit(LimitObservation { limit, at });
            }
            _ => self.set_limit(observation),
        }
    }

    /// It drains since then, or longer; whether that is news.
    pub(super) fn record_draining(&mut self, since: Instant) -> bool {
        let known = self.draining_since;
        self.draining_since = Some(known.map_or(since, |known| known.min(since)));
        known.is_none()
    }

    /// It has not served a request; whether that is news.
    pub(super) fn record_not_served(&mut self, at: Instant) -> bool {
        let known = self.not_served_at;
        let is_news = known.is_none_or(|known| at > known + REPORT_SKEW);
        if is_news {
            self.not_served_at = Some(at);
        }
        is_news
    }
}

/// The smaller of two limits; none is greater than any.
fn least_limit(one: Option<f64>, other: Option<f64>) -> Option<f64> {
    match (one, other) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (limit, None) | (None, limit) => limit,
    }
}
