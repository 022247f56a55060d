//! Acquires the lease when `policy::leader::leader_lease` allows it.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;
use tokio::time::Instant;

use super::{
    lease_keeper::{LeaseKeeper, SeenLease},
    lease_record::LeaseRecord,
    quarantine,
};
use crate::{
    errors::StepError,
    gateway::policy::leader::leader_lease::{
        AcquireDecision, LeaseOwner, ObservedLease, decide_acquire,
    },
    ids::SharedName,
    true_time,
};

/// Revision to write at when there is no object yet.
///
/// Basis: given by the store's API.
const NO_REVISION: u64 = 0;
/// Longest random time added to a wait for the lease, in milliseconds, so that daemons do not
/// all try at once.
///
/// Basis: chosen, not measured.
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
        let now = true_time::now();
        if self.context.is_leaving() || self.context.configuration().is_none() {
            return Ok(AcquireResult::NotAcquired);
        }
        let is_silent = self.context.lease.borrow().is_silent(self.lease(), now);
        let ran_here = self.record().is_some_and(|record| self.is_earlier_process(record));
        if !is_silent && !ran_here {
            self.seen = None;
            return Ok(AcquireResult::NotAcquired);
        }
        let object = self.store.read().await?;
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

    /// Writes the lease as this daemon's, if the object is still as in `seen`. The former
    /// holder's requirements and report are carried over.
    async fn acquire(
        &mut self,
        fence: u64,
        seen: Option<SeenLease>,
    ) -> Result<AcquireResult, StepError> {
        let renewals = first_renewal(fence, seen.as_ref());
        let (revision, required_endpoints, report) = match seen {
            Some(seen) => (seen.revision, seen.record.required_endpoints, seen.record.report),
            None => (NO_REVISION, BTreeMap::new(), None),
        };
        let record = LeaseRecord {
            holder: self.context.settings.name.clone(),
            address: Some(self.context.settings.peer_address),
            incarnation: self.context.incarnation.0,
            fence,
            renewals,
            released: false,
            daemons: self.known_daemons(),
            throttled: self.throttled_accounts(),
            quarantined: quarantine::stored_requests(&self.context),
            required_endpoints: required_endpoints.clone(),
            report,
        };
        if !self.write(revision, record).await? {
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
fn first_renewal(fence: u64, seen: Option<&SeenLease>) -> u64 {
    let own = seen.filter(|seen| seen.record.fence == fence);
    own.map_or(0, |seen| seen.record.renewals + 1)
}
