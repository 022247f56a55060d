//! Prefill rate of a service's endpoints, estimated from the time to the first event of streams
//! whose prompt was the only one at its endpoint.
//!
//! Each daemon makes its own estimate, which starts from the default when the daemon starts.

use std::time::Duration;

/// Tokens per millisecond, assumed before the first sample.
pub const DEFAULT_PREFILL_RATE: f64 = 40.0;
/// Fewest uncached tokens of a sample: for shorter prompts the overhead outweighs the prefill.
const MIN_TOKENS: u64 = 1_500;
/// Time to the first event besides prefill, in milliseconds: sending, queueing and the first token.
const OVERHEAD_MS: f64 = 45.0;
/// Weight of one sample: the estimate follows a new rate within about a dozen samples.
const SAMPLE_WEIGHT: f64 = 0.08;
/// Bounds of one sample's rate, in tokens per millisecond, against wrong samples.
const SAMPLE_BOUNDS: (f64, f64) = (2.0, 2_000.0);
/// Bounds of the ratio of a sample to the estimate: limits the effect of a prompt that was cached
/// although it was not expected to be.
const FACTOR_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Shortest prefill time of a sample, in milliseconds: keeps the rate finite.
const MIN_PREFILL_MS: f64 = 1.0;

/// Prefill rate of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PrefillRate {
    /// Tokens per millisecond.
    pub tokens_per_ms: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        Self { tokens_per_ms: DEFAULT_PREFILL_RATE }
    }
}

impl PrefillRate {
    /// Adds a sample: `taken` is the time to the first event of a prompt with `uncached` uncached
    /// tokens that was the only one at its endpoint.
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
