//! A client's request as the gateway handles it, and the data added to it for one attempt.
//!
//! `platform::ingress` decodes a request's headers into these types and encodes them again for an
//! endpoint; header names are known only there.

pub mod call_body;

use std::{str::FromStr, time::Duration};

use derive_more::{Display, Error};
use hyper::{HeaderMap, Method};

use self::call_body::CallBody;
use crate::ids::SharedName;

/// A part of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Hash that identifies the part.
    pub id: u64,
    /// Number of its tokens.
    pub tokens: u64,
}

/// Identifies a part of a prompt; the same in all requests that have the part.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{_0:016x}")]
pub struct PartId(pub u64);

/// The text is not the id of a part.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("not a part's id in hexadecimal digits")]
pub struct BadPartId;

impl FromStr for PartId {
    type Err = BadPartId;

    fn from_str(text: &str) -> Result<Self, BadPartId> {
        // The reason makes no difference.
        u64::from_str_radix(text, 16).map(Self).map_err(|_| BadPartId)
    }
}

/// Size of a request in tokens, as stated by the client.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt: u64,
    /// Largest number of tokens in the response.
    pub response: u64,
}

impl TokenCounts {
    /// Sum of both.
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
    /// Host, which selects the routes.
    pub host: SharedName,
    /// Path with its query, passed on unchanged.
    pub target: SharedName,
    /// Length of the path within `target`.
    pub path_length: usize,
    /// How long the client will wait after the request has arrived.
    pub deadline: Option<Duration>,
    /// API key of a client account.
    pub key: Option<SharedName>,
    /// Size in tokens, if stated.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt, in order.
    pub parts: Vec<PromptPart>,
    /// Tokens that the client expects the response to have.
    pub expected_response: Option<u64>,
    /// Last event that the client has already received of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Id of the attempt that brought the first event of that stream, if the client names it.
    pub resumes: Option<SharedName>,
    /// Headers passed on unchanged.
    pub headers: HeaderMap,
}

impl CallHead {
    /// Id of the attempt that began the stream: that of the attempt that the client takes up, or its own.
    pub fn stream_id(&self) -> &str {
        let resumed = self.resumes.as_deref().filter(|_| self.last_event.is_some());
        resumed.unwrap_or(&self.id)
    }

    /// Parts of the prompt that other requests may have too: all but the last.
    pub fn shared_parts(&self) -> impl Iterator<Item = PartId> {
        let parts = self.parts.split_last().map_or(&[][..], |(_, shared)| shared);
        parts.iter().map(|part| PartId(part.id))
    }

    /// The path without its query.
    pub fn path(&self) -> &str {
        &self.target[..self.path_length]
    }
}

/// A whole request.
#[derive(Clone, Debug)]
pub struct Call {
    /// Head of the request.
    pub head: CallHead,
    /// Complete body.
    pub body: CallBody,
}

/// Data that the gateway adds to the request for one attempt.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// Id of the intended endpoint; any other one refuses the request.
    pub endpoint: &'a str,
    /// Account, if the request has one.
    pub account: Option<&'a str>,
    /// Time left until the request's deadline.
    pub left: Option<Duration>,
    /// Rank in the endpoint's queue; 0 is the most urgent. None for services without an engine.
    pub priority: Option<u8>,
    /// Last event that the client has already received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Why a request's head is refused.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum HeadError {
    /// It has no request id.
    #[display("no request id")]
    NoId,
    /// It has no host, or several.
    #[display("no host")]
    NoHost,
    /// Its length is given more than once, or in a form that intermediaries interpret differently.
    #[display("ambiguous length")]
    AmbiguousLength,
    /// Its target is not a path.
    #[display("malformed target")]
    BadTarget,
    /// A header that the gateway needs cannot be parsed.
    #[display("malformed header {_0}")]
    BadHeader(#[error(not(source))] &'static str),
    /// It requests an upgrade or a tunnel.
    #[display("method not allowed")]
    BadMethod,
}
