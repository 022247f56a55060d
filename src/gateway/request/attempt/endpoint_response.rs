//! An endpoint's response after the attempt, before it is relayed to the client.

use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Bytes, Incoming},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    boot_clock,
    gateway::request::{
        connection_pool::EndpointConnection, response_meaning::ResponseMetadata,
        run_guard::RunGuard,
    },
};

/// An endpoint's response, with everything that is needed to relay it.
pub struct EndpointResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// The part of the body that has been read already.
    pub body_start: BodyStart,
    /// Until when to wait for the body if another attempt could follow.
    pub response_deadline: Instant,
    /// Decoded head of the response.
    pub metadata: ResponseMetadata,
    /// Connection on which it arrives.
    pub connection: EndpointConnection,
    /// The run at the endpoint.
    pub guard: RunGuard,
}

/// The part of a body that has been read before it is relayed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BodyStart {
    /// Nothing.
    #[default]
    Unread,
    /// Its first piece.
    Piece(Bytes),
    /// The connection broke before the first piece.
    Broken,
}

impl EndpointResponse {
    /// Reads the first piece of the body. Returns whether there is none although another endpoint
    /// could still serve the request before its `deadline`.
    pub async fn lacks_body(&mut self, deadline: Instant) -> bool {
        let body = self.response.body_mut();
        if self.response_deadline >= deadline || body.is_end_stream() {
            return false;
        }
        match timeout_at(boot_clock::timer_at(self.response_deadline), body.frame()).await {
            // Out of time.
            Err(_) => true,
            Ok(Some(Ok(frame))) => {
                // Trailers end a body without data; they are not passed on.
                self.body_start = frame.into_data().map_or(BodyStart::Unread, BodyStart::Piece);
                false
            }
            Ok(Some(Err(_))) => {
                self.body_start = BodyStart::Broken;
                true
            }
            Ok(None) => false,
        }
    }
}
