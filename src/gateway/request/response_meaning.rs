//! What an endpoint's response says about the request, as the platform's adapter decodes it.

use std::time::Duration;

/// What a response means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The response belongs to this request, which has run.
    Ran,
    /// The endpoint has not run the request and never will.
    NotRun,
    /// Another endpoint is at this address now; the request has not run.
    OtherEndpoint,
    /// The response belongs to another request; this one may have run.
    Foreign,
}

/// What the head of a response says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseSigns {
    /// Meaning for the request.
    pub meaning: ResponseMeaning,
    /// Time for which the endpoint keeps the connection open, if it says so.
    pub keep: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
}
