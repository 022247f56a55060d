//! Prefill rate of a service's endpoints, learnt from the time to the first event of streams
//! whose prompt was alone at its endpoint.
//!
//! Each daemon learns for itself, beginning with the default at each start.

use std::time::Duration;

/// Tokens a millisecond assumed before anything is learnt.
pub const DEFAULT_PREFILL_RATE: f64 = 40.0;
/// Fewest uncached tokens from which a rate is learnt: for shorter prompts the overhead outweighs the
/// prefill.
const MIN_TOKENS: u64 = 1_500;
/// Time to the first event besides prefill, in milliseconds: sending, queueing and the first token.
const OVERHEAD_MS: f64 = 45.0;
/// Weight of one sample: about a dozen move the rate to a new value.
const SAMPLE_WEIGHT: f64 = 0.08;
/// Bounds of one sample's rate, in tokens a millisecond, against mistaken samples.
const SAMPLE_BOUNDS: (f64, f64) = (2.0, 2_000.0);
/// Bounds of the factor by which a sample may differ from the rate: one prompt that was cached after
/// all then counts little.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Least time taken as prefill, in milliseconds: keeps the rate finite.
const MIN_PREFILL_MS: f64 = 1.0;

/// Rate of one service, in tokens a millisecond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    /// Tokens a millisecond.
    pub tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_ms: DEFAULT_PREFILL_RATE }
    }
}

impl PrefillRate {
    /// The first event of a prompt of `uncached` tokens, alone at its endpoint, took this long.
    pub fn learn(&mut self, uncached: u64, taken: Duration) {
        if uncached < MIN_TOKENS {
            return;
        }
        let prefill_ms = (taken.as_secs_f64() * 1e3 - OVERHEAD_MS).max(MIN_PREFILL_MS);
        let sample = (uncached as f64 / prefill_ms).clamp(SAMPLE_BOUNDS.0, SAMPLE_BOUNDS.1);
        let factor = (sample / self.tokens_per_ms).clamp(FACTOR_BOUNDS.0, FACTOR_BOUNDS.1);
        self.tokens_per_ms *= (factor.ln() * SAMPLE_WEIGHT).exp();
    }
}
