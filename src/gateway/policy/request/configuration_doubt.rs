//! Whether the configuration held may not be the newest, so that a route or key that it lacks may
//! exist.
//!
//! Decided from the freshness proof (see `key_freshness`) and from what peers have reported. Clients
//! take 404 and 401 for final. They are sent only by a configuration that was the newest within the
//! apply limit, and while no newer one is known; otherwise the client is told when to retry. Routes
//! and keys that are known are served by it all the same, also while the store can't be reached.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Why the configuration held may not be the newest.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationDoubt {
    /// A peer has reported a newer one.
    #[display("newer configuration reported")]
    NewerReported,
    /// The freshness proof is older than the apply limit, or there is none.
    #[display("no recent freshness proof")]
    NotProven,
}

impl ConfigurationDoubt {
    /// Judges the newest proof, and whether a peer has reported a newer configuration.
    pub fn evaluate(
        proof: Option<Instant>,
        is_lagging: bool,
        apply_limit: Duration,
        now: Instant,
    ) -> Option<Self> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < apply_limit;
        match proof {
            _ if is_lagging => Some(Self::NewerReported),
            Some(at) if is_recent(at) => None,
            _ => Some(Self::NotProven),
        }
    }
}
