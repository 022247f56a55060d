//! Final outcomes, and the stages that decide which of them may be said.
//!
//! "Not run" can be made only by [`UndispatchedCall::refuse`]. Dispatching consumes
//! the undispatched call; it is returned only against evidence from the endpoint that
//! nothing was started, and only if no earlier attempt was begun.

use std::{sync::Arc, time::Duration};

use derive_more::Display;
use serde::{Deserialize, Serialize};

use super::call::ClientCall;
use crate::{
    errors::{FailureCause, StepError},
    native::headers,
};

/// Why a request was refused before anything ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum NotRunReason {
    /// This daemon is leaving; another one takes the request.
    #[display("this daemon is leaving")]
    Draining,
    /// No table is known yet.
    #[display("the table is not known yet")]
    NoTable,
    /// No endpoint of the service can take it.
    #[display("no endpoint can take it now")]
    NoEndpoint,
    /// The daemon has as many requests as it takes.
    #[display("too many requests in progress")]
    Overloaded,
    /// The account's limit is used up.
    #[display("the account's limit is used up")]
    AccountLimit,
    /// Every endpoint that was asked refused before starting.
    #[display("endpoints refused before starting")]
    EndpointRefused,
    /// The platform could not record the claim on the key.
    #[display("the key could not be claimed")]
    ClaimFailed,
    /// The witness of the ticket did not consent.
    #[display("the ticket's witness could not be reached")]
    NoWitness,
    /// The ticket's holder is gone and had not dispatched.
    #[display("the ticket's holder left before dispatching")]
    HolderGone,
}

/// Why it cannot be said whether a request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UnknownReason {
    /// The endpoint's response did not arrive.
    #[display("the endpoint's answer did not arrive")]
    AnswerLost,
    /// The daemon that dispatched it is gone.
    #[display("the daemon that dispatched it is gone")]
    HolderLost,
    /// The ticket is so old that its record was dropped.
    #[display("the ticket has expired")]
    TicketExpired,
    /// All attempts failed after they were begun.
    #[display("all attempts failed")]
    AttemptsFailed,
    /// The client cancelled while it ran.
    #[display("cancelled while running")]
    Cancelled,
}

/// Statement that a request did not run; made only by [`UndispatchedCall::refuse`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NotRunProof {
    reason: NotRunReason,
    retry_after: Duration,
}

impl NotRunProof {
    /// Why it was refused.
    pub fn reason(&self) -> NotRunReason {
        self.reason
    }

    /// When the client may retry.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

/// A plain endpoint's response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: Arc<str>,
    /// Body.
    pub body: Vec<u8>,
}

/// The one final outcome of a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FinalResponse {
    /// All tokens of the response have been produced.
    Streamed,
    /// A plain endpoint answered.
    Plain(PlainResponse),
    /// It did not run.
    NotRun(NotRunProof),
    /// It may have run.
    Unknown(UnknownReason),
}

impl FinalResponse {
    /// Whether the endpoint's own response is there.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Streamed | Self::Plain(_))
    }

    /// Short name for metrics and the time line.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Streamed | Self::Plain(_) => "answered",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Evidence that an endpoint did not start an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotStartedEvidence(());

impl NotStartedEvidence {
    /// Evidence in a failed step: no connection was made, so nothing was sent.
    pub fn from_error(error: &StepError) -> Option<Self> {
        matches!(error.cause, FailureCause::Unreachable(_)).then_some(Self(()))
    }

    /// Evidence in a response: the endpoint says that it refused before starting.
    pub fn from_headers(response: &hyper::HeaderMap) -> Option<Self> {
        let marked = response.get(headers::NOT_STARTED).is_some_and(|value| value == "true");
        marked.then_some(Self(()))
    }
}

/// A call for which no dispatch has begun. Not `Clone`: the right is unique.
#[derive(Debug)]
pub struct UndispatchedCall {
    call: Arc<ClientCall>,
}

impl UndispatchedCall {
    /// A call that was just accepted, or one that this process took over together
    /// with the knowledge that nothing was dispatched.
    pub fn new(call: Arc<ClientCall>) -> Self {
        Self { call }
    }

    /// Ends it as "not run".
    pub fn refuse(self, reason: NotRunReason, retry_after: Duration) -> FinalResponse {
        FinalResponse::NotRun(NotRunProof { reason, retry_after })
    }

    /// Begins the first attempt; from here on "not run" needs evidence.
    pub fn begin(self) -> DispatchedCall {
        DispatchedCall { call: self.call, begun_before: false }
    }
}

/// A call with an attempt under way.
#[derive(Debug)]
pub struct DispatchedCall {
    call: Arc<ClientCall>,
    begun_before: bool,
}

/// What is left after an endpoint refused before starting.
#[derive(Debug)]
pub enum CallStage {
    /// Nothing has run.
    Undispatched(UndispatchedCall),
    /// An earlier attempt may have run.
    Dispatched(DispatchedCall),
}

impl DispatchedCall {
    /// A call that another process may have dispatched already.
    pub fn taken_over(call: Arc<ClientCall>) -> Self {
        Self { call, begun_before: true }
    }

    /// The attempt under way was not started, as the evidence shows.
    pub fn not_started(self, _evidence: NotStartedEvidence) -> CallStage {
        if self.begun_before {
            CallStage::Dispatched(self)
        } else {
            CallStage::Undispatched(UndispatchedCall { call: self.call })
        }
    }

    /// The attempt under way failed, and may have run; the next one is begun.
    pub fn begin_again(self) -> Self {
        Self { call: self.call, begun_before: true }
    }

    /// Ends it as "unknown".
    pub fn give_up(self, reason: UnknownReason) -> FinalResponse {
        FinalResponse::Unknown(reason)
    }
}

impl CallStage {
    /// Begins the next attempt.
    pub fn begin(self) -> DispatchedCall {
        match self {
            Self::Undispatched(call) => call.begin(),
            Self::Dispatched(call) => call,
        }
    }

    /// Gives up: "not run" if nothing was begun, else "unknown".
    pub fn give_up(
        self,
        reason: NotRunReason,
        retry_after: Duration,
        unknown: UnknownReason,
    ) -> FinalResponse {
        match self {
            Self::Undispatched(call) => call.refuse(reason, retry_after),
            Self::Dispatched(call) => call.give_up(unknown),
        }
    }
}
