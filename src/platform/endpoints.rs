//! Decodes the entries that endpoints keep of themselves in the store. Keys that the gateway
//! does not use (`version`, `cold-left-ms`, `seq`) are ignored.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::{
    gateway::endpoint::{EndpointRecord, EndpointState},
    ids::SharedName,
};

/// Kind of the endpoints' entries.
pub const ENDPOINT_KIND: &str = "servers";

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EndpointSpec {
    service: SharedName,
    address: SocketAddr,
    #[serde(default)]
    zone: SharedName,
    #[serde(default)]
    slots: u32,
    /// `draining`, or anything else for an endpoint that takes requests.
    state: Option<String>,
    /// Whether the cloud may reclaim its VM.
    #[serde(default)]
    use_spot: bool,
}

/// Decodes the entry of the endpoint `id`.
pub fn decode(id: SharedName, text: &[u8]) -> Result<EndpointRecord, serde_json::Error> {
    let spec: EndpointSpec = serde_json::from_slice(text)?;
    let state = match spec.state.as_deref() {
        Some("draining") => EndpointState::Draining,
        // A state that we do not know must not take a working endpoint out of use; one that
        // does not want a request refuses it as not run.
        _ => EndpointState::Ready,
    };
    Ok(EndpointRecord {
        id,
        service: spec.service,
        address: spec.address,
        zone: spec.zone,
        slots: spec.slots.max(1),
        state,
        reclaimable: spec.use_spot,
    })
}
