//! The endpoint's side of a response that is being relayed.

use std::{mem, time::Duration};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{
    Response,
    body::{Body, Incoming},
};
use tokio::time::{Instant, timeout_at};

use crate::{
    boot_clock,
    gateway::request::{
        attempt::endpoint_response::{BodyStart, EndpointResponse},
        connection_pool::EndpointConnection,
        response_meaning::{BodyFraming, ResponseMetadata},
        run_guard::RunGuard,
    },
    platform::ingress,
};

/// Body of a response with its connection and its run.
pub struct Upstream {
    body_start: BodyStart,
    body: Incoming,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Decoded head of the response.
    pub metadata: ResponseMetadata,
    /// Connection on which it arrives.
    pub connection: EndpointConnection,
    /// The run at the endpoint.
    pub guard: RunGuard,
    /// When its head arrived: at that time the endpoint was already running the request.
    pub head_received: Instant,
    /// Whether any part of the body has arrived.
    pub has_body: bool,
    /// When the head or the last piece of the body arrived.
    last_received: Instant,
}

/// Next piece of a body.
pub enum BodyPiece {
    /// Data; empty for trailers.
    Bytes(Bytes),
    /// The end.
    End,
    /// The connection broke.
    Broken,
    /// Nothing arrived in time.
    Silent,
}

impl Upstream {
    /// Splits a response into its head and its upstream.
    pub fn of(response: EndpointResponse) -> (Response<()>, Self) {
        let EndpointResponse { response, body_start, metadata, connection, guard, .. } = response;
        let (head, body) = ingress::client_response(response);
        let head_received = boot_clock::now();
        let is_empty = body_start == BodyStart::Unread && body.is_end_stream();
        let framing = if is_empty { BodyFraming::Length } else { metadata.framing };
        (
            head,
            Self {
                body_start,
                body,
                framing,
                metadata,
                connection,
                guard,
                head_received,
                has_body: false,
                last_received: head_received,
            },
        )
    }

    /// Remaining length of the body in bytes, if the endpoint announced its length.
    pub fn length(&self) -> Option<u64> {
        let read = match &self.body_start {
            BodyStart::Piece(piece) => piece.len() as u64,
            BodyStart::Unread | BodyStart::Broken => 0,
        };
        self.body.size_hint().exact().map(|rest| read + rest)
    }

    /// Time since the head or the last piece of the body arrived.
    pub fn silence(&self) -> Duration {
        boot_clock::since(self.last_received)
    }

    /// Whether the whole body has been read.
    pub fn is_at_end(&self) -> bool {
        self.body_start == BodyStart::Unread && self.body.is_end_stream()
    }

    /// Waits for the next piece, at most until then.
    pub async fn next_piece(&mut self, until: Instant) -> BodyPiece {
        let piece = match mem::take(&mut self.body_start) {
            BodyStart::Piece(piece) => BodyPiece::Bytes(piece),
            BodyStart::Broken => BodyPiece::Broken,
            BodyStart::Unread => self.read_piece(until).await,
        };
        if let BodyPiece::Bytes(bytes) = &piece {
            self.has_body |= !bytes.is_empty();
            self.last_received = boot_clock::now();
        }
        piece
    }

    async fn read_piece(&mut self, until: Instant) -> BodyPiece {
        match timeout_at(boot_clock::timer_at(until), self.body.frame()).await {
            Err(_) => BodyPiece::Silent, // Out of time.
            Ok(None) => BodyPiece::End,
            // The error's details don't matter: nothing more is read from this endpoint anyway.
            Ok(Some(Err(_))) => BodyPiece::Broken,
            // Trailers are not passed on.
            Ok(Some(Ok(frame))) => BodyPiece::Bytes(frame.into_data().unwrap_or_default()),
        }
    }
}
