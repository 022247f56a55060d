//! Decides when a daemon may acquire the leader lease, when the holder renews it, and until when
//! the holder may act. The native path's planner has its own lease
//! (`native::serve::planning::planner`), without a fence: its plans do no harm if two daemons hold
//! it.
//!
//! The lease is an object in the store, written only at the revision that was read; its fence
//! (fencing token) rises with every new holder. Clocks of daemons are never compared: each daemon
//! measures with its own monotonic clock from the start of its call to the store, which is before
//! the store's response. The holder acts for `ACTIVE_FRACTION` of the lease duration after a
//! renewal, and its calls to the cloud time out after a second, at the latest when the lease ends.
//! Others acquire the lease only after they have seen the object unchanged for the lease duration
//! and [`ACQUIRE_MARGIN`], so two holders can't act at the same time.
//!
//! A record that another writer has corrupted or removed is replaced like one that is no longer
//! renewed, with a fence above all former ones. The fence of a removed record is known by gossip
//! only.
//!
//! A store that was restored from a copy may have the record of a former holder, an older renewal,
//! or no record. The last holder may still act, so such a record counts as lost, whatever its
//! content: others wait the lease duration and the margin from when they first see it. Each era of
//! the store has its own range of fences, above those of all earlier eras, so that a lost fence is
//! never used again, even if no daemon remembers it. The holder itself continues and overwrites the
//! restored record, if its lease has not run out.
//!
//! Renewals are also reported by gossip, so that daemons other than the holder read the store only
//! when these reports stop. If the object then still has the renewal that was reported last, it has
//! been unchanged since the start of that renewal, and the wait counts from there. Gossip never
//! makes a daemon the holder.

use std::{fmt, time::Duration};

use tokio::time::Instant;

use crate::{
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

/// Time that others wait in addition to the lease duration before they acquire it: the holder's
/// last call has ended by then, by a reset if it had no response (`http::connector`).
pub const ACQUIRE_MARGIN: Duration = Duration::from_millis(400);
/// Fraction of the lease duration after which its holder no longer acts without a renewal: leaves a
/// second for the holder's last call.
const ACTIVE_FRACTION: f64 = 0.7;
/// Fraction of the lease duration after which the holder renews it: leaves time for a second
/// attempt while the holder may still act.
const RENEW_FRACTION: f64 = 0.35;
/// Fence of the first holder: 0 means in gossip messages that no lease is known.
const FIRST_FENCE: u64 = 1;
/// Fences per era of the store: more than the writes in an era, each of which may raise the fence.
const FENCES_PER_ERA: u64 = 1 << 32;

/// Pause of the holder after a failed call: allows a few attempts within the time that it may act
/// without a renewal.
const HOLDER_PAUSE: Duration = Duration::from_millis(150);
/// Pause of another daemon for each known daemon: while the store fails and nobody renews the lease,
/// all daemons try to acquire it.
const CANDIDATE_PAUSE_PER_DAEMON: Duration = Duration::from_millis(15);
/// Longest pause of another daemon: it may be the only one that reaches the store.
const MAX_CANDIDATE_PAUSE: Duration = Duration::from_secs(2);

/// Pause after a failed call for the lease in a fleet of `daemons` daemons. The fleet as a whole
/// tries equally often, whatever its size.
pub fn attempt_pause(is_holder: bool, daemons: usize) -> Duration {
    if is_holder {
        return HOLDER_PAUSE;
    }
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    let pause = CANDIDATE_PAUSE_PER_DAEMON.saturating_mul(daemons);
    pause.clamp(HOLDER_PAUSE, MAX_CANDIDATE_PAUSE)
}

/// Lowest fence that a new holder in this era may use.
pub fn first_fence(era: StoreEra) -> u64 {
    era.0.saturating_mul(FENCES_PER_ERA).saturating_add(FIRST_FENCE)
}

/// State of the lease as known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct LeaderLease {
    /// Fence of the newest known holder.
    pub fence: u64,
    /// Name of that holder.
    pub holder: Option<SharedName>,
    /// Number of its newest known renewal.
    pub renewals: u64,
    /// Upper bound of the start of that renewal.
    pub renewed_at: Option<Instant>,
    /// Whether this daemon is the holder.
    pub own: bool,
    /// First usage window that no holder has reported to the cloud yet; 0 if not known.
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
    /// Upper bound of the start of the renewal.
    pub renewed_at: Instant,
}

impl LeaderLease {
    /// Whether this daemon may act as the leader now.
    pub fn may_act(&self, lease_duration: Duration, now: Instant) -> bool {
        let active = lease_duration.mul_f64(ACTIVE_FRACTION);
        let is_active = |at: Instant| now.saturating_duration_since(at) < active;
        self.own && self.renewed_at.is_some_and(is_active)
    }

    /// Applies a peer's report of a renewal. Delayed messages make a renewal look newer than it is,
    /// so of two reports of the same renewal the earlier start is kept.
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

