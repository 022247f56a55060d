//! Decision functions of the native path, checked without processes or network: against
//! naive or exhaustive implementations where there are any, with instants passed in.

mod fair_queue;
mod fleet_size;
mod limits;
mod reclaim;
mod retries;
mod routing;

use std::time::Duration;

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}
