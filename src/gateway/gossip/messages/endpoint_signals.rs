//! What endpoints have signalled in their responses to some daemon, as passed on to the others.

use std::time::Duration;

use crate::{
    gateway::policy::endpoint::signal_ledger::{NumberedStart, WarningKind},
    ids::SharedName,
};

/// A warning that an endpoint has sent in a response to some daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedWarning {
    /// The start of the endpoint that sent it.
    pub start: NumberedStart,
    /// What it warns of.
    pub kind: WarningKind,
    /// Time since the response.
    pub age: Duration,
}

/// The request limit that an endpoint has named in a response to some daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLimit {
    /// The start of the endpoint that named it.
    pub start: NumberedStart,
    /// Requests per second that it accepts from all daemons together; `None` if it has no limit.
    pub limit: Option<f64>,
    /// Time since the response.
    pub age: Duration,
}

/// A service whose endpoints have said in responses to some daemon that they are brittle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportedBrittle {
    /// The service.
    pub service: SharedName,
    /// Time since the newest such response.
    pub age: Duration,
}

/// Tokens of an endpoint's request limit that the sender lends to the receiver.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SentTokens {
    /// The start of the endpoint that has reported the limit.
    pub start: NumberedStart,
    /// Number of tokens; each allows one request.
    pub tokens: f64,
}
