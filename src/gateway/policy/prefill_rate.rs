//! How fast a service's endpoints read prompts, learnt from the first events of streams.

use std::time::Duration;

/// Prompt tokens that an engine reads in a millisecond, until it is known better.
pub const DEFAULT_PREFILL_RATE: f64 = 40.0;
/// Shortest prompt that says something of the rate.
const LEAST_TOKENS: u64 = 1_500;
/// Time that passes before and after the reading, in milliseconds.
const OVERHEAD_MS: f64 = 45.0;
/// Weight of one sample.
const WEIGHT: f64 = 0.08;
/// Bounds of the rate, in tokens a millisecond.
const BOUNDS: (f64, f64) = (2.0, 2_000.0);

/// Rate of one service, in tokens a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    /// Tokens read in a millisecond.
    pub tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_ms: DEFAULT_PREFILL_RATE }
    }
}

impl PrefillRate {
    /// A prompt of `uncached` tokens, alone at its endpoint, took this long.
    pub fn learn(&mut self, uncached: u64, taken: Duration) {
        if uncached < LEAST_TOKENS {
            return;
        }
        let reading = (taken.as_secs_f64() * 1e3 - OVERHEAD_MS).max(1.0);
        let sample = (uncached as f64 / reading).clamp(BOUNDS.0, BOUNDS.1);
        // NOTE: by factors, so that one prompt that was remembered after all counts little.
        let step = (sample / self.tokens_per_ms).clamp(0.5, 2.0).ln() * WEIGHT;
        self.tokens_per_ms *= step.exp();
    }
}
