//! Why a request ends before its response has been passed on completely or it has been refused: its trace is
//! dropped without an outcome.

use std::thread;

use derive_more::Display;

use super::RequestTrace;
use crate::{
    gateway::request::client_listener::connection_end::ConnectionEnd, kernel::LifePhase,
    logs::LineRank,
};

/// What has ended a request that was in progress.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CutCause {
    /// The client has closed its connection, or its sending side.
    #[display("client left")]
    ClientLeft,
    /// The daemon ends, after its grace time or because a service has failed.
    #[display("daemon stopped")]
    DaemonStopped,
    /// This daemon has closed the connection, for another reason.
    #[display("connection closed: {_0}")]
    ConnectionClosed(ConnectionEnd),
    /// The request's own task has panicked; the daemon goes on.
    #[display("request panicked")]
    RequestPanicked,
}

impl CutCause {
    /// Finds the cause of a request that ends in this phase of the daemon, and with its connection if that ends.
    pub fn find(phase: LifePhase, is_panicking: bool, end: Option<ConnectionEnd>) -> Self {
        match (phase, end) {
            _ if is_panicking => Self::RequestPanicked,
            (_, Some(ConnectionEnd::ClientLeft)) => Self::ClientLeft,
            (_, Some(ConnectionEnd::DaemonStopped)) => Self::DaemonStopped,
            (LifePhase::Stopping, None | Some(ConnectionEnd::Finished)) => Self::DaemonStopped,
            (_, None | Some(ConnectionEnd::Finished)) => Self::ClientLeft,
            (_, Some(end)) => Self::ConnectionClosed(end),
        }
    }

    /// Metric that counts such requests.
    pub fn metric(self) -> &'static str {
        match self {
            Self::ClientLeft => "client_left",
            Self::DaemonStopped => "cut_by_stop",
            Self::ConnectionClosed(_) => "cut_by_close",
            Self::RequestPanicked => "request_panics",
        }
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let phase = *self.context.kernel.phase().borrow();
        let cause = CutCause::find(phase, thread::panicking(), self.connection.end_cause());
        self.context.metrics.count(cause.metric(), 1);
        let outcome = cause.to_string();
        match cause {
            // As many as there are connections, at most, and once.
            CutCause::DaemonStopped => self.write_line(&outcome),
            _ => self.end_as(LineRank::Loss, &outcome),
        }
    }
}
