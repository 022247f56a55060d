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

/// A stream, as far as moving it matters.
#[derive(Clone, Debug)]
pub struct StreamShape {
    /// Request.
    pub name: RequestName,
    /// Tokens of its prompt.
    pub prompt_tokens: usize,
    /// Tokens of its whole response.
    pub max_tokens: usize,
}

/// What an attempt asks of the router.
#[derive(Debug)]
pub struct PickOrder {
    /// Service.
    pub service: SharedName,
    /// Turn it takes when endpoints are full.
    pub turn: QueueTurn,
    /// Block hashes of the prompt.
    pub chain: Arc<[u64]>,
    /// Endpoints tried already.
    pub exclude: Vec<SharedName>,
    /// Latest time at which an endpoint is of use.
    pub deadline: Instant,
    /// Attempt.
    pub attempt: AttemptId,
    /// Stream, if the service streams.
    pub stream: Option<StreamShape>,
}

/// Endpoint given to an attempt; the attempt ends when this is dropped.
#[derive(Debug)]
pub struct EndpointSlot {
    /// Endpoint.
    pub pick: EndpointPick,
    /// What to do about a notice, once there is one.
    pub way: watch::Receiver<Option<ReclaimWay>>,
    /// Tokens produced so far, kept up to date by the attempt.
    pub produced: Rc<Cell<usize>>,
    /// How it ended; set before the drop.
    pub result: Cell<AttemptResult>,
    pub(super) service: SharedName,
    pub(super) attempt: AttemptId,
    pub(super) chain: Arc<[u64]>,
    pub(super) started_at: Instant,
    pub(super) router: ServiceAddress<RouterMessage>,
}

impl EndpointSlot {
    /// Attempt it was given to.
    pub fn attempt(&self) -> AttemptId {
        self.attempt
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        // Fails when the router's inbox is full, or when the router has ended with the daemon.
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

/// Answer to a pick.
#[derive(Debug)]
pub enum PickReply {
    /// An endpoint.
    Slot(EndpointSlot),
    /// None in time; the client may retry after this.
    Busy(Duration),
    /// The service has no usable endpoint.
    Nowhere,
}

/// Messages to the service.
#[derive(Debug)]
pub enum RouterMessage {
    /// A VM is in the list (`Some`) or no longer (`None`).
    Vm {
        /// Identity.
        id: SharedName,
        /// Entry.
        entry: Option<VmEntry>,
    },
    /// A VM has a notice.
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
        /// Block hashes now cached there.
        chain: Arc<[u64]>,
        /// How long it took.
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
    /// An endpoint has reported changes of its cache.
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
