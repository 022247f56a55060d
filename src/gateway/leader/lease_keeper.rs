//! Reads and writes the lease object in the store, and acquires, renews and releases the lease
//! as `policy::leader_lease` decides.
//!
//! Owns the object as last read. A write whose outcome is not known (time limit, lost response)
//! is followed by a read before anything else is done with the lease.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use rand::RngExt;
use tokio::time::{Instant, timeout};

use super::lease_record::{LeaseRecord, UsageReport};
use crate::{
    errors::{FailureCause, StepError},
    gateway::{
        context::GatewayContext,
        policy::leader_lease::{
            AcquireDecision, HoldDecision, LeaseOwner, LossReason, ObservedLease, decide_acquire,
            decide_hold,
        },
    },
    ids::SharedName,
    platform::{
        cloud::LeaseHolder,
        store::{StoredObject, WriteResult},
    },
};

/// Kind of the lease's object.
const LEASE_KIND: &str = "gateway-leases";
/// Name of the lease's object.
const LEASE_NAME: &str = "duties";
/// Revision to write at when there is no object yet.
const NO_REVISION: u64 = 0;
/// Time limit of a write or a read of the lease.
///
/// Basis: chosen, not measured (commit 67e7145): two calls fit into the time between a renewal
/// of a 3 s lease and the end of the holder's right to act.
const STORE_LIMIT: Duration = Duration::from_millis(650);
/// Longest random time added to a wait for the lease, in milliseconds, so that daemons do not
/// all try at once.
///
/// Basis: chosen, not measured.
const ACQUIRE_SPREAD_MS: u64 = 300;

/// The lease object as last read, and since when it has not changed.
#[derive(Clone, Debug)]
pub struct SeenLease {
    revision: u64,
    /// What it holds.
    pub record: LeaseRecord,
    since: Instant,
}

/// What became of a try to acquire the lease.
#[derive(Debug)]
pub enum AcquireResult {
    /// This daemon holds it. The record's requirements and report go on.
    Acquired,
    /// Another daemon holds it or was faster.
    NotAcquired,
    /// It may be free at this time.
    RetryAt(Instant),
}

/// The lease as one daemon keeps it.
pub struct LeaseKeeper {
    context: Rc<GatewayContext>,
    seen: Option<SeenLease>,
    /// Whether the outcome of the last write is not known.
    is_write_unanswered: bool,
}

impl LeaseKeeper {
    /// Keeper that has read nothing yet.
    pub fn new(context: Rc<GatewayContext>) -> Self {
        Self { context, seen: None, is_write_unanswered: false }
    }

    /// Reads what the last holder wrote of the fleet: quotas depend on it from the start.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond within the time limit.
    pub async fn read_at_start(&mut self) -> Result<(), StepError> {
        let asked_at = Instant::now();
        let object = self.read_within_limit().await?;
        self.observe(object, asked_at);
        Ok(())
    }

