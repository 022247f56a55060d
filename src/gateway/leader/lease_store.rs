//! The lease object in the store: one read and one conditional write, with a time limit.

use std::{rc::Rc, time::Duration};

use tokio::time::timeout;

use super::lease_record::LeaseRecord;
use crate::{
    errors::{FailureCause, StepError},
    gateway::context::GatewayContext,
    platform::store::{StoredObject, WriteCondition, WriteResult},
};

/// Kind of the lease's object.
const LEASE_KIND: &str = "gateway-leases";
/// Name of the lease's object.
const LEASE_NAME: &str = "duties";
/// Time limit of a write or a read: two calls fit between the renewal of a 3 s lease and the end of
/// the holder's right to act.
pub const STORE_LIMIT: Duration = Duration::from_millis(650);

/// Reads and writes the lease object.
pub struct LeaseStore {
    context: Rc<GatewayContext>,
}

impl LeaseStore {
    /// Client of the daemon's store.
    pub fn new(context: Rc<GatewayContext>) -> Self {
        Self { context }
    }

    /// The object, if there is one; no other time limit than the store client's.
    ///
    /// # Errors
    ///
    /// The store failed.
    pub async fn read(&self) -> Result<Option<StoredObject>, StepError> {
        self.context.store.read(LEASE_KIND, LEASE_NAME).await
    }

    /// The object, if there is one.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond within [`STORE_LIMIT`].
    pub async fn read_within_limit(&self) -> Result<Option<StoredObject>, StepError> {
        timeout(STORE_LIMIT, self.read()).await.map_err(|_| self.timed_out("read lease"))?
    }

    /// Writes the object if `condition` holds; `step` names the write in errors.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond within [`STORE_LIMIT`]; the write may have been done.
    pub async fn write(
        &self,
        step: &'static str,
        condition: WriteCondition,
        record: &LeaseRecord,
    ) -> Result<WriteResult, StepError> {
        let writing = self.context.store.write(LEASE_KIND, LEASE_NAME, condition, record);
        timeout(STORE_LIMIT, writing).await.map_err(|_| self.timed_out(step))?
    }

    /// Error of a step that took longer than [`STORE_LIMIT`].
    pub fn timed_out(&self, step: &'static str) -> StepError {
        let cause = FailureCause::TimedOut(STORE_LIMIT.as_millis() as u64);
        StepError::new(step, self.context.settings.store_address.to_string(), cause)
    }
}
