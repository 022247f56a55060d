//! Runs without a response so far. One that takes too long counts as a bad response at once, not only
//! when its response arrives.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::super::version_counts::RolloutRoute;
use crate::ids::SharedName;

/// A run at an endpoint of a service that is being rolled out.
#[derive(Clone, Debug, PartialEq)]
pub struct PendingRun {
    /// Route of the request.
    pub route: RolloutRoute,
    /// Whether the endpoint is of the target version.
    pub is_target: bool,
    /// When the run counts as slow.
    pub slow_at: Instant,
}

/// Identifies a run at the table of roll-outs.
#[derive(Clone, Debug)]
pub struct RunTicket {
    route: SharedName,
    begun: Instant,
    /// Number and content of the pending run; none outside of roll-outs.
    tracked: Option<(u64, PendingRun)>,
    has_responded: bool,
}

impl RunTicket {
    /// A run of a service that is not being rolled out.
    pub fn untracked(route: SharedName, begun: Instant) -> Self {
        Self { route, begun, tracked: None, has_responded: false }
    }

    /// Name of the route.
    pub fn route(&self) -> &SharedName {
        &self.route
    }

    /// Time since the run began.
    pub fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.begun)
    }

    /// Whether the run belongs to a roll-out.
    pub fn is_tracked(&self) -> bool {
        self.tracked.is_some()
    }

    /// The run, if it belongs to a roll-out.
    pub fn run(&self) -> Option<&PendingRun> {
        self.tracked.as_ref().map(|(_, run)| run)
    }

    /// Whether the first part of the response has been recorded.
    pub fn has_responded(&self) -> bool {
        self.has_responded
    }

    /// Marks the first part of the response as recorded.
    pub fn mark_responded(&mut self) {
        self.has_responded = true;
    }
}

/// Runs without a response, by number.
#[derive(Debug, Default)]
pub struct PendingRuns {
    next: u64,
    runs: BTreeMap<u64, PendingRun>,
}

impl PendingRuns {
    /// Adds a run that begins now.
    pub fn begin(&mut self, run: PendingRun, now: Instant) -> RunTicket {
        let number = self.next;
        self.next += 1;
        self.runs.insert(number, run.clone());
        let route = run.route.route.clone();
        RunTicket { route, begun: now, tracked: Some((number, run)), has_responded: false }
    }

    /// Removes a run; none if it is no longer pending.
    pub fn end(&mut self, ticket: &RunTicket) -> Option<PendingRun> {
        let (number, _) = ticket.tracked.as_ref()?;
        self.runs.remove(number)
    }

    /// Removes and returns the runs that count as slow now.
    pub fn take_slow(&mut self, now: Instant) -> Vec<PendingRun> {
        let (slow, pending) =
            std::mem::take(&mut self.runs).into_iter().partition(|(_, run)| run.slow_at <= now);
        self.runs = pending;
        let slow: BTreeMap<u64, PendingRun> = slow;
        slow.into_values().collect()
    }
}
