//! Decodes the entries that endpoints write about themselves into the store.

use std::net::SocketAddr;

use serde::{
    Deserialize, Deserializer,
    de::{Error, Unexpected},
};

use crate::{
    gateway::endpoint::{EndpointRecord, EndpointState, VALID_SLOTS},
    ids::SharedName,
};

/// Kind of the endpoints' entries.
pub const ENDPOINT_KIND: &str = "servers";

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct EndpointSpec {
    service: SharedName,
    address: SocketAddr,
    zone: SharedName,
    #[serde(deserialize_with = "read_slots")]
    slots: u32,
    state: EndpointPhase,
    /// Start time in milliseconds since 1970; endpoints of earlier releases don't state it.
    #[serde(default)]
    born: u64,
    /// Whether the cloud may reclaim its VM.
    #[serde(default)]
    use_spot: bool,
    /// Not used. Decoded only to reject entries in which it has another type: no endpoint has written
    /// them.
    #[serde(default, rename = "seq")]
    _seq: u64,
    /// Version of its software.
    #[serde(default)]
    version: SharedName,
}

fn read_slots<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
    let slots = u32::deserialize(deserializer)?;
    match VALID_SLOTS.contains(&slots) {
        true => Ok(slots),
        false => {
            let unexpected = Unexpected::Unsigned(u64::from(slots));
            let expected = format!("slots from {} to {}", VALID_SLOTS.start(), VALID_SLOTS.end());
            Err(D::Error::invalid_value(unexpected, &&*expected))
        }
    }
}

/// State of an endpoint in its entry.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
enum EndpointPhase {
    Ready,
    Draining,
}

/// Decodes the entry of the endpoint `id`.
///
/// # Errors
///
/// The entry lacks a field that every endpoint writes, or has one of another type, or a number of slots that no
/// endpoint can have: it was written or changed by another writer.
pub fn decode(id: SharedName, text: &[u8]) -> Result<EndpointRecord, serde_json::Error> {
    let spec: EndpointSpec = serde_json::from_slice(text)?;
    let state = match spec.state {
        EndpointPhase::Ready => EndpointState::Ready,
        EndpointPhase::Draining => EndpointState::Draining,
    };
    Ok(EndpointRecord {
        id,
        born: spec.born,
        service: spec.service,
        address: spec.address,
        zone: spec.zone,
        version: spec.version,
        slots: spec.slots,
        state,
        reclaimable: spec.use_spot,
    })
}
