//! Messages to the router, and its replies.

use std::{cell::Cell, collections::BTreeMap, rc::Rc, sync::Arc, time::Duration};

use serde::Serialize;
use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};

use crate::{
    endpoint_health::AttemptResult,
    ids::{AttemptId, RequestName, SharedName},
    kernel::ServiceAddress,
    native::{
        cloud_api::messages::{ReclaimNotice, VmEntry},
        decide::{
            fair_queue::QueueTurn,
            reclaim::ReclaimWay,
            routing::{CacheChange, EndpointPick},
        },
    },
};

/// Properties of a stream that matter for moving it.
#[derive(Clone, Debug)]
pub struct StreamShape {
    /// Name of the request.
    pub name: RequestName,
    /// Number of tokens of its prompt.
    pub prompt_tokens: usize,
    /// Largest number of tokens of its response.
    pub max_tokens: usize,
}

/// Request of an attempt for an endpoint.
#[derive(Debug)]
pub struct PickOrder {
    /// Service.
    pub service: SharedName,
    /// Determines its place in the queue when endpoints are full.
    pub turn: QueueTurn,
    /// Block hashes of the prompt.
    pub chain: Arc<[u64]>,
    /// Endpoints that were tried already.
    pub exclude: Vec<SharedName>,
    /// Time at which the attempt stops waiting for an endpoint.
    pub deadline: Instant,
    /// Attempt.
    pub attempt: AttemptId,
    /// Stream, if the service streams.
    pub stream: Option<StreamShape>,
}

/// Endpoint assigned to an attempt. Dropping it tells the router that the attempt has ended.
#[derive(Debug)]
pub struct EndpointSlot {
    /// Endpoint.
    pub pick: EndpointPick,
    /// How to leave the endpoint, once it has a reclaim notice.
    pub way: watch::Receiver<Option<ReclaimWay>>,
    /// Tokens produced so far, kept up to date by the attempt.
    pub produced: Rc<Cell<usize>>,
    /// How the attempt ended; set before the slot is dropped.
    pub result: Cell<AttemptResult>,
    pub(super) service: SharedName,
    pub(super) attempt: AttemptId,
    pub(super) chain: Arc<[u64]>,
    pub(super) started_at: Instant,
    pub(super) router: ServiceAddress<RouterMessage>,
}

impl EndpointSlot {
    /// Attempt to which the endpoint is assigned.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        // Fails when the router's inbox is full, or when the router has stopped with the daemon.
        let _ = self.router.send(RouterMessage::Ended {
            service: self.service.clone(),
            id: self.pick.id.clone(),
            attempt: self.attempt,
            result: self.result.get(),
            chain: self.chain.clone(),
            took: self.started_at.elapsed(),
        });
    }
}

/// Reply to a pick.
#[derive(Debug)]
pub enum PickReply {
    /// An endpoint was assigned.
    Slot(EndpointSlot),
    /// No endpoint was free in time; the client may retry after this.
    Busy(Duration),
    /// The service has no usable endpoint.
    NoEndpoint,
}

/// Messages to the service.
#[derive(Debug)]
pub enum RouterMessage {
    /// A VM was added to the list or changed (`Some`), or was removed from it (`None`).
    Vm {
        /// Identity.
        id: SharedName,
        /// Entry.
        entry: Option<VmEntry>,
    },
    /// A VM has a reclaim notice.
    Notice(ReclaimNotice),
    /// An attempt needs an endpoint.
    Pick(Box<PickOrder>, oneshot::Sender<PickReply>),
    /// An attempt has ended.
    Ended {
        /// Service.
        service: SharedName,
        /// VM.
        id: SharedName,
        /// Attempt.
        attempt: AttemptId,
        /// Result.
        result: AttemptResult,
        /// Block hashes of the prompt, which the endpoint now has cached.
        chain: Arc<[u64]>,
        /// Duration of the attempt.
        took: Duration,
    },
    /// An endpoint has reported its load.
    Load {
        /// Service.
        service: SharedName,
        /// VM.
        id: SharedName,
        /// Running and waiting requests.
        load: u32,
    },
    /// An endpoint has reported changes to its cache.
    Cache {
        /// Service.
        service: SharedName,
        /// VM.
        id: SharedName,
        /// Changes.
        changes: Vec<CacheChange>,
    },
    /// State, for operators.
    Status(oneshot::Sender<RouterStatus>),
}

/// State of the router, for operators.
#[derive(Clone, Debug, Default, Serialize)]
pub struct RouterStatus {
    /// VMs known.
    pub vms: usize,
    /// VMs leaving.
    pub leaving: usize,
    /// Endpoints used by this daemon, by service.
    pub endpoints: BTreeMap<SharedName, usize>,
    /// Requests waiting, by service.
    pub waiting: BTreeMap<SharedName, usize>,
}
