//! Prompt prefixes as chains of block hashes, in the form in which engines cache them.
//!
//! Words are counted as tokens, so token counts are estimates. The hashes match exactly within
//! one deployment, since daemons and endpoints split prompts in the same way.

use std::collections::HashMap;

use crate::ids::hash_parts;

/// Words (counted as tokens) in one cached block; must equal the engines' block size.
pub const BLOCK_TOKENS: usize = 16;

/// A full cache evicts its capacity divided by this at once, so that it is scanned only once for
/// each tenth of the capacity that is inserted.
const EVICTION_DIVISOR: usize = 10;

/// Estimated number of tokens in `text`: its words.
pub fn count_tokens(text: &str) -> usize {
    text.split_ascii_whitespace().count()
}

/// Hashes of the full blocks of `text`, each including the hash before it, so that equal prefixes
/// give equal hashes.
pub fn prefix_chain(text: &str) -> Vec<u64> {
    let words: Vec<&str> = text.split_ascii_whitespace().collect();
    let mut chain = Vec::with_capacity(words.len() / BLOCK_TOKENS);
    let mut previous = 0_u64;
    for block in words.chunks_exact(BLOCK_TOKENS) {
        previous = hash_parts(&[&previous.to_le_bytes(), block.join(" ").as_bytes()]);
        chain.push(previous);
    }
    chain
}

/// Set of cached blocks with LRU eviction.
#[derive(Clone, Debug)]
pub struct PrefixCache {
    capacity: usize,
    tick: u64,
    blocks: HashMap<u64, u64>,
}

impl PrefixCache {
    /// Creates an empty cache of at most `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, tick: 0, blocks: HashMap::new() }
    }

    /// Number of leading blocks of `chain` that are cached.
    pub fn overlap(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Marks the blocks of `chain` as cached and just used; returns the evicted blocks.
    pub fn insert(&mut self, chain: &[u64]) -> Vec<u64> {
        self.tick += 1;
        for block in chain {
            self.blocks.insert(*block, self.tick);
        }
        self.evict()
    }

    /// Removes one block.
    pub fn remove(&mut self, block: u64) {
        self.blocks.remove(&block);
    }

    /// Number of cached blocks.
    pub fn block_count(&self) -> usize {
        self.blocks.len()
    }

    /// Evicts many blocks at a time, so that the scan over all blocks is rare.
    fn evict(&mut self) -> Vec<u64> {
        if self.blocks.len() <= self.capacity {
            return Vec::new();
        }
        let mut by_age: Vec<(u64, u64)> =
            self.blocks.iter().map(|(block, tick)| (*tick, *block)).collect();
        by_age.sort_unstable();
        let excess = self.blocks.len() - self.capacity;
        let evicted: Vec<u64> = by_age
            .into_iter()
            .take(excess.max(self.capacity / EVICTION_DIVISOR))
            .map(|(_, block)| block)
            .collect();
        for block in &evicted {
            self.blocks.remove(block);
        }
        evicted
    }
}
