//! Endpoint loads that other daemons report, by the source of the report.
//!
//! Loads older than two seconds are ignored; totals of tokens sent are kept longer.

use std::{
    collections::{BTreeMap, HashMap},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    endpoint_load::{EndpointLoad, ReportedLoads, ServiceCounters},
    service_demand::DemandRate,
};
use crate::{gateway::gossip::report_source::ReportSource, ids::SharedName};

/// Age above which loads of other daemons are ignored, since they have changed by then.
const LOAD_KEPT: Duration = Duration::from_secs(2);
/// Age at which a report is dropped with its totals of tokens sent: much longer than `LOAD_KEPT`,
/// since the sum of all totals falls when one is dropped.
const REPORT_KEPT: Duration = Duration::from_secs(20);

/// The newest report of each source.
#[derive(Debug, Default)]
pub struct LoadReports {
    by_source: HashMap<ReportSource, ReportedLoads>,
    /// Requests per second, by source and service.
    demands: HashMap<ReportSource, HashMap<SharedName, DemandRate>>,
}

impl LoadReports {
    /// Applies a report.
    pub fn apply(&mut self, from: ReportSource, report: ReportedLoads) {
        let now = report.at;
        if let ReportSource::Group { number, .. } = from {
            // A new representative reports for the same group, so its report replaces the former
            // one's.
            let is_same_group = |other: &ReportSource| match other {
                ReportSource::Group { number: group, .. } => *group == number,
                ReportSource::Daemon(_) => false,
            };
            self.by_source.retain(|other, _| !is_same_group(other));
        }
        let demands = self.demands.entry(from).or_default();
        for (service, counters) in &report.services {
            demands.entry(service.clone()).or_default().observe(counters.requests, now);
        }
        self.by_source.insert(from, report);
        self.by_source.retain(|_, other| now.saturating_duration_since(other.at) < REPORT_KEPT);
        self.demands.retain(|from, _| self.by_source.contains_key(from));
    }

    /// Demand of a source for a service, in requests per second; none if it has not reported.
    pub fn demand(&self, from: ReportSource, service: &str) -> Option<f64> {
        let demands = self.demands.get(&from)?;
        Some(demands.get(service).map_or(0.0, DemandRate::per_second))
    }

    /// Demand of all sources for a service, in requests per second.
    pub fn total_demand(&self, service: &str) -> f64 {
        let demands = self.demands.values().filter_map(|demands| demands.get(service));
        demands.map(DemandRate::per_second).sum()
    }

    /// Load of an endpoint according to all reports, if it prefills `prefill_rate` tokens per
    /// millisecond.
    pub fn load_at(&self, endpoint: u64, prefill_rate: f64, now: Instant) -> EndpointLoad {
        let mut sum = EndpointLoad::default();
        for report in self.by_source.values() {
            let age = now.saturating_duration_since(report.at);
            if age > LOAD_KEPT {
                continue;
            }
            if let Some(load) = report.loads.get(&endpoint) {
                sum.add(&load.after(age, prefill_rate));
            }
        }
        sum
    }

    /// Age of the oldest report whose loads count.
    pub fn oldest_age(&self, now: Instant) -> Duration {
        let ages = self.by_source.values().map(|report| now.saturating_duration_since(report.at));
        ages.filter(|age| *age <= LOAD_KEPT).max().unwrap_or(Duration::ZERO)
    }

    /// Adds the loads that daemons of the own group report.
    pub fn add_group_loads(&self, loads: &mut HashMap<u64, EndpointLoad>, now: Instant) {
        for report in self.of_own_group() {
            if now.saturating_duration_since(report.at) > LOAD_KEPT {
                continue;
            }
            for (endpoint, load) in &report.loads {
                loads.entry(*endpoint).or_default().add(load);
            }
        }
    }

    /// Adds the counters that daemons of the own group report, by service.
    pub fn add_group_services(&self, services: &mut BTreeMap<SharedName, ServiceCounters>) {
        for report in self.of_own_group() {
            for (service, counters) in &report.services {
                *services.entry(service.clone()).or_default() += *counters;
            }
        }
    }

    /// Tokens that all other daemons have sent to a service.
    pub fn sent_to(&self, service: &str) -> u64 {
        let counters = self.by_source.values().filter_map(|report| report.services.get(service));
        counters.map(|counters| counters.uncached_tokens).fold(0, u64::saturating_add)
    }

    fn of_own_group(&self) -> impl Iterator<Item = &ReportedLoads> {
        let own = self.by_source.iter().filter(|(from, _)| from.is_in_own_group());
        own.map(|(_, report)| report)
    }
}
