//! Which parts of prompts an endpoint probably remembers.

use std::collections::HashMap;

use crate::{gateway::request::call::PromptPart, ids::hash_parts};

/// Parts remembered for each endpoint.
const PARTS_KEPT: usize = 1_024;

/// Chain of a prompt's parts: each with all before it, and the tokens up to its end.
pub fn part_chain(parts: &[PromptPart]) -> Vec<(u64, u64)> {
    let mut chain = Vec::with_capacity(parts.len());
    let (mut hash, mut tokens) = (0_u64, 0_u64);
    for part in parts {
        hash = hash_parts(&[&hash.to_le_bytes(), &part.id.to_le_bytes()]);
        tokens += part.tokens;
        chain.push((hash, tokens));
    }
    chain
}

/// Parts that an endpoint was sent lately.
#[derive(Debug, Default)]
pub struct PromptCache {
    tick: u64,
    parts: HashMap<u64, u64>,
}

impl PromptCache {
    /// Tokens of the chain that are probably remembered.
    pub fn remembered(&self, chain: &[(u64, u64)]) -> u64 {
        let known = chain.iter().take_while(|(hash, _)| self.parts.contains_key(hash));
        known.last().map_or(0, |(_, tokens)| *tokens)
    }

    /// The endpoint reads this chain.
    pub fn remember(&mut self, chain: &[(u64, u64)]) {
        self.tick += 1;
        for (hash, _) in chain {
            self.parts.insert(*hash, self.tick);
        }
        if self.parts.len() > PARTS_KEPT {
            // NOTE: half at a time, so that the scan is paid rarely.
            let oldest = self.tick.saturating_sub(PARTS_KEPT as u64 / 4);
            self.parts.retain(|_, tick| *tick >= oldest);
        }
    }
}
