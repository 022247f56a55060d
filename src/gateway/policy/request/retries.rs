//! Decides what follows an attempt: its response is passed on, another endpoint is tried, or the
//! request is refused. Also decides whether a broken stream is resumed.
//!
//! | the attempt | idempotent | resumable stream | at most once, other streams |
//! |---|---|---|---|
//! | was not sent | next endpoint, free | next endpoint, free | next endpoint, free |
//! | was not run by the endpoint | retry, or refuse | retry, or refuse | retry, or refuse |
//! | may have run | retry, or refuse | retry, or refuse | refuse |
//! | got a response with a status from 500 up | retry, or pass on | retry, or pass on | pass on |
//! | got any other response | pass on | pass on | pass on |
//! | began a stream that broke | - | resume, or break off | break off |
//!
//! An attempt that is silent has not ended: where the table allows a retry after "may have run", another
//! attempt may run at the same time (`time_limits`), under the same conditions.
//!
//! A retry requires that the route allows another attempt, that the deadline has not passed, and
//! one unit of the service's retry budget. The budget is charged last, and only where the table
//! allows a retry at all. Trying the next endpoint after an attempt that was not sent is free,
//! since no endpoint has seen the request.
//!
//! A retry always uses a new connection. On an idle one the endpoint may still send a late, surplus
//! response, which makes the attempt fail; with two such failures a request would fail although
//! both endpoints work.
//!
//! Once an attempt may have run, every refusal has a status that makes no promise (502, 504).

use std::time::Duration;

use hyper::StatusCode;

use super::{refusal::Refusal, retry_after};
use crate::gateway::configuration::RouteKind;

/// How an attempt without a usable response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptFailure {
    /// Nothing was sent.
    NotSent,
    /// The endpoint has not run the request and never will.
    NotRun,
    /// The request may have run.
    MayHaveRun,
}

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureStep {
    /// Another endpoint is tried, without charging the retry budget.
    TryNext,
    /// Another endpoint is tried if attempts, deadline and budget allow it; otherwise the request
    /// is refused for this reason.
    RetryOr(GiveUpReason),
    /// The request is refused for this reason.
    GiveUp(GiveUpReason),
}

/// Why no further attempt is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// No attempt has run the request.
    NotRun,
    /// The last attempt has not run the request, but an earlier one may have.
    EarlierMayHaveRun,
    /// The last attempt may have run the request.
    LastMayHaveRun,
}

/// Which idle connections an attempt may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionReuse {
    /// Any open connection.
    Any,
    /// Only one that was in use a moment ago.
    Recent,
    /// None: a new connection is opened.
    Never,
}

/// Which idle connections an attempt may use, after `sent_before` attempts that reached an
/// endpoint.
pub fn connection_reuse(kind: RouteKind, sent_before: u32) -> ConnectionReuse {
    match (sent_before, kind.may_run_again()) {
        (0, true) => ConnectionReuse::Any,
        (0, false) => ConnectionReuse::Recent,
        _ => ConnectionReuse::Never,
    }
}

/// Whether a response of an endpoint that has run the request may be dropped for a retry; otherwise
/// it is passed on. A stream whose head is an error has sent no events yet.
pub fn may_retry_response(kind: RouteKind, is_server_error: bool) -> bool {
    is_server_error && kind.may_run_again()
}

/// Whether a response with this status, from an endpoint that has run the request, counts as a
/// failure of the endpoint. A time-out doesn't: the client's time limit may have been too short.
pub fn is_endpoint_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}

/// Decides what follows a failed attempt. `may_have_run`: an earlier attempt may have run the
/// request.
pub fn after_failure(failure: AttemptFailure, kind: RouteKind, may_have_run: bool) -> FailureStep {
    match failure {
        AttemptFailure::NotSent => FailureStep::TryNext,
        AttemptFailure::NotRun if may_have_run => {
            FailureStep::RetryOr(GiveUpReason::EarlierMayHaveRun)
        }
        AttemptFailure::NotRun => FailureStep::RetryOr(GiveUpReason::NotRun),
        AttemptFailure::MayHaveRun if kind.may_run_again() => {
            FailureStep::RetryOr(GiveUpReason::LastMayHaveRun)
        }
        AttemptFailure::MayHaveRun => FailureStep::GiveUp(GiveUpReason::LastMayHaveRun),
    }
}

impl GiveUpReason {
    /// The refusal for this reason; `wait` is the expected time until an endpoint has capacity.
    pub fn refusal(self, is_deadline_over: bool, wait: Duration) -> Refusal {
        match self {
            Self::NotRun => Refusal::NotTaken(wait),
            Self::EarlierMayHaveRun => Refusal::Unknown,
            Self::LastMayHaveRun if is_deadline_over => Refusal::OutOfTime,
            Self::LastMayHaveRun => Refusal::Unknown,
        }
    }
}

/// Why no attempt could be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoAttempt {
    /// The deadline has passed.
    DeadlineOver,
    /// All endpoints that have not been tried are full.
    AllFull,
    /// All endpoints refuse requests for a while because of back-offs or limits: the client may
    /// retry after this time.
    RoomLater(Duration),
    /// All endpoints have been tried, or there are none.
    NoEndpoint,
    /// No endpoint of the version that began the stream takes requests, or all of them have been tried.
    NoVersion,
    /// This daemon reaches no endpoint, and no other daemon carries connections to them.
    NoPath,
    /// The daemon doesn't know yet which requests crash endpoints.
    NoPeerContact,
    /// The daemon is stopping, and might cut the request.
    Leaving,
    /// Previous runs of the same request have crashed their endpoints; the next trial is due after
    /// this time.
    Quarantined(Duration),
    /// Previous runs of requests with a part of its prompt have crashed their endpoints; the next trial is due
    /// after this time.
    PartQuarantined(Duration),
}

impl NoAttempt {
    /// The refusal for this reason. `may_have_run`: an earlier attempt may have run the request.
    pub fn refusal(self, may_have_run: bool, target: Duration) -> Refusal {
        match (self, may_have_run) {
            (Self::DeadlineOver, true) => Refusal::OutOfTime,
            (_, true) => Refusal::Unknown,
            (Self::DeadlineOver, false) => Refusal::DeadlineOver(retry_after::NO_ENDPOINT),
            (Self::AllFull, false) => Refusal::Full(retry_after::all_full(target)),
            (Self::RoomLater(wait), false) => Refusal::RoomLater(wait),
            (Self::NoPeerContact, false) => Refusal::NoPeerContact,
            (Self::Leaving, false) => Refusal::Leaving,
            (Self::Quarantined(wait), false) => Refusal::Quarantined(wait),
            (Self::PartQuarantined(wait), false) => Refusal::PartQuarantined(wait),
            (Self::NoVersion, false) => Refusal::NoVersion(retry_after::NO_ENDPOINT),
            (Self::NoPath, false) => Refusal::NoPath(retry_after::NO_ENDPOINT),
            (Self::NoEndpoint, false) => Refusal::NoEndpoint(retry_after::NO_ENDPOINT),
        }
    }
}

/// Whether a broken response may be resumed at another endpoint: only if it is a stream of events
/// and its route allows it. `is_event_stream`: the response is being split into events.
pub fn may_resume(kind: RouteKind, is_event_stream: bool) -> bool {
    is_event_stream && kind.may_run_again()
}
