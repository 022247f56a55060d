//! What an endpoint's response says about the request, as the platform's adapter decodes it.

use std::time::Duration;

/// What an endpoint's answer says of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// It belongs to this request, which has run.
    Ran,
    /// The endpoint has not run the request and never will.
    NotRun,
    /// Another endpoint is at this address now; the request has not run.
    OtherEndpoint,
    /// It belongs to another request.
    Foreign,
}

/// What an endpoint's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseSigns {
    /// Meaning for the request.
    pub meaning: ResponseMeaning,
    /// Time that the endpoint keeps the connection open, if told.
    pub keep: Option<Duration>,
    /// Whether the connection ends with this answer.
    pub closes: bool,
}
