//! Why the gateway answers a request itself: the reason, its status, and what the client is
//! told about retrying.
//!
//! Statuses 429 and 503 promise that the request has not run and never will. A request that
//! may have run gets 502 or 504, whatever else was wrong. The texts go out as the bodies of
//! the responses.

use std::time::Duration;

use derive_more::Display;
use hyper::StatusCode;

use super::{configuration_doubt::ConfigurationDoubt, retry_after};
use crate::{gateway::call::HeadError, ids::SharedName};

/// Reason for which the gateway answers a request itself.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Refusal {
    /// The head cannot be used.
    #[display("bad request: {_0}")]
    BadHead(HeadError),
    /// The body is longer than the configuration allows.
    #[display("body too long")]
    BodyTooLong,
    /// The body did not arrive whole.
    #[display("body not whole")]
    BodyBroken,
    /// No configuration is known yet.
    #[display("no configuration")]
    NoConfiguration,
    /// The number of daemons that share the quotas is not known yet.
    #[display("number of daemons not known yet")]
    FleetUnknown,
    /// The daemon has just started, or its process stood still: which requests crash endpoints is
    /// not known yet.
    #[display("no contact with other daemons yet")]
    NoPeerContact,
    /// The daemon is stopping; another one takes the request.
    #[display("daemon is leaving")]
    Leaving,
    /// The configuration may be out of date, so keys cannot be checked.
    #[display("configuration not known to be current")]
    NotFresh,
    /// No route matches, or the key is unknown, and a newer configuration may have it.
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
    /// All endpoints are full; the request has not run. Holds the time to retry after.
    #[display("all endpoints full")]
    Full(Duration),
    /// All endpoints want no requests for a while, by back-offs or limits; the request has not run. Holds
    /// the time to retry after.
    #[display("all endpoints back off or are at their limits")]
    RoomLater(Duration),
    /// An endpoint was sent the request and has not run it, and no other may be tried. Holds the
    /// time to retry after.
    #[display("no endpoint took it")]
    NotTaken(Duration),
    /// Its deadline passed before an endpoint was chosen; it has not run. Holds the time to retry
    /// after.
    #[display("deadline over before an attempt")]
    DeadlineOver(Duration),
    /// There is no endpoint to send it to; it has not run. Holds the time to retry after.
    #[display("no endpoint")]
    NoEndpoint(Duration),
    /// Runs of the same request have crashed their endpoints; this one has not run. Holds the
    /// time to the next trial.
    #[display("the same request has crashed endpoints")]
    Quarantined(Duration),
    /// It may have run and must not be retried, or all attempts have failed.
    #[display("outcome unknown")]
    Unknown,
    /// Its deadline has passed; it may have run.
    #[display("out of time")]
    OutOfTime,
}

/// Inputs of the decision that a quota is spent.
#[derive(Clone, Debug, Display, PartialEq)]
#[display(
    "{account} requested {units}, {level:.0} left at {rate:.0} a second, {heard} of {known} daemons heard"
)]
pub struct SpentQuota {
    /// Account.
    pub account: SharedName,
    /// Units that the request takes.
    pub units: u64,
    /// Units that were left.
    pub level: f64,
    /// Units a second that the quota allows.
    pub rate: f64,
    /// Daemons that have reported recently, this one included.
    pub heard: usize,
    /// Daemons that are known, this one included.
    pub known: usize,
    /// Time until there will be room.
    pub retry_after: Duration,
}

/// Whether clients take a status for a promise that the request has not run and never will.
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
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
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
            | Self::Quarantined(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Whether the response promises that the request has not run: all that may be retried do.
    pub fn promises_not_run(&self) -> bool {
        self.retry_after().is_some()
    }

    /// Time after which the client may retry; only for requests that have not run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::QuotaSpent(spent) => Some(spent.retry_after),
            Self::Full(wait)
            | Self::RoomLater(wait)
            | Self::NotTaken(wait)
            | Self::DeadlineOver(wait)
            | Self::NoEndpoint(wait)
            | Self::Quarantined(wait) => Some(*wait),
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
            | Self::NoRoute
            | Self::UnknownKey
            | Self::Unknown
            | Self::OutOfTime => None,
        }
    }

    /// Inputs of the decision, for the request log.
    pub fn inputs(&self) -> String {
        match self {
            Self::QuotaSpent(spent) => spent.to_string(),
            _ => String::new(),
        }
    }
}
