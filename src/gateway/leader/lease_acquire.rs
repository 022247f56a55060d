//! Acquires the leader lease when `policy::leader::leader_lease` allows it.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;
use tokio::time::Instant;

use super::{
    brittle_services, fleet_members, lease_keeper::LeaseKeeper, lease_object::LeaseObject,
    lease_record::LeaseRecord, quarantine, rollout_starts, sole_versions,
};
use crate::{
    boot_clock,
    errors::StepError,
    gateway::policy::leader::leader_lease::{
        AcquireDecision, LeaseOwner, ObservedLease, decide_acquire, first_fence,
        highest_possible_fence,
    },
    ids::SharedName,
    platform::store::WriteCondition,
    store_position::StoreEra,
};

/// Longest random delay added to a wait for the lease, in milliseconds, so that daemons do not all
/// try to acquire it at once.
const ACQUIRE_JITTER_MS: u64 = 300;

/// Result of an attempt to acquire the lease.
#[derive(Debug)]
pub enum AcquireResult {
    /// This daemon holds the lease now.
    Acquired {
        /// Required endpoints by service, as the former holder calculated them.
        required_endpoints: BTreeMap<SharedName, f64>,
    },
    /// Another daemon holds the lease or acquired it first, or this daemon must not acquire it.
    NotAcquired,
    /// The lease may be free at this time.
    RetryAt(Instant),
}

impl LeaseKeeper {
    /// Acquires the lease if it is free. A daemon that is leaving, has no configuration or lags behind
    /// its peers does not try.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time.
    pub async fn try_acquire(&mut self) -> Result<AcquireResult, StepError> {
        let now = boot_clock::now();
        // Peers know about holders that are missing from a store restored from a copy.
        let has_peer_contact = self.context.is_up_to_date_with_peers(now);
        let can_lead = has_peer_contact && self.context.configuration().is_some();
        if self.context.is_leaving() || !can_lead {
            return Ok(AcquireResult::NotAcquired);
        }
        let is_renewal_overdue =
            self.context.lease.borrow().is_renewal_overdue(self.lease_duration(), now);
        let held_by_earlier_process =
            self.record().is_some_and(|record| self.is_earlier_process(record));
        if !is_renewal_overdue && !held_by_earlier_process {
            self.seen = None;
            return Ok(AcquireResult::NotAcquired);
        }
        let object = self.store.read().await?;
        let lease_object = self.observe(object, now);
        match decide_acquire(
            self.observed_lease(&lease_object, now),
            self.lease_duration(),
            self.context.store.era(),
        ) {
            AcquireDecision::Acquire { fence } => self.acquire(fence, lease_object).await,
            AcquireDecision::Wait(wait) => {
                let jitter = rand::rng().random_range(0..ACQUIRE_JITTER_MS);
                Ok(AcquireResult::RetryAt(now + wait + Duration::from_millis(jitter)))
            }
        }
    }

    /// Summary of the lease that was read from the store; none if no lease is known to have existed.
    fn observed_lease(&self, lease_object: &LeaseObject, now: Instant) -> Option<ObservedLease> {
        let unchanged_for = |since: Instant| now.saturating_duration_since(since);
        match lease_object {
            LeaseObject::Present(seen) if self.may_be_superseded(&seen.record) => {
                let fence = self.context.lease.borrow().fence.max(seen.record.fence);
                let since = self.own_last_renewal().unwrap_or(seen.unchanged_since);
                Some(ObservedLease::without_valid_record(fence, unchanged_for(since)))
            }
            LeaseObject::Present(seen) => Some(ObservedLease {
                fence: seen.record.fence,
                owner: self.owner_of(&seen.record),
                released: seen.record.released,
                unchanged_for: unchanged_for(seen.unchanged_since),
            }),
            LeaseObject::Corrupt(corrupt) => {
                let known = self.context.lease.borrow().fence;
                let fence = highest_possible_fence(known, corrupt.position);
                Some(ObservedLease::without_valid_record(
                    fence,
                    unchanged_for(corrupt.unchanged_since),
                ))
            }
            LeaseObject::Absent(_) => {
                let lease = self.context.lease.borrow();
                let renewed_at = lease.renewed_at?;
                let era_began = self.era.and_then(|era| era.began_at).unwrap_or(renewed_at);
                let since = self.own_last_renewal().unwrap_or(renewed_at.max(era_began));
                Some(ObservedLease::without_valid_record(lease.fence, unchanged_for(since)))
            }
        }
    }

