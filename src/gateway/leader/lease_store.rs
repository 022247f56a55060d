//! Reads and writes the lease object in the store, with timeouts.

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
/// Timeout of a write or a read: two calls fit between the time at which a 3 s lease is renewed and the
/// time at which its holder has to stop acting.
pub const STORE_TIMEOUT: Duration = Duration::from_millis(650);

/// Reads and writes the lease object.
pub struct LeaseStore {
    context: Rc<GatewayContext>,
}

impl LeaseStore {
    /// Uses the store client of `context`.
    pub fn new(context: Rc<GatewayContext>) -> Self {
        Self { context }
    }

    /// Reads the object, if there is one, with only the store client's timeout.
    ///
    /// # Errors
    ///
    /// The store failed.
    pub async fn read(&self) -> Result<Option<StoredObject>, StepError> {
        self.context.store.read(LEASE_KIND, LEASE_NAME).await
    }

    /// Reads the object, if there is one.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond within [`STORE_TIMEOUT`].
    pub async fn read_with_timeout(&self) -> Result<Option<StoredObject>, StepError> {
        timeout(STORE_TIMEOUT, self.read()).await.map_err(|_| self.timeout_error("read lease"))?
    }

    /// Writes the object if `condition` holds; errors name the write by `step`.
    ///
    /// # Errors
    ///
    /// The store failed or did not respond within [`STORE_TIMEOUT`]; the write may have been done.
    pub async fn write(
        &self,
        step: &'static str,
        condition: WriteCondition,
        record: &LeaseRecord,
    ) -> Result<WriteResult, StepError> {
        let writing = self.context.store.write(LEASE_KIND, LEASE_NAME, condition, record);
        timeout(STORE_TIMEOUT, writing).await.map_err(|_| self.timeout_error(step))?
    }

    /// Error for a step that took longer than [`STORE_TIMEOUT`].
    pub fn timeout_error(&self, step: &'static str) -> StepError {
        let cause = FailureCause::TimedOut(STORE_TIMEOUT.as_millis() as u64);
        StepError::new(step, self.context.settings.store_address.to_string(), cause)
    }
}
