//! Inputs and results of choosing an endpoint.

use std::sync::Arc;

use crate::{
    ids::SharedName,
    native::{cloud_api::messages::PriceClass, decide::limits::RequestPriority},
};

/// An endpoint's entry in the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Id of its VM.
    pub id: SharedName,
    /// Address on which it listens.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Price class of its VM.
    pub class: PriceClass,
}

/// The endpoint chosen for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPick {
    /// Id of its VM.
    pub id: SharedName,
    /// Address on which it listens.
    pub address: SharedName,
    /// Number of prompt blocks that it has probably cached.
    pub cached_blocks: usize,
}

/// Result of a search for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteChoice {
    /// The endpoint to use.
    Endpoint(EndpointPick),
    /// All endpoints have as many requests as the service's row allows.
    Busy,
    /// There is no endpoint that may be used.
    NoEndpoint,
}

/// A request for which an endpoint is to be chosen.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// Block hashes of the prompt.
    pub chain: &'a [u64],
    /// Ids of endpoints that must not be chosen, such as those tried before.
    pub exclude: &'a [SharedName],
    /// Priority: low if the account is over its share.
    pub priority: RequestPriority,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct CacheChange {
    /// Sequence number, which increases with each change.
    pub sequence: u64,
    /// Blocks that were stored.
    pub stored: Arc<[u64]>,
    /// Blocks that were evicted.
    pub forgotten: Arc<[u64]>,
}
