//! Reasons for which the gateway refuses a request, with the status and the `Retry-After` of the
//! response. The reason's text is the response's body.
//!
//! Statuses 408, 429 and 503 promise that the request has not run and never will. A request that may
//! have run gets 502 or 504, whatever else went wrong.

use std::time::Duration;

use derive_more::Display;
use hyper::StatusCode;

use super::{configuration_doubt::ConfigurationDoubt, retry_after};
use crate::{gateway::call::HeadError, ids::SharedName};

/// Why the gateway refuses a request.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Refusal {
    /// The head cannot be used.
    #[display("bad request: {_0}")]
    BadHead(HeadError),
    /// The body is longer than the configuration allows.
    #[display("body too long")]
    BodyTooLong,
    /// The body did not arrive completely.
    #[display("body not whole")]
    BodyBroken,
    /// The body's chunks or trailers aren't valid, or longer than they may be.
    #[display("body not valid")]
    BodyNotValid,
    /// The body was not complete at the deadline; the request has not run. Holds the retry-after.
    #[display("body not whole in time")]
    BodyLate(Duration),
    /// There is no memory for the body; the request has not run. Holds the retry-after.
    #[display("no memory for the body")]
    NoBodyMemory(Duration),
    /// The connection makes room for another one while the body arrives; the request has not run. Holds the
    /// retry-after.
    #[display("connection needed for another client")]
    ConnectionNeeded(Duration),
    /// No configuration is known yet.
    #[display("no configuration")]
    NoConfiguration,
    /// The number of daemons that share the quotas is not known yet.
    #[display("number of daemons not known yet")]
    FleetUnknown,
    /// The daemon has just started, or its process was suspended, so that it doesn't know yet which
    /// requests crash endpoints.
    #[display("no contact with other daemons yet")]
    NoPeerContact,
    /// The daemon is stopping; another one will accept the request.
    #[display("daemon is leaving")]
    Leaving,
    /// The configuration may be out of date, so keys cannot be checked.
    #[display("configuration not known to be current")]
    NotFresh,
    /// No route matches, or the key is unknown, but a newer configuration may contain it.
    #[display("route or key not known yet: {_0}")]
    NotYetKnown(ConfigurationDoubt),
    /// No route matches.
    #[display("no route")]
    NoRoute,
    /// The key is missing or unknown.
    #[display("unknown key")]
    UnknownKey,
    /// The account's quota is spent.
    #[display("quota spent")]
    QuotaSpent(SpentQuota),
    /// All endpoints are full; the request has not run. Holds the retry-after.
    #[display("all endpoints full")]
    Full(Duration),
    /// All endpoints refuse requests for a while because of back-offs or limits; the request has
    /// not run. Holds the retry-after.
    #[display("all endpoints back off or are at their limits")]
    RoomLater(Duration),
    /// No endpoint that was sent the request has run it, and no other may be tried. Holds the
    /// retry-after.
    #[display("no endpoint took it")]
    NotTaken(Duration),
    /// The deadline passed before an endpoint was chosen; the request has not run. Holds the
    /// retry-after.
    #[display("deadline over before an attempt")]
    DeadlineOver(Duration),
    /// There is no endpoint to send the request to; it has not run. Holds the retry-after.
    #[display("no endpoint")]
    NoEndpoint(Duration),
    /// The stream goes on only at the version that began it, and no endpoint of that takes requests; this
    /// attempt has not run. Holds the retry-after.
    #[display("no endpoint of the stream's version")]
    NoVersion(Duration),
    /// It isn't known which version began the stream; this attempt has not run. Holds the retry-after.
    #[display("version of the stream not known")]
    UnknownStream(Duration),
    /// This daemon reaches no endpoint, not through others either; the request has not run. Holds the
    /// retry-after.
    #[display("no path to any endpoint")]
    NoPath(Duration),
    /// Previous runs of the same request have crashed their endpoints; this one has not run. Holds
    /// the time until the next trial.
    #[display("the same request has crashed endpoints")]
    Quarantined(Duration),
    /// Previous runs of requests with a part of its prompt have crashed their endpoints; this one has not run.
    /// Holds the time until the next trial.
    #[display("requests with a part of this prompt have crashed endpoints")]
    PartQuarantined(Duration),
    /// The request may have run and must not be retried, or all attempts have failed.
    #[display("outcome unknown")]
    Unknown,
    /// The deadline has passed; the request may have run.
    #[display("out of time")]
    OutOfTime,
}

