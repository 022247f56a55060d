//! Reasons why an endpoint is sent fewer requests than others, or none, for operators.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

use super::{super::endpoint_pause::ProbeCause, EndpointStatus};

/// Factor from a fraction to a percentage.
const PERCENT: f64 = 100.0;

/// A reason to send an endpoint fewer requests than others, or none.
#[derive(Clone, Copy, Debug, PartialEq, Display)]
pub enum EndpointRestriction {
    /// Another start, of this or another endpoint, responds at its address.
    #[display("has ended: another endpoint responds at its address")]
    Ended,
    /// It drains, according to the list or to its own responses.
    #[display("drains")]
    Draining,
    /// It has asked this daemon for a back-off, of which this time is left.
    #[display("backs off for {} ms more", _0.as_millis())]
    BackingOff(Duration),
    /// It has reported a limit.
    #[display("takes {limit} requests a second, {share:.2} of them of this daemon")]
    Limited {
        /// Requests per second from all daemons together.
        limit: f64,
        /// Requests per second from this daemon.
        share: f64,
    },
    /// It has refused requests without a known reason; rest of the pause.
    #[display("has refused requests, gets none for {} ms more", _0.as_millis())]
    Refusing(Duration),
    /// It fails more often than the other endpoints of its service; fraction of this daemon's
    /// requests that fail.
    #[display("fails {:.0}% of the requests of this daemon", _0 * PERCENT)]
    Failing(f64),
    /// It is in a slow start; cause, and time since its beginning.
    #[display("gets requests slowly for {} ms: {_0}", _1.as_millis())]
    Returning(ProbeCause, Duration),
}

impl EndpointStatus {
    /// Returns why it is sent fewer requests than others; empty if it is not.
    pub fn restrictions(&self, now: Instant) -> Vec<EndpointRestriction> {
        if self.has_ended {
            return vec![EndpointRestriction::Ended];
        }
        if !self.is_ready() {
            return vec![EndpointRestriction::Draining];
        }
        let backing_off = self.pause.backs_off_until(now).map(|until| until - now);
        let limited = self.limit.map(|bucket| EndpointRestriction::Limited {
            limit: bucket.limit(),
            share: bucket.rate(),
        });
        let failing = self.failures.is_outlier(now).then(|| self.failures.fraction(now));
        let pause = match backing_off {
            Some(left) => Some(EndpointRestriction::BackingOff(left)),
            None => self.pause.paused_for(now).map(EndpointRestriction::Refusing),
        };
        let returning = self.pause.probe().map(|(cause, since)| {
            EndpointRestriction::Returning(cause, now.saturating_duration_since(since))
        });
        let failing = failing.map(EndpointRestriction::Failing);
        pause.or(returning).into_iter().chain(failing).chain(limited).collect()
    }
}
