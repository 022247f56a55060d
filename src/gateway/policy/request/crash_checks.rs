//! Broken runs that wait for the check of their endpoint (`request::crash_watch`). One check covers
//! all runs that break at an endpoint until the check has finished.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use tokio::time::Instant;

use super::fingerprint::RequestFingerprint;
use crate::{gateway::call::PartId, ids::SharedName};

/// A run whose connection broke before the response was complete.
#[derive(Clone, Debug)]
pub struct BrokenRun {
    /// The request.
    pub request: RequestFingerprint,
    /// Parts of its prompt that other requests may have too.
    pub shared_parts: Rc<[PartId]>,
    /// When the attempt began, or when the head of its response arrived.
    pub begun: Instant,
    /// When it broke.
    pub broken: Instant,
}

/// Broken runs by endpoint, for the endpoints that are being checked.
#[derive(Debug, Default)]
pub struct CrashChecks {
    pending: RefCell<HashMap<SharedName, Vec<BrokenRun>>>,
}

impl CrashChecks {
    /// Adds a run. Returns whether it is the endpoint's first one, so that a check has to be
    /// started.
    pub fn add(&self, endpoint: &SharedName, run: BrokenRun) -> bool {
        let mut pending = self.pending.borrow_mut();
        let runs = pending.entry(endpoint.clone()).or_default();
        runs.push(run);
        runs.len() == 1
    }

    /// Removes and returns the runs of an endpoint whose check has finished.
    pub fn take(&self, endpoint: &str) -> Vec<BrokenRun> {
        self.pending.borrow_mut().remove(endpoint).into_iter().flatten().collect()
    }
}
