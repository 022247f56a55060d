//! The fleet as this daemon sees it: how many daemons share quotas and budgets, and whether it is in contact with
//! the others.

use tokio::time::Instant;

use super::GatewayContext;
use crate::gateway::policy::{
    daemon::{
        daemon_count::{self, RecordedCount},
        fleet_contact::{HeardLease, RenewalNumber},
    },
    request::quota::QuotaSharing,
};

impl GatewayContext {
    /// Number of daemons among which the reserve of retries is shared.
    pub(super) fn retrying_daemons(&self, now: Instant) -> usize {
        self.sharing(now).known.max(self.peers.borrow().recent_peak())
    }

    /// Numbers of daemons among which quotas are shared.
    pub fn sharing(&self, now: Instant) -> QuotaSharing {
        let discovered = self.peers.borrow().sharing(now);
        let contact = self.fleet_contact.get();
        daemon_count::assumed_sharing(discovered, self.recorded_count(), contact, self.age(now))
    }

    /// Whether the number of daemons is known well enough to calculate shares of quotas.
    pub fn knows_fleet_size(&self, now: Instant) -> bool {
        daemon_count::is_known(self.fleet_size.get(), self.age(now))
    }

    fn recorded_count(&self) -> RecordedCount {
        match (self.fleet_size.get(), self.settings.cloud_address) {
            (Some(count), _) => RecordedCount::Known(count),
            (None, Some(_)) => RecordedCount::Unknown,
            (None, None) => RecordedCount::NoLease,
        }
    }

    /// Evaluates the contact with the rest of the fleet, and logs it when it has changed.
    pub fn observe_fleet(&self, now: Instant) {
        let lease_duration = self.settings.bounds.lease_duration;
        let heard = self.heard_lease(now);
        let contact = self.contact_monitor.borrow_mut().evaluate(heard, lease_duration, now);
        let sharing = self.sharing(now);
        self.metrics.gauge("daemons_known", sharing.known as f64);
        self.metrics.gauge("daemons_heard", sharing.heard as f64);
        if self.fleet_contact.replace(contact) != contact {
            let recorded = self.fleet_size.get().unwrap_or(0);
            let QuotaSharing { known, heard, .. } = self.sharing(now);
            spdlog::info!("fleet", kv: { outcome: = contact, known, heard, recorded });
        }
    }

    /// Records a renewal of the lease by another daemon that was read in the store.
    pub fn read_renewal(&self, number: RenewalNumber, now: Instant) {
        let heard = self.heard_lease(now);
        self.contact_monitor.borrow_mut().read(number, heard, now);
    }

    fn heard_lease(&self, now: Instant) -> HeardLease {
        let lease = self.lease.borrow();
        HeardLease {
            is_own: lease.own,
            renewal: RenewalNumber { fence: lease.fence, renewals: lease.renewals },
            is_overdue: lease.is_renewal_overdue(self.settings.bounds.lease_duration, now),
        }
    }
}
