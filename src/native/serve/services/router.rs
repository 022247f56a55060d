//! Service that owns the routes: gives each attempt its endpoint, lets accounts take
//! turns when endpoints are full, and moves streams off endpoints that are leaving.

pub mod messages;
mod poll;

use std::{cell::Cell, collections::HashMap, rc::Rc, sync::Arc, time::Duration};

use rand::rngs::SmallRng;
use tokio::{
    sync::{oneshot, watch},
    time::{Instant, MissedTickBehavior, interval},
};

use super::{
    limit_service::ServiceLoads,
    router::{
        messages::{EndpointSlot, PickOrder, PickReply, RouterMessage, RouterStatus, StreamShape},
        poll::poll_endpoint,
    },
};
use crate::{
    endpoint_health::AttemptResult,
    http::client::HttpClient,
    ids::{AttemptId, IncarnationId, SharedName},
    kernel::{ServiceAddress, ServiceInbox},
    metrics::MetricsHandle,
    native::{
        cloud_api::messages::{ENTRY_SERVICE, ReclaimNotice, VmEntry, VmState},
        cluster::members::MemberList,
        decide::{
            fair_queue::FairQueue,
            reclaim::{LeavingStream, ReclaimWay, ReclaimWeights, plan_reclaim},
            routing::{EndpointInfo, EndpointPick, RouteChoice, RouteQuery, RouteTable},
            subset::{ring_position, window, window_size},
        },
        options::rows::{ServiceType, TableSnapshot},
        serve::timeline::{EventKind, TimelineHandle},
    },
};

/// Name of the service.
pub const NAME: &str = "router";
/// Time between looks at queues and changed inputs.
const TICK: Duration = Duration::from_millis(20);
/// Time between polls of the endpoints' load and cache events.
const POLL_EVERY: Duration = Duration::from_millis(2_000);
/// Most requests that wait for endpoints of one service.
const QUEUE_LIMIT: usize = 2_000;
/// Speeds assumed until measured: token, prompt token, and move of a token's cache.
const TOKEN_MS: f64 = 20.0;
const PREFILL_MS: f64 = 0.25;
const MOVE_MS: f64 = 0.125;

struct PendingPick {
    order: Box<PickOrder>,
    reply: oneshot::Sender<PickReply>,
}

struct RunningStream {
    service: SharedName,
    vm: SharedName,
    shape: StreamShape,
    produced: Rc<Cell<usize>>,
    way: watch::Sender<Option<ReclaimWay>>,
}

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
    sharing: f64,
    dirty: bool,
    loads: watch::Sender<ServiceLoads>,
    rng: SmallRng,
}

