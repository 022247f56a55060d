//! Request mix: which requests the clients send, how often, and at what pace.

use serde::{Deserialize, Serialize};

/// Kind of an entry of the mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MixKind {
    /// Completion, streamed.
    Completion,
    /// Plain call that may be repeated.
    Plain,
    /// Plain call that may not be repeated, under a ticket.
    Once,
}

/// One sort of request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MixEntry {
    /// What it is, for the report.
    pub name: String,
    /// How often it comes, relative to the others.
    pub weight: f64,
    /// Kind.
    pub kind: MixKind,
    /// Service.
    pub service: String,
    /// Path at a plain service.
    #[serde(default)]
    pub path: String,
    /// Key of the client account.
    pub api_key: String,
    /// Name of the client account.
    pub account: String,
    /// Words that all prompts of one series share.
    #[serde(default)]
    pub shared_words: usize,
    /// Number of series.
    #[serde(default)]
    pub series: usize,
    /// Words of each prompt's own.
    #[serde(default)]
    pub own_words: usize,
    /// Tokens of the response.
    #[serde(default)]
    pub max_tokens: usize,
}

/// Mix of requests, with its pace.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestMix {
    /// Requests a second, all together.
    pub requests_per_s: f64,
    /// Sorts of requests.
    pub entries: Vec<MixEntry>,
}
