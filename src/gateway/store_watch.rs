//! Keeps configuration and endpoint list up to date from the store: one list call, then watches
//! that wait for changes.
//!
//! In a fleet of several gossip groups only the watchers of each group call the store, and others
//! that stand in for them (`policy::daemon::store_watchers`). A daemon that has not called for a
//! while lists everything again, over a new connection: a watch from where it left off would bring
//! every change since, each with the whole configuration, and the old connection may be silent.
//! While the store fails, each loop retries with growing pauses, and the daemon goes on with
//! what it has and what peers report.

use std::{ops::Range, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::context::GatewayContext;
use crate::boot_clock;
use crate::errors::StepError;

pub mod configuration_watch;
pub mod endpoint_watch;
mod foreign_entries;

/// Time between two looks whether this daemon has to call the store itself: a gossip interval.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a first failed call; each further one is twice as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failed calls: a change must be found soon after the store is back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Doublings after which the pause no longer grows: keeps the product in range.
const MAX_DOUBLINGS: u32 = 6;
/// Random factor of a pause, so that daemons do not retry all at once.
const RETRY_SPREAD: Range<f64> = 0.5..1.0;

/// Pauses between calls while the store fails.
#[derive(Debug, Default)]
struct RetryPauses {
    failures: u32,
    /// When the first call failed.
    lost_at: Option<Instant>,
}

impl RetryPauses {
    fn succeeded(&mut self, context: &GatewayContext) {
        if let Some(lost_at) = self.lost_at.take() {
            let (failures, lost_ms) =
                (self.failures, boot_clock::since(lost_at).as_millis() as u64);
            spdlog::info!("store", kv: { outcome = "regained", failures, lost_ms });
        }
        self.failures = 0;
        context.observe_store_era();
        context.metrics.gauge("store_calls", context.store.calls() as f64);
    }

    async fn failed(&mut self, context: &GatewayContext, error: &StepError) {
        if self.failures == 0 {
            spdlog::warn!("store", kv: { outcome = "lost", error: = error });
            self.lost_at = Some(boot_clock::now());
        }
        context.store_failed.set(Some(boot_clock::now()));
        context.metrics.count("store_failures", 1);
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let pause = (FIRST_RETRY_PAUSE * 2_u32.pow(doublings)).min(MAX_RETRY_PAUSE);
        let spread = rand::rng().random_range(RETRY_SPREAD);
        sleep(pause.mul_f64(spread)).await;
    }
}

/// Waits until this daemon has to call the store itself; says whether it had to wait. Calls then go
/// over new connections.
async fn wait_until_watcher(context: &GatewayContext) -> bool {
    let mut has_waited = false;
    while !context.watches_store(boot_clock::now()) {
        has_waited = true;
        sleep(WATCHER_CHECK_INTERVAL).await;
    }
    if has_waited {
        context.store.discard_connections();
    }
    has_waited
}
