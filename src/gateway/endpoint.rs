//! Endpoints as the store lists them.
//!
//! Decoded by the platform's adapter. An endpoint's id names one start of it and is never used
//! again; its address may be.

use std::{net::SocketAddr, rc::Rc};

use crate::ids::SharedName;

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
    /// Identity of this start; never used again.
    pub id: SharedName,
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

/// All endpoints at one revision of the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointList {
    /// Revision of the store.
    pub revision: u64,
    /// Endpoints in the order of their ids.
    pub endpoints: Vec<Rc<EndpointRecord>>,
}
