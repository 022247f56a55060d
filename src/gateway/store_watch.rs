//! Keeps configuration and endpoint list up to date from the store: one list call, then watches
//! that wait for changes.
//!
//! In a fleet of several gossip groups only the watchers of each group call the store, and others
//! that stand in for them (`policy::daemon::store_watchers`). A daemon that has not called for a
//! while lists everything again, over a new connection: a watch from where it left off would bring
//! every change since, each with the whole configuration, and the old connection may be silent.
//! While the store fails, each loop retries with growing pauses, and the daemon goes on with
//! what it has and what peers report. An endpoint entry that can't be decoded is logged and left
//! out; a configuration that can't be decoded is logged and the former one kept.

use std::{collections::BTreeMap, ops::Range, rc::Rc, time::Duration};

use bytes::Bytes;
use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::{
    context::{ConfigurationSource, GatewayContext},
    endpoint::{EndpointList, EndpointRecord},
    policy::daemon::store_watchers::{MAX_WATCH_WAIT, watch_wait},
};
use crate::{
    errors::StepError,
    ids::SharedName,
    platform::{
        configuration::{CONFIGURATION_KIND, CONFIGURATION_NAME},
        endpoints::{self, ENDPOINT_KIND},
        store::{ObjectChange, ObjectListing, StoredObject, WatchResult},
    },
};

/// Name of the service that keeps the configuration.
pub const CONFIGURATION_SERVICE: &str = "configuration-watch";
/// Name of the service that keeps the endpoints.
pub const ENDPOINT_SERVICE: &str = "endpoint-watch";
/// Time between two looks whether this daemon has to call the store itself.
///
/// Basis: chosen, not measured: a gossip interval.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Pause after a change of endpoints, so that the next call brings several changes: they often
/// come together.
///
/// Basis: chosen, not measured by itself: commit 7044e2a raised it from 150 ms, with which commit
/// 75866ba brought 1,778 -> 1,402 calls on inkbridge quiet days.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Pause after a first failed call; each further one is twice as long.
///
/// Basis: chosen, not measured.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after failed calls.
///
/// Basis: chosen, not measured: a change must be found soon after the store is back.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);
/// Doublings after which the pause no longer grows.
///
/// Basis: more than the four from the first to the longest pause; keeps the product in range.
const MAX_DOUBLINGS: u32 = 6;
/// Random factor of a pause, so that daemons do not retry all at once.
///
/// Basis: chosen, not measured.
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
            let (failures, lost_ms) = (self.failures, lost_at.elapsed().as_millis() as u64);
            spdlog::info!("store", kv: { outcome = "regained", failures, lost_ms });
        }
        self.failures = 0;
        context.metrics.gauge("store_calls", context.store.calls() as f64);
    }

    async fn failed(&mut self, context: &GatewayContext, error: &StepError) {
        if self.failures == 0 {
            spdlog::warn!("store", kv: { outcome = "lost", error: = error });
            self.lost_at = Some(Instant::now());
        }
        context.store_failed.set(Some(Instant::now()));
        context.metrics.count("store_failures", 1);
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures += 1;
        let pause = (FIRST_RETRY_PAUSE * 2_u32.pow(doublings)).min(MAX_RETRY_PAUSE);
        let spread = rand::rng().random_range(RETRY_SPREAD);
        sleep(pause.mul_f64(spread)).await;
    }
}

/// Waits until this daemon has to call the store itself; says whether it had to wait.
async fn wait_until_watcher(context: &GatewayContext) -> bool {
    let mut has_waited = false;
    while !context.watches_store(Instant::now()) {
        has_waited = true;
        sleep(WATCHER_CHECK_INTERVAL).await;
    }
    if has_waited {
        context.store.discard_connections();
    }
    has_waited
}

/// The next call about the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextCall {
    /// Lists, then watches.
    List,
    /// Lists again and again, as long as each list brings a newer configuration.
    ListOften,
    /// Watches from this revision.
    Watch(u64),
}

/// Keeps the configuration up to date until the daemon stops.
pub async fn keep_configuration(context: Rc<GatewayContext>) {
    let mut pauses = RetryPauses::default();
    let mut next = NextCall::List;
    loop {
        if wait_until_watcher(&context).await {
            next = NextCall::List;
        }
        let result = match next {
            NextCall::List => list_configuration(&context, NextCall::Watch).await,
            NextCall::ListOften => {
                let held = context.configuration.borrow().revision;
                let after = |revision| match context.configuration.borrow().revision > held {
                    true => NextCall::ListOften,
                    false => NextCall::Watch(revision),
                };
                list_configuration(&context, after).await
            }
            NextCall::Watch(revision) => watch_configuration(&context, revision).await,
        };
        match result {
            Ok(call) => {
                pauses.succeeded(&context);
                next = call;
            }
            Err(error) => {
                next = NextCall::List;
                pauses.failed(&context, &error).await;
            }
        }
    }
}