    /// Whether there is, or may be, a later renewal than the record, which the store lost when it was
    /// restored from a copy.
    fn may_be_superseded(&self, record: &LeaseRecord) -> bool {
        let lease = self.context.lease.borrow();
        self.is_from_earlier_era(record) || record.order() < (lease.fence, lease.renewals)
    }

    /// When this process began its last renewal; none if another daemon is known to have acquired the
    /// lease since.
    fn own_last_renewal(&self) -> Option<Instant> {
        let (record, began_at) = self.last_written.as_ref()?;
        (record.fence == self.context.lease.borrow().fence).then_some(*began_at)
    }

    /// First usage window to report. Earlier windows are skipped if a lost record may have reported them.
    fn first_window(&self, former: Option<&LeaseRecord>) -> u64 {
        let known = former.filter(|former| self.knows_reports(former));
        known.map_or_else(|| self.current_window(), |former| former.first_window)
    }

    /// Whether this daemon knows which usage windows have been reported since the record was written.
    fn knows_reports(&self, record: &LeaseRecord) -> bool {
        let is_own = record.incarnation == self.context.incarnation.0;
        is_own || !self.is_from_earlier_era(record) || self.context.lease.borrow().next_window > 0
    }

    fn current_window(&self) -> u64 {
        self.context.wall_clock.borrow().window(self.context.settings.bounds.usage_window)
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

    /// Writes the lease with this daemon as its holder, unless the object has changed since it was read
    /// as `old`. The former holder's required endpoints and report are carried over.
    async fn acquire(&mut self, fence: u64, old: LeaseObject) -> Result<AcquireResult, StepError> {
        let (condition, former) = match old {
            LeaseObject::Present(seen) => (seen.condition, Some(seen.record)),
            LeaseObject::Corrupt(corrupt) => (WriteCondition::At(corrupt.position), None),
            LeaseObject::Absent(era) => (WriteCondition::Absent(era), None),
        };
        // A record that this process wrote may be newer than the one in a restored store.
        let written = self.last_written.as_ref().map(|(record, _)| record.clone());
        let is_first = former.is_none() && fence == first_fence(StoreEra::default());
        let former = former.into_iter().chain(written).max_by_key(LeaseRecord::order);
        let renewals = first_renewal(fence, former.as_ref());
        let first_window = match &former {
            None if is_first => 0,
            former => self.first_window(former.as_ref()),
        };
        let (required_endpoints, report) = former
            .map_or_else(Default::default, |former| (former.required_endpoints, former.report));
        let record = LeaseRecord {
            holder: self.context.settings.name.clone(),
            address: Some(self.context.settings.peer_address),
            incarnation: self.context.incarnation.0,
            fence,
            renewals,
            era: condition.era(),
            released: false,
            daemons: self.known_daemons(),
            members: fleet_members::stored_members(&self.context),
            throttled: self.throttled_accounts(),
            quarantined: quarantine::stored_requests(&self.context),
            quarantined_parts: quarantine::stored_parts(&self.context),
            rollouts: rollout_starts::stored_starts(&self.context),
            sole_versions: sole_versions::stored_versions(&self.context),
            brittle_services: brittle_services::stored_services(&self.context),
            required_endpoints: required_endpoints.clone(),
            first_window,
            report,
        };
        if !self.write(condition, record).await? {
            return Ok(AcquireResult::NotAcquired);
        }
        spdlog::info!("lease", kv: { outcome = "acquired", fence });
        self.context.metrics.count("lease_taken", 1);
        Ok(AcquireResult::Acquired { required_endpoints })
    }
}

/// Renewal number of the write that acquires the lease. A process that acquires its own lease again
/// keeps the fence and continues the numbering, since other daemons identify a renewal by fence and
/// number. When numbering restarted at 0, one of six other daemons acquired the lease within 2 s
/// although its holder was renewing it.
fn first_renewal(fence: u64, former: Option<&LeaseRecord>) -> u64 {
    let own = former.filter(|former| former.fence == fence);
    own.map_or(0, |former| former.renewals + 1)
}
