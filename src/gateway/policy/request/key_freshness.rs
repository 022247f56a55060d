//! Whether the keys of the configuration may be used to admit requests.
//!
//! A key may have been revoked in a configuration version that this daemon has not seen. The
//! freshness proof is the time at which this daemon or a peer sent the newest query to the store
//! that returned the revision held here: at that time the configuration was the newest. While the
//! proof is missing or older than the deployment allows, the keys must not be used.

use std::time::Duration;

use tokio::time::Instant;

/// Subtracted from the allowed age: covers the time from this check until the request reaches the
/// endpoint, so that a request admitted at the last moment is still dispatched in time.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// Whether the configuration is recent enough for its keys to be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFreshness {
    /// The deployment allows keys of any age.
    NotRequired,
    /// The proof is recent enough.
    Fresh,
    /// The proof is too old.
    Stale,
    /// The daemon has had no proof since it started.
    Unproven,
}

impl KeyFreshness {
    /// Compares a proof's age with the greatest age that the deployment allows; `None` allows any
    /// age.
    pub fn evaluate(proof: Option<Instant>, max_age: Option<Duration>, now: Instant) -> Self {
        let Some(max_age) = max_age else { return Self::NotRequired };
        let max_age = max_age.saturating_sub(SAFETY_MARGIN);
        match proof {
            None => Self::Unproven,
            Some(at) if now.saturating_duration_since(at) < max_age => Self::Fresh,
            Some(_) => Self::Stale,
        }
    }

    /// Whether keys may be used.
    pub fn allows_keys(self) -> bool {
        matches!(self, Self::NotRequired | Self::Fresh)
    }
}
