//! A validated client call, which is copied to peers and sent to endpoints.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::ids::SharedName;

/// The content of a call to an endpoint.
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
    /// Prompt; the messages of a chat are joined into one text.
    pub prompt: Arc<str>,
    /// Most tokens in the response.
    pub max_tokens: u32,
    /// Sampling seed, so that a resumed response continues with the same tokens.
    pub seed: u64,
    /// Whether the client used the chat API.
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

/// A validated call of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClientCall {
    /// Client account.
    pub account: SharedName,
    /// Service that is called.
    pub service: SharedName,
    /// Whether the call may be retried.
    pub repeatable: bool,
    /// Content of the call.
    pub content: CallContent,
    /// Trace context to pass on to the endpoint.
    pub traceparent: Option<SharedName>,
}

impl ClientCall {
    /// SHA-256 over the account, service and content; two calls are the same if these are equal.
    pub fn digest(&self) -> [u8; 32] {
        let identity = (&self.account, &self.service, &self.content);
        // These types always serialize; if they did not, calls would only get the same digest.
        let text = serde_json::to_vec(&identity).unwrap_or_default();
        Sha256::digest(&text).into()
    }

    /// Returns the content if it is a completion.
    pub fn completion(&self) -> Option<&CompletionCall> {
        match &self.content {
            CallContent::Completion(completion) => Some(completion),
            CallContent::Plain(_) => None,
        }
    }

    /// Tokens that the call is expected to cost; a plain call counts as one token.
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