/// Lists the configuration; `after` makes the next call of the store's revision.
async fn list_configuration(
    context: &GatewayContext,
    after: impl FnOnce(u64) -> NextCall,
) -> Result<NextCall, StepError> {
    let asked_at = Instant::now();
    let listing = context.store.list(CONFIGURATION_KIND).await?;
    let object = listing.objects.iter().find(|object| &*object.name == CONFIGURATION_NAME);
    if let Some(object) = object {
        apply_configuration(context, object, asked_at);
    }
    Ok(after(listing.revision))
}

/// Watches the configuration from `revision`.
async fn watch_configuration(
    context: &GatewayContext,
    revision: u64,
) -> Result<NextCall, StepError> {
    let asked_at = Instant::now();
    let is_single_group = context.peers.borrow().is_single_group();
    let wait = watch_wait(context.settings.bounds.apply_limit, is_single_group);
    match context.store.watch(CONFIGURATION_KIND, revision, wait).await? {
        WatchResult::HistoryGone => Ok(NextCall::List),
        WatchResult::Changes(changes, next) => {
            let written = changes.iter().filter_map(written_configuration);
            let written: Vec<&StoredObject> = written.collect();
            match written.last() {
                Some(object) => apply_configuration(context, object, asked_at),
                None => prove_unchanged(context, asked_at),
            }
            // Each change came whole. If they come faster than the link carries them, a further
            // watch would bring more each time; a list holds only the newest.
            Ok(if written.len() > 1 { NextCall::ListOften } else { NextCall::Watch(next) })
        }
    }
}

fn written_configuration(change: &ObjectChange) -> Option<&StoredObject> {
    match change {
        ObjectChange::Written(object) if &*object.name == CONFIGURATION_NAME => Some(object),
        ObjectChange::Written(_) | ObjectChange::Gone(_) => None,
    }
}

fn apply_configuration(context: &GatewayContext, object: &StoredObject, asked_at: Instant) {
    let text = Bytes::copy_from_slice(object.value.as_bytes());
    context.apply_configuration(ConfigurationSource::Store, object.revision, text);
    context.prove_configuration(object.revision, Some(asked_at));
}

/// Notes that the store has shown no change up to a moment after `asked_at`.
fn prove_unchanged(context: &GatewayContext, asked_at: Instant) {
    let revision = context.configuration.borrow().revision;
    context.prove_configuration(revision, Some(asked_at));
}

/// Keeps the list of endpoints up to date until the daemon stops.
pub async fn keep_endpoints(context: Rc<GatewayContext>) {
    let mut pauses = RetryPauses::default();
    let mut known = None;
    loop {
        if wait_until_watcher(&context).await {
            known = None;
        }
        match endpoint_step(&context, known.take()).await {
            Ok(next) => {
                pauses.succeeded(&context);
                known = next;
            }
            Err(error) => pauses.failed(&context, &error).await,
        }
    }
}

/// Endpoints as this daemon's own calls to the store have shown them.
struct KnownEndpoints {
    revision: u64,
    by_id: BTreeMap<SharedName, Rc<EndpointRecord>>,
}

impl KnownEndpoints {
    fn from_listing(listing: &ObjectListing) -> Self {
        let by_id = listing.objects.iter().filter_map(decode_endpoint).collect();
        Self { revision: listing.revision, by_id }
    }

    fn apply(&mut self, changes: &[ObjectChange], revision: u64) {
        for change in changes {
            match change {
                ObjectChange::Written(object) => self.by_id.extend(decode_endpoint(object)),
                ObjectChange::Gone(name) => {
                    self.by_id.remove(name);
                }
            }
        }
        self.revision = revision;
    }

    fn publish(&self, context: &GatewayContext) {
        let endpoints = self.by_id.values().cloned().collect();
        let list = EndpointList { revision: self.revision, endpoints };
        let count = list.endpoints.len();
        if context.apply_endpoints(list) {
            spdlog::info!("endpoints", kv: { revision: = self.revision, count, source = "store" });
        }
    }
}

fn decode_endpoint(object: &StoredObject) -> Option<(SharedName, Rc<EndpointRecord>)> {
    match endpoints::decode(object.name.clone(), object.value.as_bytes()) {
        Ok(record) => Some((object.name.clone(), Rc::new(record))),
        Err(error) => {
            spdlog::warn!("endpoint entry not decoded: {}", error, kv: { endpoint: = object.name });
            None
        }
    }
}

/// One call about endpoints; returns what is known then, or none if everything has to be listed
/// again.
async fn endpoint_step(
    context: &GatewayContext,
    known: Option<KnownEndpoints>,
) -> Result<Option<KnownEndpoints>, StepError> {
    let Some(mut known) = known else {
        let known = KnownEndpoints::from_listing(&context.store.list(ENDPOINT_KIND).await?);
        known.publish(context);
        return Ok(Some(known));
    };
    match context.store.watch(ENDPOINT_KIND, known.revision, MAX_WATCH_WAIT).await? {
        WatchResult::HistoryGone => Ok(None),
        WatchResult::Changes(changes, revision) => {
            known.apply(&changes, revision);
            if !changes.is_empty() {
                known.publish(context);
                sleep(CHANGE_PAUSE).await;
            }
            Ok(Some(known))
        }
    }
}
