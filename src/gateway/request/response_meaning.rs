//! Meaning of an endpoint's response for the request, as decoded by the platform's adapter.

use std::{
    fmt::{self, Formatter},
    time::Duration,
};

pub use crate::http::response_framing::BodyFraming;

/// What a response means for the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMeaning {
    /// The response belongs to this request, which has run.
    Ran,
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The endpoint has other weights than the client asks for, and has not run the request.
    OtherWeights,
    /// Another endpoint has this address now; the request has not run.
    OtherEndpoint,
    /// The response belongs to another request; this one may have run.
    Foreign,
    /// A success that no client accepts; the request has run.
    Unacceptable,
}

/// Limit in a response for the requests that its endpoint accepts from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// The response has no limit.
    #[default]
    Absent,
    /// The limit can't be parsed.
    Unreadable,
    /// Requests per second, 0 or more.
    PerSecond(f64),
}

/// Signals in a response about the endpoint itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSignals {
    /// Whether it is draining and wants no more requests.
    pub is_draining: bool,
    /// Time from now during which it wants no requests from this daemon.
    pub backoff: Option<Duration>,
    /// Whether it falls over when it has to refuse many requests.
    pub is_brittle: bool,
    /// How many requests it accepts.
    pub limit: LimitSignal,
    /// Whether any of these signals can't be parsed.
    pub is_unreadable: bool,
}

impl fmt::Display for EndpointSignals {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        if self.is_draining {
            formatter.write_str(" drains")?;
        }
        if let Some(backoff) = self.backoff {
            write!(formatter, " back off {} ms", backoff.as_millis())?;
        }
        if let LimitSignal::PerSecond(limit) = self.limit {
            write!(formatter, " limit {limit} a second")?;
        }
        if self.is_brittle {
            formatter.write_str(" brittle")?;
        }
        if self.is_unreadable {
            formatter.write_str(" signals unreadable")?;
        }
        Ok(())
    }
}

/// Decoded head of a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// Meaning for the request.
    pub meaning: ResponseMeaning,
    /// How the end of its body is marked.
    pub framing: BodyFraming,
    /// Signals of the endpoint; the default if another endpoint has responded.
    pub signals: EndpointSignals,
    /// Time for which the endpoint keeps the idle connection open, if the response contains it.
    pub keep: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
}
