//! Maintains the lease: renews, releases and loses it as `policy::leader::leader_lease` decides, and
//! applies the lease record read from the store to the daemon's state.
//!
//! Owns the lease object as last read. After a write whose outcome is not known (timeout, lost
//! response), the object is read before anything else is done with the lease. If the store was restored
//! from a copy meanwhile, the holder continues from the record that it wrote itself.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use tokio::time::Instant;

use super::{
    brittle_services, fleet_members,
    lease_object::{CorruptLease, LeaseObject, ObservedEra, StoredLease},
    lease_record::{LeaseRecord, UsageReport},
    lease_store::LeaseStore,
    quarantine,
    record_restore::restore_record,
    rollout_starts, sole_versions,
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

/// One daemon's client of the leader lease.
pub struct LeaseKeeper {
    pub(super) context: Rc<GatewayContext>,
    pub(super) store: LeaseStore,
    pub(super) seen: Option<StoredLease>,
    /// The object, if it was corrupt when it was last read.
    corrupt: Option<CorruptLease>,
    /// Newest era of the store seen when reading the object.
    pub(super) era: Option<ObservedEra>,
    /// The last record that this process wrote, and when that write began.
    pub(super) last_written: Option<(LeaseRecord, Instant)>,
    /// Whether the outcome of the last write is not known.
    pub(super) is_write_unconfirmed: bool,
}

impl LeaseKeeper {
    /// Creates a keeper that has not read the lease yet.
    pub fn new(context: Rc<GatewayContext>) -> Self {
        let store = LeaseStore::new(context.clone());
        Self {
            context,
            store,
            seen: None,
            corrupt: None,
            era: None,
            last_written: None,
            is_write_unconfirmed: false,
        }
    }

    /// Reads the fleet size and the throttled accounts that the last holder wrote: quotas depend on them
    /// from the start.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time.
    pub async fn read_at_start(&mut self) -> Result<(), StepError> {
        let asked_at = boot_clock::now();
        let object = self.store.read_with_timeout().await?;
        self.observe(object, asked_at);
        Ok(())
    }

    /// Whether this daemon is the holder, as far as it knows.
    pub fn is_holder(&self) -> bool {
        self.context.lease.borrow().own
    }

    /// Whether this daemon may act as the leader now.
    pub fn may_act(&self) -> bool {
        self.context.lease.borrow().may_act(self.lease_duration(), boot_clock::now())
    }

    /// The lease record as this daemon last read or wrote it.
    pub fn record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    /// Name and fence that calls to the cloud carry, and when these calls have to end.
    pub fn holder(&self) -> LeaseHolder {
        let lease = self.context.lease.borrow();
        let renewed_at = lease.renewed_at;
        let ends_at = renewed_at.map_or_else(boot_clock::now, |at| at + self.lease_duration());
        LeaseHolder { name: self.context.settings.name.clone(), fence: lease.fence, ends_at }
    }

    pub(super) fn lease_duration(&self) -> Duration {
        self.context.settings.bounds.lease_duration
    }

    /// Applies the lease object that the store returned to a request sent at `asked_at`.
    pub(super) fn observe(
        &mut self,
        object: Option<StoredObject>,
        asked_at: Instant,
    ) -> LeaseObject {
        self.observe_era(asked_at);
        let Some(object) = object else {
            self.observe_no_record();
            return LeaseObject::Absent(self.context.store.era());
        };
        let record: LeaseRecord = match serde_json::from_str(&object.value) {
            Ok(record) => record,
            Err(error) => {
                spdlog::error!("lease record not decoded: {}", error);
                self.observe_no_record();
                return LeaseObject::Corrupt(self.observe_corrupt(object.position, asked_at));
            }
        };
        self.corrupt = None;
        self.context.fleet_size.set(Some(record.daemons.max(1)));
        restore_record(&self.context, &record, asked_at);
        if let Some(report) = record.report.as_ref().filter(|_| !self.is_from_earlier_era(&record))
        {
            self.context.lease.borrow_mut().mark_reported(report.window);
        }
        let condition = WriteCondition::At(object.position);
        let unchanged_since = match &self.seen {
            Some(seen) if seen.condition == condition => seen.unchanged_since,
            _ if self.is_from_earlier_era(&record) => asked_at,
            _ => self.renewal_start(&record).unwrap_or(asked_at).min(asked_at),
        };
        let seen = StoredLease { condition, record, unchanged_since };
        self.seen = Some(seen.clone());
        LeaseObject::Present(Box::new(seen))
    }

    fn observe_era(&mut self, asked_at: Instant) {
        let era = self.context.store.era();
        let known = *self.era.get_or_insert(ObservedEra { era, began_at: None });
        if era > known.era {
            self.era = Some(ObservedEra { era, began_at: Some(asked_at) });
        }
    }

    /// Falls back to the daemons known by gossip: either there has been no holder yet and all daemons are
    /// just starting, or the former holder's record is lost.
    fn observe_no_record(&self) {
        let known = self.context.peers.borrow().sharing(boot_clock::now()).known;
        self.context.fleet_size.set(self.context.fleet_size.get().or(Some(known)));
        self.context.quotas.borrow_mut().set_throttled_before([]);
    }

    fn observe_corrupt(&mut self, position: StorePosition, asked_at: Instant) -> CorruptLease {
        let known = self.corrupt.filter(|known| known.position == position);
        let corrupt = known.unwrap_or(CorruptLease { position, unchanged_since: asked_at });
        self.corrupt = Some(corrupt);
        corrupt
    }

    /// Whether the record was written before the store was last restored from a copy.
    pub(super) fn is_from_earlier_era(&self, record: &LeaseRecord) -> bool {
        record.era < self.context.store.era()
    }

    /// When the renewal in `record` began according to gossip; none if gossip has reported a later one.
    fn renewal_start(&self, record: &LeaseRecord) -> Option<Instant> {
        self.context.lease.borrow().renewal_start(record.fence, record.renewals)
    }

    /// Decides what to do with the lease that this daemon holds, and carries out a loss or release.
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
        let decision = decide_hold(age, self.lease_duration(), self.context.is_leaving());
        match decision {
            HoldDecision::Lose(reason) => self.lose(reason),
            HoldDecision::Release => self.release(seen).await?,
            HoldDecision::Renew | HoldDecision::Keep => {}
        }
        Ok(decision)
    }

    /// Renews the lease and writes `report` and the required endpoints into it. Returns whether
    /// this daemon still holds the lease.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time; the outcome of the write is not known.
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
            members: fleet_members::stored_members(&self.context),
            throttled: self.throttled_accounts(),
            quarantined: quarantine::stored_requests(&self.context),
            quarantined_parts: quarantine::stored_parts(&self.context),
            rollouts: rollout_starts::stored_starts(&self.context),
            sole_versions: sole_versions::stored_versions(&self.context),
            brittle_services: brittle_services::stored_services(&self.context),
            required_endpoints,
            ..seen.record
        };
        self.write(seen.condition, record).await
    }

    /// Writes the lease. Returns whether that succeeded; this daemon then holds the lease from the time
    /// at which the call began.
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
        self.context.fleet_size.set(Some(record.daemons.max(1)));
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
        self.last_written = Some((record.clone(), started_at));
        let condition = WriteCondition::At(position);
        self.seen = Some(StoredLease { condition, record, unchanged_since: started_at });
        Ok(true)
    }

    /// Releases the lease before the daemon stops. This daemon no longer acts as the leader, even if the
    /// write fails.
    async fn release(&mut self, seen: StoredLease) -> Result<(), StepError> {
        self.lose(LossReason::Leaving);
        let record = LeaseRecord { released: true, ..seen.record };
        // A conflict means that another daemon already holds the lease.
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
        let now = boot_clock::now();
        let report_age = self.context.peers.borrow().sharing(now).report_age;
        self.context.quotas.borrow().throttled(report_age, now)
    }

    pub(super) fn known_daemons(&self) -> usize {
        self.context.sharing(boot_clock::now()).known
    }
}
