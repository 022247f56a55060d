//! What the tasks of one daemon share: addresses of its services, and the views that these
//! publish. The gateway has its own (`gateway::context`); nothing is shared between the two.

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
};

/// Weight of an account whose row was deleted while its request ran: the default of the row.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Everything a request's task needs: handles, no rules.
pub struct ServeContext {
    /// Kernel, for the life phase and child tasks.
    pub kernel: KernelHandle,
    /// Settings.
    pub settings: DaemonSettings,
    /// Who this daemon is.
    pub identity: Rc<LocalIdentity>,
    /// Connections to peers.
    pub pool: PeerPool,
    /// Connections to endpoints.
    pub http: HttpClient,
    /// The platform.
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
    /// Requests that run here.
    pub active: OpenCount,
    /// Clients that are being answered, also with what runs elsewhere.
    pub clients: OpenCount,
    /// Requests whose state is being mirrored from their holder.
    pub mirrors: RefCell<HashSet<RequestName>>,
    /// Attempts begun so far.
    pub attempts: Cell<u64>,
    /// Retry budgets by service.
    pub budgets: RefCell<HashMap<SharedName, RetryBucket>>,
}

impl ServeContext {
    /// Table as it is now.
    pub fn table(&self) -> Arc<TableSnapshot> {
        self.table.borrow().clone()
    }

    /// Weight of an account; one that was deleted meanwhile has the default.
    pub fn weight_of(&self, account: &str) -> f64 {
        self.table.borrow().account(account).map_or(DEFAULT_WEIGHT, |row| row.weight)
    }

    /// Members as known now.
    pub fn members(&self) -> Rc<MemberList> {
        self.members.borrow().clone()
    }

    /// This daemon as a holder of requests.
    pub fn holder(&self) -> RequestHolder {
        RequestHolder {
            incarnation: self.identity.incarnation,
            address: self.identity.address.clone(),
        }
    }

    /// Number for a new attempt.
    pub fn next_attempt(&self) -> AttemptId {
        let sequence = self.attempts.get() + 1;
        self.attempts.set(sequence);
        AttemptId { incarnation: self.identity.incarnation, sequence }
    }

    /// Uses the retry budget of a service.
    pub fn budget<T>(&self, service: &SharedName, act: impl FnOnce(&mut RetryBucket) -> T) -> T {
        act(self.budgets.borrow_mut().entry(service.clone()).or_default())
    }

    /// Target of a member that has not been removed.
    pub fn target(&self, incarnation: IncarnationId) -> Option<PeerTarget> {
        let members = self.members.borrow();
        let view = members.get(incarnation).filter(|view| view.is_present())?;
        Some(PeerTarget { incarnation, address: view.record.address.clone() })
    }

    /// Asks the router for an endpoint.
    pub async fn pick(&self, order: PickOrder) -> PickReply {
        let reply = self.router.ask(|reply| RouterMessage::Pick(Box::new(order), reply)).await;
        // An overloaded router counts as full endpoints.
        reply.unwrap_or(PickReply::Busy(RETRY_AFTER))
    }

    /// Whether this daemon takes no new work.
    pub fn is_leaving(&self) -> bool {
        *self.kernel.phase().borrow() >= LifePhase::Draining
    }

    /// Daemons that know who runs the request `name`: anyone can work them out from it.
    ///
    /// One more is placed than asked, so that two daemons which each skip themselves
    /// still have one in common.
    pub fn directory_targets(&self, name: &RequestName) -> Vec<PeerTarget> {
        let key = name.to_string();
        self.placed_targets(key.as_bytes(), self.identity.incarnation, self.settings.copies)
    }

    /// Daemons that keep the tokens of all requests that `holder` runs. They are the same
    /// for all its requests, so that one message carries the updates of many.
    pub fn partner_targets(&self, holder: IncarnationId, count: usize) -> Vec<PeerTarget> {
        let key = [b"partners".as_slice(), &holder.0.to_le_bytes()].concat();
        self.placed_targets(&key, holder, count)
    }

    /// Members placed for `key` without `skipped`, those of other availability zones than
    /// this daemon's first.
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

    /// Witness for a new ticket: a daemon in another availability zone if there is one,
    /// this daemon itself where it is alone.
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

    /// Notes that a peer was refused at the peer listener.
    pub fn record_refused_peer(&self, what: &str) {
        self.metrics.count("peers_refused", 1);
        spdlog::warn!("peer refused: {}", what, kv: { service = "peer-listener" });
    }

    /// Notes an event of a request.
    pub fn note(&self, kind: EventKind, name: &RequestName, detail: impl Into<String>) {
        self.timeline.record(kind, Some(name.to_string().into()), detail.into());
    }

    /// Notes an event of something other than a request.
    pub fn record_subject_event(
        &self,
        kind: EventKind,
        subject: &SharedName,
        detail: impl Into<String>,
    ) {
        self.timeline.record(kind, Some(subject.clone()), detail.into());
    }
}
