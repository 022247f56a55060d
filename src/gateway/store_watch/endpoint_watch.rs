//! Keeps the list of endpoints up to date.
//!
//! An entry that can't be decoded is logged and left out.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::sleep;

use super::{RetryPauses, wait_until_watcher};
use crate::{
    errors::StepError,
    gateway::{
        context::GatewayContext,
        endpoint::{EndpointList, EndpointRecord},
        policy::daemon::store_watchers::MAX_WATCH_WAIT,
    },
    ids::SharedName,
    platform::{
        endpoints::{self, ENDPOINT_KIND},
        store::{ObjectChange, ObjectListing, StoredObject, WatchResult},
    },
};

/// Name of the service.
pub const NAME: &str = "endpoint-watch";
/// Pause after a change of endpoints, so that the next call brings several changes: they often
/// come together.
///
/// Basis: chosen, not measured by itself: commit 7044e2a raised it from 150 ms, with which commit
/// 75866ba brought 1,778 -> 1,402 calls on inkbridge quiet days.
const CHANGE_PAUSE: Duration = Duration::from_millis(400);

/// Keeps the list of endpoints up to date until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
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
