//! Keeps the list of endpoints up to date.
//!
//! An entry that was not written by an endpoint is not used: that endpoint gets no new requests, and
//! those that run there finish. The other entries stay in use.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::sleep;

use super::{
    RetryPauses, foreign_entries::ForeignEntries, rollout_watch, seen_versions::SeenVersions,
    wait_until_watcher,
};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{
        context::GatewayContext,
        endpoint::{EndpointList, EndpointRecord},
        gossip::endpoint_signals::divide_all,
        policy::daemon::store_watchers::MAX_WATCH_WAIT,
    },
    ids::SharedName,
    platform::{
        endpoints::{self, ENDPOINT_KIND},
        store::{ObjectChange, StoredObject, WatchResult},
    },
    store_position::StorePosition,
};

/// Name of the service.
pub const NAME: &str = "endpoint-watch";
/// Pause after a change of endpoints. Changes often come in bursts; the next call then returns several
/// of them. Well below the time for which the leader waits until the list has stopped growing
/// (`policy::leader::fleet_size`).
const CHANGE_PAUSE: Duration = Duration::from_millis(400);
/// Why an entry without a start time is not used.
const MISSING_START_TIME: &str =
    "start time missing, although an earlier entry of this endpoint had one";

/// Keeps the list of endpoints up to date until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    let mut watch = EndpointWatch::new(context.clone());
    let mut pauses = RetryPauses::default();
    loop {
        if wait_until_watcher(&context).await {
            watch.known = None;
        }
        match watch.step().await {
            Ok(()) => pauses.succeeded(&context),
            Err(error) => {
                watch.known = None;
                pauses.failed(&context, &error).await;
            }
        }
    }
}

/// Endpoints that this daemon has read from the store itself.
struct KnownEndpoints {
    position: StorePosition,
    by_id: BTreeMap<SharedName, Rc<EndpointRecord>>,
}

struct EndpointWatch {
    context: Rc<GatewayContext>,
    /// None if all endpoints have to be listed again.
    known: Option<KnownEndpoints>,
    foreign: ForeignEntries,
    versions: SeenVersions,
}

impl EndpointWatch {
    fn new(context: Rc<GatewayContext>) -> Self {
        Self {
            context,
            known: None,
            foreign: ForeignEntries::new(boot_clock::now()),
            versions: SeenVersions::default(),
        }
    }

    /// Makes one call to the store and applies the result.
    async fn step(&mut self) -> Result<(), StepError> {
        let Some(mut known) = self.known.take() else {
            let known = self.read_all().await?;
            self.read_orders_of_new_versions(&known).await?;
            self.publish(&known);
            self.known = Some(known);
            return Ok(());
        };
        match self.context.store.watch(ENDPOINT_KIND, known.position, MAX_WATCH_WAIT).await? {
            WatchResult::HistoryGone => {}
            WatchResult::Changes(changes, position) => {
                self.apply(&mut known, &changes);
                known.position = position;
                if !changes.is_empty() {
                    self.read_orders_of_new_versions(&known).await?;
                    self.publish(&known);
                    sleep(CHANGE_PAUSE).await;
                }
                self.known = Some(known);
            }
        }
        Ok(())
    }

    async fn read_all(&mut self) -> Result<KnownEndpoints, StepError> {
        self.foreign.begin_listing();
        let mut by_id = BTreeMap::new();
        let context = self.context.clone();
        let add_record = |object: StoredObject| {
            by_id.extend(self.decode(&object).map(|record| (record.id.clone(), record)));
        };
        let position = context.store.list(ENDPOINT_KIND, add_record).await?;
        self.foreign.end_listing();
        Ok(KnownEndpoints { position, by_id })
    }

    fn apply(&mut self, known: &mut KnownEndpoints, changes: &[ObjectChange]) {
        for change in changes {
            let (name, record) = match change {
                ObjectChange::Written(object) => (&object.name, self.decode(object)),
                ObjectChange::Gone(name) => {
                    self.foreign.forget(name);
                    (name, None)
                }
            };
            match record {
                Some(record) => known.by_id.insert(name.clone(), record),
                None => known.by_id.remove(name),
            };
        }
    }

    /// Decodes an entry; none if it was not written by an endpoint.
    fn decode(&mut self, object: &StoredObject) -> Option<Rc<EndpointRecord>> {
        let reason = match endpoints::decode(object.name.clone(), object.value.as_bytes()) {
            Ok(record) if record.born != 0 || !self.has_known_start_time(&record.id) => {
                self.foreign.forget(&record.id);
                return Some(Rc::new(record));
            }
            Ok(_) => MISSING_START_TIME.to_owned(),
            Err(error) => error.to_string(),
        };
        self.foreign.observe(&self.context, object, &reason);
        None
    }

    /// Reads the orders of roll-outs before endpoints of a new version are used. An order is written
    /// before endpoints of its version start, so they get no requests beyond those that it allows.
    async fn read_orders_of_new_versions(
        &mut self,
        known: &KnownEndpoints,
    ) -> Result<(), StepError> {
        let has_rollouts = self.context.settings.bounds.exposure.is_some();
        if has_rollouts && self.versions.has_new(known.by_id.values()) {
            rollout_watch::read_all(&self.context).await?;
        }
        self.versions.add(known.by_id.values());
        Ok(())
    }

    fn has_known_start_time(&self, id: &str) -> bool {
        self.context.endpoints.borrow().reports_start(id)
    }

    fn publish(&self, known: &KnownEndpoints) {
        self.context.metrics.gauge("foreign_entries", self.foreign.count() as f64);
        let endpoints: Vec<Rc<EndpointRecord>> = known.by_id.values().cloned().collect();
        let (position, count) = (known.position, endpoints.len());
        if self.context.apply_endpoints(EndpointList { position, endpoints }) {
            divide_all(&self.context, boot_clock::now());
            spdlog::info!("endpoints", kv: {
                era: = position.era(), revision = position.revision(), count, source = "store"
            });
        }
    }
}
