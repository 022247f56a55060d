//! Holds the lease: renews, releases and loses it as `policy::leader::leader_lease` decides, and applies
//! what the store shows of it.
//!
//! Owns the object as last read. A write whose outcome is not known (time limit, lost response)
//! is followed by a read before anything else is done with the lease. If the store was restored
//! from a copy meanwhile, the holder goes on from what it has written itself.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    lease_record::{LeaseRecord, UsageReport},
    lease_sight::{LeaseSight, SeenEra, SeenLease, SpoiltLease},
    lease_store::LeaseStore,
    quarantine,
};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::{
        context::GatewayContext,
        policy::leader::leader_lease::{HoldDecision, LeaseRenewal, LossReason, decide_hold},
    },
    ids::SharedName,
    platform::{
        cloud::LeaseHolder,
        store::{StoredObject, WriteCondition, WriteResult},
    },
    store_position::StorePosition,
};

/// The lease as one daemon keeps it.
pub struct LeaseKeeper {
    pub(super) context: Rc<GatewayContext>,
    pub(super) store: LeaseStore,
    pub(super) seen: Option<SeenLease>,
    /// The object, if it was spoilt when it was last read.
    spoilt: Option<SpoiltLease>,
    /// Era of the store when the object was last read.
    pub(super) era: Option<SeenEra>,
    /// What this process has written last, and when it began to.
    pub(super) written: Option<(LeaseRecord, Instant)>,
    /// Whether the outcome of the last write is not known.
    pub(super) is_write_unconfirmed: bool,
}

impl LeaseKeeper {
    /// Keeper that has read nothing yet.
    pub fn new(context: Rc<GatewayContext>) -> Self {
        let store = LeaseStore::new(context.clone());
        Self {
            context,
            store,
            seen: None,
            spoilt: None,
            era: None,
            written: None,
            is_write_unconfirmed: false,
        }
    }

    /// Reads what the last holder wrote of the fleet: quotas depend on it from the start.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond within the time limit.
    pub async fn read_at_start(&mut self) -> Result<(), StepError> {
        let asked_at = boot_clock::now();
        let object = self.store.read_within_limit().await?;
        self.observe(object, asked_at);
        Ok(())
    }

