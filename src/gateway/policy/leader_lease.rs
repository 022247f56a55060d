//! The lease of the duties: one daemon at a time reports usage and orders endpoints.
//!
//! The lease is an object in the store, renewed by conditional writes; its fence rises with
//! every new holder. The holder stops by its own steady clock before any other may start.
//! Others start only when they have seen the object unchanged for longer than a lease, by
//! answers that were asked for after that time.

use std::time::Duration;

use tokio::time::Instant;

use crate::ids::SharedName;

/// Margin beyond the lease that others wait. The holder begins nothing after 0.7 of
/// the lease, and gives a call up after a second: it is silent well before.
pub const TAKE_MARGIN: Duration = Duration::from_millis(400);
/// Part of the lease after which its holder acts no more without a renewal.
const HOLD_PART: f64 = 0.7;

/// What is known of the lease.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// Fence of the newest holder known.
    pub fence: u64,
    /// Name of that holder.
    pub holder: Option<SharedName>,
    /// When its newest renewal known was begun, at the latest.
    pub renewed_at: Option<Instant>,
    /// Whether this daemon is the holder.
    pub own: bool,
}

impl LeaderLease {
    /// Whether this daemon may act in the duties now.
    pub fn may_act(&self, lease: Duration, now: Instant) -> bool {
        let held = |at: Instant| now.saturating_duration_since(at) < lease.mul_f64(HOLD_PART);
        self.own && self.renewed_at.is_some_and(held)
    }

    /// Takes word of a renewal that was begun at `renewed_at` or earlier.
    pub fn hear(&mut self, fence: u64, holder: &SharedName, renewed_at: Instant) {
        let newer = fence > self.fence
            || (fence == self.fence && self.renewed_at.is_none_or(|known| known < renewed_at));
        if !newer {
            return;
        }
        if fence > self.fence {
            self.own = false;
        }
        self.fence = fence;
        self.holder = Some(holder.clone());
        if !self.own {
            self.renewed_at = Some(renewed_at);
        }
    }

    /// Whether no renewal has been heard of for so long that a look at the store is due.
    pub fn is_silent(&self, lease: Duration, now: Instant) -> bool {
        let heard = |at: Instant| now.saturating_duration_since(at) < lease;
        !self.renewed_at.is_some_and(heard)
    }
}
