//! Recovery after a lease write whose outcome is not known or that met a conflict: the holder reads the
//! object and either continues or loses the lease.

use tokio::time::timeout;

use super::{
    lease_keeper::LeaseKeeper,
    lease_object::{LeaseObject, StoredLease},
    lease_record::LeaseRecord,
    lease_store::STORE_TIMEOUT,
};
use crate::{
    boot_clock, errors::StepError, gateway::policy::leader::leader_lease::LossReason,
    platform::store::WriteCondition,
};

impl LeaseKeeper {
    /// Reads the lease after a write whose outcome is not known. If the write was done, this daemon
    /// continues from it, but acts as the leader only after a confirmed write.
    pub(super) async fn reconcile(&mut self) -> Result<(), StepError> {
        let asked_at = boot_clock::now();
        let Ok(object) = timeout(STORE_TIMEOUT, self.store.read()).await else {
            return Err(self.store.timeout_error("read lease"));
        };
        self.is_write_unconfirmed = false;
        let own = self.seen.clone();
        let lease_object = self.observe(object?, asked_at);
        if let Some(own) = own
            && let Some(condition) = self.condition_after_restore(&own.record, &lease_object)
        {
            spdlog::warn!("lease", kv: { outcome = "kept after a store restore", fence = own.record.fence });
            self.seen = Some(StoredLease { condition, ..own });
        } else if !self.is_own(&lease_object) {
            self.lose(LossReason::OtherHolder);
        }
        Ok(())
    }

    fn is_own(&self, lease_object: &LeaseObject) -> bool {
        match lease_object {
            LeaseObject::Present(seen) => {
                seen.record.incarnation == self.context.incarnation.0
                    && seen.record.fence == self.context.lease.borrow().fence
            }
            LeaseObject::Absent(_) | LeaseObject::Corrupt(_) => false,
        }
    }

    /// Condition under which the holder renews its lease `own` after the store was restored from a copy;
    /// none if the store was not restored, or if another daemon has acquired the lease since.
    fn condition_after_restore(
        &self,
        own: &LeaseRecord,
        lease_object: &LeaseObject,
    ) -> Option<WriteCondition> {
        match lease_object {
            LeaseObject::Present(seen)
                if self.is_from_earlier_era(&seen.record) && seen.record.order() <= own.order() =>
            {
                Some(seen.condition)
            }
            LeaseObject::Absent(era) if own.era < *era => Some(WriteCondition::Absent(*era)),
            LeaseObject::Present(_) | LeaseObject::Absent(_) | LeaseObject::Corrupt(_) => None,
        }
    }
}
