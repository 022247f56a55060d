//! State of one daemon as served to operators at `/state`, each part with its version or age.
//!
//! Operators' tools read the JSON keys, so these keep older names such as `replicas_ready` for endpoints.

pub mod rollout_view;

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use self::rollout_view::RolloutView;
use super::{
    context::GatewayContext,
    endpoint::{EndpointList, EndpointRecord},
    policy::{
        daemon::readiness::Readiness,
        endpoint::{
            endpoint_status::restriction::EndpointRestriction, endpoint_table::EndpointTable,
        },
        request::crash_record::CrashRecord,
    },
};
use crate::boot_clock;
use crate::ids::SharedName;
use crate::store_position::StoreEra;

/// State of one daemon. Ages are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct GatewayState {
    /// Name of the daemon's VM.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Incarnation id of the daemon's process.
    pub incarnation: SharedName,
    /// Whether it is ready for new connections.
    pub ready: bool,
    /// Whether it is partitioned from all endpoints.
    #[serde(default)]
    pub partitioned: bool,
    /// Requests in progress.
    pub active: usize,
    /// Version of the configuration; 0 if there is none.
    pub configuration_version: u64,
    /// Revision of the configuration in the store.
    pub configuration_revision: u64,
    /// Era of that revision.
    #[serde(default)]
    pub configuration_era: StoreEra,
    /// Newest era of the store that this daemon has seen.
    #[serde(default)]
    pub store_era: StoreEra,
    /// Age of the configuration's freshness proof; none if there never was one.
    pub proof_age_ms: Option<u64>,
    /// Revision of the list of endpoints.
    #[serde(rename = "replica_revision")]
    pub endpoint_revision: u64,
    /// Era of that revision.
    #[serde(default, rename = "replica_era")]
    pub endpoint_era: StoreEra,
    /// Endpoints that take requests, by service.
    #[serde(rename = "replicas_ready")]
    pub endpoints_ready: BTreeMap<SharedName, usize>,
    /// Endpoints that are draining according to the list or to their responses.
    #[serde(rename = "replicas_draining")]
    pub endpoints_draining: usize,
    /// Endpoints that take requests and have announced a request limit.
    #[serde(default)]
    pub endpoints_limited: usize,
    /// Daemons that have reported recently, this one included.
    pub daemons_heard: usize,
    /// Daemons that are assumed to be running, this one included.
    pub daemons_known: usize,
    /// Contact with the rest of the fleet: `leads`, `joined`, `no holder known` or `separated`.
    #[serde(default)]
    pub fleet_contact: String,
    /// Holder of the leader lease, as far as known.
    pub lease_holder: Option<SharedName>,
    /// Fence of the lease.
    pub lease_fence: u64,
    /// Age of the newest known renewal of the lease.
    pub lease_age_ms: Option<u64>,
    /// Requests and parts of prompts that are quarantined because they crash endpoints.
    #[serde(default)]
    pub quarantined: Vec<QuarantinedState>,
    /// Endpoints to which this daemon sends fewer requests than to others, or none.
    #[serde(default)]
    pub endpoints_restricted: Vec<RestrictedState>,
    /// Roll-outs that this daemon knows.
    #[serde(default)]
    pub rollouts: Vec<RolloutView>,
}

/// Start of the names of quarantined parts of prompts, followed by their ids.
pub const QUARANTINED_PART: &str = "part-";

/// An endpoint to which a daemon sends fewer requests than to others, or none.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct RestrictedState {
    /// Id of the endpoint.
    pub endpoint: SharedName,
    /// Service of the endpoint.
    pub service: SharedName,
    /// Reasons as readable text.
    pub reasons: Vec<String>,
}

