//! The duties of the daemon that holds the lease: reports of usage, orders of endpoints.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

use super::{
    endpoint_orders::EndpointOrders,
    lease_record::{LeaseRecord, UsageReport},
};
use crate::{
    errors::{FailureCause, StepError},
    gateway::{context::GatewayContext, policy::leader_lease, settings::LeaderTask},
    ids::SharedName,
    platform::{
        cloud::{CloudClient, CloudOutcome, LeaseHolder},
        store::{StoredObject, WriteResult},
    },
};

/// Name of the service.
pub const NAME: &str = "duties";
/// Kind of the lease's object.
const LEASE_KIND: &str = "gateway-leases";
/// Name of the lease's object.
const LEASE_NAME: &str = "duties";
/// Time between looks at what is due.
const TICK: Duration = Duration::from_millis(100);
/// Part of the lease after which it is renewed.
const RENEW_PART: f64 = 0.35;
/// A window is reported this long after its end, when the others have told their counts.
const REPORT_AFTER: Duration = Duration::from_millis(1_500);
/// Windows that are still worth a report.
const REPORTABLE_WINDOWS: u64 = 3;
/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for a write or a read of the lease.
const WRITE_LIMIT: Duration = Duration::from_millis(650);

/// The lease object as last read, and since when it has not changed.
#[derive(Clone, Debug)]
struct SeenLease {
    revision: u64,
    record: LeaseRecord,
    since: Instant,
}

/// Work of one daemon on the duties.
pub struct LeaderService {
    context: Rc<GatewayContext>,
    cloud: CloudClient,
    seen: Option<SeenLease>,
    /// Whether the outcome of the last write is not known.
    unsure: bool,
    reported: bool,
    next_try: Instant,
    orders: EndpointOrders,
}

/// Takes part in the duties until the daemon stops.
pub async fn run(context: Rc<GatewayContext>) {
    let Some(address) = context.settings.cloud_address else {
        return std::future::pending().await;
    };
    let mut service = LeaderService {
        cloud: CloudClient::new(address),
        seen: None,
        unsure: false,
        reported: false,
        next_try: Instant::now(),
        orders: EndpointOrders::default(),
        context,
    };
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    service.look_first().await;
    loop {
        ticks.tick().await;
        service.tick().await;
    }
}

impl LeaderService {
    /// Reads what the last holder wrote of the fleet: quotas depend on it from the start.
    async fn look_first(&mut self) {
        let asked = Instant::now();
        let reading = self.context.store.read(LEASE_KIND, LEASE_NAME);
        match timeout(WRITE_LIMIT, reading).await {
            Ok(Ok(object)) => {
                self.see(object, asked);
            }
            Ok(Err(error)) => spdlog::warn!("duty", kv: { outcome = "failed", error: = error }),
            Err(_) => spdlog::warn!("duty", kv: { outcome = "late", step = "first read" }),
        }
    }

    async fn tick(&mut self) {
        let now = Instant::now();
        if now < self.next_try {
            return;
        }
        let own = self.context.lease.borrow().own;
        let result = match own {
            true => self.hold().await,
            false => self.apply().await,
        };
        if let Err(error) = result {
            spdlog::warn!("duty", kv: { outcome = "failed", error: = error });
            let spread = rand::rng().random_range(0.8..1.5);
            self.next_try = Instant::now() + RETRY_PAUSE.mul_f64(spread);
        }
    }

    fn lease(&self) -> Duration {
        self.context.settings.bounds.lease
    }

    fn may_act(&self) -> bool {
        self.context.lease.borrow().may_act(self.lease(), Instant::now())
    }

    /// Looks whether the lease is free, and takes it.
    async fn apply(&mut self) -> Result<(), StepError> {
        let now = Instant::now();
        if self.context.is_leaving() || self.context.configuration().is_none() {
            return Ok(());
        }
        let silent = self.context.lease.borrow().is_silent(self.lease(), now);
        let was_here = self.seen.as_ref().is_some_and(|seen| self.was_here(&seen.record));
        if !silent && !was_here {
            self.seen = None;
            return Ok(());
        }
        let object = self.context.store.read(LEASE_KIND, LEASE_NAME).await?;
        let Some(seen) = self.see(object, now) else {
            return self.take(0, 1, None).await;
        };
        if seen.record.incarnation == self.context.incarnation.0 {
            // NOTE: a write of this daemon's own whose answer was lost.
            let fence = seen.record.fence;
            return self.take(seen.revision, fence, Some(seen.record)).await;
        }
        let wait = match seen.record.released || self.was_here(&seen.record) {
            true => Duration::ZERO,
            false => self.lease() + leader_lease::TAKE_MARGIN,
        };
        let unchanged = now.saturating_duration_since(seen.since);
        if unchanged < wait {
            let spread = rand::rng().random_range(0..300);
            self.next_try = now + (wait - unchanged) + Duration::from_millis(spread);
            return Ok(());
        }
        let fence = seen.record.fence + 1;
        self.take(seen.revision, fence, Some(seen.record)).await
    }

