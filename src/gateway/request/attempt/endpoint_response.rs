//! A response of an endpoint between its attempt and its relay.

use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Bytes, Incoming},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    gateway::request::{
        connection_pool::EndpointConnection, response_meaning::ResponseMetadata,
        run_guard::RunGuard,
    },
    true_time,
};

/// A response of an endpoint, with all that is needed to relay it.
pub struct EndpointResponse {
    /// Head and body.
    pub response: Response<Incoming>,
    /// What was read of the body already.
    pub body_start: BodyStart,
    /// Until when the attempt may wait for the body, if another one could follow.
    pub response_deadline: Instant,
    /// What its head says.
    pub metadata: ResponseMetadata,
    /// Connection that it comes over.
    pub connection: EndpointConnection,
    /// The run at the endpoint.
    pub guard: RunGuard,
}

/// What was read of a body before it is relayed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum BodyStart {
    /// Nothing.
    #[default]
    Unread,
    /// Its first piece.
    Piece(Bytes),
    /// It has broken before its first piece.
    Broken,
}

impl EndpointResponse {
    /// Reads the first piece of the body. Whether there is none while another endpoint could still
    /// serve the request, which ends at `deadline`.
    pub async fn lacks_body(&mut self, deadline: Instant) -> bool {
        let body = self.response.body_mut();
        if self.response_deadline >= deadline || body.is_end_stream() {
            return false;
        }
        match timeout_at(true_time::timer_at(self.response_deadline), body.frame()).await {
            // Out of time.
            Err(_) => true,
            Ok(Some(Ok(frame))) => {
                // Trailers end a body without a piece, and are not passed on.
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
