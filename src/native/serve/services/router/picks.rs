//! Picks an endpoint for each attempt, and queues attempts while endpoints are full.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};

use super::{
    RouterService,
    messages::{EndpointSlot, PickOrder, PickReply},
    reclaims::RunningStream,
};
use crate::{
    endpoint_health::AttemptResult,
    ids::SharedName,
    native::{
        decide::{
            fair_queue::FairQueue,
            routing::{EndpointPick, RouteChoice, RouteQuery},
        },
        serve::services::send_reply,
    },
};

/// Most requests that wait for endpoints of one service. Bounds memory; the deadline of each pick
/// bounds the wait.
const QUEUE_LIMIT: usize = 2_000;
/// Duration assumed for an attempt until the first one has ended, in seconds.
const INITIAL_ATTEMPT_S: f64 = 1.0;
/// Weight of a new attempt in the moving average of durations: about the last twenty attempts count.
const SMOOTHING: f64 = 0.05;
/// Shortest retry-after when endpoints are full, in seconds: the same as in `decide::limits`.
const RETRY_AFTER_MIN_S: f64 = 0.1;
/// Longest retry-after when endpoints are full, in seconds: by then more VMs may have started.
const RETRY_AFTER_MAX_S: f64 = 60.0;

/// A pick that has not been replied to.
pub struct PendingPick {
    /// The request for an endpoint.
    pub order: Box<PickOrder>,
    /// Receives the reply.
    pub reply: oneshot::Sender<PickReply>,
}

impl RouterService {
    /// Serves a pick, or queues it.
    pub(super) fn pick(&mut self, order: Box<PickOrder>, reply: oneshot::Sender<PickReply>) {
        let service = order.service.clone();
        if self.needs_rebuild {
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

    /// Serves a pick, or returns it if endpoints are full.
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
            RouteChoice::NoEndpoint => {
                send_reply(pending.reply, PickReply::NoEndpoint);
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
        // If the request is gone, dropping the slot ends the attempt.
        send_reply(reply, PickReply::Slot(slot));
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
            send_reply(dropped.reply, PickReply::Busy(wait));
        }
    }

    /// Serves waiting picks until endpoints are full again.
    pub(super) fn serve_queue(&mut self, service: &SharedName) {
        loop {
            let Some(pending) = self.queues.get_mut(service).and_then(FairQueue::pop) else {
                return;
            };
            if pending.reply.is_closed() {
                continue;
            }
            if let Some(pending) = self.try_pick(pending) {
                // It had the lowest tag, so it stays first in the queue.
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

    /// Estimates how long a new request would wait, from the number of waiting requests and the rate
    /// at which attempts end.
    pub(super) fn expected_wait(&self, service: &SharedName) -> Duration {
        let waiting = self.queues.get(service).map_or(0, FairQueue::len) as f64;
        let attempt_s = self.attempt_s.get(service).copied().unwrap_or(INITIAL_ATTEMPT_S);
        let row = self.table.borrow().service(service);
        // If the row was deleted, one slot per endpoint is assumed.
        let concurrency = row.map_or(1.0, |row| f64::from(row.concurrency));
        let endpoints = self.routes.endpoints().filter(|(name, _)| *name == service).count();
        let slots = (endpoints as f64 * concurrency / self.daemons_per_endpoint).max(1.0);
        let wait = attempt_s * (waiting + 1.0) / slots;
        Duration::from_secs_f64(wait.clamp(RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S))
    }

    /// Adds the duration of an attempt that has ended to the moving average.
    pub(super) fn record_duration(&mut self, service: &SharedName, took: Duration) {
        let took = took.as_secs_f64();
        let mean = self.attempt_s.entry(service.clone()).or_insert(took);
        *mean += (took - *mean) * SMOOTHING;
    }
}
