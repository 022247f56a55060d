//! A client's call after its checks: what peers copy and what endpoints are sent.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::SharedName;

/// What an endpoint is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CallContent {
    /// Completion by a model engine.
    Completion(CompletionCall),
    /// Plain HTTP call.
    Plain(PlainCall),
}

/// Completion by a model engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletionCall {
    /// Prompt; chat messages are joined into one.
    pub prompt: Arc<str>,
    /// Tokens of the response.
    pub max_tokens: u32,
    /// Seed of the sampling: a resumed response goes on alike.
    pub seed: u64,
    /// Whether the client spoke the chat form.
    pub chat: bool,
}

/// Plain HTTP call; bodies are UTF-8.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlainCall {
    /// Path at the endpoint, with its leading slash.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content_type: Arc<str>,
    /// Body.
    pub body: Arc<str>,
}

/// A checked call of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Client account.
    pub account: SharedName,
    /// Service that is called.
    pub service: SharedName,
    /// Whether the call may be retried.
    pub repeatable: bool,
    /// What is asked.
    pub content: CallContent,
    /// Trace context to pass on.
    pub traceparent: Option<SharedName>,
}

impl ClientCall {
    /// SHA-256 over everything that makes two calls the same.
    pub fn digest(&self) -> [u8; 32] {
        let same = (&self.account, &self.service, &self.content);
        // These types always serialize; an empty text would only merge digests.
        let text = serde_json::to_vec(&same).unwrap_or_default();
        Sha256::digest(&text).into()
    }

    /// Content as a completion, if it is one.
    pub fn completion(&self) -> Option<&CompletionCall> {
        match &self.content {
            CallContent::Completion(completion) => Some(completion),
            CallContent::Plain(_) => None,
        }
    }

    /// Tokens the call is expected to cost; a plain call counts as one.
    pub fn expected_tokens(&self) -> f64 {
        match &self.content {
            CallContent::Completion(call) => {
                let prompt = crate::native::decide::prefix::count_tokens(&call.prompt);
                (prompt + call.max_tokens as usize) as f64
            }
            CallContent::Plain(_) => 1.0,
        }
    }
}