    /// Whether this daemon is the holder, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.context.lease.borrow().own
    }

    /// Whether this daemon may act as the leader now.
    pub fn may_act(&self) -> bool {
        self.context.lease.borrow().may_act(self.lease(), boot_clock::now())
    }

    /// The record that the lease holds, if this daemon has read or written it.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    /// This daemon and its fence, as calls to the cloud carry them.
    pub fn holder(&self) -> LeaseHolder {
        let fence = self.context.lease.borrow().fence;
        LeaseHolder { name: self.context.settings.name.clone(), fence }
    }

    pub(super) fn lease(&self) -> Duration {
        self.context.settings.bounds.lease
    }

    /// Applies the lease object that was requested at `asked_at`.
    pub(super) fn observe(
        &mut self,
        object: Option<StoredObject>,
        asked_at: Instant,
    ) -> LeaseSight {
        self.observe_era(asked_at);
        let Some(object) = object else {
            self.observe_no_record();
            return LeaseSight::Absent(self.context.store.era());
        };
        let record: LeaseRecord = match serde_json::from_str(&object.value) {
            Ok(record) => record,
            Err(error) => {
                spdlog::error!("lease record not decoded: {}", error);
                self.observe_no_record();
                return LeaseSight::Spoilt(self.observe_spoilt(object.position, asked_at));
            }
        };
        self.spoilt = None;
        self.context.fleet_size.set(Some(record.daemons.max(1)));
        quarantine::restore_requests(&self.context, &record.quarantined);
        self.context.quotas.borrow_mut().set_throttled_before(record.throttled.iter().cloned());
        if let Some(report) = record.report.as_ref().filter(|_| !self.is_copied(&record)) {
            self.context.lease.borrow_mut().mark_reported(report.window);
        }
        let condition = WriteCondition::At(object.position);
        let since = match &self.seen {
            Some(seen) if seen.condition == condition => seen.since,
            _ if self.is_copied(&record) => asked_at,
            _ => self.renewal_start(&record).unwrap_or(asked_at).min(asked_at),
        };
        let seen = SeenLease { condition, record, since };
        self.seen = Some(seen.clone());
        LeaseSight::Seen(Box::new(seen))
    }

    fn observe_era(&mut self, asked_at: Instant) {
        let era = self.context.store.era();
        let known = *self.era.get_or_insert(SeenEra { era, began_at: None });
        if era > known.era {
            self.era = Some(SeenEra { era, began_at: Some(asked_at) });
        }
    }

    /// Nothing is known of the former holder's fleet: there never was one and all daemons are just
    /// starting, or its record is lost.
    fn observe_no_record(&self) {
        let known = self.known_daemons();
        self.context.fleet_size.set(self.context.fleet_size.get().or(Some(known)));
        self.context.quotas.borrow_mut().set_throttled_before([]);
    }

    fn observe_spoilt(&mut self, position: StorePosition, asked_at: Instant) -> SpoiltLease {
        let known = self.spoilt.filter(|known| known.position == position);
        let spoilt = known.unwrap_or(SpoiltLease { position, since: asked_at });
        self.spoilt = Some(spoilt);
        spoilt
    }

    /// Whether the record was written before the store was restored from a copy.
    pub(super) fn is_copied(&self, record: &LeaseRecord) -> bool {
        record.era < self.context.store.era()
    }

    /// When gossip says that the renewal in `record` began, if it knows of no later one.
    fn renewal_start(&self, record: &LeaseRecord) -> Option<Instant> {
        self.context.lease.borrow().renewal_start(record.fence, record.renewals)
    }

    /// What to do with the lease that this daemon holds; a lost or released one is dealt with.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time.
    pub async fn check_hold(&mut self) -> Result<HoldDecision, StepError> {
        if self.is_write_unconfirmed {
            self.reconcile().await?;
        }
        let now = boot_clock::now();
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
            quarantined: quarantine::stored_requests(&self.context),
            required_endpoints,
            ..seen.record
        };
        self.write(seen.condition, record).await
    }

    /// Writes the lease; on success this daemon holds it from when the call was made.
    pub(super) async fn write(
        &mut self,
        condition: WriteCondition,
        record: LeaseRecord,
    ) -> Result<bool, StepError> {
        let started_at = boot_clock::now();
        let record = LeaseRecord { era: condition.era(), ..record };
        self.is_write_unconfirmed = true;
        let position = match self.store.write("write lease", condition, &record).await? {
            WriteResult::Written(position) => position,
            WriteResult::Conflict => return Ok(false),
            WriteResult::WrittenInLaterEra => {
                self.lose(LossReason::StoreLost);
                return Ok(false);
            }
        };
        self.is_write_unconfirmed = false;
        let mut lease = self.context.lease.borrow_mut();
        lease.acquire_or_renew(LeaseRenewal {
            fence: record.fence,
            renewals: record.renewals,
            holder: record.holder.clone(),
            renewed_at: started_at,
        });
        if let Some(report) = &record.report {
            lease.mark_reported(report.window);
        }
        self.written = Some((record.clone(), started_at));
        let condition = WriteCondition::At(position);
        self.seen = Some(SeenLease { condition, record, since: started_at });
        Ok(true)
    }

    /// Releases the lease on the way out. From here on this daemon acts no more, whatever
    /// becomes of the write.
    async fn release(&mut self, seen: SeenLease) -> Result<(), StepError> {
        self.lose(LossReason::Leaving);
        let record = LeaseRecord { released: true, ..seen.record };
        // After a conflict another daemon holds it already.
        self.store.write("release lease", seen.condition, &record).await.map(drop)
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
        self.is_write_unconfirmed = false;
    }

    pub(super) fn throttled_accounts(&self) -> Vec<SharedName> {
        self.context.quotas.borrow().throttled(boot_clock::now())
    }

    pub(super) fn known_daemons(&self) -> usize {
        self.context.peers.borrow().sharing(boot_clock::now()).known
    }
}
