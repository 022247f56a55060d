//! Counts of good and bad responses, and the decision to stop a version.

use std::time::Duration;

use tokio::time::Instant;

use super::{
    BadVersion, ResponseQuality, RolloutTable, TrackedRollout,
    pending_runs::{PendingRun, RunTicket},
};
use crate::{
    gateway::{
        gossip::report_source::ReportSource,
        policy::rollout::{
            rollout_order::RolloutOrder,
            version_comparison::is_worse,
            version_counts::{RolloutCounts, RolloutRoute, RouteCounts, add_counts},
        },
    },
    ids::SharedName,
};

/// Age at which a report of another daemon is dropped.
const REPORT_KEPT: Duration = Duration::from_secs(20);

impl RolloutTable {
    /// Begins a run at an endpoint of `version`; `target` is the time within which the operators want a
    /// response.
    pub fn begin_run(
        &mut self,
        service: &str,
        version: &str,
        route: &SharedName,
        target: Duration,
        now: Instant,
    ) -> RunTicket {
        let slow_at = now + self.times.limit(route, target);
        let active = self.of_service(service).filter(|known| known.is_active());
        let Some(known) = active else {
            return RunTicket::untracked(route.clone(), now);
        };
        let is_target = *known.order.target == *version;
        let route = RolloutRoute { order: known.order.id, route: route.clone() };
        self.pending.begin(PendingRun { route, is_target, slow_at }, now)
    }

    /// Records the first part of a good response.
    pub fn responded(&mut self, ticket: &mut RunTicket, now: Instant) {
        if ticket.has_responded() {
            return;
        }
        ticket.mark_responded();
        match self.pending.end(ticket) {
            Some(run) => {
                if !run.is_target {
                    self.times.record(ticket.route(), ticket.elapsed(now));
                }
                let quality =
                    if now > run.slow_at { ResponseQuality::Bad } else { ResponseQuality::Good };
                self.count(&run, quality);
            }
            None if !ticket.is_tracked() => self.times.record(ticket.route(), ticket.elapsed(now)),
            // Counted as slow already.
            None => {}
        }
    }

    /// Records that the endpoint failed, before its response or in it.
    pub fn failed(&mut self, ticket: &RunTicket) {
        let run = self.pending.end(ticket);
        // One that failed after its first part was counted as good at that time.
        if let Some(run) = run.or_else(|| ticket.run().filter(|_| ticket.has_responded()).cloned())
        {
            self.count(&run, ResponseQuality::Bad);
        }
    }

    /// Forgets a run that says nothing of its endpoint.
    pub fn abandoned(&mut self, ticket: &RunTicket) {
        self.pending.end(ticket);
    }

    fn count(&mut self, run: &PendingRun, quality: ResponseQuality) {
        let counts = self.own.entry(run.route.clone()).or_default();
        let version = if run.is_target { &mut counts.target } else { &mut counts.former };
        match quality {
            ResponseQuality::Good => version.good += 1,
            ResponseQuality::Bad => version.bad += 1,
        }
    }

    /// This daemon's counts.
    pub fn own_counts(&self) -> &RolloutCounts {
        &self.own
    }

    /// Counts of the own gossip group.
    pub fn group_counts(&self) -> RolloutCounts {
        let mut sum = self.own.clone();
        let group = self.reports.iter().filter(|(from, _)| from.is_in_own_group());
        for (_, (_, counts)) in group {
            add_counts(&mut sum, counts);
        }
        sum
    }

    /// Applies another daemon's counts. Those of a new representative replace the former one's.
    pub fn receive_counts(&mut self, from: ReportSource, counts: RolloutCounts, now: Instant) {
        if let ReportSource::Group { number, .. } = from {
            let is_same_group = |other: &ReportSource| matches!(other, ReportSource::Group { number: group, .. } if *group == number);
            self.reports.retain(|other, _| !is_same_group(other));
        }
        if counts.is_empty() {
            self.reports.remove(&from);
        } else {
            self.reports.insert(from, (now, counts));
        }
    }

    /// Sums of all daemons that have reported lately.
    pub fn sums(&self, now: Instant) -> RolloutCounts {
        let mut sum = self.own.clone();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < REPORT_KEPT;
        for (_, counts) in self.reports.values().filter(|(at, _)| is_recent(*at)) {
            add_counts(&mut sum, counts);
        }
        sum
    }

    /// Responses to the requests of a service's roll-out since the last change of its plan, on all routes.
    pub fn responses(&self, service: &str, now: Instant) -> RouteCounts {
        let tracked = self.rollouts.get(service);
        let sums = self.sums(now);
        let mut all = RouteCounts::default();
        for (_, counts) in tracked.iter().flat_map(|tracked| tracked.since_plan(&sums)) {
            all += counts;
        }
        all
    }

    /// Counts runs that have become slow, compares all target versions with the former ones, and stops
    /// those that are bad. Returns those that were not stopped before.
    pub fn evaluate(&mut self, now: Instant) -> Vec<BadVersion> {
        for run in self.pending.take_slow(now) {
            self.count(&run, ResponseQuality::Bad);
        }
        if !self.rollouts.values().any(|tracked| tracked.known.is_active()) {
            return Vec::new();
        }
        let sums = self.sums(now);
        let compared = self
            .rollouts
            .values_mut()
            .filter(|tracked| tracked.known.is_active() && !tracked.known.is_stopped);
        compared.filter_map(|tracked| tracked.evaluate(&sums)).collect()
    }
}

impl TrackedRollout {
    /// Responses since the last change of the plan, by route.
    fn since_plan<'a>(
        &'a self,
        sums: &'a RolloutCounts,
    ) -> impl Iterator<Item = (&'a SharedName, RouteCounts)> {
        let order = self.known.order.id;
        sums.iter().filter(move |(route, _)| route.order == order).map(|(route, counts)| {
            // A route without responses before the change counts from zero.
            let before = self.counted_before.get(route).copied().unwrap_or_default();
            (&route.route, counts.since(&before))
        })
    }

    /// Stops the roll-out if its target version is bad on one route, or on all together.
    fn evaluate(&mut self, sums: &RolloutCounts) -> Option<BadVersion> {
        let mut all = RouteCounts::default();
        let mut bad = None;
        for (route, counts) in self.since_plan(sums) {
            all += counts;
            if is_worse(&counts) {
                bad = Some((route.clone(), counts));
            }
        }
        let (route, counts) = bad.or_else(|| is_worse(&all).then(|| ("all".into(), all)))?;
        self.known.is_stopped = true;
        let RolloutOrder { service, target, .. } = self.known.order.clone();
        Some(BadVersion { service, target, route, counts })
    }
}