/// What the router works with.
pub struct RouterInputs {
    /// This daemon.
    pub own: IncarnationId,
    /// Its availability zone.
    pub zone: SharedName,
    /// The router's own address.
    pub address: ServiceAddress<RouterMessage>,
    /// Table in force.
    pub table: watch::Receiver<Arc<TableSnapshot>>,
    /// Members in force.
    pub members: watch::Receiver<Rc<MemberList>>,
    /// Connections to endpoints.
    pub http: HttpClient,
    /// Metrics.
    pub metrics: MetricsHandle,
    /// Time line.
    pub timeline: TimelineHandle,
    /// Where the load by service is published.
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
        sharing: 1.0,
        dirty: true,
        loads: inputs.loads,
        rng: rand::make_rng(),
    };
    let mut tick = interval(TICK);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut poll = interval(POLL_EVERY);
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
            RouterMessage::Notice(notice) => self.take_notice(&notice),
            RouterMessage::Pick(order, reply) => self.pick(order, reply),
            RouterMessage::Ended { service, id, attempt, result, chain, took } => {
                self.streams.remove(&attempt);
                self.routes.ended(&service, &id, result, &chain, Instant::now());
                self.learn_duration(&service, took);
                self.serve_queue(&service);
            }
            RouterMessage::Load { service, id, load } => {
                self.routes.report_load(&service, &id, load);
                self.serve_queue(&service);
            }
            RouterMessage::Cache { service, id, changes } => {
                for change in &changes {
                    self.routes.report_cache(&service, &id, change);
                }
            }
            RouterMessage::Status(reply) => {
                // NOTE: whoever asked may have gone meanwhile.
                let _ = reply.send(self.status());
            }
        }
    }

    fn set_vm(&mut self, id: SharedName, entry: Option<VmEntry>) {
        self.dirty = true;
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

    /// Rebuilds the subsets after a change of VMs, members or table.
    fn rebuild(&mut self) {
        self.dirty = false;
        let table = self.table.borrow_and_update().clone();
        let members = self.members.borrow_and_update().clone();
        let mut by_service: HashMap<SharedName, Vec<&VmEntry>> = HashMap::new();
        for vm in self.vms.values().filter(|vm| &*vm.service != ENTRY_SERVICE) {
            by_service.entry(vm.service.clone()).or_default().push(vm);
        }
        let (rank, daemons) = (members.rank(self.own), members.present_count().max(1));
        for row in table.services() {
            let mut vms = by_service.remove(&row.name).unwrap_or_default();
            vms.sort_by_key(|vm| (ring_position(&vm.id), vm.id.clone()));
            let chosen = window(rank, daemons, vms.len()).map(|index| to_info(vms[index]));
            let infos: Vec<EndpointInfo> = chosen.collect();
            let used = (window_size(daemons, vms.len()) * daemons) as f64;
            self.sharing = used / vms.len().max(1) as f64;
            self.routes.set_endpoints(&row.name, infos, row.concurrency, self.sharing);
        }
    }

    fn tick(&mut self) {
        let changed = |result: Result<bool, watch::error::RecvError>| result.unwrap_or(false);
        if self.dirty || changed(self.table.has_changed()) || changed(self.members.has_changed()) {
            self.rebuild();
        }
        self.publish_loads();
        let now = Instant::now();
        let services: Vec<SharedName> = self.queues.keys().cloned().collect();
        for service in services {
            let expired = self.queues.get_mut(&service).map(|queue| queue.expire(now));
            for pending in expired.unwrap_or_default() {
                let wait = self.expected_wait(&service);
                let _ = pending.reply.send(PickReply::Busy(wait));
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

    fn pick(&mut self, order: Box<PickOrder>, reply: oneshot::Sender<PickReply>) {
        let service = order.service.clone();
        if self.dirty {
            self.rebuild();
        }
        let waiting = self.queues.get(&service).is_some_and(|queue| !queue.is_empty());
        let pending = PendingPick { order, reply };
        if waiting {
            self.enqueue(pending);
        } else if let Some(pending) = self.try_pick(pending) {
            self.enqueue(pending);
        }
    }

    /// Serves a pick, or gives it back if endpoints are full.
    fn try_pick(&mut self, pending: PendingPick) -> Option<PendingPick> {
        let order = &pending.order;
        let query = RouteQuery {
            service: &order.service,
            chain: &order.chain,
            exclude: &order.exclude,
            priority: order.turn.priority,
        };
        match self.routes.pick(query, Instant::now(), &mut self.rng) {
            RouteChoice::Endpoint(pick) => {
                self.assign(pending, pick);
                None
            }
            RouteChoice::Busy => Some(pending),
            RouteChoice::Nowhere => {
                let _ = pending.reply.send(PickReply::Nowhere);
                None
            }
        }
    }

    fn assign(&mut self, pending: PendingPick, pick: EndpointPick) {
        let PendingPick { order, reply } = pending;
        self.routes.started(&order.service, &pick.id, &order.chain, Instant::now());
        let (way_sender, way) = watch::channel(None);
        let produced = Rc::new(Cell::new(0));
        let slot = EndpointSlot {
            pick: pick.clone(),
            way,
            produced: produced.clone(),
            result: Cell::new(AttemptResult::Neutral),
            service: order.service.clone(),
            attempt: order.attempt,
            chain: order.chain.clone(),
            started_at: Instant::now(),
            router: self.address.clone(),
        };
        if let Some(shape) = order.stream {
            let stream = RunningStream {
                service: order.service,
                vm: pick.id,
                shape,
                produced,
                way: way_sender,
            };
            self.streams.insert(order.attempt, stream);
        }
        // NOTE: if the request is gone, dropping the slot ends the attempt.
        let _ = reply.send(PickReply::Slot(slot));
    }

    fn enqueue(&mut self, pending: PendingPick) {
        let wait = self.expected_wait(&pending.order.service);
        let order = &pending.order;
        let turn = order.turn.clone();
        let deadline = order.deadline;
        let queue =
            self.queues.entry(order.service.clone()).or_insert_with(|| FairQueue::new(QUEUE_LIMIT));
        self.metrics.count("picks_queued", 1);
        if let Some(dropped) = queue.push(&turn, deadline, pending) {
            let _ = dropped.reply.send(PickReply::Busy(wait));
        }
    }

    fn serve_queue(&mut self, service: &SharedName) {
        loop {
            let Some(pending) = self.queues.get_mut(service).and_then(FairQueue::pop) else {
                return;
            };
            if pending.reply.is_closed() {
                continue;
            }
            if let Some(pending) = self.try_pick(pending) {
                // NOTE: it keeps its turn; tags are in the order of virtual time.
                self.requeue(pending);
                return;
            }
        }
    }

    fn requeue(&mut self, pending: PendingPick) {
        let order = &pending.order;
        let deadline = order.deadline;
        if let Some(queue) = self.queues.get_mut(&order.service) {
            queue.push_front(deadline, pending);
        }
    }

    /// When a request that comes now could be served: those that wait, at the pace at
    /// which attempts end.
    fn expected_wait(&self, service: &SharedName) -> Duration {
        const LONGEST_S: f64 = 60.0;
        let waiting = self.queues.get(service).map_or(0, FairQueue::len) as f64;
        let attempt_s = self.attempt_s.get(service).copied().unwrap_or(1.0);
        let row = self.table.borrow().service(service);
        let concurrency = row.map_or(1.0, |row| f64::from(row.concurrency));
        let endpoints = self.routes.endpoints().filter(|(name, _)| *name == service).count();
        let slots = (endpoints as f64 * concurrency / self.sharing).max(1.0);
        let wait = attempt_s * (waiting + 1.0) / slots;
        Duration::from_secs_f64(wait.clamp(0.1, LONGEST_S))
    }

    fn learn_duration(&mut self, service: &SharedName, took: Duration) {
        const SMOOTHING: f64 = 0.05;
        let took = took.as_secs_f64();
        let mean = self.attempt_s.entry(service.clone()).or_insert(took);
        *mean += (took - *mean) * SMOOTHING;
    }

    /// No new work for the VM from now on; its streams are told what to do.
    fn take_notice(&mut self, notice: &ReclaimNotice) {
        self.routes.mark_leaving(&notice.vm);
        let left_ms = notice.gone_at_ms.saturating_sub(crate::wall_clock_ms()) as f64;
        let affected: Vec<(&AttemptId, &RunningStream)> =
            self.streams.iter().filter(|(_, stream)| stream.vm == notice.vm).collect();
        let Some((_, first)) = affected.first() else { return };
        let weights = self.reclaim_weights(&first.service);
        let shapes: Vec<LeavingStream> =
            affected.iter().map(|(_, stream)| stream.leaving()).collect();
        let ways = plan_reclaim(&shapes, left_ms, &weights);
        for ((_, stream), (name, way)) in affected.iter().zip(ways) {
            stream.way.send_replace(Some(way));
            let detail = format!("{way:?} off VM {} in {left_ms} ms", notice.vm);
            self.timeline.record(EventKind::Moved, Some(name.to_string().into()), detail);
            self.metrics.count_labelled("reclaim_ways", "way", &format!("{way:?}"));
        }
    }

    fn reclaim_weights(&self, service: &SharedName) -> ReclaimWeights {
        let row = self.table.borrow().service(service);
        let recompute = row.map_or(1.0, |row| row.recompute_weight);
        ReclaimWeights {
            recompute,
            delay: 1.0,
            token_ms: TOKEN_MS,
            prefill_ms: PREFILL_MS,
            // NOTE: the daemons that share the endpoint move their streams at once.
            move_ms: MOVE_MS * self.sharing,
        }
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

impl RunningStream {
    fn leaving(&self) -> LeavingStream {
        let produced = self.produced.get();
        LeavingStream {
            name: self.shape.name.clone(),
            prompt_tokens: self.shape.prompt_tokens,
            produced,
            remaining: self.shape.max_tokens.saturating_sub(produced),
            cached_elsewhere: 0,
        }
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