    /// Whether this daemon is the holder, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.context.lease.borrow().own
    }

    /// Whether this daemon may act as the leader now.
    pub fn may_act(&self) -> bool {
        self.context.lease.borrow().may_act(self.lease(), Instant::now())
    }

    /// The record that the lease holds, if this daemon has read or written it.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    /// The holder as the cloud is told: this daemon, under its fence.
    pub fn holder(&self) -> LeaseHolder {
        let fence = self.context.lease.borrow().fence;
        LeaseHolder { name: self.context.settings.name.clone(), fence }
    }

    fn lease(&self) -> Duration {
        self.context.settings.bounds.lease
    }

    /// Acquires the lease if it is free. A daemon that is leaving or has no configuration
    /// leaves it to others.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time.
    pub async fn try_acquire(&mut self) -> Result<AcquireResult, StepError> {
        let now = Instant::now();
        if self.context.is_leaving() || self.context.configuration().is_none() {
            return Ok(AcquireResult::NotAcquired);
        }
        let is_silent = self.context.lease.borrow().is_silent(self.lease(), now);
        let ran_here = self.record().is_some_and(|record| self.is_earlier_process(record));
        if !is_silent && !ran_here {
            self.seen = None;
            return Ok(AcquireResult::NotAcquired);
        }
        let object = self.context.store.read(LEASE_KIND, LEASE_NAME).await?;
        let seen = self.observe(object, now);
        let observed = seen.as_ref().map(|seen| ObservedLease {
            fence: seen.record.fence,
            owner: self.owner_of(&seen.record),
            released: seen.record.released,
            unchanged_for: now.saturating_duration_since(seen.since),
        });
        match decide_acquire(observed, self.lease()) {
            AcquireDecision::Acquire { fence } => self.acquire(fence, seen).await,
            AcquireDecision::Wait(wait) => {
                let spread = rand::rng().random_range(0..ACQUIRE_SPREAD_MS);
                Ok(AcquireResult::RetryAt(now + wait + Duration::from_millis(spread)))
            }
        }
    }

    fn owner_of(&self, record: &LeaseRecord) -> LeaseOwner {
        if record.incarnation == self.context.incarnation.0 {
            LeaseOwner::ThisProcess
        } else if self.is_earlier_process(record) {
            LeaseOwner::EarlierProcess
        } else {
            LeaseOwner::Other
        }
    }

    /// Whether a process on this VM at the same address wrote the record.
    fn is_earlier_process(&self, record: &LeaseRecord) -> bool {
        let settings = &self.context.settings;
        record.holder == settings.name && record.address == Some(settings.peer_address)
    }

    /// Applies the lease object that was requested at `asked_at`; none if there is no readable
    /// one.
    fn observe(&mut self, object: Option<StoredObject>, asked_at: Instant) -> Option<SeenLease> {
        let Some(object) = object else {
            // There never was a holder: all daemons are just starting.
            let known = self.known_daemons();
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
            _ => asked_at,
        };
        let seen = SeenLease { revision: object.revision, record, since };
        self.seen = Some(seen.clone());
        Some(seen)
    }

    /// Writes the lease as this daemon's, if the object is still as in `seen`. The former
    /// holder's requirements and report are carried over.
    async fn acquire(
        &mut self,
        fence: u64,
        seen: Option<SeenLease>,
    ) -> Result<AcquireResult, StepError> {
        let (revision, required_endpoints, report) = match seen {
            Some(seen) => (seen.revision, seen.record.required_endpoints, seen.record.report),
            None => (NO_REVISION, BTreeMap::new(), None),
        };
        let record = LeaseRecord {
            holder: self.context.settings.name.clone(),
            address: Some(self.context.settings.peer_address),
            incarnation: self.context.incarnation.0,
            fence,
            renewals: 0,
            released: false,
            daemons: self.known_daemons(),
            throttled: self.throttled_accounts(),
            required_endpoints,
            report,
        };
        if !self.write(revision, record).await? {
            return Ok(AcquireResult::NotAcquired);
        }
        spdlog::info!("lease", kv: { outcome = "taken", fence });
        self.context.metrics.count("lease_taken", 1);
        Ok(AcquireResult::Acquired)
    }

    /// What to do with the lease that this daemon holds; a lost or released one is dealt with.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time.
    pub async fn check_hold(&mut self) -> Result<HoldDecision, StepError> {
        if self.is_write_unanswered {
            self.reconcile().await?;
        }
        let now = Instant::now();
        let Some(seen) = self.seen.clone() else {
            self.lose(LossReason::UnknownRecord);
            return Ok(HoldDecision::Lose(LossReason::UnknownRecord));
        };
        let renewed_at = self.context.lease.borrow().renewed_at.unwrap_or(now);
        let age = now.saturating_duration_since(renewed_at);
        let decision = decide_hold(age, self.lease(), self.context.is_leaving());
        match decision {
            HoldDecision::Lose(reason) => self.lose(reason),
            HoldDecision::Release => self.release(seen).await?,
            HoldDecision::Renew | HoldDecision::Keep => {}
        }
        Ok(decision)
    }

    /// Renews the lease and writes `report` and the required endpoints into it. Returns whether
    /// this daemon still holds it.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time; the outcome is not known.
    pub async fn renew(
        &mut self,
        report: Option<UsageReport>,
        required_endpoints: BTreeMap<SharedName, f64>,
    ) -> Result<bool, StepError> {
        let Some(seen) = self.seen.clone() else { return Ok(false) };
        let record = LeaseRecord {
            renewals: seen.record.renewals + 1,
            report,
            daemons: self.known_daemons(),
            throttled: self.throttled_accounts(),
            required_endpoints,
            ..seen.record
        };
        self.write(seen.revision, record).await
    }

    /// Writes the lease; on success this daemon holds it from when the call was made.
    async fn write(&mut self, revision: u64, record: LeaseRecord) -> Result<bool, StepError> {
        let started_at = Instant::now();
        self.is_write_unanswered = true;
        let writing = self.context.store.write(LEASE_KIND, LEASE_NAME, revision, &record);
        let result = timeout(STORE_LIMIT, writing).await;
        let revision = match result.map_err(|_| self.timed_out("write lease"))?? {
            WriteResult::Written(revision) => revision,
            WriteResult::Conflict => return Ok(false),
        };
        self.is_write_unanswered = false;
        let mut lease = self.context.lease.borrow_mut();
        lease.acquire_or_renew(record.fence, record.holder.clone(), started_at);
        self.seen = Some(SeenLease { revision, record, since: started_at });
        Ok(true)
    }

    /// After a write whose outcome is not known: reads what the lease is now. If the write was
    /// done, this daemon goes on from it; it acts again only after a write that is confirmed.
    async fn reconcile(&mut self) -> Result<(), StepError> {
        let asked_at = Instant::now();
        let reading = self.context.store.read(LEASE_KIND, LEASE_NAME);
        let Ok(object) = timeout(STORE_LIMIT, reading).await else {
            return Err(self.timed_out("read lease"));
        };
        self.is_write_unanswered = false;
        let seen = self.observe(object?, asked_at);
        let is_own = seen.is_some_and(|seen| {
            seen.record.incarnation == self.context.incarnation.0
                && seen.record.fence == self.context.lease.borrow().fence
        });
        if !is_own {
            self.lose(LossReason::OtherHolder);
        }
        Ok(())
    }

    /// Releases the lease on the way out. From here on this daemon acts no more, whatever
    /// becomes of the write.
    async fn release(&mut self, seen: SeenLease) -> Result<(), StepError> {
        self.lose(LossReason::Leaving);
        let record = LeaseRecord { released: true, ..seen.record };
        let store = &self.context.store;
        let writing = store.write(LEASE_KIND, LEASE_NAME, seen.revision, &record);
        let result = timeout(STORE_LIMIT, writing).await;
        // A conflict means that another daemon holds it already.
        result.map_err(|_| self.timed_out("release lease"))?.map(drop)
    }

    /// Stops being the holder.
    pub fn lose(&mut self, reason: LossReason) {
        let mut lease = self.context.lease.borrow_mut();
        if lease.own {
            spdlog::warn!("lease", kv: { outcome = "lost", reason: = reason, fence = lease.fence });
            self.context.metrics.count("lease_lost", 1);
        }
        lease.own = false;
        self.seen = None;
        self.is_write_unanswered = false;
    }

    async fn read_within_limit(&self) -> Result<Option<StoredObject>, StepError> {
        let reading = self.context.store.read(LEASE_KIND, LEASE_NAME);
        timeout(STORE_LIMIT, reading).await.map_err(|_| self.timed_out("read lease"))?
    }

    fn timed_out(&self, step: &'static str) -> StepError {
        let cause = FailureCause::TimedOut(STORE_LIMIT.as_millis() as u64);
        StepError::new(step, self.context.settings.store_address.to_string(), cause)
    }

    fn throttled_accounts(&self) -> Vec<SharedName> {
        self.context.quotas.borrow().throttled(Instant::now())
    }

    fn known_daemons(&self) -> usize {
        self.context.peers.borrow().sharing(Instant::now()).known
    }
}
