//! Endpoints as the store lists them.
//!
//! Decoded by the platform's adapter. An endpoint may start again under its id: id and time of
//! the start together name one start. Where endpoints don't say when they started, each start has
//! an id of its own. An address may later be another endpoint's.

use std::{net::SocketAddr, rc::Rc};

use crate::{ids::SharedName, store_position::StorePosition};

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Takes requests.
    Ready,
    /// Is stopping: finishes its requests, takes no new ones.
    Draining,
}

/// One start of one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointRecord {
    /// Identity, which a later start may have too.
    pub id: SharedName,
    /// When it started, in milliseconds since 1970 by its own clock; 0 if it doesn't say.
    pub born: u64,
    /// Service that it belongs to.
    pub service: SharedName,
    /// Where it listens; may later be another endpoint's.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: SharedName,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub state: EndpointState,
    /// Whether the cloud may reclaim it at short notice.
    pub reclaimable: bool,
}

impl EndpointRecord {
    /// Whether both are of one start of one endpoint. Where one doesn't say when it started,
    /// the id alone decides.
    pub fn is_same_start(&self, other: &Self) -> bool {
        let is_known = self.born != 0 && other.born != 0;
        self.id == other.id && (self.born == other.born || !is_known)
    }
}

/// All endpoints at one position of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Position of the store.
    pub position: StorePosition,
    /// Endpoints in the order of their ids.
    pub endpoints: Vec<Rc<EndpointRecord>>,
}
