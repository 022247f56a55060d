//! Service that owns the route table.
//!
//! It assigns an endpoint to each attempt (`picks`), queues the requests of all accounts in a fair
//! order while endpoints are full, and moves streams off endpoints that are leaving (`reclaims`).
//! The rules are in `decide`: routing, fair_queue, reclaim, subset.

pub mod messages;
mod picks;
mod poll;
mod reclaims;

use std::{collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rand::rngs::SmallRng;
use tokio::{
    sync::watch,
    time::{Instant, MissedTickBehavior, interval},
};

use super::{
    limit_service::ServiceLoads,
    router::{
        messages::{PickReply, RouterMessage, RouterStatus},
        picks::PendingPick,
        poll::poll_endpoint,
        reclaims::RunningStream,
    },
    send_reply,
};
use crate::{
    http::client::HttpClient,
    ids::{AttemptId, IncarnationId, SharedName},
    kernel::{ServiceAddress, ServiceInbox},
    metrics::MetricsHandle,
    native::{
        cloud_api::messages::{ENTRY_SERVICE, VmEntry, VmState},
        cluster::members::MemberList,
        decide::{
            fair_queue::FairQueue,
            routing::{EndpointInfo, RouteTable},
            subset::{ring_position, window, window_size},
        },
        options::rows::{ServiceType, TableSnapshot},
        serve::timeline::TimelineHandle,
    },
};

/// Name of the service.
pub const NAME: &str = "router";
/// Time between checks of queues and changed inputs: short compared with the time to a first token.
const TICK: Duration = Duration::from_millis(20);
/// Time between polls of the endpoints' load and cache events. More frequent polls
/// cost proportionally more traffic.
const POLL_INTERVAL: Duration = Duration::from_millis(2_000);

struct RouterService {
    own: IncarnationId,
    address: ServiceAddress<RouterMessage>,
    table: watch::Receiver<Arc<TableSnapshot>>,
    members: watch::Receiver<Rc<MemberList>>,
    http: HttpClient,
    metrics: MetricsHandle,
    timeline: TimelineHandle,
    vms: HashMap<SharedName, VmEntry>,
    routes: RouteTable,
    queues: HashMap<SharedName, FairQueue<PendingPick>>,
    streams: HashMap<AttemptId, RunningStream>,
    /// Mean time of an attempt, by service, in seconds.
    attempt_s: HashMap<SharedName, f64>,
    daemons_per_endpoint: f64,
    needs_rebuild: bool,
    loads: watch::Sender<ServiceLoads>,
    rng: SmallRng,
}

/// Inputs of the router.
pub struct RouterInputs {
    /// Incarnation of this daemon.
    pub own: IncarnationId,
    /// Its availability zone.
    pub zone: SharedName,
    /// The router's own address.
    pub address: ServiceAddress<RouterMessage>,
    /// Current table.
    pub table: watch::Receiver<Arc<TableSnapshot>>,
    /// Current members.
    pub members: watch::Receiver<Rc<MemberList>>,
    /// Connections to endpoints.
    pub http: HttpClient,
    /// Metrics.
    pub metrics: MetricsHandle,
    /// Time line.
    pub timeline: TimelineHandle,
    /// Channel on which the load by service is published.
    pub loads: watch::Sender<ServiceLoads>,
}

/// Runs the service.
pub async fn run(mut inbox: ServiceInbox<RouterMessage>, inputs: RouterInputs) {
    let mut service = RouterService {
        own: inputs.own,
        address: inputs.address,
        table: inputs.table,
        members: inputs.members,
        http: inputs.http,
        metrics: inputs.metrics,
        timeline: inputs.timeline,
        vms: HashMap::new(),
        routes: RouteTable::new(inputs.zone),
        queues: HashMap::new(),
        streams: HashMap::new(),
        attempt_s: HashMap::new(),
        daemons_per_endpoint: 1.0,
        needs_rebuild: true,
        loads: inputs.loads,
        rng: rand::make_rng(),
    };
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut poll = interval(POLL_INTERVAL);
    poll.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            message = inbox.recv() => match message {
                Some(message) => service.handle(message),
                None => return,
            },
            _ = tick.tick() => service.tick(),
            _ = poll.tick() => service.poll(),
        }
    }
}

