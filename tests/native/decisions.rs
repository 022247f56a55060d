//! The rules of the native path against naive or exhaustive versions, on the clock of numbers.

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
