//! State shared by the tasks of one daemon: addresses of its services, and the state that these
//! publish. The gateway has its own context (`gateway::context`); the two share nothing.

use std::{
    cell::{Cell, RefCell},
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
};

use tokio::sync::watch;

use super::{
    RETRY_AFTER,
    services::{
        copies::messages::CopyMessage,
        limit_service::LimitMessage,
        router::messages::{PickOrder, PickReply, RouterMessage},
        store_service::RequestMessage,
        ticket_service::TicketMessage,
    },
    timeline::{EventKind, TimelineHandle},
};
use crate::{
    counting::OpenCount,
    http::client::HttpClient,
    ids::{AttemptId, IncarnationId, RequestName, SharedName},
    kernel::{KernelHandle, LifePhase, ServiceAddress},
    metrics::MetricsHandle,
    native::{
        cloud_api::client::PlatformClient,
        cluster::{events::PeerTarget, members::MemberList, service::ClusterMessage},
        decide::retries::RetryBucket,
        options::{rows::TableSnapshot, settings::DaemonSettings},
        peer::{LocalIdentity, client::PeerPool},
        request::copy::RequestHolder,
    },
    response_memory::ResponseMemory,
};

/// Weight of an account whose row was deleted while its request ran: the same as a row's default.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Handles that the tasks of a request need. The rules are elsewhere.
pub struct ServeContext {
    /// Kernel, for the life phase and child tasks.
    pub kernel: KernelHandle,
    /// Settings.
    pub settings: DaemonSettings,
    /// Identity of this daemon.
    pub identity: Rc<LocalIdentity>,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Connections to endpoints.
    pub http: HttpClient,
    /// Memory of what endpoints have sent and what isn't stored yet.
    pub response_memory: ResponseMemory,
    /// Client of the platform.
    pub platform: PlatformClient,
    /// Cluster service.
    pub cluster: ServiceAddress<ClusterMessage>,
    /// Request store.
    pub requests: ServiceAddress<RequestMessage>,
    /// Ticket ledgers.
    pub tickets: ServiceAddress<TicketMessage>,
    /// Router.
    pub router: ServiceAddress<RouterMessage>,
    /// Copier.
    pub copies: ServiceAddress<CopyMessage>,
    /// Limiter.
    pub limits: ServiceAddress<LimitMessage>,
    /// Current table.
    pub table: watch::Receiver<Arc<TableSnapshot>>,
    /// Current member list.
    pub members: watch::Receiver<Rc<MemberList>>,
    /// Counters and histograms.
    pub metrics: MetricsHandle,
    /// Time line.
    pub timeline: TimelineHandle,
    /// Number of requests that run at this daemon.
    pub active: OpenCount,
    /// Number of clients being answered, including those whose requests another daemon runs.
    pub clients: OpenCount,
    /// Requests whose state is being copied from their holder.
    pub mirrors: RefCell<HashSet<RequestName>>,
    /// Number of attempts begun so far.
    pub attempts: Cell<u64>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<SharedName, RetryBucket>>,
}

impl ServeContext {
    /// Current table.
    pub fn table(&self) -> Arc<TableSnapshot> {
        self.table.borrow().clone()
    }

    /// Weight of an account; the default if its row was deleted.
    pub fn weight_of(&self, account: &str) -> f64 {
        self.table.borrow().account(account).map_or(DEFAULT_WEIGHT, |row| row.weight)
    }

    /// Current member list.
    pub fn members(&self) -> Rc<MemberList> {
        self.members.borrow().clone()
    }

    /// This daemon, as the holder of a request.
    pub fn holder(&self) -> RequestHolder {
        RequestHolder {
            incarnation: self.identity.incarnation,
            address: self.identity.address.clone(),
        }
    }

