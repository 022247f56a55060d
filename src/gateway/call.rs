//! One client's request as the gateway handles it, and what one attempt adds to it.
//!
//! The platform's adapter decodes a request's headers into these types and writes them out
//! again for an endpoint; names on the wire stay there.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use hyper::{HeaderMap, Method};

use crate::ids::SharedName;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that names the part.
    pub id: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// Size of a generation in tokens, as the client states it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Most tokens of the response.
    pub response: u64,
}

impl TokenCounts {
    /// Both together.
    pub fn total(self) -> u64 {
        self.prompt + self.response
    }
}

/// Head of a client's request.
#[derive(Clone, Debug)]
pub struct CallHead {
    /// Id that the client gave it; the same in every attempt.
    pub id: SharedName,
    /// Method, passed on unchanged.
    pub method: Method,
    /// Host that selects the routes.
    pub host: SharedName,
    /// Path with its query, passed on unchanged.
    pub target: SharedName,
    /// Length of the path within `target`.
    pub path_length: usize,
    /// Time that the client will wait, from when the request arrives.
    pub deadline: Option<Duration>,
    /// Key of a client account.
    pub key: Option<SharedName>,
    /// Size in tokens, if it states one.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt in order.
    pub parts: Vec<PromptPart>,
    /// Tokens that the client expects the response to have.
    pub expected_response: Option<u64>,
    /// Last event that the client already has of a stream that it resumes itself.
    pub last_event: Option<u64>,
    /// Headers passed on unchanged.
    pub headers: HeaderMap,
}

impl CallHead {
    /// The path without its query.
    pub fn path(&self) -> &str {
        &self.target[..self.path_length]
    }
}

/// A whole request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Head.
    pub head: CallHead,
    /// Body, read to its end.
    pub body: Bytes,
}

/// What the gateway adds to one attempt.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// Endpoint that is meant; any other refuses.
    pub endpoint: &'a str,
    /// Account, if the request has one.
    pub account: Option<&'a str>,
    /// Time left until the request's deadline.
    pub left: Option<Duration>,
    /// Rank in the endpoint's queue; 0 is the most urgent. None for services without an engine.
    pub priority: Option<u8>,
    /// Last event of a resumed stream that the client already has.
    pub last_event: Option<u64>,
}

/// Why a request's head is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// It carries no id.
    #[display("no request id")]
    NoId,
    /// It names no host.
    #[display("no host")]
    NoHost,
    /// Its length is given twice, or in a form that intermediaries read differently.
    #[display("ambiguous length")]
    AmbiguousLength,
    /// Its target is no path.
    #[display("malformed target")]
    BadTarget,
    /// A header that the gateway reads cannot be read.
    #[display("malformed header {_0}")]
    BadHeader(#[error(not(source))] &'static str),
    /// An upgrade or tunnel is asked for.
    #[display("method not allowed")]
    BadMethod,
}
