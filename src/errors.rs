//! Errors of calls to other processes: the step, the peer and the cause. The cause shows whether
//! the other side may have acted, which decides whether the call may be retried.

use std::time::Duration;

use derive_more::{Display, Error};

use crate::ids::SharedName;

/// Cause of a failed call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum FailureCause {
    /// No connection could be made: nothing was sent.
    #[display("connection refused: {_0}")]
    Unreachable(#[error(not(source))] String),
    /// No response within this many milliseconds; the peer may have acted.
    #[display("no answer within {_0} ms")]
    TimedOut(#[error(not(source))] u64),
    /// The connection broke after sending had begun; the peer may have acted.
    #[display("connection broke: {_0}")]
    Broken(#[error(not(source))] String),
    /// The peer responded with an error status.
    #[display("answered status {_0}")]
    Status(#[error(not(source))] u16),
    /// The peer's response could not be decoded, or the request could not be encoded.
    #[display("malformed answer: {_0}")]
    Malformed(#[error(not(source))] String),
    /// The response is from before the peer's data was restored from a backup, so it is no longer
    /// valid.
    #[display("answer of a former era")]
    FormerEra,
    /// The condition of a write did not hold: another write came first.
    #[display("version conflict")]
    Conflict,
    /// The peer refused the call, or it is of another deployment, incarnation or unknown protocol
    /// version.
    #[display("peer refused: {_0}")]
    Refused(#[error(not(source))] String),
}

impl FailureCause {
    /// No response within `limit`.
    pub fn timed_out(limit: Duration) -> Self {
        Self::TimedOut(limit.as_millis() as u64)
    }
}

/// A failed call to another process.
#[derive(Clone, Debug, Display, Error)]
#[display("{step} at {peer}: {cause}")]
pub struct StepError {
    /// What was being done, such as "read object".
    pub step: &'static str,
    /// Address or name of the other side.
    #[error(not(source))]
    pub peer: SharedName,
    /// Why it failed.
    #[error(source)]
    pub cause: FailureCause,
}

impl StepError {
    /// Error of `step` at `peer`.
    pub fn new(step: &'static str, peer: impl Into<SharedName>, cause: FailureCause) -> Self {
        Self { step, peer: peer.into(), cause }
    }

    /// Whether no response came in time.
    pub fn is_time_out(&self) -> bool {
        matches!(self.cause, FailureCause::TimedOut(_))
    }
}
