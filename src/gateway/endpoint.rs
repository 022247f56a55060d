//! Endpoints as the store lists them.
//!
//! Decoded by `platform::endpoints`. An endpoint may restart with the same id: id and start time together
//! identify one start. Endpoints that don't state their start time use a new id for each start. An
//! address may later be used by another endpoint.

use std::{net::SocketAddr, ops::RangeInclusive, rc::Rc};

use crate::{ids::SharedName, store_position::StorePosition};

/// Numbers of requests that an endpoint can process concurrently: up to far more than any real one does. A
/// number outside of this range was written by another writer.
pub const VALID_SLOTS: RangeInclusive<u32> = 1..=65_536;

/// Longest id of an endpoint, in bytes: that of a host name.
pub const MAX_ID_LENGTH: usize = 253;

/// Whether an endpoint can have this id. It is sent in a header of requests and in URLs of the store, and consists
/// only of characters that stand for themselves there (RFC 3986, section 2.3). Other names are those of entries of
/// another writer.
pub fn is_valid_id(id: &str) -> bool {
    let is_unreserved =
        |byte: u8| byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'.' | b'_' | b'~');
    let names_folder = matches!(id, "" | "." | "..");
    !names_folder && id.len() <= MAX_ID_LENGTH && id.bytes().all(is_unreserved)
}

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Is stopping: finishes its requests and takes no new ones.
    Draining,
}

/// One start of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Id, valid by [`is_valid_id`]; a later start may have the same one.
    pub id: SharedName,
    /// Start time in milliseconds since 1970 by the endpoint's own clock; 0 if not stated.
    pub born: u64,
    /// Service that it belongs to.
    pub service: SharedName,
    /// Address at which it listens; may later be used by another endpoint.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Version of its software; empty if not known.
    pub version: SharedName,
    /// Number of requests that it processes concurrently, one of [`VALID_SLOTS`].
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Whether the cloud may reclaim it at short notice.
    pub reclaimable: bool,
}

impl EndpointRecord {
    /// Whether both records are of the same start of the same endpoint. If one of them states no start
    /// time, only the ids are compared.
    pub fn is_same_start(&self, other: &Self) -> bool {
        let is_known = self.born != 0 && other.born != 0;
        self.id == other.id && (self.born == other.born || !is_known)
    }
}

/// All endpoints as of one position of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Position of the store.
    pub position: StorePosition,
    /// Endpoints, sorted by id.
    pub endpoints: Vec<Rc<EndpointRecord>>,
}

impl EndpointList {
    /// Removes the records with values that no endpoint can have, and returns them. A peer of the last
    /// release may pass them on.
    pub fn remove_invalid(&mut self) -> Vec<Rc<EndpointRecord>> {
        let is_invalid = |record: &mut Rc<EndpointRecord>| {
            !VALID_SLOTS.contains(&record.slots) || !is_valid_id(&record.id)
        };
        self.endpoints.extract_if(.., is_invalid).collect()
    }
}
