//! Keeps the configuration, the endpoint list and the orders of roll-outs up to date from the store: a list call, followed by
//! watches (long polls) that wait for changes.
//!
//! Only the watchers of each gossip group and the daemons that stand in for them call the store
//! (`policy::daemon::store_watchers`). A daemon that has not called for a while lists
//! everything again over a new connection: a watch from its last position would return every change
//! since then, each with the whole configuration, and the old connection may be dead. While the store
//! fails, each loop retries with growing pauses, and the daemon continues with the data that it has and
//! that its peers report.

use std::{ops::Range, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::{
    context::GatewayContext,
    policy::daemon::store_watchers::{StoreWatch, retry_pause},
};
use crate::boot_clock;
use crate::errors::StepError;

pub mod configuration_watch;
pub mod endpoint_watch;
mod foreign_entries;
pub mod rollout_watch;
mod seen_versions;

/// Interval between checks whether this daemon has to call the store itself: one gossip interval.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Random factor of a pause, so that daemons do not retry all at once.
const RETRY_JITTER: Range<f64> = 0.5..1.0;

/// Calculates the pauses between calls while the store fails.
#[derive(Debug, Default)]
struct RetryPauses {
    failures: u32,
    /// When the first of these calls failed.
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
        context.store_failed_at.set(Some(boot_clock::now()));
        context.metrics.count("store_failures", 1);
        self.failures += 1;
        let watch = context.store_watch.get().unwrap_or(StoreWatch::NotInformed);
        let daemons = context.sharing(boot_clock::now()).known;
        let pause = retry_pause(self.failures, watch, daemons);
        let jitter = rand::rng().random_range(RETRY_JITTER);
        sleep(pause.mul_f64(jitter)).await;
    }
}

/// Waits until this daemon has to call the store itself. Returns whether it had to wait; the next calls
/// then use new connections.
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
