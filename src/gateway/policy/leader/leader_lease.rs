//! Decides when a daemon may acquire the leader lease, when the holder renews it, and until
//! when the holder may act. The native path's planner has a lease of its own
//! (`native::serve::planning::planner`), without a fence: its plans do no harm when two hold it.
//!
//! The lease is an object in the store, written only at the revision that was read; its fence
//! rises with every new holder. Clocks of daemons are never compared: each measures by its own
//! steady clock from the moment at which it called the store, which is before the store
//! responded. The holder acts for `ACTIVE_FRACTION` of the lease after a renewal and gives a call
//! to the cloud up after a second. Others acquire the lease only after they have seen the object
//! unchanged for a whole lease and [`ACQUIRE_MARGIN`], so the two can't overlap.
//!
//! Renewals are also reported by gossip, so that daemons other than the holder read the store
//! only when these reports stop. Gossip never makes a daemon the holder.

use std::{fmt, time::Duration};

use tokio::time::Instant;

use crate::ids::SharedName;

/// Time beyond the lease that others wait before they acquire it.
///
/// Basis: commit 20b0ef5 (journal 20261202T134930): lowered from 1 s, which together with the
/// lease let no daemon acquire it between two kills of all (trouble-3). The holder is silent
/// 3.1 s after its renewal (0.7 of a lease of 3 s and a call of 1 s).
pub const ACQUIRE_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of the lease after which its holder no longer acts without a renewal.
///
/// Basis: chosen, not measured (commit c834c29): leaves the holder's last call its second.
const ACTIVE_FRACTION: f64 = 0.7;
/// Fraction of the lease after which the holder renews it.
///
/// Basis: chosen, not measured (commit 827f7c7): leaves time for a second try while the holder
/// may still act.
const RENEW_FRACTION: f64 = 0.35;
/// Fence of the first holder.
///
/// Basis: 0 means in gossip messages that no lease is known.
const FIRST_FENCE: u64 = 1;

/// What this daemon knows of the lease.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// Fence of the newest holder known.
    pub fence: u64,
    /// Name of that holder.
    pub holder: Option<SharedName>,
    /// Start of its newest renewal known, at the latest.
    pub renewed_at: Option<Instant>,
    /// Whether this daemon is the holder.
    pub own: bool,
}

impl LeaderLease {
    /// Whether this daemon may act as the leader now.
    pub fn may_act(&self, lease: Duration, now: Instant) -> bool {
        let active = lease.mul_f64(ACTIVE_FRACTION);
        let is_active = |at: Instant| now.saturating_duration_since(at) < active;
        self.own && self.renewed_at.is_some_and(is_active)
    }

    /// Applies a peer's report of a renewal that began at `renewed_at` or earlier.
    pub fn observe(&mut self, fence: u64, holder: &SharedName, renewed_at: Instant) {
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

    /// Records a write of this daemon that the store has confirmed.
    pub fn acquire_or_renew(&mut self, fence: u64, holder: SharedName, started_at: Instant) {
        self.fence = fence;
        self.holder = Some(holder);
        self.renewed_at = Some(started_at);
        self.own = true;
    }

    /// Whether no renewal has been reported for so long that the store has to be read.
    pub fn is_silent(&self, lease: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < lease;
        !self.renewed_at.is_some_and(is_recent)
    }
}

/// Whose the lease object in the store is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOwner {
    /// This process: it wrote the object, and the store's response was lost.
    ThisProcess,
    /// An earlier process on this VM. It has ended: this one could not listen at its address
    /// otherwise.
    EarlierProcess,
    /// Another daemon.
    Other,
}

/// The lease object as another than its holder sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// Fence.
    pub fence: u64,
    /// Whose it is.
    pub owner: LeaseOwner,
    /// Whether the holder has released it.
    pub released: bool,
    /// For how long this daemon has seen it unchanged.
    pub unchanged_for: Duration,
}

/// What to do about a lease that this daemon does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// Write it with this fence.
    Acquire {
        /// Fence.
        fence: u64,
    },
    /// Read it again after this time.
    Wait(Duration),
}

/// Whether to acquire the lease; `observed` is none if the store has no readable one.
pub fn decide_acquire(observed: Option<ObservedLease>, lease: Duration) -> AcquireDecision {
    let Some(observed) = observed else {
        return AcquireDecision::Acquire { fence: FIRST_FENCE };
    };
    if observed.owner == LeaseOwner::ThisProcess {
        return AcquireDecision::Acquire { fence: observed.fence };
    }
    let has_ended = observed.released || observed.owner == LeaseOwner::EarlierProcess;
    let wait = if has_ended { Duration::ZERO } else { lease + ACQUIRE_MARGIN };
    match observed.unchanged_for < wait {
        true => AcquireDecision::Wait(wait - observed.unchanged_for),
        false => AcquireDecision::Acquire { fence: observed.fence + 1 },
    }
}

/// What the holder does with its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// Stop acting as the holder.
    Lose(LossReason),
    /// Give it up, so that another may acquire it at once.
    Release,
    /// Renew it before anything else.
    Renew,
    /// It is recent enough.
    Keep,
}

/// What the holder does with a lease that it renewed `age` ago.
pub fn decide_hold(age: Duration, lease: Duration, is_leaving: bool) -> HoldDecision {
    if age > lease {
        // Another daemon may hold it by now.
        return HoldDecision::Lose(LossReason::NotRenewed);
    }
    if is_leaving {
        return HoldDecision::Release;
    }
    match age > lease.mul_f64(RENEW_FRACTION) {
        true => HoldDecision::Renew,
        false => HoldDecision::Keep,
    }
}

/// Why a daemon is no longer the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The record that it goes on from is not known.
    UnknownRecord,
    /// It was not renewed in time.
    NotRenewed,
    /// This daemon is leaving.
    Leaving,
    /// The store shows another holder.
    OtherHolder,
    /// The cloud has refused the fence.
    Fenced,
}

impl fmt::Display for LossReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnknownRecord => "unknown",
            Self::NotRenewed => "not renewed in time",
            Self::Leaving => "leaving",
            Self::OtherHolder => "another holds it",
            Self::Fenced => "fenced",
        })
    }
}
