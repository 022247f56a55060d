//! An endpoint's response after the attempt, before it is relayed to the client.

use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Bytes, Incoming},
};
use tokio::time::{Instant, timeout_at};

use super::flag_silence;
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
    /// When the run counts as silent if nothing of the body has arrived until then.
    pub silent_at: Instant,
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
    /// Reads the first piece of the body until the request's `deadline`, after which the body counts as
    /// unread. The run is marked as silent while it sends nothing.
    pub async fn read_body_start(&mut self, deadline: Instant) {
        let body = self.response.body_mut();
        if body.is_end_stream() {
            return;
        }
        let reading = flag_silence(body.frame(), self.silent_at, &self.guard);
        self.body_start = match timeout_at(boot_clock::timer_at(deadline), reading).await {
            // Trailers end a body without data; they are not passed on.
            Ok(Some(Ok(frame))) => frame.into_data().map_or(BodyStart::Unread, BodyStart::Piece),
            Ok(Some(Err(_))) => BodyStart::Broken,
            // Out of time, or at the end.
            Err(_) | Ok(None) => BodyStart::Unread,
        };
    }
}
