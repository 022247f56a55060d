//! Whether this daemon's configuration may be outdated, so that a route or key that it lacks may
//! exist.
//!
//! Decided by the freshness proof (see `key_freshness`) and by the versions that peers report.
//! Clients treat 404 and 401 as final, so these are sent only if the configuration was the newest
//! within the apply limit and no newer one is known. Otherwise the response tells the client when
//! to retry. Known routes and keys are served regardless, even while the store can't be reached.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Why this daemon's configuration may be outdated.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ConfigurationDoubt {
    /// A peer has reported a newer configuration.
    #[display("newer configuration reported")]
    NewerReported,
    /// The freshness proof is missing or older than the apply limit.
    #[display("no recent freshness proof")]
    NotProven,
}

impl ConfigurationDoubt {
    /// Evaluates the newest proof. `is_lagging`: a peer has reported a newer configuration.
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
