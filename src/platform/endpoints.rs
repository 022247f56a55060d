//! Decodes the entries that endpoints write about themselves into the store.

use std::net::SocketAddr;

use derive_more::{Display, Error, From};
use serde::{
    Deserialize, Deserializer,
    de::{Error as _, Unexpected},
};

use crate::{
    gateway::endpoint::{EndpointRecord, EndpointState, VALID_SLOTS, is_valid_id},
    ids::SharedName,
};

/// Kind of the endpoints' entries.
pub const ENDPOINT_KIND: &str = "servers";

/// Why an entry names no endpoint: another writer has written or changed it.
#[derive(Debug, Display, Error, From)]
pub enum EntryError {
    /// Its name can't be the id of an endpoint.
    #[display("its name is no id of an endpoint")]
    InvalidId,
    /// It lacks a field that every endpoint writes, or has one of another type, or a number of slots that no
    /// endpoint can have.
    Malformed(serde_json::Error),
}

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
/// The entry was written or changed by another writer.
pub fn decode(id: SharedName, text: &[u8]) -> Result<EndpointRecord, EntryError> {
    if !is_valid_id(&id) {
        return Err(EntryError::InvalidId);
    }
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
