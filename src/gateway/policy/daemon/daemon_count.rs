//! How many daemons share quotas and retry budgets, and since when that number is known.
//!
//! Shares given out for too few daemons overspend a quota: after all daemons of a large fleet
//! were killed, each came up alone and spent as one of few. A
//! starting daemon therefore assumes the number recorded with the leader lease, which it reads
//! from the store or hears from a peer, until it has had time to meet the others. Until it has
//! that number it gives out nothing of a quota, for a bounded time.

use std::time::Duration;

use crate::gateway::policy::request::quota::QuotaSharing;

/// Time in which a starting daemon meets the others.
const MEETING_TIME: Duration = Duration::from_millis(2_500);
/// Daemons assumed while starting where no number is recorded. With too few a quota is overspent;
/// with too many the first seconds admit less.
const ASSUMED_DAEMONS: usize = 10;
/// A daemon to which no recorded number has come after this time goes on without one: below the
/// meeting time, so that the assumed number still applies when quotas are first given out.
const MAX_UNKNOWN: Duration = Duration::from_millis(1_500);

/// Corrects what the peers show, `age` after the start; `recorded` is the number of daemons
/// recorded with the leader lease.
pub fn sharing_at_start(met: QuotaSharing, recorded: Option<usize>, age: Duration) -> QuotaSharing {
    if age >= MEETING_TIME {
        return met;
    }
    QuotaSharing { known: met.known.max(recorded.unwrap_or(ASSUMED_DAEMONS)), ..met }
}

/// Whether the number of daemons is known well enough to give out shares of quotas.
pub fn is_known(recorded: Option<usize>, age: Duration) -> bool {
    recorded.is_some() || age >= MAX_UNKNOWN
}
