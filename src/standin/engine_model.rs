//! Timing and content of the engine stand-in, without I/O: continuous batching, a limited
//! prefix cache, tokens that depend on prompt, seed and index alone, so that a response has one
//! right text whichever engines made it.

use crate::{
    ids::hash_parts,
    native::decide::prefix::{BLOCK_TOKENS, PrefixCache, count_tokens, prefix_chain},
};

/// Different tokens that the stand-in knows.
const VOCABULARY: u64 = 4_096;

/// Speeds and sizes of one engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSpeed {
    /// Streams computed at once; more wait.
    pub slots: usize,
    /// Time of one decoding step with one stream, in milliseconds.
    pub step_ms: f64,
    /// Share by which a full batch lengthens the step.
    pub batch_slowdown: f64,
    /// Time to compute one prompt token that is not cached, in milliseconds.
    pub prefill_ms: f64,
    /// Blocks that the prefix cache holds.
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

/// What starting a stream costs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillCost {
    /// Tokens that had to be computed because they were not cached.
    pub computed_tokens: usize,
    /// Tokens found in the cache.
    pub cached_tokens: usize,
    /// Time until decoding starts, in milliseconds.
    pub millis: f64,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct EngineModel {
    speed: EngineSpeed,
    cache: PrefixCache,
    running: usize,
}

impl EngineModel {
    /// Idle engine with an empty cache.
    pub fn new(speed: EngineSpeed) -> Self {
        Self { speed, cache: PrefixCache::new(speed.cache_blocks), running: 0 }
    }

    /// Streams being computed.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Whether one more stream can be computed at once.
    pub fn has_slot(&self) -> bool {
        self.running < self.speed.slots
    }

    /// Starts a stream over `text` (prompt and tokens resumed from); returns its cost
    /// and the blocks that were stored and forgotten.
    pub fn start(&mut self, text: &str) -> (PrefillCost, Vec<u64>, Vec<u64>) {
        self.running += 1;
        let chain = prefix_chain(text);
        let cached_tokens = self.cache.overlap(&chain) * BLOCK_TOKENS;
        let computed_tokens = count_tokens(text).saturating_sub(cached_tokens);
        let forgotten = self.cache.insert(&chain);
        let millis = computed_tokens as f64 * self.speed.prefill_ms;
        (PrefillCost { computed_tokens, cached_tokens, millis }, chain, forgotten)
    }

    /// Time of the next decoding step, in milliseconds.
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
pub fn answer_token(prompt: &str, seed: u64, index: usize) -> String {
    let hash = hash_parts(&[prompt.as_bytes(), &seed.to_le_bytes(), &index.to_le_bytes()]);
    format!("w{:x} ", hash % VOCABULARY)
}

/// The whole response to `prompt`, against which tests compare byte for byte.
pub fn whole_answer(prompt: &str, seed: u64, tokens: usize) -> String {
    (0..tokens).map(|index| answer_token(prompt, seed, index)).collect()
}
