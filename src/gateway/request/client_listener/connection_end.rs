//! Why a connection of a client ends.

use derive_more::Display;

/// What has ended a connection.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Its client has closed it between two requests, or it has had its last response.
    #[display("finished")]
    Finished,
    /// Its client has closed it, or its sending side, during a request.
    #[display("client left")]
    ClientLeft,
    /// What its client sent is no head of a request.
    #[display("head not valid")]
    BadHead,
    /// A request's body or its response was broken off.
    #[display("broken off")]
    BrokenOff,
    /// A head was not complete in time.
    #[display("head late")]
    HeadLate,
    /// There was no request for too long.
    #[display("idle")]
    Idle,
    /// It was idle when the daemon began to stop.
    #[display("idle at a stop")]
    IdleAtStop,
    /// A stopping daemon had accepted it, and there was no request on it.
    #[display("unused")]
    Unused,
    /// There was no room for another connection.
    #[display("closed for another")]
    ClosedForAnother,
    /// The daemon ends.
    #[display("daemon stopped")]
    DaemonStopped,
}

impl ConnectionEnd {
    /// Why the HTTP library has ended a connection.
    pub fn of_library(result: Result<(), hyper::Error>) -> Self {
        match result {
            Ok(()) => Self::Finished,
            Err(error) if error.is_user() => Self::BrokenOff,
            Err(error) if error.is_parse() => Self::BadHead,
            // Whatever the socket's error says, the client can't be reached.
            Err(_) => Self::ClientLeft,
        }
    }
}