    /// Whether an earlier process on this VM held the lease. It has ended: this one could not
    /// listen at its address otherwise.
    fn was_here(&self, record: &LeaseRecord) -> bool {
        let settings = &self.context.settings;
        record.holder == settings.name && record.address == Some(settings.peer_address)
    }

    /// Takes note of the lease object; none if there is none.
    fn see(&mut self, object: Option<StoredObject>, asked: Instant) -> Option<SeenLease> {
        let Some(object) = object else {
            // NOTE: there never was a holder: all daemons are just starting.
            let known = self.daemons();
            self.context.fleet_size.set(self.context.fleet_size.get().or(Some(known)));
            self.context.quotas.borrow_mut().set_throttled_before([]);
            return None;
        };
        let record: LeaseRecord = match serde_json::from_str(&object.value) {
            Ok(record) => record,
            Err(error) => {
                spdlog::error!("lease not understood: {}", error);
                return None;
            }
        };
        self.context.fleet_size.set(Some(record.daemons.max(1)));
        self.context.quotas.borrow_mut().set_throttled_before(record.throttled.iter().cloned());
        let since = match &self.seen {
            Some(seen) if seen.revision == object.revision => seen.since,
            _ => asked,
        };
        let seen = SeenLease { revision: object.revision, record, since };
        self.seen = Some(seen.clone());
        Some(seen)
    }

    /// Writes the lease as this daemon's, if the object is still at `revision`. What `before`
    /// has written down is taken over.
    async fn take(
        &mut self,
        revision: u64,
        fence: u64,
        before: Option<LeaseRecord>,
    ) -> Result<(), StepError> {
        let (needs, report) =
            before.map(|before| (before.needs, before.report)).unwrap_or_default();
        let record = LeaseRecord {
            holder: self.context.settings.name.clone(),
            address: Some(self.context.settings.peer_address),
            incarnation: self.context.incarnation.0,
            fence,
            renewals: 0,
            released: false,
            daemons: self.daemons(),
            throttled: self.throttled(),
            needs: needs.clone(),
            report,
        };
        if self.write(revision, record).await? {
            spdlog::info!("lease", kv: { outcome = "taken", fence });
            self.context.metrics.count("lease_taken", 1);
            self.reported = false;
            self.orders = EndpointOrders::after(needs);
        }
        Ok(())
    }

    /// Writes the lease; on success this daemon holds it from when the call was made.
    async fn write(&mut self, revision: u64, record: LeaseRecord) -> Result<bool, StepError> {
        let asked = Instant::now();
        self.unsure = true;
        let writing = self.context.store.write(LEASE_KIND, LEASE_NAME, revision, &record);
        let revision = match timeout(WRITE_LIMIT, writing).await {
            Ok(Ok(WriteResult::Written(revision))) => revision,
            Ok(Ok(WriteResult::Conflict)) => return Ok(false),
            Ok(Err(error)) => return Err(error),
            Err(_) => return Err(self.late("write lease")),
        };
        self.unsure = false;
        let mut lease = self.context.lease.borrow_mut();
        lease.fence = record.fence;
        lease.holder = Some(record.holder.clone());
        lease.renewed_at = Some(asked);
        lease.own = true;
        self.seen = Some(SeenLease { revision, record, since: asked });
        Ok(true)
    }

    fn late(&self, step: &'static str) -> StepError {
        let cause = FailureCause::TimedOut(WRITE_LIMIT.as_millis() as u64);
        StepError::new(step, self.context.settings.store_address.to_string(), cause)
    }

    /// After a write whose outcome is not known: reads what the lease is now. Where the write
    /// was done, this daemon goes on from it; it acts again only after a write that is answered.
    async fn reconcile(&mut self) -> Result<(), StepError> {
        let now = Instant::now();
        let reading = self.context.store.read(LEASE_KIND, LEASE_NAME);
        let Ok(object) = timeout(WRITE_LIMIT, reading).await else {
            return Err(self.late("read lease"));
        };
        self.unsure = false;
        let seen = self.see(object?, now);
        let own = seen.is_some_and(|seen| {
            seen.record.incarnation == self.context.incarnation.0
                && seen.record.fence == self.context.lease.borrow().fence
        });
        if !own {
            self.lose("another holds it");
        }
        Ok(())
    }

    fn lose(&mut self, reason: &str) {
        let mut lease = self.context.lease.borrow_mut();
        if lease.own {
            spdlog::warn!("lease", kv: { outcome = "lost", reason, fence = lease.fence });
            self.context.metrics.count("lease_lost", 1);
        }
        lease.own = false;
        self.seen = None;
        self.unsure = false;
    }

