//! Final outcomes, and the stages of a call that determine which outcomes are possible.
//!
//! Only [`UndispatchedCall::refuse`] can create the outcome "not run". Dispatching consumes the
//! undispatched call. It is returned only with evidence that the endpoint started nothing, and
//! only if no earlier attempt may have run.

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
    /// This daemon is leaving; another daemon can accept the request.
    #[display("this daemon is leaving")]
    Draining,
    /// The daemon has not received the operators' table yet.
    #[display("the table is not known yet")]
    NoTable,
    /// No endpoint of the service can take it.
    #[display("no endpoint can take it now")]
    NoEndpoint,
    /// The daemon has reached its limit of requests in progress.
    #[display("too many requests in progress")]
    Overloaded,
    /// The account's limit is used up.
    #[display("the account's limit is used up")]
    AccountLimit,
    /// Every endpoint that was tried refused the request before starting it.
    #[display("endpoints refused before starting")]
    EndpointRefused,
    /// The platform could not record the claim on the idempotency key.
    #[display("the key could not be claimed")]
    ClaimFailed,
    /// The witness of the ticket did not consent.
    #[display("the ticket's witness could not be reached")]
    NoWitness,
    /// The ticket's holder is gone and had not dispatched the request.
    #[display("the ticket's holder left before dispatching")]
    HolderGone,
}

/// Why it is unknown whether a request ran.
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
    /// All attempts failed after they had begun.
    #[display("all attempts failed")]
    AttemptsFailed,
    /// The client cancelled the request while it ran.
    #[display("cancelled while running")]
    Cancelled,
}

/// Proof that a request did not run; created only by [`UndispatchedCall::refuse`].
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

    /// Time after which the client may retry.
    pub fn retry_after(&self) -> Duration {
        self.retry_after
    }
}

/// Response of a plain HTTP endpoint.
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
    /// A plain HTTP endpoint responded.
    Plain(PlainResponse),
    /// The request did not run.
    NotRun(NotRunProof),
    /// The request may have run.
    Unknown(UnknownReason),
}

impl FinalResponse {
    /// Whether the endpoint has responded.
    pub fn is_answered(&self) -> bool {
        matches!(self, Self::Streamed | Self::Plain(_))
    }

    /// Short name for metrics and the timeline.
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
    /// Evidence from an error: no connection was made, so nothing was sent.
    pub fn from_error(error: &StepError) -> Option<Self> {
        matches!(error.cause, FailureCause::Unreachable(_)).then_some(Self(()))
    }

    /// Evidence from response headers: the endpoint reports that it refused before starting.
    pub fn from_headers(response: &hyper::HeaderMap) -> Option<Self> {
        let marked = response.get(headers::NOT_STARTED).is_some_and(|value| value == "true");
        marked.then_some(Self(()))
    }
}

/// A call for which no dispatch has begun. It is not `Clone`, so that a call is dispatched only
/// once.
#[derive(Debug)]
pub struct UndispatchedCall {
    call: Arc<ClientCall>,
}

impl UndispatchedCall {
    /// Wraps a call that was just accepted, or one that this process took over knowing that
    /// nothing was dispatched.
    pub fn new(call: Arc<ClientCall>) -> Self {
        Self { call }
    }

    /// Ends it as "not run".
    pub fn refuse(self, reason: NotRunReason, retry_after: Duration) -> FinalResponse {
        FinalResponse::NotRun(NotRunProof { reason, retry_after })
    }

    /// Begins the first attempt; from then on, "not run" requires evidence.
    pub fn begin(self) -> DispatchedCall {
        DispatchedCall { call: self.call, may_have_run: false }
    }
}

/// A call with an attempt in progress.
#[derive(Debug)]
pub struct DispatchedCall {
    call: Arc<ClientCall>,
    /// Whether an attempt before the current one may have run.
    may_have_run: bool,
}

/// Stage of a call after an endpoint refused an attempt before starting it.
#[derive(Debug)]
pub enum CallStage {
    /// No attempt has run.
    Undispatched(UndispatchedCall),
    /// An earlier attempt may have run.
    Dispatched(DispatchedCall),
}

impl DispatchedCall {
    /// Wraps a call that another process may have dispatched already.
    pub fn taken_over(call: Arc<ClientCall>) -> Self {
        Self { call, may_have_run: true }
    }

    /// Ends the current attempt, which was not started according to the evidence.
    pub fn not_started(self, _evidence: NotStartedEvidence) -> CallStage {
        if self.may_have_run {
            CallStage::Dispatched(self)
        } else {
            CallStage::Undispatched(UndispatchedCall { call: self.call })
        }
    }

    /// Begins the next attempt after the current one failed and may have run.
    pub fn begin_again(self) -> Self {
        Self { call: self.call, may_have_run: true }
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

    /// Ends the call as "not run" if no attempt can have run, otherwise as "unknown".
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
