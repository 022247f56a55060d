//! Inputs and results of the choice of an endpoint.

use std::sync::Arc;

use crate::{
    ids::SharedName,
    native::{cloud_api::messages::PriceClass, decide::limits::RequestPriority},
};

/// What is known of an endpoint from the VM list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointInfo {
    /// Identity of its VM.
    pub id: SharedName,
    /// Where it listens.
    pub address: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// How its VM is paid for.
    pub class: PriceClass,
}

/// The choice for one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointPick {
    /// Identity of the VM.
    pub id: SharedName,
    /// Where it listens.
    pub address: SharedName,
    /// Prompt blocks that it has probably cached.
    pub cached_blocks: usize,
}

/// Result of a search for an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub enum RouteChoice {
    /// This one.
    Endpoint(EndpointPick),
    /// All are as full as their row allows.
    Busy,
    /// There is none.
    Nowhere,
}

/// What a request asks of its route.
#[derive(Clone, Copy, Debug)]
pub struct RouteQuery<'a> {
    /// Service that is called.
    pub service: &'a str,
    /// Block hashes of the prompt.
    pub chain: &'a [u64],
    /// Endpoints that were tried already.
    pub exclude: &'a [SharedName],
    /// Whether the account is over its share.
    pub priority: RequestPriority,
}

/// Change of an engine's prefix cache.
#[derive(Clone, Debug, Default)]
pub struct CacheChange {
    /// Running number.
    pub sequence: u64,
    /// Blocks stored.
    pub stored: Arc<[u64]>,
    /// Blocks forgotten.
    pub forgotten: Arc<[u64]>,
}
