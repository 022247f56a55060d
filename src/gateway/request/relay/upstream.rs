//! Where a response comes from that is being relayed.

use std::mem;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Incoming},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    gateway::request::{
        attempt::endpoint_response::{BodyStart, EndpointResponse},
        connection_pool::EndpointConnection,
        response_meaning::ResponseMetadata,
        run_guard::RunGuard,
    },
    platform::ingress,
    true_time,
};

/// Body of a response, with all that belongs to it.
pub struct Upstream {
    body_start: BodyStart,
    body: Incoming,
    /// What its head says.
    pub metadata: ResponseMetadata,
    /// Connection that it comes over.
    pub connection: EndpointConnection,
    /// The run at the endpoint.
    pub guard: RunGuard,
    /// When its head came: the endpoint runs the request since then, or a little longer.
    pub head_received: Instant,
    /// Whether anything has come of the body.
    pub has_body: bool,
}

/// What came next of a body.
pub enum BodyPiece {
    /// Bytes; none of trailers.
    Bytes(Bytes),
    /// The end.
    End,
    /// The connection broke.
    Broken,
    /// Nothing in time.
    Silent,
}

impl Upstream {
    /// Splits a response into its head, and body with all that belongs to it.
    pub fn of(response: EndpointResponse) -> (Response<()>, Self) {
        let EndpointResponse { response, body_start, metadata, connection, guard, .. } = response;
        let (head, body) = ingress::client_response(response);
        let head_received = true_time::now();
        (
            head,
            Self { body_start, body, metadata, connection, guard, head_received, has_body: false },
        )
    }

    /// Bytes that are left of the body, if the endpoint has said how many there are.
    pub fn length(&self) -> Option<u64> {
        let read = match &self.body_start {
            BodyStart::Piece(piece) => piece.len() as u64,
            BodyStart::Unread | BodyStart::Broken => 0,
        };
        self.body.size_hint().exact().map(|rest| read + rest)
    }

    /// Whether the body has come to its end.
    pub fn is_at_end(&self) -> bool {
        self.body_start == BodyStart::Unread && self.body.is_end_stream()
    }

    /// The next piece, awaited until then.
    pub async fn next_piece(&mut self, until: Instant) -> BodyPiece {
        let piece = match mem::take(&mut self.body_start) {
            BodyStart::Piece(piece) => BodyPiece::Bytes(piece),
            BodyStart::Broken => BodyPiece::Broken,
            BodyStart::Unread => self.read_piece(until).await,
        };
        if let BodyPiece::Bytes(bytes) = &piece {
            self.has_body |= !bytes.is_empty();
        }
        piece
    }

    async fn read_piece(&mut self, until: Instant) -> BodyPiece {
        match timeout_at(true_time::timer_at(until), self.body.frame()).await {
            Err(_) => BodyPiece::Silent, // Out of time.
            Ok(None) => BodyPiece::End,
            // The error's details don't matter: the endpoint is left either way.
            Ok(Some(Err(_))) => BodyPiece::Broken,
            // Trailers are not passed on.
            Ok(Some(Ok(frame))) => BodyPiece::Bytes(frame.into_data().unwrap_or_default()),
        }
    }
}
