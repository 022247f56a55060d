//! Decides whether this daemon is in contact with the rest of the fleet.
//!
//! Gossip shows which daemons there are, but not that there are no others: a daemon whose seeds have all ended,
//! or that is partitioned from its peers, finds nobody. What all daemons have in common is the leader lease in
//! the store. Gossip passes on the renewals of its holder. A daemon to which they arrive is in contact with the
//! holder; one that reads newer renewals in the store than gossip reports is separated from it.
//!
//! Inputs are the newest renewal known by gossip and those read in the store. Without a store there is no news of
//! a holder, and nothing is concluded from that.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Renewals that were read in the store count as not reported by gossip after this time. Gossip needs less.
const MIN_SEPARATION: Duration = Duration::from_secs(1);
/// A new holder counts on being known to the other daemons after this many lease durations: each of them has
/// read the record by then and has called the holder.
const SETTLING_LEASES: u32 = 2;

/// Number of a renewal of the lease among those of all holders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct RenewalNumber {
    /// Fence of the holder.
    pub fence: u64,
    /// Number among the renewals of this holder.
    pub renewals: u64,
}

/// The lease as known by gossip, or to its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeardLease {
    /// Whether this daemon is the holder.
    pub is_own: bool,
    /// Newest renewal.
    pub renewal: RenewalNumber,
    /// Whether no renewal was reported for the lease duration.
    pub is_overdue: bool,
}

/// Contact of a daemon with the rest of the fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum FleetContact {
    /// It holds the lease, and the others have had time to find it.
    #[display("leads")]
    Leads,
    /// Gossip reports the renewals of the holder.
    #[display("joined")]
    Joined,
    /// No renewals are reported, and none have been read.
    #[display("no holder known")]
    NoHolder,
    /// Another daemon renews the lease, but gossip doesn't report it.
    #[display("separated")]
    Separated,
}

/// Whether a daemon that hears `heard` daemons, itself included, may need other seeds to find the fleet.
pub fn needs_seeds(contact: FleetContact, heard: usize) -> bool {
    heard <= 1 || contact == FleetContact::Separated
}

/// A renewal that was read in the store.
#[derive(Clone, Copy, Debug)]
struct ReadRenewal {
    number: RenewalNumber,
    read_at: Instant,
}

/// What this daemon has seen of the holder.
#[derive(Clone, Copy, Debug, Default)]
pub struct ContactMonitor {
    holds_since: Option<Instant>,
    first_unheard: Option<ReadRenewal>,
    is_separated: bool,
}

impl ContactMonitor {
    /// Records a renewal by another daemon that was read in the store.
    pub fn read(&mut self, number: RenewalNumber, heard: HeardLease, now: Instant) {
        if heard.is_own || number <= heard.renewal {
            return;
        }
        let first = *self.first_unheard.get_or_insert(ReadRenewal { number, read_at: now });
        let time = now.saturating_duration_since(first.read_at);
        self.is_separated |= number > first.number && time >= MIN_SEPARATION;
    }

    /// Contact at `now`. Called regularly, so that the time of a new lease is known.
    pub fn evaluate(
        &mut self,
        heard: HeardLease,
        lease_duration: Duration,
        now: Instant,
    ) -> FleetContact {
        if self.first_unheard.is_some_and(|first| heard.is_own || heard.renewal >= first.number) {
            self.first_unheard = None;
            self.is_separated = false;
        }
        if heard.is_own {
            let since = *self.holds_since.get_or_insert(now);
            let has_settled =
                now.saturating_duration_since(since) >= lease_duration * SETTLING_LEASES;
            return if has_settled { FleetContact::Leads } else { FleetContact::NoHolder };
        }
        self.holds_since = None;
        match (self.is_separated, heard.is_overdue) {
            (true, _) => FleetContact::Separated,
            (false, false) => FleetContact::Joined,
            (false, true) => FleetContact::NoHolder,
        }
    }
}
