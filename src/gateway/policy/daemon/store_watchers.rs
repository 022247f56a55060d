//! Which daemons watch the store, and when the store counts as failing.
//!
//! In a fleet of several gossip groups the elected watchers of each group watch the store and
//! pass on what they read, with freshness proofs; the number of calls then doesn't grow with
//! the fleet. A daemon whose newest proof is old, or that has none, watches the store itself,
//! so a silent watcher is replaced by everyone who depended on it.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Proofs younger than this show that the watchers still report.
/// Basis: chosen, not measured: watchers renew proofs every second (commit aa7efa9); four
/// renewals, and still below the five seconds that a deployment allows keys by default.
const MAX_REPORTED_AGE: Duration = Duration::from_secs(4);
/// The store counts as failing for this long after a failed call.
/// Basis: chosen, not measured: more than twice the longest pause between retries.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

/// Whether a daemon watches the store itself, and why.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreWatch {
    /// It does: nobody has passed on a recent proof.
    #[display("not informed")]
    NotInformed,
    /// It does: it is a watcher of its group.
    #[display("elected")]
    Elected,
    /// It doesn't: others pass on what they read.
    #[display("informed")]
    Informed,
}

impl StoreWatch {
    /// Decides by the newest proof; `is_elected` is only asked where that is recent.
    pub fn decide(proof: Option<Instant>, is_elected: impl FnOnce() -> bool, now: Instant) -> Self {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MAX_REPORTED_AGE;
        match proof {
            Some(at) if is_recent(at) => {
                if is_elected() {
                    Self::Elected
                } else {
                    Self::Informed
                }
            }
            _ => Self::NotInformed,
        }
    }

    /// Whether the daemon watches the store itself.
    pub fn watches(self) -> bool {
        self != Self::Informed
    }
}

/// Whether the store counts as failing, after its last failed call.
pub fn is_store_failing(last_failure: Option<Instant>, now: Instant) -> bool {
    last_failure.is_some_and(|at| now.saturating_duration_since(at) < FAILURE_MEMORY)
}
