//! Decides which daemons watch the store, how long a watch waits, and when the store counts as
//! failing.
//!
//! The first daemon of each gossip group (by a hash of its address) watches the store and passes on
//! what it reads, together with freshness proofs: the times at which the store showed no newer
//! configuration. In a fleet of one group the first two do. This way the number of calls doesn't
//! grow with the daemons of a group, and the pauses between reads of the endpoint list grow with
//! the number of watchers. Every other daemon of the group stands in for the first one when the
//! newest proof that it has received is too old. The daemons stand in one after the other at short intervals, so
//! that few call the store where one suffices. A daemon that stands in keeps watching for a while,
//! because whatever cuts the others off from the store may last. It stops early if its own calls
//! fail too, because the first daemons suffice once the store is back for all. A daemon that has
//! received no proof watches the store itself.
//!
//! All times are fractions of the apply limit, within which every daemon has to apply a change. The
//! limit covers the wait of a watch that is lost, the time until other daemons stand in, and the
//! spread of what they read. If none stood in, all daemons would refuse routes that were added
//! while the watchers were cut off.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Watchers in a fleet of one group: when one ends, the other still passes on what it reads.
const SINGLE_GROUP_WATCHERS: usize = 2;
/// How long a watch of the configuration waits, as a fraction of the apply limit. Short enough that
/// a lost watch is detected while others can still stand in.
const WATCH_WAIT: f64 = 0.2;
/// Pause after a change of endpoints, for each watcher of the fleet. Watchers read at different
/// times and pass on what they read, so the fleet as a whole reads this often.
const ENDPOINT_PAUSE_PER_WATCHER: Duration = Duration::from_millis(200);
/// Longest pause after a change of endpoints, which bounds the delay where the other watchers are
/// cut off.
const MAX_ENDPOINT_PAUSE: Duration = Duration::from_millis(1_200);
/// Maximum wait of a watch: allows a few calls within the time for which keys stay fresh.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_800);
/// Age of the newest proof at which the second daemon of a group stands in, as a fraction of the
/// apply limit. The rest of the limit is left for the read of that daemon and for the change to
/// spread.
const STAND_IN_AGE: f64 = 0.7;
/// Added to `STAND_IN_AGE` for each further daemon of the group, so that few read the store at
/// once.
const STAND_IN_STEP: f64 = 0.05;
/// Age of the newest proof at which every daemon stands in, as a fraction of the apply limit. One
/// call still fits into the rest, so that a daemon that is the only one to reach the store reads
/// the change in time.
const MAX_STAND_IN_AGE: f64 = 0.9;
/// How long a daemon that stands in watches the store, as a fraction of the apply limit. Long
/// enough that no daemon has to stand in twice during one outage of the watchers.
const STAND_IN_TIME: f64 = 2.0;
/// How long the store counts as failing after a failed call: more than twice the longest pause
/// between retries.
const FAILING_PERIOD: Duration = Duration::from_secs(2);

/// Number of daemons of each group that always watch the store, in a fleet of `groups` groups.
pub fn watchers_per_group(groups: usize) -> usize {
    if groups <= 1 { SINGLE_GROUP_WATCHERS } else { 1 }
}

/// How long a watch of the configuration waits for a change.
pub fn watch_wait(apply_limit: Duration) -> Duration {
    apply_limit.mul_f64(WATCH_WAIT).min(MAX_WATCH_WAIT)
}

/// Pause of a watcher after a change of endpoints, in a fleet of `groups` groups. Changes often come
/// in bursts; the next call then returns several of them.
pub fn endpoint_pause(groups: usize) -> Duration {
    let watchers = groups.max(1) * watchers_per_group(groups);
    (ENDPOINT_PAUSE_PER_WATCHER * watchers as u32).min(MAX_ENDPOINT_PAUSE)
}

/// Whether a daemon watches the store itself, and why.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreWatch {
    /// It does: it has received no proof.
    #[display("not informed")]
    NotInformed,
    /// It does: it is a watcher of its group.
    #[display("elected")]
    Elected,
    /// It does: the proofs that others pass on are too old, or were so recently.
    #[display("stands in")]
    StandsIn,
    /// It doesn't: others pass on what they read from the store.
    #[display("informed")]
    Informed,
}

impl StoreWatch {
    /// Whether the daemon watches the store itself.
    pub fn watches(self) -> bool {
        self != Self::Informed
    }
}

/// Decides whether this daemon watches the store, and keeps the time until which it stands in.
#[derive(Clone, Copy, Debug)]
pub struct WatcherElection {
    apply_limit: Duration,
    stands_in_until: Option<Instant>,
}

impl WatcherElection {
    /// Creates the election for a fleet whose daemons have to apply a change within `apply_limit`.
    pub fn new(apply_limit: Duration) -> Self {
        Self { apply_limit, stands_in_until: None }
    }

    /// Decides from the newest proof and whether this daemon's own calls to the store fail. `rank`
    /// returns 0 for the watchers of the group, and the place in the order of those that stand in
    /// for the others; it is only called if there is a proof.
    pub fn decide(
        &mut self,
        proof: Option<Instant>,
        rank: impl FnOnce() -> usize,
        store_fails: bool,
        now: Instant,
    ) -> StoreWatch {
        let Some(proof) = proof else { return StoreWatch::NotInformed };
        let Some(stand_in_age) = self.stand_in_age(rank()) else { return StoreWatch::Elected };
        if now.saturating_duration_since(proof) >= stand_in_age {
            let end = now + self.apply_limit.mul_f64(STAND_IN_TIME);
            self.stands_in_until = (!store_fails).then_some(end);
            return StoreWatch::StandsIn;
        }
        match self.stands_in_until {
            Some(until) if now < until => StoreWatch::StandsIn,
            _ => StoreWatch::Informed,
        }
    }

    /// Age of the newest proof at which the daemon of this rank stands in; `None` for rank 0, which
    /// always watches.
    fn stand_in_age(&self, rank: usize) -> Option<Duration> {
        let further = rank.checked_sub(1)?;
        let fraction = (STAND_IN_AGE + STAND_IN_STEP * further as f64).min(MAX_STAND_IN_AGE);
        Some(self.apply_limit.mul_f64(fraction))
    }
}

/// Whether the store counts as failing; `last_failure` is the time of the last failed call.
pub fn is_store_failing(last_failure: Option<Instant>, now: Instant) -> bool {
    last_failure.is_some_and(|at| now.saturating_duration_since(at) < FAILING_PERIOD)
}
