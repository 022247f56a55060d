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
//! A record that another writer has spoilt or removed is replaced like one that is no longer
//! renewed, with a fence above all former ones. Of a removed one the fence is known by gossip only.
//!
//! A store that was restored from a copy may show the record of a former holder, an older renewal, or
//! none. Whoever held the lease last may still act, so that such a record counts as lost, whatever
//! it says: others wait the whole time from when they first see it. Each era of the store has fences
//! of its own, above those of all earlier eras, so that none that was lost is used again, even if
//! no daemon remembers it. The holder itself goes on, over the copy, if its lease has not run out.
//!
//! Renewals are also reported by gossip, so that daemons other than the holder read the store
//! only when these reports stop. If the object then still holds the renewal that was reported
//! last, it has been unchanged since that renewal began, and the wait counts from there.
//! Gossip never makes a daemon the holder.

use std::{fmt, time::Duration};

use tokio::time::Instant;

use crate::{
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

/// Time beyond the lease that others wait before they acquire it: the holder's last call is over by
/// then.
pub const ACQUIRE_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of the lease after which its holder no longer acts without a renewal: leaves the
/// holder's last call its second.
const ACTIVE_FRACTION: f64 = 0.7;
/// Fraction of the lease after which the holder renews it: leaves time for a second try while the
/// holder may still act.
const RENEW_FRACTION: f64 = 0.35;
/// Fence of the first holder: 0 means in gossip messages that no lease is known.
const FIRST_FENCE: u64 = 1;
/// Fences of one era of the store: more than the writes in an era, each of which may raise the fence.
const FENCES_AN_ERA: u64 = 1 << 32;

/// Lowest fence that a new holder in this era may use.
pub fn first_fence(era: StoreEra) -> u64 {
    era.0.saturating_mul(FENCES_AN_ERA).saturating_add(FIRST_FENCE)
}

/// What this daemon knows of the lease.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// Fence of the newest holder known.
    pub fence: u64,
    /// Name of that holder.
    pub holder: Option<SharedName>,
    /// Number of its newest renewal known.
    pub renewals: u64,
    /// Start of that renewal, at the latest.
    pub renewed_at: Option<Instant>,
    /// Whether this daemon is the holder.
    pub own: bool,
    /// First usage window that no holder has reported yet; 0 if not known.
    pub next_window: u64,
}

/// A renewal of the lease.
#[derive(Clone, Debug)]
pub struct LeaseRenewal {
    /// Fence of the holder.
    pub fence: u64,
    /// Number of the renewal among those of this holder.
    pub renewals: u64,
    /// Name of the holder.
    pub holder: SharedName,
    /// Start of the renewal, at the latest.
    pub renewed_at: Instant,
}

impl LeaderLease {
    /// Whether this daemon may act as the leader now.
    pub fn may_act(&self, lease: Duration, now: Instant) -> bool {
        let active = lease.mul_f64(ACTIVE_FRACTION);
        let is_active = |at: Instant| now.saturating_duration_since(at) < active;
        self.own && self.renewed_at.is_some_and(is_active)
    }

    /// Applies a peer's report of a renewal. Messages that were late make a renewal look
    /// younger, so of two reports of the same renewal the earlier start is the better one.
    pub fn observe(&mut self, renewal: LeaseRenewal) {
        let known = (self.fence, self.renewals);
        let reported = (renewal.fence, renewal.renewals);
        if renewal.fence > self.fence {
            self.own = false;
        }
        if self.own || reported < known {
            return;
        }
        let known_start = self.renewed_at.filter(|_| reported == known);
        let renewed_at = known_start.map_or(renewal.renewed_at, |at| at.min(renewal.renewed_at));
        self.set(LeaseRenewal { renewed_at, ..renewal });
    }

    /// Records a renewal of this daemon that the store has confirmed.
    pub fn acquire_or_renew(&mut self, renewal: LeaseRenewal) {
        self.set(renewal);
        self.own = true;
    }

    /// Notes that a usage window is reported, so that it is not reported again.
    pub fn mark_reported(&mut self, window: u64) {
        self.advance_next_window(window.saturating_add(1));
    }

    /// Notes that all windows before this one have been reported.
    pub fn advance_next_window(&mut self, window: u64) {
        self.next_window = self.next_window.max(window);
    }

    fn set(&mut self, renewal: LeaseRenewal) {
        self.fence = renewal.fence;
        self.renewals = renewal.renewals;
        self.holder = Some(renewal.holder);
        self.renewed_at = Some(renewal.renewed_at);
    }

    /// When another's renewal began, at the latest, if it is the newest one known.
    pub fn renewal_start(&self, fence: u64, renewals: u64) -> Option<Instant> {
        let is_newest = !self.own && fence == self.fence && renewals == self.renewals;
        self.renewed_at.filter(|_| is_newest)
    }

    /// Whether no renewal has been reported for so long that the store has to be read.
    pub fn is_renewal_overdue(&self, lease: Duration, now: Instant) -> bool {
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

impl ObservedLease {
    /// A lease whose record is spoilt or gone. Its holder can't renew it any more, and acts until its
    /// last renewal is too old.
    pub fn of_lost_record(fence: u64, unchanged_for: Duration) -> Self {
        Self { fence, owner: LeaseOwner::Other, released: false, unchanged_for }
    }
}

/// Fence of a lease whose record is spoilt: none that was ever used is higher. Each fence took a write
/// of its own in its era, and each write raises the store's revision.
pub fn highest_possible_fence(known: u64, position: StorePosition) -> u64 {
    known.max(first_fence(position.era()).saturating_add(position.revision()))
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

/// Whether to acquire the lease, while the store is in `era`; `observed` is none if there never was
/// one, as far as known.
pub fn decide_acquire(
    observed: Option<ObservedLease>,
    lease: Duration,
    era: StoreEra,
) -> AcquireDecision {
    let Some(observed) = observed else {
        return AcquireDecision::Acquire { fence: first_fence(era) };
    };
    if observed.owner == LeaseOwner::ThisProcess {
        return AcquireDecision::Acquire { fence: observed.fence };
    }
    let has_ended = observed.released || observed.owner == LeaseOwner::EarlierProcess;
    let wait = if has_ended { Duration::ZERO } else { lease + ACQUIRE_MARGIN };
    match observed.unchanged_for < wait {
        true => AcquireDecision::Wait(wait - observed.unchanged_for),
        false => {
            let fence = observed.fence.saturating_add(1).max(first_fence(era));
            AcquireDecision::Acquire { fence }
        }
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
    /// The store was restored from a copy before it took the renewal.
    StoreLost,
}

impl fmt::Display for LossReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::UnknownRecord => "unknown",
            Self::NotRenewed => "not renewed in time",
            Self::Leaving => "leaving",
            Self::OtherHolder => "another holds it",
            Self::Fenced => "fenced",
            Self::StoreLost => "store restored from a copy",
        })
    }
}
