//! Timing and output of the engine stand-in, without I/O: continuous batching, a prefix cache of
//! limited size, and tokens that depend only on prompt, seed and index, so that a request has the
//! same correct response on any engine.

use crate::{
    ids::hash_parts,
    native::decide::prefix::{BLOCK_TOKENS, PrefixCache, count_tokens, prefix_chain},
};

/// Number of different tokens that the stand-in generates.
const VOCABULARY: u64 = 4_096;

/// Speed and capacity of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Number of streams computed at the same time; further ones wait.
    pub slots: usize,
    /// Duration of a decoding step with a single stream, in milliseconds.
    pub step_ms: f64,
    /// Fraction by which a full batch lengthens the decoding step.
    pub batch_slowdown: f64,
    /// Time to compute one uncached prompt token, in milliseconds.
    pub prefill_ms: f64,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
}

impl Default for EngineSpeed {
    fn default() -> Self {
        Self {
            slots: 64,
            step_ms: 12.0,
            batch_slowdown: 0.6,
            prefill_ms: 0.25,
            cache_blocks: 4_096,
        }
    }
}

/// Cost of computing the prompt of a stream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillCost {
    /// Tokens that were not cached and had to be computed.
    pub computed_tokens: usize,
    /// Tokens found in the cache.
    pub cached_tokens: usize,
    /// Time until decoding starts, in milliseconds.
    pub millis: f64,
}

/// Batch and prefix cache of one engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    speed: EngineSpeed,
    cache: PrefixCache,
    running: usize,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache.
    pub fn new(speed: EngineSpeed) -> Self {
        Self { speed, cache: PrefixCache::new(speed.cache_blocks), running: 0 }
    }

    /// Number of streams being computed.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether one more stream can start now.
    pub fn has_slot(&self) -> bool {
        self.running < self.speed.slots
    }

    /// Starts a stream whose prompt and tokens to resume from are `text`; returns its cost and the
    /// cache blocks that were stored and evicted.
    pub fn start(&mut self, text: &str) -> (PrefillCost, Vec<u64>, Vec<u64>) {
        self.running += 1;
        let chain = prefix_chain(text);
        let cached_tokens = self.cache.overlap(&chain) * BLOCK_TOKENS;
        let computed_tokens = count_tokens(text).saturating_sub(cached_tokens);
        let evicted = self.cache.insert(&chain);
        let millis = computed_tokens as f64 * self.speed.prefill_ms;
        (PrefillCost { computed_tokens, cached_tokens, millis }, chain, evicted)
    }

    /// Duration of the next decoding step, in milliseconds.
    pub fn step_ms(&self) -> f64 {
        let fill = self.running.saturating_sub(1) as f64 / self.speed.slots as f64;
        self.speed.step_ms * (1.0 + self.speed.batch_slowdown * fill)
    }

    /// Ends a stream.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}

/// Token `index` of the response to `prompt` under `seed`.
pub fn completion_token(prompt: &str, seed: u64, index: usize) -> String {
    let hash = hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes(), &index.to_le_bytes()]);
    format!("w{:x} ", hash % VOCABULARY)
}

/// Complete response to `prompt`; tests compare against it byte for byte.
pub fn expected_completion(prompt: &str, seed: u64, tokens: usize) -> String {
    (0..tokens).map(|index| completion_token(prompt, seed, index)).collect()
}
