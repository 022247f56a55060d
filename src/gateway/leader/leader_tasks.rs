//! Runs the tasks of the daemon that holds the leader lease: usage reports and endpoint orders.
//!
//! Every daemon runs this loop; a daemon that is not the holder tries to acquire the lease. Before the
//! holder sends a report, it writes it into the lease and waits until the other daemons know its window,
//! so that a successor can only send the same counts again, or none if the store has lost the report.
//! Calls to the cloud carry the fence of the lease. When the store fails, the holder stops acting once
//! its last renewal is too old; reports and orders then wait until some daemon can write the lease.

use std::{ops::Range, rc::Rc, time::Duration};

use futures::future::join_all;
use rand::RngExt;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{
    endpoint_orders::{cloud_order, holdings, observe_service},
    lease_acquire::AcquireResult,
    lease_keeper::LeaseKeeper,
    lease_record::{LeaseRecord, UsageReport},
    rollout_tasks,
};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{
        context::GatewayContext,
        policy::leader::{
            endpoint_orders::{EndpointOrders, OrderResult, ZoneOrder},
            leader_lease::{HoldDecision, LossReason, attempt_pause},
            reclaim_wave::ReclaimWaves,
            usage_reports::{due_window, has_received_counts},
            zone_plan::PriceClass,
        },
        settings::LeaderTask,
    },
    platform::cloud::{CloudClient, CloudOutcome, EndpointOrder},
    store_position::StorePosition,
};

/// Name of the service.
pub const NAME: &str = "leader-tasks";
/// Interval between checks for due tasks: one gossip interval.
const TICK: Duration = Duration::from_millis(100);
/// Random factor of the pause after a failed call, so that daemons do not retry all at once.
const RETRY_JITTER: Range<f64> = 0.8..1.5;

/// State of the leader tasks of one daemon.
struct LeaderTasks {
    context: Rc<GatewayContext>,
    cloud: CloudClient,
    lease: LeaseKeeper,
    /// Newest usage window that this process has reported to the cloud.
    sent_window: Option<u64>,
    /// When the other daemons will have learned of the report in the lease.
    report_shared_at: Instant,
    next_attempt_at: Instant,
    orders: EndpointOrders,
    waves: ReclaimWaves,
    /// Position of the endpoint list last passed to `waves`.
    watched_position: StorePosition,
}

/// Runs the leader tasks while this daemon holds the lease and tries to acquire it otherwise, until
/// the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    let Some(address) = context.settings.cloud_address else {
        return std::future::pending().await;
    };
    let mut tasks = LeaderTasks {
        cloud: CloudClient::new(address),
        lease: LeaseKeeper::new(context.clone()),
        sent_window: None,
        report_shared_at: boot_clock::now(),
        next_attempt_at: boot_clock::now(),
        orders: EndpointOrders::default(),
        waves: ReclaimWaves::default(),
        watched_position: StorePosition::NONE,
        context,
    };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    if let Err(error) = tasks.lease.read_at_start().await {
        spdlog::warn!("leader task", kv: { outcome = "failed", error: = error });
    }
    loop {
        ticks.tick().await;
        tasks.tick().await;
    }
}

impl LeaderTasks {
    async fn tick(&mut self) {
        let now = boot_clock::now();
        self.watch_reclaims(now);
        if now < self.next_attempt_at {
            return;
        }
        let result = match self.lease.is_holder() {
            true => self.lead().await,
            false => self.try_acquire().await,
        };
        if let Err(error) = result {
            spdlog::warn!("leader task", kv: { outcome = "failed", error: = error });
            let jitter = rand::rng().random_range(RETRY_JITTER);
            let daemons = self.context.sharing(now).known;
            let pause = attempt_pause(self.lease.is_holder(), daemons);
            self.next_attempt_at = boot_clock::now() + pause.mul_f64(jitter);
        }
    }

    /// Passes the endpoint counts to `waves` when the endpoint list has changed. Daemons that do not hold
    /// the lease do this too, since whichever acquires it must know about recent reclaims.
    fn watch_reclaims(&mut self, now: Instant) {
        let position = self.context.endpoint_list.borrow().position;
        if position == self.watched_position {
            return;
        }
        let Some(configuration) = self.context.configuration() else { return };
        for service in configuration.services.values() {
            if service.fleet.is_some() {
                self.waves.observe(&service.name, &holdings(&self.context, service), now);
            }
        }
        self.watched_position = position;
    }

    async fn try_acquire(&mut self) -> Result<(), StepError> {
        match self.lease.try_acquire().await? {
            AcquireResult::Acquired { required_endpoints } => {
                self.orders = EndpointOrders::after(required_endpoints);
            }
            AcquireResult::RetryAt(at) => self.next_attempt_at = at,
            AcquireResult::NotAcquired => {}
        }
        Ok(())
    }

    /// Renews the lease if necessary, orders endpoints, advances roll-outs and sends the usage report.
    async fn lead(&mut self) -> Result<(), StepError> {
        let is_renewal_due = match self.lease.check_hold().await? {
            HoldDecision::Lose(_) | HoldDecision::Release => return Ok(()),
            HoldDecision::Renew => true,
            HoldDecision::Keep => false,
        };
        let Some(record) = self.lease.record() else { return Ok(()) };
        let due = self.due_report(record);
        if due.is_some() || is_renewal_due {
            let is_new = due.is_some();
            let report = due.or_else(|| record.report.clone());
            if !self.lease.renew(report, self.orders.required_endpoints()).await? {
                return Ok(());
            }
            if is_new {
                let now = boot_clock::now();
                self.report_shared_at = now + self.context.sharing(now).report_age;
            }
        }
        // Orders go first: a report may be sent seconds later without being late.
        self.order_endpoints().await?;
        let advanced = self.advance_rollouts().await;
        // Sent although a state can't be recorded.
        self.send_report().await.and(advanced)
    }

