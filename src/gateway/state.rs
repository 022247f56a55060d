//! What a daemon believes, as operators see it: everything with its version or age.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{context::GatewayContext, endpoint::EndpointState};
use crate::ids::SharedName;

/// Beliefs of one daemon. Ages are in milliseconds.
#[derive(Clone, Debug, Serialize, Deserialize, PartialEq)]
pub struct GatewayState {
    /// Name of the daemon's VM.
    pub name: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// This start of it.
    pub incarnation: SharedName,
    /// Whether it takes new connections.
    pub ready: bool,
    /// Requests in progress.
    pub active: usize,
    /// Version of the configuration in force; 0 if there is none.
    pub configuration_version: u64,
    /// Its revision in the store.
    pub configuration_revision: u64,
    /// Age of the newest proof that it is the newest; none if there never was one.
    pub proof_age_ms: Option<u64>,
    /// Revision of the list of endpoints.
    #[serde(rename = "replica_revision")]
    pub endpoint_revision: u64,
    /// Endpoints that take requests, by service.
    #[serde(rename = "replicas_ready")]
    pub endpoints_ready: BTreeMap<SharedName, usize>,
    /// Endpoints that are leaving.
    #[serde(rename = "replicas_draining")]
    pub endpoints_draining: usize,
    /// Daemons that were heard just now, this one included.
    pub daemons_heard: usize,
    /// Daemons that are taken to run.
    pub daemons_known: usize,
    /// Holder of the duties' lease, as far as known.
    pub lease_holder: Option<SharedName>,
    /// Its fence.
    pub lease_fence: u64,
    /// Age of the newest renewal heard of.
    pub lease_age_ms: Option<u64>,
}

impl GatewayState {
    /// What the daemon believes now.
    pub fn of(context: &GatewayContext) -> Self {
        let now = Instant::now();
        let age_ms = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
        let configuration = context.configuration.borrow();
        let lease = context.lease.borrow();
        let list = context.endpoint_list.borrow();
        let sharing = context.sharing(now);
        let mut endpoints_ready: BTreeMap<SharedName, usize> = BTreeMap::new();
        let mut endpoints_draining = 0;
        for record in &list.endpoints {
            match record.state {
                EndpointState::Ready => {
                    *endpoints_ready.entry(record.service.clone()).or_default() += 1;
                }
                EndpointState::Draining => endpoints_draining += 1,
            }
        }
        Self {
            name: context.settings.name.clone(),
            zone: context.settings.zone.clone(),
            incarnation: context.incarnation.to_string().into(),
            ready: context.is_ready(now),
            active: context.active.get(),
            configuration_version: configuration.current.as_ref().map_or(0, |one| one.version),
            configuration_revision: configuration.revision,
            proof_age_ms: configuration.proof.map(age_ms),
            endpoint_revision: list.revision,
            endpoints_ready,
            endpoints_draining,
            daemons_heard: sharing.heard,
            daemons_known: sharing.known,
            lease_holder: lease.holder.clone(),
            lease_fence: lease.fence,
            lease_age_ms: lease.renewed_at.map(age_ms),
        }
    }
}
