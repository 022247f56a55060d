//! Request mix: which requests the clients send, and how often.

use serde::{Deserialize, Serialize};

/// Kind of an entry of the mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MixKind {
    /// Streamed completion.
    Completion,
    /// Call of a plain service that may be repeated.
    Plain,
    /// Call of a plain service that must not be repeated; it carries a ticket.
    Once,
}

/// One kind of request in the mix, with its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MixEntry {
    /// Name in the report.
    pub name: String,
    /// Frequency relative to the other entries.
    pub weight: f64,
    /// Completion or plain call.
    pub kind: MixKind,
    /// Name of the service.
    pub service: String,
    /// Path of a plain call, below that of the service.
    #[serde(default)]
    pub path: String,
    /// API key of the client account.
    pub api_key: String,
    /// Name of the client account.
    pub account: String,
    /// Length, in words, of the prefix that all prompts of one series share.
    #[serde(default)]
    pub shared_words: usize,
    /// Number of prompt series, each with a prefix of its own.
    #[serde(default)]
    pub series: usize,
    /// Length, in words, of the part that is unique to each prompt.
    #[serde(default)]
    pub own_words: usize,
    /// Number of tokens in the response.
    #[serde(default)]
    pub max_tokens: usize,
}

/// Mix of requests and the rate at which they are sent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestMix {
    /// Requests per second, over all entries.
    pub requests_per_s: f64,
    /// Kinds of requests.
    pub entries: Vec<MixEntry>,
}
