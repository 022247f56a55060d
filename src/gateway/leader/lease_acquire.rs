//! Acquires the lease when `policy::leader::leader_lease` allows it.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;
use tokio::time::Instant;

use super::{
    lease_keeper::LeaseKeeper, lease_record::LeaseRecord, lease_sight::LeaseSight, quarantine,
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

/// Longest random time added to a wait for the lease, in milliseconds, so that daemons do not all
/// try at once.
const ACQUIRE_SPREAD_MS: u64 = 300;

/// What became of a try to acquire the lease.
#[derive(Debug)]
pub enum AcquireResult {
    /// This daemon holds it.
    Acquired {
        /// Required endpoints by service, as the former holder found them.
        required_endpoints: BTreeMap<SharedName, f64>,
    },
    /// Another daemon holds it or was faster.
    NotAcquired,
    /// It may be free at this time.
    RetryAt(Instant),
}

impl LeaseKeeper {
    /// Acquires the lease if it is free. A daemon that is leaving or has no configuration
    /// leaves it to others.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond in time.
    pub async fn try_acquire(&mut self) -> Result<AcquireResult, StepError> {
        let now = boot_clock::now();
        // Peers know of holders that a store restored from a copy no longer shows.
        let has_peer_contact = self.context.knows_what_peers_know(now);
        let is_able = has_peer_contact && self.context.configuration().is_some();
        if self.context.is_leaving() || !is_able {
            return Ok(AcquireResult::NotAcquired);
        }
        let is_renewal_overdue = self.context.lease.borrow().is_renewal_overdue(self.lease(), now);
        let ran_here = self.record().is_some_and(|record| self.is_earlier_process(record));
        if !is_renewal_overdue && !ran_here {
            self.seen = None;
            return Ok(AcquireResult::NotAcquired);
        }
        let object = self.store.read().await?;
        let sight = self.observe(object, now);
        match decide_acquire(self.observed(&sight, now), self.lease(), self.context.store.era()) {
            AcquireDecision::Acquire { fence } => self.acquire(fence, sight).await,
            AcquireDecision::Wait(wait) => {
                let spread = rand::rng().random_range(0..ACQUIRE_SPREAD_MS);
                Ok(AcquireResult::RetryAt(now + wait + Duration::from_millis(spread)))
            }
        }
    }

    /// What the object says of the lease; none if there never was one, as far as known.
    fn observed(&self, sight: &LeaseSight, now: Instant) -> Option<ObservedLease> {
        let unchanged_for = |since: Instant| now.saturating_duration_since(since);
        match sight {
            LeaseSight::Seen(seen) if self.is_lost(&seen.record) => {
                let fence = self.context.lease.borrow().fence.max(seen.record.fence);
                let since = self.own_last_renewal().unwrap_or(seen.since);
                Some(ObservedLease::of_lost_record(fence, unchanged_for(since)))
            }
            LeaseSight::Seen(seen) => Some(ObservedLease {
                fence: seen.record.fence,
                owner: self.owner_of(&seen.record),
                released: seen.record.released,
                unchanged_for: unchanged_for(seen.since),
            }),
            LeaseSight::Spoilt(spoilt) => {
                let known = self.context.lease.borrow().fence;
                let fence = highest_possible_fence(known, spoilt.position);
                Some(ObservedLease::of_lost_record(fence, unchanged_for(spoilt.since)))
            }
            LeaseSight::Absent(_) => {
                let lease = self.context.lease.borrow();
                let renewed_at = lease.renewed_at?;
                let era_began = self.era.and_then(|era| era.began_at).unwrap_or(renewed_at);
                let since = self.own_last_renewal().unwrap_or(renewed_at.max(era_began));
                Some(ObservedLease::of_lost_record(lease.fence, unchanged_for(since)))
            }
        }
    }

    /// Whether a later renewal than that of the record has been made, or may have been: the store was
    /// restored from a copy.
    fn is_lost(&self, record: &LeaseRecord) -> bool {
        let lease = self.context.lease.borrow();
        self.is_copied(record) || record.order() < (lease.fence, lease.renewals)
    }

    /// When this process began its last renewal, if nobody is known to have acquired the lease since.
    fn own_last_renewal(&self) -> Option<Instant> {
        let (record, began_at) = self.written.as_ref()?;
        (record.fence == self.context.lease.borrow().fence).then_some(*began_at)
    }

    /// First window that is not left out. A window that a lost record held may have been reported.
    fn first_window(&self, former: Option<&LeaseRecord>) -> u64 {
        let known = former.filter(|former| self.knows_reports(former));
        known.map_or_else(|| self.current_window(), |former| former.first_window)
    }

    /// Whether this daemon knows which windows have been reported since the record was written.
    fn knows_reports(&self, record: &LeaseRecord) -> bool {
        let is_own = record.incarnation == self.context.incarnation.0;
        is_own || !self.is_copied(record) || self.context.lease.borrow().next_window > 0
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

    /// Writes the lease as this daemon's, if the object is still as in `sight`. The former
    /// holder's requirements and report are carried over.
    async fn acquire(&mut self, fence: u64, sight: LeaseSight) -> Result<AcquireResult, StepError> {
        let (condition, former) = match sight {
            LeaseSight::Seen(seen) => (seen.condition, Some(seen.record)),
            LeaseSight::Spoilt(spoilt) => (WriteCondition::At(spoilt.position), None),
            LeaseSight::Absent(era) => (WriteCondition::Absent(era), None),
        };
        // What this process has written itself goes before what a copy holds of it.
        let written = self.written.as_ref().map(|(record, _)| record.clone());
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
            throttled: self.throttled_accounts(),
            quarantined: quarantine::stored_requests(&self.context),
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

/// Number of the write that acquires the lease. A process that acquires its own lease again keeps
/// the fence and goes on counting: others know a renewal by fence and number. Numbered from 0
/// again, one of six others acquired the lease within 2 s while its holder renewed it.
fn first_renewal(fence: u64, former: Option<&LeaseRecord>) -> u64 {
    let own = former.filter(|former| former.fence == fence);
    own.map_or(0, |former| former.renewals + 1)
}
