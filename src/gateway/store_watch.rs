//! Keeps configuration and endpoints up to date from the store.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, sleep};

use super::{
    context::GatewayContext,
    endpoint::{EndpointList, EndpointRecord},
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
pub const ENDPOINT_SERVICE: &str = "replica-watch";
/// How long a watch waits for a change.
const WATCH_WAIT: Duration = Duration::from_millis(1_800);
/// The same for the configuration where a few daemons watch for all: what they hear proves to
/// the others that keys are current, and must be new enough when it has been passed on.
const PROOF_WAIT: Duration = Duration::from_millis(1_000);
/// Time between looks whether others still tell what the store holds.
const FED_LOOK: Duration = Duration::from_millis(200);
/// Time for further changes of endpoints to gather before the next call.
const GATHER_TIME: Duration = Duration::from_millis(400);
/// First pause after a failed call; each further one is twice as long.
const PAUSE_FIRST: Duration = Duration::from_millis(50);
/// Longest pause after failed calls.
const PAUSE_LONGEST: Duration = Duration::from_millis(800);

/// Pauses between calls to a store that fails.
#[derive(Debug, Default)]
struct StorePauses {
    failures: u32,
}

impl StorePauses {
    fn succeeded(&mut self, context: &GatewayContext) {
        if self.failures > 0 {
            spdlog::info!("store", kv: { outcome = "regained", failures = self.failures });
        }
        self.failures = 0;
        context.metrics.gauge("store_calls", context.store.calls() as f64);
    }

    async fn failed(&mut self, context: &GatewayContext, error: &StepError) {
        if self.failures == 0 {
            spdlog::warn!("store", kv: { outcome = "lost", error: = error });
        }
        context.store_failed.set(Some(Instant::now()));
        context.metrics.count("store_failures", 1);
        let doublings = self.failures.min(6);
        self.failures += 1;
        let pause = (PAUSE_FIRST * 2_u32.pow(doublings)).min(PAUSE_LONGEST);
        let spread = rand::rng().random_range(0.5..1.0);
        sleep(pause.mul_f64(spread)).await;
    }
}

/// Waits until this daemon has to ask the store itself.
async fn wait_for_turn(context: &GatewayContext) {
    while !context.watches_store(Instant::now()) {
        sleep(FED_LOOK).await;
    }
}

/// Keeps the configuration up to date until the daemon stops.
pub async fn keep_configuration(context: Rc<GatewayContext>) {
    let mut pauses = StorePauses::default();
    let mut cursor = None;
    loop {
        wait_for_turn(&context).await;
        match configuration_step(&context, cursor).await {
            Ok(next) => {
                pauses.succeeded(&context);
                cursor = next;
            }
            Err(error) => {
                cursor = None;
                pauses.failed(&context, &error).await;
            }
        }
    }
}

/// One call about the configuration; returns the revision to watch from, if one is known.
async fn configuration_step(
    context: &GatewayContext,
    cursor: Option<u64>,
) -> Result<Option<u64>, StepError> {
    let asked = Instant::now();
    let Some(revision) = cursor else {
        let listing = context.store.list(CONFIGURATION_KIND).await?;
        let object = listing.objects.iter().find(|object| &*object.name == CONFIGURATION_NAME);
        if let Some(object) = object {
            take_configuration(context, object, asked);
        }
        return Ok(Some(listing.revision));
    };
    let wait = match context.peers.borrow().is_single_group() {
        true => WATCH_WAIT,
        false => PROOF_WAIT,
    };
    match context.store.watch(CONFIGURATION_KIND, revision, wait).await? {
        WatchResult::HistoryGone => Ok(None),
        WatchResult::Changes(changes, next) => {
            let written = changes.iter().rev().find_map(|change| match change {
                ObjectChange::Written(object) if &*object.name == CONFIGURATION_NAME => {
                    Some(object)
                }
                _ => None,
            });
            match written {
                Some(object) => take_configuration(context, object, asked),
                None => prove_unchanged(context, asked),
            }
            Ok(Some(next))
        }
    }
}

fn take_configuration(context: &GatewayContext, object: &StoredObject, asked: Instant) {
    context.take_configuration(object.revision, object.value.as_bytes(), Some(asked));
}

/// The store has said that nothing changed up to a moment after `asked`.
fn prove_unchanged(context: &GatewayContext, asked: Instant) {
    let mut state = context.configuration.borrow_mut();
    if state.current.is_some() && state.proof < Some(asked) {
        state.proof = Some(asked);
    }
}

/// Keeps the list of endpoints up to date until the daemon stops.
pub async fn keep_endpoints(context: Rc<GatewayContext>) {
    let mut pauses = StorePauses::default();
    let mut known = None;
    loop {
        wait_for_turn(&context).await;
        match endpoint_step(&context, known.take()).await {
            Ok(next) => {
                pauses.succeeded(&context);
                known = next;
            }
            Err(error) => pauses.failed(&context, &error).await,
        }
    }
}

/// Endpoints as this daemon's own calls have shown them.
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
        if context.take_endpoints(list) {
            spdlog::info!("replicas", kv: { revision: = self.revision, count, source = "store" });
        }
    }
}

fn decode_endpoint(object: &StoredObject) -> Option<(SharedName, Rc<EndpointRecord>)> {
    match endpoints::decode(object.name.clone(), object.value.as_bytes()) {
        Ok(record) => Some((object.name.clone(), Rc::new(record))),
        Err(error) => {
            spdlog::warn!("replica not understood: {}", error, kv: { endpoint: = object.name });
            None
        }
    }
}

async fn endpoint_step(
    context: &GatewayContext,
    known: Option<KnownEndpoints>,
) -> Result<Option<KnownEndpoints>, StepError> {
    let Some(mut known) = known else {
        let known = KnownEndpoints::from_listing(&context.store.list(ENDPOINT_KIND).await?);
        known.publish(context);
        return Ok(Some(known));
    };
    match context.store.watch(ENDPOINT_KIND, known.revision, WATCH_WAIT).await? {
        WatchResult::HistoryGone => Ok(None),
        WatchResult::Changes(changes, revision) => {
            known.apply(&changes, revision);
            if !changes.is_empty() {
                known.publish(context);
                // NOTE: endpoints often change together; one call then brings several changes.
                sleep(GATHER_TIME).await;
            }
            Ok(Some(known))
        }
    }
}
