//! Decides what the end of an endpoint's response means.
//!
//! A body that ends with its connection ends in the same way whether the endpoint has finished it or
//! has crashed. It is passed on with the same framing, so that the client is not told more than is
//! known. An end of which more is known is a break: inside an event, or followed by the end of the
//! endpoint's process.
//!
//! Inputs are the framing, the bytes after the last event, a connection to the endpoint that is opened after
//! the end, and the newest endpoint list. If the endpoint isn't reached in time, or has announced that it
//! ends, the end proves nothing about it.

pub mod run_takeover;

use derive_more::Display;

use crate::gateway::request::response_meaning::BodyFraming;

/// Whether an endpoint has survived the end of a response.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum EndpointSurvival {
    /// It accepts connections.
    #[display("endpoint accepts connections")]
    Alive,
    /// Its address refuses connections, and it had not announced its end.
    #[display("endpoint has ended")]
    Ended,
    /// No connection in time, or it had announced its end.
    #[display("endpoint not reached")]
    Unknown,
}

impl EndpointSurvival {
    /// Survival of an endpoint whose address refuses connections; `is_listed` is whether the newest list has
    /// this start of it as ready, and it hasn't said that it drains. One that has announced its end may end
    /// right after its last response.
    pub fn after_refusal(is_listed: bool) -> Self {
        match is_listed {
            true => Self::Ended,
            false => Self::Unknown,
        }
    }
}

/// Inputs of the decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndInputs {
    /// How the endpoint marks the end of the body.
    pub framing: BodyFraming,
    /// Whether the body has ended inside an event.
    pub is_inside_event: bool,
    /// Whether nothing of a stream has been passed on that could be resumed.
    pub may_begin_again: bool,
    /// Whether the client gets the body in chunks, which have to say whether it is complete.
    pub is_chunked_for_client: bool,
    /// Whether the endpoint has survived; known only for bodies that end with their connection.
    pub survival: EndpointSurvival,
}

/// What the end of a response means.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ResponseEnd {
    /// It is complete.
    #[display("complete")]
    Complete,
    /// Nobody knows whether it is complete, and the client is told so.
    #[display("not known to be complete")]
    Unproven,
    /// Nobody knows, and the client can't be told so, or nothing is lost by another attempt.
    #[display("not known to be complete for the client")]
    Untold,
    /// The endpoint has broken it off.
    #[display("broken off")]
    Broken,
}

impl EndInputs {
    /// Whether the decision depends on the endpoint's survival.
    pub fn needs_survival(framing: BodyFraming, is_inside_event: bool) -> bool {
        framing == BodyFraming::Close && !is_inside_event
    }

    /// Decides what the end means.
    pub fn decide(self) -> ResponseEnd {
        if self.is_inside_event {
            return ResponseEnd::Broken;
        }
        match (self.framing, self.survival) {
            (BodyFraming::Length | BodyFraming::Chunks, _) => ResponseEnd::Complete,
            (BodyFraming::Close, EndpointSurvival::Ended) => ResponseEnd::Broken,
            (BodyFraming::Close, _) if self.is_chunked_for_client || self.may_begin_again => {
                ResponseEnd::Untold
            }
            (BodyFraming::Close, _) => ResponseEnd::Unproven,
        }
    }
}
