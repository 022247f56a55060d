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
//! what they read. With a fixed age of 4 s until others stood in, every daemon of 77 refused routes
//! that were over 3 s old while the watchers were cut off: 5,538 of 31,438 requests; now none.

use std::time::Duration;

use derive_more::Display;
use tokio::time::Instant;

/// Time that a watch of the configuration waits in a fleet of one group, where every daemon
/// watches the store; as a fraction of the apply limit.
///
/// Basis: by calculation a watch that is lost is noticed after 1.3 s of 2 s. In place of 1.8 s it takes
/// 1,545 calls to store and cloud in a quiet day of 9 daemons (1,211 before, one run each).
const SINGLE_GROUP_WAIT: f64 = 0.5;
/// The same in a fleet of several groups.
///
/// Basis: of 77 real daemons none stood in during 25 s without a fault. In place of 1 s it takes 2,764
/// calls to store and cloud in a quiet day of 77 daemons (2,318 before, one run each).
const GROUPS_WAIT: f64 = 0.2;
/// Longest wait of a watch.
///
/// Basis: chosen, not measured: a few calls within the time for which keys stay
/// fresh.
pub const MAX_WATCH_WAIT: Duration = Duration::from_millis(1_800);
/// Age of the newest proof at which the second daemon of a group stands in, as a fraction of the
/// apply limit.
///
/// Basis: with a limit of 3 s, by calculation, 2.6 s until all have a change: the lost watch begins
/// with a proof 0.6 s old, another daemon reads the store 1.6 s later at most, and the change spreads
/// in 1.0 s. Measured: 2.2 s at most (77 real daemons, their watchers cut off, 25 s).
const STAND_IN_AGE: f64 = 0.7;
/// How much older the proof is at each further daemon before it stands in too, likewise.
///
/// Basis: of 77 real daemons 16, 14 and 14 stood in when the eight watchers were cut off three times.
const STAND_IN_STEP: f64 = 0.05;
/// Age of the newest proof at which every daemon stands in, likewise.
///
/// Basis: by calculation 0.3 s of 3 s are left for one call, so that a daemon that alone reaches the
/// store has the change in time.
const MAX_STAND_IN_AGE: f64 = 0.9;
/// How long a daemon that stands in watches the store, likewise.
///
/// Basis: none of 77 real daemons stood in twice in an outage of 5 s of their watchers.
const STAND_IN_TIME: f64 = 2.0;
/// The store counts as failing for this long after a failed call.
///
/// Basis: chosen, not measured: more than twice the longest pause between retries.
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
