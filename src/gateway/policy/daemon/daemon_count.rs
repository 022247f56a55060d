//! How many daemons share quotas and retry budgets.
//!
//! If a daemon assumes too few others, its share is too large and the quota is overspent. This
//! happened when all daemons of a large fleet were killed: each restarted alone and spent as if
//! there were few. It happened again when new daemons found no peer, since their seeds had been replaced.
//! That a daemon has found no others doesn't show that there are none. The number recorded with the leader
//! lease, which it gets from the store or from a peer, is therefore a lower bound; only the holder itself goes
//! below it. Daemons that are separated from the holder (`fleet_contact`) aren't in that number, so they add
//! their own. Until a starting daemon has the recorded number, it admits no requests against quotas, for a limited
//! time, and then assumes a number.
//!
//! The reserve of retries is divided by the largest number of the last minutes. Daemons that no longer
//! hear each other may all run on, and each would take a larger part of the reserve.

use std::time::Duration;

use tokio::time::Instant;

use super::fleet_contact::FleetContact;
use crate::gateway::policy::request::quota::QuotaSharing;

/// Time in which a starting daemon discovers the others.
const DISCOVERY_TIME: Duration = Duration::from_millis(2_500);
/// Number of daemons that a starting daemon assumes if none is recorded. Too few overspends quotas,
/// too many admits less in the first seconds.
const ASSUMED_DAEMONS: usize = 10;
/// Time after which a daemon stops waiting for a recorded number. Shorter than `DISCOVERY_TIME`, so
/// that `ASSUMED_DAEMONS` still applies when it begins to admit requests against quotas.
const MAX_COUNT_WAIT: Duration = Duration::from_millis(1_500);

/// Number of daemons that the holder of the lease has recorded, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordedCount {
    /// This many.
    Known(usize),
    /// No record has been read or reported yet.
    Unknown,
    /// The deployment has no leader tasks, and no lease.
    NoLease,
}

/// Corrects the sharing that follows from the discovered peers, `age` after the start.
pub fn assumed_sharing(
    discovered: QuotaSharing,
    recorded: RecordedCount,
    contact: FleetContact,
    age: Duration,
) -> QuotaSharing {
    let is_alone = discovered.known <= 1;
    let known = match (contact, recorded) {
        (FleetContact::Leads, _) => discovered.known,
        (FleetContact::Separated, RecordedCount::Known(recorded)) => discovered.known + recorded,
        (_, RecordedCount::Known(recorded)) => discovered.known.max(recorded),
        (_, RecordedCount::Unknown) if is_alone || age < DISCOVERY_TIME => {
            discovered.known.max(ASSUMED_DAEMONS)
        }
        (_, RecordedCount::NoLease) if age < DISCOVERY_TIME => {
            discovered.known.max(ASSUMED_DAEMONS)
        }
        (_, RecordedCount::Unknown | RecordedCount::NoLease) => discovered.known,
    };
    QuotaSharing { known, ..discovered }
}

/// Whether the number of daemons is known well enough to admit requests against quotas.
pub fn is_known(recorded: Option<usize>, age: Duration) -> bool {
    recorded.is_some() || age >= MAX_COUNT_WAIT
}

/// Time over which the largest number of daemons is remembered, at least: longer than links between zones
/// usually fail. At most twice that.
const PEAK_PERIOD: Duration = Duration::from_secs(5 * 60);

/// Largest number of daemons of the last minutes.
#[derive(Clone, Copy, Debug, Default)]
pub struct RecentPeak {
    /// Largest number of the current period.
    current: usize,
    /// Largest number of the period before.
    previous: usize,
    since: Option<Instant>,
}

impl RecentPeak {
    /// Records the number of daemons known now.
    pub fn observe(&mut self, known: usize, now: Instant) {
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) >= PEAK_PERIOD {
            self.previous = std::mem::take(&mut self.current);
            self.since = Some(now);
        }
        self.current = self.current.max(known);
    }

    /// The largest number recorded.
    pub fn get(&self) -> usize {
        self.current.max(self.previous)
    }
}