    /// Advances roll-outs and records their states.
    async fn advance_rollouts(&mut self) -> Result<(), StepError> {
        if !self.lease.may_act() {
            return Ok(());
        }
        rollout_tasks::advance_plans(&self.context, boot_clock::now());
        rollout_tasks::record_states(&self.context).await
    }

    /// The next usage report that is due; none until the report before it has been sent.
    fn due_report(&self, record: &LeaseRecord) -> Option<UsageReport> {
        if !self.context.settings.leader_tasks.contains(&LeaderTask::UsageReports) {
            return None;
        }
        if record.report.as_ref().is_some_and(|report| !self.is_reported(report.window)) {
            return None;
        }
        let now = boot_clock::now();
        let report_age = self.context.sharing(now).report_age;
        if !has_received_counts(self.context.age(now), report_age) {
            return None;
        }
        let last_reported = record.report.as_ref().map(|report| report.window);
        let now_ms = self.context.wall_clock.borrow().now_ms(now);
        let length = self.context.settings.bounds.usage_window;
        let first_window = record.first_window.max(self.context.lease.borrow().next_window);
        let window = due_window(last_reported, first_window, now_ms, length)?;
        Some(UsageReport { window, counts: self.context.usage.borrow().total(window) })
    }

    /// Whether this process has reported the window, or a later window is known to be reported.
    fn is_reported(&self, window: u64) -> bool {
        let is_sent = self.sent_window.is_some_and(|sent| window <= sent);
        is_sent || window + 1 < self.context.lease.borrow().next_window
    }

    async fn send_report(&mut self) -> Result<(), StepError> {
        let report = self.lease.record().and_then(|record| record.report.clone());
        let Some(report) = report else { return Ok(()) };
        let is_shared = boot_clock::now() >= self.report_shared_at;
        if self.is_reported(report.window) || !is_shared || !self.lease.may_act() {
            return Ok(());
        }
        let holder = self.lease.holder();
        let outcome = self.cloud.report(&holder, report.window, &report.counts).await?;
        let total: u64 = report.counts.values().sum();
        spdlog::info!("usage report", kv: {
            window = report.window, total, outcome:? = outcome, fence = self.lease.holder().fence
        });
        match outcome {
            CloudOutcome::Fenced => self.lease.lose(LossReason::Fenced),
            CloudOutcome::Done | CloudOutcome::CapacityRefused => {
                self.sent_window = Some(report.window);
            }
        }
        Ok(())
    }

    async fn order_endpoints(&mut self) -> Result<(), StepError> {
        if !self.context.settings.leader_tasks.contains(&LeaderTask::EndpointOrders) {
            return Ok(());
        }
        let due = self.due_orders(boot_clock::now());
        if due.is_empty() || !self.lease.may_act() {
            return Ok(());
        }
        let holder = self.lease.holder();
        let cloud_orders: Vec<EndpointOrder> = due.iter().map(cloud_order).collect();
        // Sent concurrently: an order that gets no response must delay neither the others nor the
        // renewal of the lease.
        let calls = cloud_orders.iter().map(|order| self.cloud.order(&holder, order));
        let responses = join_all(calls).await;
        for (order, response) in due.iter().zip(responses) {
            self.finish_order(order, response);
        }
        Ok(())
    }

    /// Orders that are due for all services.
    fn due_orders(&mut self, now: Instant) -> Vec<ZoneOrder> {
        let Some(configuration) = self.context.configuration() else { return Vec::new() };
        let mut due = Vec::new();
        for service in configuration.services.values() {
            let Some(spec) = &service.fleet else { continue };
            if !self.orders.is_observation_due(&service.name, now) {
                continue;
            }
            let risk = self.waves.risk(&service.name, spec.start_time, now);
            let observed = observe_service(&self.context, service, risk, now);
            due.extend(self.orders.due(&service.name, spec, &observed, now));
        }
        due.sort_unstable();
        due
    }

    /// Logs and records the outcome of an order. A failed order stays due; the lease is not affected.
    fn finish_order(&mut self, order: &ZoneOrder, response: Result<CloudOutcome, StepError>) {
        let outcome = match &response {
            Ok(outcome) => format!("{outcome:?}"),
            Err(error) => error.to_string(),
        };
        let required = self.orders.required(&order.service);
        let risk = self.orders.risk(&order.service);
        let reclaimable = order.class == PriceClass::Reclaimable;
        spdlog::info!("order", kv: {
            service: = order.service, zone: = order.zone, reclaimable,
            count = order.count, required, risk:? = risk, outcome: = outcome
        });
        let result = match response {
            Ok(CloudOutcome::CapacityRefused) => OrderResult::CapacityRefused,
            Ok(CloudOutcome::Done | CloudOutcome::Fenced) => OrderResult::Accepted,
            Err(_) => OrderResult::Unknown, // Logged above.
        };
        self.orders.finish(order, result, boot_clock::now());
    }
}
