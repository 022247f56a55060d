//! JSON that endpoints of the native interface accept and send, apart from clients' own
//! bodies; shared by the daemon and the stand-ins. The gateway passes bodies through and
//! knows none of this.

pub mod sse;

use serde::{Deserialize, Serialize};

use super::decide::routing::CacheChange;

/// Request for a completion, as the daemon sends it to an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Prompt.
    pub prompt: String,
    /// Tokens of the whole answer.
    pub max_tokens: usize,
    /// Seed of the sampling, so that a resumed answer goes on alike.
    #[serde(default)]
    pub seed: u64,
    /// Rank among those that wait; lower goes first.
    #[serde(default)]
    pub priority: u8,
    /// Tokens already produced elsewhere; the stream goes on after them.
    #[serde(default)]
    pub resume_tokens: Vec<String>,
}

/// One token of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineToken {
    /// Place in the whole answer, from 0.
    pub index: usize,
    /// Text.
    pub text: String,
}

/// Data that ends an engine's stream.
pub const STREAM_END: &str = "[DONE]";

/// Request to copy the KV cache of a text from another engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImportOrder {
    /// Engine to take the cache from.
    pub from: String,
    /// Text whose cache is wanted: prompt and tokens so far.
    pub text: String,
}

/// One change of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Running number; a gap means events were lost.
    pub sequence: u64,
    /// Blocks stored.
    pub stored: Vec<u64>,
    /// Blocks forgotten.
    pub forgotten: Vec<u64>,
}

impl CacheEvent {
    /// The change as the router records it.
    pub fn into_change(self) -> CacheChange {
        CacheChange {
            sequence: self.sequence,
            stored: self.stored.into(),
            forgotten: self.forgotten.into(),
        }
    }
}

/// Load as an endpoint reports it, late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being computed.
    pub running: u32,
    /// Requests waiting for a slot.
    pub waiting: u32,
}
