//! Which daemons watch the store, how long a watch waits, and when the store counts as failing.
//!
//! In a fleet of several gossip groups the first daemon of each group, by a hash of its address,
//! watches the store and passes on what it reads, with freshness proofs; the number of calls then
//! doesn't grow with the fleet. Each further daemon of the group stands in for it once the
//! newest proof that has reached it is too old: the second first, the others a little later each, so
//! that few call where one suffices. A daemon that stands in watches on for a while, since what has
//! kept the others from the store may last; but not if its own calls fail too: when the store is back
//! for all, the first daemons suffice. Without any proof every daemon watches the store.
//!
//! All times are fractions of the apply limit, within which every daemon has to apply a change. It
//! includes the wait of a watch that is lost, the time until others stand in, and the spread of
//! what they read. Without others that stand in, all daemons would refuse routes that were added while
//! the watchers were cut off.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Time that a watch of the configuration waits in a fleet of one group, where every daemon watches
/// the store; as a fraction of the apply limit. A lost watch is then noticed while others can
/// still stand in.
const SINGLE_GROUP_WAIT: f64 = 0.5;
/// The same in a fleet of several groups. Few daemons watch there, so shorter waits cost little.
const GROUPS_WAIT: f64 = 0.2;
/// Longest wait of a watch: a few calls within the time for which keys stay fresh.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_800);
/// Age of the newest proof at which the second daemon of a group stands in, as a fraction of the
/// apply limit: the rest of the limit is left for another daemon's read and for the change to
/// spread.
const STAND_IN_AGE: f64 = 0.7;
/// How much older the proof is at each further daemon before it stands in too, likewise: few
/// then read the store at once.
const STAND_IN_STEP: f64 = 0.05;
/// Age of the newest proof at which every daemon stands in, likewise: one call still fits into the
/// rest, so that a daemon that alone reaches the store has the change in time.
const MAX_STAND_IN_AGE: f64 = 0.9;
/// How long a daemon that stands in watches the store, likewise. In one outage of the
/// watchers none has to stand in twice.
const STAND_IN_TIME: f64 = 2.0;
/// The store counts as failing for this long after a failed call: more than twice the longest pause
/// between retries.
const FAILURE_MEMORY: Duration = Duration::from_secs(2);

/// Time that a watch of the configuration waits for a change.
pub fn watch_wait(apply_limit: Duration, is_single_group: bool) -> Duration {
    let fraction = if is_single_group { SINGLE_GROUP_WAIT } else { GROUPS_WAIT };
    apply_limit.mul_f64(fraction).min(MAX_WATCH_WAIT)
}

/// Whether a daemon watches the store itself, and why.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StoreWatch {
    /// It does: nobody has passed on a proof.
    #[display("not informed")]
    NotInformed,
    /// It does: it is the watcher of its group.
    #[display("elected")]
    Elected,
    /// It does: the proofs that others pass on are too old, or were a short time ago.
    #[display("stands in")]
    StandsIn,
    /// It doesn't: others pass on what they read.
    #[display("informed")]
    Informed,
}

impl StoreWatch {
    /// Whether the daemon watches the store itself.
    pub fn watches(self) -> bool {
        self != Self::Informed
    }
}

/// Decides again and again whether this daemon watches the store, and remembers until when it
/// stands in.
#[derive(Clone, Copy, Debug)]
pub struct WatcherElection {
    apply_limit: Duration,
    stands_in_until: Option<Instant>,
}

impl WatcherElection {
    /// Election in a fleet whose daemons have to apply a change within `apply_limit`.
    pub fn new(apply_limit: Duration) -> Self {
        Self { apply_limit, stands_in_until: None }
    }

    /// Decides by the newest proof, and whether own calls to the store fail; `rank` is the number of
    /// daemons of the group that come before this one, and is only asked for where there is a proof.
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

    /// Age of the newest proof at which the daemon of this rank stands in; none for the first.
    fn stand_in_age(&self, rank: usize) -> Option<Duration> {
        let further = rank.checked_sub(1)?;
        let fraction = (STAND_IN_AGE + STAND_IN_STEP * further as f64).min(MAX_STAND_IN_AGE);
        Some(self.apply_limit.mul_f64(fraction))
    }
}

/// Whether the store counts as failing, after its last failed call.
pub fn is_store_failing(last_failure: Option<Instant>, now: Instant) -> bool {
    last_failure.is_some_and(|at| now.saturating_duration_since(at) < FAILURE_MEMORY)
}
