//! What an endpoint's response says about the request, as the platform's adapter decodes it.

use std::{
    fmt::{self, Display, Formatter},
    time::Duration,
};

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

/// What a response says of the requests that its endpoint takes from all daemons together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum LimitSignal {
    /// It names no limit.
    #[default]
    Absent,
    /// It names one that can't be read.
    Unreadable,
    /// So many requests a second, 0 or more.
    PerSecond(f64),
}

/// What an endpoint says of itself in a response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSignals {
    /// Whether it drains and wants no more requests.
    pub is_draining: bool,
    /// Time from now for which it wants no requests from this daemon.
    pub backoff: Option<Duration>,
    /// How many requests it takes.
    pub limit: LimitSignal,
    /// Whether it says any of this in a way that can't be read.
    pub is_unreadable: bool,
}

impl Display for EndpointSignals {
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
        if self.is_unreadable {
            formatter.write_str(" signals not read")?;
        }
        Ok(())
    }
}

/// What the head of a response says.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ResponseMetadata {
    /// Meaning for the request.
    pub meaning: ResponseMeaning,
    /// What the endpoint says of itself; nothing where another one has responded.
    pub signals: EndpointSignals,
    /// Time for which the endpoint keeps the connection open, if it says so.
    pub keep: Option<Duration>,
    /// Whether the endpoint closes the connection after this response.
    pub closes: bool,
}