/// Inputs of the decision that an account's quota is spent.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "{account} requested {units} units, {level:.0} left, {rate:.0} allowed per second, recent reports from {heard} of {known} daemons"
)]
pub struct SpentQuota {
    /// Account.
    pub account: SharedName,
    /// Units that the request needs.
    pub units: u64,
    /// Units that were left.
    pub level: f64,
    /// Units per second that the quota allows.
    pub rate: f64,
    /// Daemons that have reported recently, including this one.
    pub heard: usize,
    /// Daemons that are known, including this one.
    pub known: usize,
    /// Time until enough units are expected to be available.
    pub retry_after: Duration,
}

/// Whether clients understand the status as a promise that the request has not run and never will.
pub fn status_promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

impl Refusal {
    /// Status of the response.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken | Self::BodyNotValid => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate(_) => StatusCode::REQUEST_TIMEOUT,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaSpent(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::FleetUnknown
            | Self::NoPeerContact
            | Self::Leaving
            | Self::NotFresh
            | Self::NotYetKnown(_)
            | Self::Full(_)
            | Self::RoomLater(_)
            | Self::NotTaken(_)
            | Self::DeadlineOver(_)
            | Self::NoEndpoint(_)
            | Self::NoVersion(_)
            | Self::UnknownStream(_)
            | Self::NoPath(_)
            | Self::NoBodyMemory(_)
            | Self::ConnectionNeeded(_)
            | Self::Quarantined(_)
            | Self::PartQuarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the response promises that the request has not run, as all with a `Retry-After` do.
    pub fn promises_not_run(&self) -> bool {
        self.retry_after().is_some()
    }

    /// Value of `Retry-After`; only for requests that have not run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::QuotaSpent(spent) => Some(spent.retry_after),
            Self::Full(wait)
            | Self::RoomLater(wait)
            | Self::NotTaken(wait)
            | Self::DeadlineOver(wait)
            | Self::NoEndpoint(wait)
            | Self::NoVersion(wait)
            | Self::UnknownStream(wait)
            | Self::NoPath(wait)
            | Self::BodyLate(wait)
            | Self::NoBodyMemory(wait)
            | Self::ConnectionNeeded(wait)
            | Self::Quarantined(wait)
            | Self::PartQuarantined(wait) => Some(*wait),
            Self::NoConfiguration | Self::FleetUnknown | Self::NotFresh => {
                Some(retry_after::DAEMON_STARTING)
            }
            Self::NotYetKnown(ConfigurationDoubt::NewerReported) => {
                Some(retry_after::FETCHING_CONFIGURATION)
            }
            Self::NotYetKnown(ConfigurationDoubt::NotProven) => Some(retry_after::DAEMON_STARTING),
            Self::NoPeerContact => Some(retry_after::AWAITING_PEERS),
            Self::Leaving => Some(retry_after::AT_ONCE),
            Self::BadHead(_)
            | Self::BodyTooLong
            | Self::BodyBroken
            | Self::BodyNotValid
            | Self::NoRoute
            | Self::UnknownKey
            | Self::Unknown
            | Self::OutOfTime => None,
        }
    }

    /// Whether the rest of the request's body is not read, so that its connection can't be used further.
    pub fn ends_body(&self) -> bool {
        matches!(
            self,
            Self::BodyTooLong
                | Self::BodyNotValid
                | Self::BodyLate(_)
                | Self::NoBodyMemory(_)
                | Self::ConnectionNeeded(_)
        )
    }

    /// Inputs of the decision, for the request log.
    pub fn inputs(&self) -> String {
        match self {
            Self::QuotaSpent(spent) => spent.to_string(),
            _ => String::new(),
        }
    }
}
