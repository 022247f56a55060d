//! What the holder does after a write of the lease whose outcome is not known, or that met a conflict: it
//! reads the object, and goes on or loses the lease.

use tokio::time::timeout;

use super::{
    lease_keeper::LeaseKeeper,
    lease_record::LeaseRecord,
    lease_sight::{LeaseSight, SeenLease},
    lease_store::STORE_LIMIT,
};
use crate::{
    boot_clock, errors::StepError, gateway::policy::leader::leader_lease::LossReason,
    platform::store::WriteCondition,
};

impl LeaseKeeper {
    /// After a write whose outcome is not known: reads what the lease is now. If the write was
    /// done, this daemon goes on from it; it acts again only after a write that is confirmed.
    pub(super) async fn reconcile(&mut self) -> Result<(), StepError> {
        let asked_at = boot_clock::now();
        let Ok(object) = timeout(STORE_LIMIT, self.store.read()).await else {
            return Err(self.store.timed_out("read lease"));
        };
        self.is_write_unconfirmed = false;
        let own = self.seen.clone();
        let sight = self.observe(object?, asked_at);
        if let Some(own) = own
            && let Some(condition) = self.condition_over_copy(&own.record, &sight)
        {
            spdlog::warn!("lease", kv: { outcome = "held over a copy", fence = own.record.fence });
            self.seen = Some(SeenLease { condition, ..own });
        } else if !self.is_own(&sight) {
            self.lose(LossReason::OtherHolder);
        }
        Ok(())
    }

    fn is_own(&self, sight: &LeaseSight) -> bool {
        match sight {
            LeaseSight::Seen(seen) => {
                seen.record.incarnation == self.context.incarnation.0
                    && seen.record.fence == self.context.lease.borrow().fence
            }
            LeaseSight::Absent(_) | LeaseSight::Spoilt(_) => false,
        }
    }

    /// Where the holder renews its lease `own` if the store was restored from a copy, in which nobody has
    /// acquired it since.
    fn condition_over_copy(&self, own: &LeaseRecord, sight: &LeaseSight) -> Option<WriteCondition> {
        match sight {
            LeaseSight::Seen(seen)
                if self.is_copied(&seen.record) && seen.record.order() <= own.order() =>
            {
                Some(seen.condition)
            }
            LeaseSight::Absent(era) if own.era < *era => Some(WriteCondition::Absent(*era)),
            LeaseSight::Seen(_) | LeaseSight::Absent(_) | LeaseSight::Spoilt(_) => None,
        }
    }
}
