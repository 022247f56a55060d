//! Runs that broke, while the endpoints at which they broke are checked (`request::crash_watch`):
//! one check serves for all runs that broke at an endpoint since it began.

use std::{cell::RefCell, collections::HashMap};

use tokio::time::Instant;

use super::fingerprint::RequestFingerprint;
use crate::ids::SharedName;

/// A run that broke without a whole response.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun {
    /// The request.
    pub request: RequestFingerprint,
    /// When it was sent, or when the head of its response came.
    pub begun: Instant,
    /// When it broke.
    pub broken: Instant,
}

/// Runs that broke at endpoints that are being checked.
#[derive(Debug, Default)]
pub struct CrashChecks {
    pending: RefCell<HashMap<SharedName, Vec<BrokenRun>>>,
}

impl CrashChecks {
    /// Adds a run; whether it is the first one, so that a check of its endpoint has to begin.
    pub fn add(&self, endpoint: &SharedName, run: BrokenRun) -> bool {
        let mut pending = self.pending.borrow_mut();
        let runs = pending.entry(endpoint.clone()).or_default();
        runs.push(run);
        runs.len() == 1
    }

    /// Takes the runs that broke at an endpoint, whose check is over.
    pub fn take(&self, endpoint: &str) -> Vec<BrokenRun> {
        self.pending.borrow_mut().remove(endpoint).into_iter().flatten().collect()
    }
}