    /// Identity for a new attempt.
    pub fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.get() + 1;
        self.attempts.set(sequence);
        AttemptId { incarnation: self.identity.incarnation, sequence }
    }

    /// Calls `act` with the retry budget of a service.
    pub fn budget<T>(&self, service: &SharedName, act: impl FnOnce(&mut RetryBucket) -> T) -> T {
        act(self.budgets.borrow_mut().entry(service.clone()).or_default())
    }

    /// Address of a member; `None` if it has been removed.
    pub fn target(&self, incarnation: IncarnationId) -> Option<PeerTarget> {
        let members = self.members.borrow();
        let view = members.get(incarnation).filter(|view| view.is_present())?;
        Some(PeerTarget { incarnation, address: view.record.address.clone() })
    }

    /// Requests an endpoint from the router.
    pub async fn pick(&self, order: PickOrder) -> PickReply {
        let reply = self.router.ask(|reply| RouterMessage::Pick(Box::new(order), reply)).await;
        // An overloaded router is treated like full endpoints.
        reply.unwrap_or(PickReply::Busy(RETRY_AFTER))
    }

    /// Whether this daemon is leaving and accepts no new work.
    pub fn is_leaving(&self) -> bool {
        *self.kernel.phase().borrow() >= LifePhase::Draining
    }

    /// Daemons that know who runs the request `name`. Every daemon can compute them from the name.
    ///
    /// One more daemon is selected than is used, so that two daemons which each skip themselves still
    /// have one in common.
    pub fn directory_targets(&self, name: &RequestName) -> Vec<PeerTarget> {
        let key = name.to_string();
        self.placed_targets(key.as_bytes(), self.identity.incarnation, self.settings.copies)
    }

    /// Daemons that keep the tokens of the requests that `holder` runs. They are the same for all
    /// these requests, so that one message carries the updates of many.
    pub fn partner_targets(&self, holder: IncarnationId, count: usize) -> Vec<PeerTarget> {
        let key = [b"partners".as_slice(), &holder.0.to_le_bytes()].concat();
        self.placed_targets(&key, holder, count)
    }

    /// Members selected for `key` except `skipped`; those in other availability zones than this
    /// daemon's come first.
    fn placed_targets(&self, key: &[u8], skipped: IncarnationId, count: usize) -> Vec<PeerTarget> {
        let members = self.members.borrow();
        let mut placed = members.placed_for(key, self.settings.copies + 1);
        placed.retain(|placed| *placed != skipped);
        let own_zone = |placed: &IncarnationId| {
            members.get(*placed).is_some_and(|view| view.record.zone == self.identity.zone)
        };
        placed.sort_by_key(own_zone);
        placed.truncate(count);
        placed.into_iter().filter_map(|placed| self.target(placed)).collect()
    }

    /// Chooses the witness for a new ticket: a daemon in another availability zone if there is one, or
    /// this daemon itself if it is alone.
    pub fn choose_witness(&self) -> IncarnationId {
        let own = self.identity.incarnation;
        let members = self.members.borrow();
        let point = crate::ids::hash_parts(&[&self.attempts.get().to_le_bytes()]);
        let mut fallback = None;
        for incarnation in members.successors(point, members.present_count(), own) {
            let Some(view) = members.get(incarnation).filter(|view| view.takes_work()) else {
                continue;
            };
            if view.record.zone != self.identity.zone {
                return incarnation;
            }
            fallback = fallback.or(Some(incarnation));
        }
        fallback.unwrap_or(own)
    }

    /// Counts and logs that the peer listener refused a peer.
    pub fn record_refused_peer(&self, what: &str) {
        self.metrics.count("peers_refused", 1);
        spdlog::warn!("peer refused: {}", what, kv: { service = "peer-listener" });
    }

    /// Records an event of a request in the time line.
    pub fn record_event(&self, kind: EventKind, name: &RequestName, detail: impl Into<String>) {
        self.timeline.record(kind, Some(name.to_string().into()), detail.into());
    }

    /// Records an event of something other than a request in the time line.
    pub fn record_subject_event(
        &self,
        kind: EventKind,
        subject: &SharedName,
        detail: impl Into<String>,
    ) {
        self.timeline.record(kind, Some(subject.clone()), detail.into());
    }
}
