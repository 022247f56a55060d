//! Estimates which parts of prompts an endpoint has cached.
//!
//! Engines cache prompt prefixes. The estimate uses only the prompts that this daemon has sent
//! recently: those of other daemons, and what the engine evicts, are not known.

use std::collections::HashMap;

use crate::{gateway::call::PromptPart, ids::hash_parts};

/// Parts remembered for each endpoint: some tens of kilobytes.
const PARTS_KEPT: usize = 1_024;
/// Newest prompts whose parts are kept when the map is full. All older parts are dropped at once,
/// so that the scan is rare.
const PROMPTS_KEPT: u64 = PARTS_KEPT as u64 / 4;

/// End of one part within a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PartEnd {
    /// Hash of the prompt up to here.
    pub hash: u64,
    /// Tokens of the prompt up to here.
    pub tokens: u64,
}

/// The ends of a prompt's parts, in order.
pub fn part_chain(parts: &[PromptPart]) -> Vec<PartEnd> {
    let mut chain = Vec::with_capacity(parts.len());
    let mut end = PartEnd { hash: 0, tokens: 0 };
    for part in parts {
        end.hash = hash_parts(&[&end.hash.to_le_bytes(), &part.id.to_le_bytes()]);
        end.tokens += part.tokens;
        chain.push(end);
    }
    chain
}

/// Prompt parts that this daemon has recently sent to an endpoint.
#[derive(Debug, Default)]
pub struct PromptCache {
    /// Number of the newest prompt.
    newest: u64,
    /// Newest prompt that used a part, by the hash at the end of the part.
    used_by: HashMap<u64, u64>,
}

impl PromptCache {
    /// Length in tokens of the prompt's prefix that is probably cached.
    pub fn remembered(&self, chain: &[PartEnd]) -> u64 {
        let known = chain.iter().take_while(|end| self.used_by.contains_key(&end.hash));
        known.last().map_or(0, |end| end.tokens)
    }

    /// Records a prompt that was sent to the endpoint.
    pub fn remember(&mut self, chain: &[PartEnd]) {
        self.newest += 1;
        for end in chain {
            self.used_by.insert(end.hash, self.newest);
        }
        if self.used_by.len() > PARTS_KEPT {
            let oldest = self.newest.saturating_sub(PROMPTS_KEPT);
            self.used_by.retain(|_, prompt| *prompt >= oldest);
        }
    }
}