/// A request, or a part of prompts, that is refused because it crashes endpoints.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct QuarantinedState {
    /// Fingerprint of the request, as in the request log; `part-` and the id if it is a part of prompts.
    pub fingerprint: String,
    /// Consecutive crashes attributed to it, as far as this daemon knows.
    pub crashes: usize,
    /// Time since the newest crash.
    pub crash_age_ms: u64,
    /// Number of trials so far.
    pub trials: u32,
    /// Time until the next trial; 0 if it is due.
    pub trial_in_ms: u64,
}

impl GatewayState {
    /// Current state of the daemon.
    pub fn of(context: &GatewayContext) -> Self {
        let now = boot_clock::now();
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let configuration = context.configuration.borrow();
        let lease = context.lease.borrow();
        let list = context.endpoint_list.borrow();
        let sharing = context.sharing(now);
        let endpoints = context.endpoints.borrow();
        let (endpoints_ready, endpoints_draining) = count_ready(&list, &endpoints);
        Self {
            name: context.settings.name.clone(),
            zone: context.settings.zone.clone(),
            incarnation: context.incarnation.to_string().into(),
            ready: context.readiness(now) == Readiness::Ready,
            partitioned: context.is_partitioned(),
            active: context.active.get(),
            configuration_version: configuration.version(),
            configuration_revision: configuration.position.revision(),
            configuration_era: configuration.position.era(),
            store_era: context.store.era(),
            proof_age_ms: configuration.proof.map(age_ms),
            endpoint_revision: list.position.revision(),
            endpoint_era: list.position.era(),
            endpoints_ready,
            endpoints_draining,
            endpoints_limited: endpoints.limited().len(),
            daemons_heard: sharing.heard,
            daemons_known: sharing.known,
            fleet_contact: context.fleet_contact.get().to_string(),
            lease_holder: lease.holder.clone(),
            lease_fence: lease.fence,
            lease_age_ms: lease.renewed_at.map(age_ms),
            quarantined: quarantined_states(context, now),
            endpoints_restricted: restricted_endpoints(&endpoints, now),
            rollouts: rollout_view::views(context, now),
        }
    }
}

/// Number of endpoints that take requests, by service, and number of those that don't.
fn count_ready(
    list: &EndpointList,
    endpoints: &EndpointTable,
) -> (BTreeMap<SharedName, usize>, usize) {
    let mut ready: BTreeMap<SharedName, usize> = BTreeMap::new();
    let mut draining = 0;
    for record in &list.endpoints {
        match endpoints.is_ready(&record.id) {
            true => *ready.entry(record.service.clone()).or_default() += 1,
            false => draining += 1,
        }
    }
    (ready, draining)
}

fn restricted_endpoints(endpoints: &EndpointTable, now: Instant) -> Vec<RestrictedState> {
    let restricted = endpoints.restricted(now).into_iter();
    let state = |(record, reasons): (&EndpointRecord, Vec<EndpointRestriction>)| RestrictedState {
        endpoint: record.id.clone(),
        service: record.service.clone(),
        reasons: reasons.iter().map(ToString::to_string).collect(),
    };
    restricted.map(state).collect()
}

fn quarantined_states(context: &GatewayContext, now: Instant) -> Vec<QuarantinedState> {
    let (requests, parts) = (context.crashes.borrow(), context.part_crashes.borrow());
    let requests = requests.quarantined().map(|(request, record)| (request.to_string(), record));
    let parts = parts.table().quarantined();
    let parts = parts.map(|(part, record)| (format!("{QUARANTINED_PART}{part}"), record));
    requests.chain(parts).filter_map(|(name, record)| state_of(name, record, now)).collect()
}

fn state_of(name: String, record: &CrashRecord, now: Instant) -> Option<QuarantinedState> {
    let (crashed, trial) = (record.last_crash()?, record.next_trial()?);
    Some(QuarantinedState {
        fingerprint: name,
        crashes: record.evidence(),
        crash_age_ms: now.saturating_duration_since(crashed).as_millis() as u64,
        trials: record.trials,
        trial_in_ms: trial.saturating_duration_since(now).as_millis() as u64,
    })
}
