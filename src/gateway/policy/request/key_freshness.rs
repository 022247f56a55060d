//! Whether the keys of the configuration may be used to admit requests.
//!
//! A key may have been revoked in a version that this daemon has not seen. Its configuration
//! is known to be the newest as of a freshness proof: the moment at which the store was asked,
//! by this daemon or by a peer, before it answered with the revision held. A proof older than
//! the deployment allows, or none at all, makes the keys unusable until a newer one comes.

use std::time::Duration;

use tokio::time::Instant;

/// Part of the allowed age that is not used, so that a request admitted just in time is also
/// dispatched in time: covers the way from this check to the endpoint.
const SAFETY_MARGIN: Duration = Duration::from_millis(300);

/// Whether keys may be used, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFreshness {
    /// The deployment allows keys of any age.
    NotRequired,
    /// The proof is young enough.
    Fresh,
    /// The proof is too old.
    Stale,
    /// There has been no proof since the start.
    Unproven,
}

impl KeyFreshness {
    /// Judges a proof by the greatest age that the deployment allows, none for any age.
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
