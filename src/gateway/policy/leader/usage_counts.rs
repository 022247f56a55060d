//! Counts of the requests that began to run, by account and window of the wall clock.
//!
//! Own counts are exact. Those of other daemons are as of their last gossip message: in the own
//! gossip group each daemon reports its own counts, other groups report sums through their
//! representatives. A daemon that has just started receives the counts of daemons that have ended
//! from the others of its group. `usage_reports` decides which window is complete enough to be
//! reported to the cloud.

use std::collections::{BTreeMap, HashMap};

use crate::{
    gateway::gossip::report_source::ReportSource,
    ids::{IncarnationId, SharedName},
};

/// Windows kept: more than twice the windows that are still reported (`REPORTABLE_WINDOWS` of
/// `usage_reports`).
const WINDOWS_KEPT: u64 = 8;

/// Counts of one window by account.
pub type WindowCounts = BTreeMap<SharedName, u64>;

/// Counts of this daemon and those that others have reported.
#[derive(Debug, Default)]
pub struct UsageCounts {
    own: BTreeMap<u64, WindowCounts>,
    reported: HashMap<ReportSource, BTreeMap<u64, WindowCounts>>,
}

impl UsageCounts {
    /// Counts a request of `account` that began to run in `window`.
    pub fn count(&mut self, account: &SharedName, window: u64) {
        if !self.own.contains_key(&window) {
            self.drop_before(window.saturating_sub(WINDOWS_KEPT));
        }
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
    }

    /// Drops own windows before `oldest`, and the daemons that have reported no later window: they
    /// have ended.
    fn drop_before(&mut self, oldest: u64) {
        let is_kept = |window: &u64| *window >= oldest;
        self.own.retain(|window, _| is_kept(window));
        self.reported.retain(|_, windows| windows.keys().next_back().is_some_and(is_kept));
    }

    /// Counts of this daemon, by window.
    pub fn own(&self) -> &BTreeMap<u64, WindowCounts> {
        &self.own
    }

    /// Receives the counts of another daemon or group, which replace its earlier ones of the same
    /// window.
    pub fn receive(&mut self, from: ReportSource, window: u64, counts: WindowCounts) {
        self.drop_former_representatives(from);
        let windows = self.reported.entry(from).or_default();
        windows.insert(window, counts);
        while windows.len() as u64 > WINDOWS_KEPT {
            windows.pop_first();
        }
    }

    /// Receives counts of a daemon of the own group that a third daemon has passed on. Counts only
    /// rise, so the highest one of each account is the newest.
    pub fn receive_relayed(
        &mut self,
        incarnation: IncarnationId,
        window: u64,
        counts: &WindowCounts,
    ) {
        let source = ReportSource::Daemon(incarnation);
        let known = self.reported.get(&source).and_then(|windows| windows.get(&window));
        let mut merged = known.map_or_else(WindowCounts::new, WindowCounts::clone);
        for (account, count) in counts {
            let highest = merged.entry(account.clone()).or_default();
            *highest = (*highest).max(*count);
        }
        self.receive(source, window, merged);
    }

    /// Counts that daemons of the own group have reported, by window.
    pub fn reported_in_group(
        &self,
    ) -> impl Iterator<Item = (IncarnationId, &BTreeMap<u64, WindowCounts>)> {
        self.reported.iter().filter_map(|(source, windows)| match source {
            ReportSource::Daemon(incarnation) => Some((*incarnation, windows)),
            ReportSource::Group { .. } => None,
        })
    }

    /// Drops the reports of a group's former representative, which would count the group twice.
    fn drop_former_representatives(&mut self, from: ReportSource) {
        let ReportSource::Group { number, representative } = from else { return };
        self.reported.retain(|other, _| match other {
            ReportSource::Group { number: group, representative: former } => {
                *group != number || *former == representative
            }
            ReportSource::Daemon(_) => true,
        });
    }

    /// Counts of the own group, by window.
    pub fn group_totals(&self) -> BTreeMap<u64, WindowCounts> {
        let in_own_group = self.reported.iter().filter(|(from, _)| from.is_in_own_group());
        let mut totals = self.own.clone();
        for (window, counts) in in_own_group.flat_map(|(_, windows)| windows) {
            add_counts(totals.entry(*window).or_default(), counts);
        }
        totals
    }

    /// Counts of `window` over all daemons.
    pub fn total(&self, window: u64) -> WindowCounts {
        let reported = self.reported.values().filter_map(|windows| windows.get(&window));
        let mut total = WindowCounts::new();
        for counts in self.own.get(&window).into_iter().chain(reported) {
            add_counts(&mut total, counts);
        }
        total
    }
}

fn add_counts(total: &mut WindowCounts, counts: &WindowCounts) {
    for (account, count) in counts {
        let sum = total.entry(account.clone()).or_default();
        *sum = sum.saturating_add(*count);
    }
}