    /// Renews the lease, reports, and orders.
    async fn hold(&mut self) -> Result<(), StepError> {
        if self.unsure {
            self.reconcile().await?;
        }
        let now = Instant::now();
        let Some(seen) = self.seen.clone() else {
            self.lose("unknown");
            return Ok(());
        };
        let renewed_at = self.context.lease.borrow().renewed_at.unwrap_or(now);
        let age = now.saturating_duration_since(renewed_at);
        if age > self.lease() {
            // NOTE: another may hold it by now; from here on it has to be taken anew.
            self.lose("not renewed in time");
            return Ok(());
        }
        if self.context.is_leaving() {
            return self.release(seen).await;
        }
        let due = self.due_report(&seen.record);
        if due.is_some() || age > self.lease().mul_f64(RENEW_PART) {
            let report = due.clone().or(seen.record.report.clone());
            let renewals = seen.record.renewals + 1;
            let (daemons, throttled, needs) =
                (self.daemons(), self.throttled(), self.orders.needs());
            let record = LeaseRecord { renewals, report, daemons, throttled, needs, ..seen.record };
            if !self.write(seen.revision, record).await? {
                return Ok(());
            }
            if due.is_some() {
                self.reported = false;
            }
        }
        self.send_report().await?;
        self.order_endpoints().await
    }

    fn throttled(&self) -> Vec<SharedName> {
        self.context.quotas.borrow().throttled(Instant::now())
    }

    fn daemons(&self) -> usize {
        self.context.peers.borrow().sharing(Instant::now()).known
    }

    /// Gives the lease up on the way out. From here on this daemon acts no more, whatever
    /// becomes of the write.
    async fn release(&mut self, seen: SeenLease) -> Result<(), StepError> {
        self.lose("leaving");
        let record = LeaseRecord { released: true, ..seen.record };
        let store = &self.context.store;
        let writing = store.write(LEASE_KIND, LEASE_NAME, seen.revision, &record);
        match timeout(WRITE_LIMIT, writing).await {
            Ok(written) => written.map(drop),
            Err(_) => Err(self.late("release lease")),
        }
    }

    fn holder(&self) -> LeaseHolder {
        let fence = self.context.lease.borrow().fence;
        LeaseHolder { name: self.context.settings.name.clone(), fence }
    }

    /// The next report that is due, once the one before has been sent.
    fn due_report(&self, record: &LeaseRecord) -> Option<UsageReport> {
        if !self.context.settings.duties.contains(&LeaderTask::UsageReports) {
            return None;
        }
        if record.report.is_some() && !self.reported {
            return None;
        }
        let length = self.context.settings.bounds.usage_window.as_millis() as u64;
        let now_ms = self.context.wall_clock.borrow().now_ms(Instant::now());
        let newest =
            (now_ms.saturating_sub(REPORT_AFTER.as_millis() as u64) / length).checked_sub(1)?;
        let after_last = record.report.as_ref().map_or(newest, |report| report.window + 1);
        let window = after_last.max(newest.saturating_sub(REPORTABLE_WINDOWS - 1));
        if window > newest {
            return None;
        }
        Some(UsageReport { window, counts: self.context.usage.borrow().total(window) })
    }

    async fn send_report(&mut self) -> Result<(), StepError> {
        let Some(report) = self.seen.as_ref().and_then(|seen| seen.record.report.clone()) else {
            return Ok(());
        };
        if self.reported || !self.may_act() {
            return Ok(());
        }
        let answer = self.cloud.report(&self.holder(), report.window, &report.counts).await?;
        let total: u64 = report.counts.values().sum();
        spdlog::info!("usage report", kv: {
            window = report.window, total, outcome:? = answer, fence = self.holder().fence
        });
        match answer {
            CloudOutcome::Fenced => self.lose("fenced"),
            _ => self.reported = true,
        }
        Ok(())
    }

    async fn order_endpoints(&mut self) -> Result<(), StepError> {
        if !self.context.settings.duties.contains(&LeaderTask::EndpointOrders) {
            return Ok(());
        }
        let now = Instant::now();
        let due: BTreeMap<_, _> = self.orders.due(&self.context, now);
        for order in due.into_values() {
            if !self.may_act() {
                return Ok(());
            }
            let answer = self.cloud.order(&self.holder(), &order).await;
            let outcome = match &answer {
                Ok(answer) => format!("{answer:?}"),
                Err(error) => error.to_string(),
            };
            spdlog::info!("order", kv: {
                service: = order.service, zone: = order.zone, reclaimable = order.reclaimable,
                count = order.count, need = self.orders.need(&order.service), outcome: = outcome
            });
            self.orders.answered(&order, answer.ok(), Instant::now());
        }
        Ok(())
    }
}