    /// Records a renewal by this daemon that the store has confirmed.
    pub fn acquire_or_renew(&mut self, renewal: LeaseRenewal) {
        self.set(renewal);
        self.own = true;
    }

    /// Records that a usage window was reported, so that it is not reported again.
    pub fn mark_reported(&mut self, window: u64) {
        self.advance_next_window(window.saturating_add(1));
    }

    /// Records that all windows before this one were reported.
    pub fn advance_next_window(&mut self, window: u64) {
        self.next_window = self.next_window.max(window);
    }

    fn set(&mut self, renewal: LeaseRenewal) {
        self.fence = renewal.fence;
        self.renewals = renewal.renewals;
        self.holder = Some(renewal.holder);
        self.renewed_at = Some(renewal.renewed_at);
    }

    /// Upper bound of the start of another daemon's renewal, if it is the newest one known.
    pub fn renewal_start(&self, fence: u64, renewals: u64) -> Option<Instant> {
        let is_newest = !self.own && fence == self.fence && renewals == self.renewals;
        self.renewed_at.filter(|_| is_newest)
    }

    /// Whether the store has to be read, because no renewal was reported for the lease duration.
    pub fn is_renewal_overdue(&self, lease_duration: Duration, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < lease_duration;
        !self.renewed_at.is_some_and(is_recent)
    }
}

/// Owner of the lease object in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseOwner {
    /// This process: it wrote the object, but the store's response was lost.
    ThisProcess,
    /// An earlier process on this VM. It has ended, since otherwise this one could not listen at
    /// its address.
    EarlierProcess,
    /// Another daemon.
    Other,
}

/// The lease object as seen by a daemon that does not hold the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedLease {
    /// Fence.
    pub fence: u64,
    /// Owner.
    pub owner: LeaseOwner,
    /// Whether the holder has released it.
    pub released: bool,
    /// Time for which this daemon has seen it unchanged.
    pub unchanged_for: Duration,
}

impl ObservedLease {
    /// A lease whose record is corrupt, missing or older than a renewal that the store has lost.
    /// Its last holder may act until its last renewal is too old.
    pub fn without_valid_record(fence: u64, unchanged_for: Duration) -> Self {
        Self { fence, owner: LeaseOwner::Other, released: false, unchanged_for }
    }
}

/// Returns an upper bound of all fences used so far, for a lease whose record is corrupt. It holds
/// because each fence took its own write in its era, and each write raises the store's revision.
pub fn highest_possible_fence(known: u64, position: StorePosition) -> u64 {
    known.max(first_fence(position.era()).saturating_add(position.revision()))
}

/// Decision about a lease that this daemon does not hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcquireDecision {
    /// Write it with a new fence.
    Acquire {
        /// The new fence.
        fence: u64,
    },
    /// Read it again after this delay.
    Wait(Duration),
}

/// Decides whether to acquire the lease while the store is in `era`. `observed` is none if no lease
/// is known to have existed.
pub fn decide_acquire(
    observed: Option<ObservedLease>,
    lease_duration: Duration,
    era: StoreEra,
) -> AcquireDecision {
    let Some(observed) = observed else {
        return AcquireDecision::Acquire { fence: first_fence(era) };
    };
    if observed.owner == LeaseOwner::ThisProcess {
        return AcquireDecision::Acquire { fence: observed.fence };
    }
    let has_ended = observed.released || observed.owner == LeaseOwner::EarlierProcess;
    let wait = if has_ended { Duration::ZERO } else { lease_duration + ACQUIRE_MARGIN };
    match observed.unchanged_for < wait {
        true => AcquireDecision::Wait(wait - observed.unchanged_for),
        false => {
            let fence = observed.fence.saturating_add(1).max(first_fence(era));
            AcquireDecision::Acquire { fence }
        }
    }
}

/// Decision of the holder about its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldDecision {
    /// Stop acting as the holder.
    Lose(LossReason),
    /// Release it, so that another daemon may acquire it immediately.
    Release,
    /// Renew it now.
    Renew,
    /// Keep it; the last renewal is recent enough.
    Keep,
}

/// Decides what the holder does with a lease that it renewed `age` ago.
pub fn decide_hold(age: Duration, lease_duration: Duration, is_leaving: bool) -> HoldDecision {
    if age > lease_duration {
        // Another daemon may hold it by now.
        return HoldDecision::Lose(LossReason::NotRenewed);
    }
    if is_leaving {
        return HoldDecision::Release;
    }
    match age > lease_duration.mul_f64(RENEW_FRACTION) {
        true => HoldDecision::Renew,
        false => HoldDecision::Keep,
    }
}

/// Why a daemon is no longer the holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The record that the renewal would have to replace is not known.
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
            Self::UnknownRecord => "record not known",
            Self::NotRenewed => "not renewed in time",
            Self::Leaving => "leaving",
            Self::OtherHolder => "another daemon holds it",
            Self::Fenced => "fenced",
            Self::StoreLost => "store restored from a copy",
        })
    }
}
