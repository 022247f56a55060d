//! Answers that the gateway gives itself.

use std::time::Duration;

use derive_more::Display;
use hyper::{Response, StatusCode};

use super::call::HeadError;
use crate::{
    http::{LocalBody, whole_body},
    ids::SharedName,
    platform::ingress,
};

/// Why a request gets an answer of the gateway's own.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Refusal {
    /// Its head cannot be used.
    #[display("bad request: {_0}")]
    BadHead(HeadError),
    /// Its body is too long.
    #[display("body too long")]
    BodyTooLong,
    /// Its body did not arrive whole.
    #[display("body not whole")]
    BodyBroken,
    /// No configuration is known yet.
    #[display("no configuration")]
    NoConfiguration,
    /// It is not known yet how many daemons share the quotas.
    #[display("number of daemons not known yet")]
    FleetUnknown,
    /// The daemon is on its way out; another takes the request.
    #[display("daemon is leaving")]
    Leaving,
    /// The configuration may be out of date: keys cannot be checked.
    #[display("configuration not known to be current")]
    NotFresh,
    /// No route matches.
    #[display("no route")]
    NoRoute,
    /// The key is not known.
    #[display("unknown key")]
    UnknownKey,
    /// The account's quota is spent.
    #[display("quota spent")]
    QuotaSpent(SpentQuota),
    /// All endpoints are full; it has not run.
    #[display("all replicas full")]
    Full(Duration),
    /// There is no endpoint to send it to; it has not run.
    #[display("no replica")]
    NoEndpoint(Duration),
    /// It may have run and must not be repeated, or all attempts have failed.
    #[display("outcome unknown")]
    Unknown,
    /// Its time is over; it may have run.
    #[display("out of time")]
    OutOfTime,
}

/// When a client may come back whose service has no endpoint now.
pub const NO_ENDPOINT_WAIT: Duration = Duration::from_millis(400);

/// What decided that a quota is spent.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("{account} asked for {units}, {level:.0} left, {heard} of {known} daemons heard")]
pub struct SpentQuota {
    /// Account.
    pub account: SharedName,
    /// Units that the request takes.
    pub units: u64,
    /// Units that were left.
    pub level: f64,
    /// Daemons that were heard just now.
    pub heard: usize,
    /// Daemons that are known.
    pub known: usize,
    /// When there will be room.
    pub retry_after: Duration,
}

/// Time after which a daemon that is starting may be asked again.
const STARTING: Duration = Duration::from_millis(500);

/// Time after which another daemon may be asked.
const ELSEWHERE: Duration = Duration::from_millis(20);

impl Refusal {
    /// Status of the answer. 429 and 503 promise that the request has not run.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::QuotaSpent(_) => StatusCode::TOO_MANY_REQUESTS,
            Self::NoConfiguration
            | Self::FleetUnknown
            | Self::Leaving
            | Self::NotFresh
            | Self::Full(_)
            | Self::NoEndpoint(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown => StatusCode::BAD_GATEWAY,
            Self::OutOfTime => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// When the client may come back, where the request has not run.
    pub fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::QuotaSpent(spent) => Some(spent.retry_after),
            Self::Full(wait) | Self::NoEndpoint(wait) => Some(*wait),
            Self::NoConfiguration | Self::FleetUnknown | Self::NotFresh => Some(STARTING),
            Self::Leaving => Some(ELSEWHERE),
            _ => None,
        }
    }

    /// What decided it, for logs.
    pub fn inputs(&self) -> String {
        match self {
            Self::QuotaSpent(spent) => spent.to_string(),
            _ => String::new(),
        }
    }

    /// The answer to the request `id`.
    pub fn answer(&self, id: Option<&str>) -> Response<LocalBody> {
        let head = ingress::own_response(id, self.status(), self.retry_after());
        head.map(|()| Box::pin(whole_body(self.to_string())) as LocalBody)
    }
}