impl RouterService {
    fn handle(&mut self, message: RouterMessage) {
        match message {
            RouterMessage::Vm { id, entry } => self.set_vm(id, entry),
            RouterMessage::Notice(notice) => self.apply_notice(&notice),
            RouterMessage::Pick(order, reply) => self.pick(order, reply),
            RouterMessage::Ended { service, id, attempt, result, chain, took } => {
                self.streams.remove(&attempt);
                self.routes.ended(&service, &id, result, &chain, Instant::now());
                self.record_duration(&service, took);
                self.serve_queue(&service);
            }
            RouterMessage::Load { service, id, load } => {
                self.routes.apply_load_report(&service, &id, load);
                self.serve_queue(&service);
            }
            RouterMessage::Cache { service, id, changes } => {
                for change in &changes {
                    self.routes.apply_cache_event(&service, &id, change);
                }
            }
            RouterMessage::Status(reply) => send_reply(reply, self.status()),
        }
    }

    fn set_vm(&mut self, id: SharedName, entry: Option<VmEntry>) {
        self.needs_rebuild = true;
        match entry {
            Some(entry) => {
                if entry.state == VmState::Leaving {
                    self.routes.mark_leaving(&id);
                }
                self.vms.insert(id, entry);
            }
            None => {
                self.vms.remove(&id);
            }
        }
    }

    /// Rebuilds the endpoint windows after a change of VMs, members or table.
    fn rebuild(&mut self) {
        self.needs_rebuild = false;
        let table = self.table.borrow_and_update().clone();
        let members = self.members.borrow_and_update().clone();
        let mut by_service: HashMap<SharedName, Vec<&VmEntry>> = HashMap::new();
        for vm in self.vms.values().filter(|vm| &*vm.service != ENTRY_SERVICE) {
            by_service.entry(vm.service.clone()).or_default().push(vm);
        }
        let (rank, daemons) = (members.rank(self.own), members.present_count().max(1));
        for row in table.services() {
            // A service without VMs has no endpoints.
            let mut vms = by_service.remove(&row.name).unwrap_or_default();
            vms.sort_by_key(|vm| (ring_position(&vm.id), vm.id.clone()));
            let chosen = window(rank, daemons, vms.len()).map(|index| to_info(vms[index]));
            let infos: Vec<EndpointInfo> = chosen.collect();
            let used = (window_size(daemons, vms.len()) * daemons) as f64;
            self.daemons_per_endpoint = used / vms.len().max(1) as f64;
            self.routes.set_endpoints(&row.name, infos, row.concurrency, self.daemons_per_endpoint);
        }
    }

    fn tick(&mut self) {
        // If a sender is gone, the daemon is stopping and its value no longer changes.
        let changed = |result: Result<bool, watch::error::RecvError>| result.unwrap_or(false);
        if self.needs_rebuild
            || changed(self.table.has_changed())
            || changed(self.members.has_changed())
        {
            self.rebuild();
        }
        self.publish_loads();
        let now = Instant::now();
        let services: Vec<SharedName> = self.queues.keys().cloned().collect();
        for service in services {
            let expired = self.queues.get_mut(&service).map(|queue| queue.expire(now));
            for pending in expired.into_iter().flatten() {
                let wait = self.expected_wait(&service);
                send_reply(pending.reply, PickReply::Busy(wait));
            }
            self.serve_queue(&service);
        }
    }

    fn publish_loads(&self) {
        let mut loads: HashMap<SharedName, f64> = self.routes.in_flight();
        for (service, queue) in &self.queues {
            *loads.entry(service.clone()).or_default() += queue.len() as f64;
        }
        self.loads.send_if_modified(|known| {
            let changed = **known != loads;
            if changed {
                *known = Rc::new(loads);
            }
            changed
        });
    }

    fn poll(&mut self) {
        let table = self.table.borrow().clone();
        for (service, info) in self.routes.endpoints() {
            if self.routes.is_leaving(&info.id) {
                continue;
            }
            let streams =
                table.service(service).is_some_and(|row| row.service_type == ServiceType::Model);
            let after = streams.then(|| self.routes.cache_sequence(service, &info.id));
            let poll = poll_endpoint(
                self.http.clone(),
                self.address.clone(),
                service.clone(),
                info.clone(),
                after,
            );
            tokio::task::spawn_local(poll);
        }
    }

    fn status(&self) -> RouterStatus {
        let mut status = RouterStatus { vms: self.vms.len(), ..RouterStatus::default() };
        status.leaving = self.vms.keys().filter(|id| self.routes.is_leaving(id)).count();
        for (service, _) in self.routes.endpoints() {
            *status.endpoints.entry(service.clone()).or_default() += 1;
        }
        for (service, queue) in &self.queues {
            status.waiting.insert(service.clone(), queue.len());
        }
        status
    }
}

fn to_info(vm: &VmEntry) -> EndpointInfo {
    EndpointInfo {
        id: vm.id.clone(),
        address: vm.address.clone(),
        zone: vm.zone.clone(),
        class: vm.class,
    }
}
