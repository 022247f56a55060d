//! Decides which daemons watch the store, how long a watch waits, and when the store counts as
//! failing.
//!
//! The first daemon of each gossip group (by a hash of its address) watches the store and passes on
//! what it reads, together with freshness proofs: the times at which the store showed no newer
//! configuration. In a fleet of one group the first two do. This way the number of calls doesn't
//! grow with the daemons of a group. Every other daemon of the group stands in for the first one
//! when the newest proof that it has received is too old. The daemons stand in one after the other
//! at short intervals, so that few call the store where one suffices. A daemon that stands in keeps
//! watching for a while, because whatever cuts the others off from the store may last. It stops
//! early if its own calls fail too, because the first daemons suffice once the store is back for
//! all. A daemon that has received no proof watches the store itself.
//!
//! Answers two load patterns on the store. A fleet that starts at once: no daemon knows its peers,
//! so none watches before it had time to hear of them. An outage: all daemons stand in and fail, so
//! the pauses between their calls grow with the fleet; those of the watchers don't.
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
/// Time after its start in which a daemon with a proof doesn't watch: until it has received
/// messages from its peers, every daemon would take itself for the first one of its group.
const SETTLING_TIME: Duration = Duration::from_millis(1_000);
/// Pause of a watcher after its first failed call; it doubles with each further failure.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause of a watcher after failed calls: changes must be found soon after the store is
/// back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// First pause of other daemons for each known daemon, so that in an outage of the store they all
/// together retry about as often as those of a small fleet.
const FIRST_RETRY_PAUSE_PER_DAEMON: Duration = Duration::from_millis(4);
/// Longest pause of other daemons for each known daemon.
const MAX_RETRY_PAUSE_PER_DAEMON: Duration = Duration::from_millis(40);
/// Upper bound of the first pause: a daemon that is the only one to reach the store has to find that
/// out.
const LARGE_FLEET_FIRST_PAUSE: Duration = Duration::from_millis(400);
/// Upper bound of the longest pause.
const LARGE_FLEET_MAX_PAUSE: Duration = Duration::from_millis(3_200);
/// Number of failures after which the pause is no longer doubled, so that the product can't
/// overflow.
const MAX_DOUBLINGS: u32 = 6;
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

/// Pause of a daemon after `failures` failed calls in a row, one at least, in a fleet of `daemons`
/// daemons.
pub fn retry_pause(failures: u32, watch: StoreWatch, daemons: usize) -> Duration {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    let (first, max) = match watch {
        StoreWatch::Elected => (FIRST_RETRY_PAUSE, MAX_RETRY_PAUSE),
        StoreWatch::NotInformed | StoreWatch::StandsIn | StoreWatch::Informed => {
            let first = FIRST_RETRY_PAUSE_PER_DAEMON.saturating_mul(daemons);
            let max = MAX_RETRY_PAUSE_PER_DAEMON.saturating_mul(daemons);
            let first = first.clamp(FIRST_RETRY_PAUSE, LARGE_FLEET_FIRST_PAUSE);
            (first, max.clamp(MAX_RETRY_PAUSE, LARGE_FLEET_MAX_PAUSE))
        }
    };
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (first * 2_u32.pow(doublings)).min(max)
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
    /// When the daemon may take itself for a watcher; none: at any time.
    settled_at: Option<Instant>,
    stands_in_until: Option<Instant>,
}

impl WatcherElection {
    /// Creates the election for a fleet whose daemons have to apply a change within `apply_limit`.
    pub fn new(apply_limit: Duration) -> Self {
        Self { apply_limit, settled_at: None, stands_in_until: None }
    }

    /// The election of a daemon that has started at `started_at` and doesn't know its peers yet.
    pub fn starting_at(self, started_at: Instant) -> Self {
        Self { settled_at: Some(started_at + SETTLING_TIME), ..self }
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
        if self.settled_at.is_some_and(|at| now < at) {
            return StoreWatch::Informed;
        }
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
