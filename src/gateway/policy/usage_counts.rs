//! Counts of the requests that began to run, by account and window of the wall clock.

use std::collections::{BTreeMap, HashMap};

use crate::{gateway::gossip::report_source::ReportSource, ids::SharedName};

/// Windows kept: reports are due well before so many have passed.
const WINDOWS_KEPT: u64 = 8;

/// Counts of one window by account.
pub type WindowCounts = BTreeMap<SharedName, u64>;

/// Counts of this daemon and, as far as heard, of the others.
#[derive(Debug, Default)]
pub struct UsageCounts {
    own: BTreeMap<u64, WindowCounts>,
    heard: HashMap<ReportSource, BTreeMap<u64, WindowCounts>>,
}

impl UsageCounts {
    /// A request of `account` began to run in `window`.
    pub fn count(&mut self, account: &SharedName, window: u64) {
        let counts = self.own.entry(window).or_default();
        *counts.entry(account.clone()).or_default() += 1;
        let oldest = window.saturating_sub(WINDOWS_KEPT);
        self.own.retain(|window, _| *window >= oldest);
    }

    /// Counts of this daemon.
    pub fn own(&self) -> &BTreeMap<u64, WindowCounts> {
        &self.own
    }

    /// Another daemon's or group's counts; those of a window only rise within one life.
    pub fn hear(&mut self, from: ReportSource, window: u64, counts: WindowCounts) {
        if let ReportSource::Group { number, representative } = from {
            // NOTE: a new representative tells of the same group: its word takes the other's place.
            self.heard.retain(|other, _| match other {
                ReportSource::Group { number: group, representative: before } => {
                    *group != number || *before == representative
                }
                ReportSource::Daemon(_) => true,
            });
        }
        let windows = self.heard.entry(from).or_default();
        windows.insert(window, counts);
        while windows.len() as u64 > WINDOWS_KEPT {
            windows.pop_first();
        }
    }

    /// Counts of the own group, by window.
    pub fn group_totals(&self) -> BTreeMap<u64, WindowCounts> {
        let in_own_group = self.heard.iter().filter(|(from, _)| from.is_in_own_group());
        let mut totals = self.own.clone();
        for (window, counts) in in_own_group.flat_map(|(_, windows)| windows) {
            let total = totals.entry(*window).or_default();
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        totals
    }

    /// Counts of `window` over all daemons.
    pub fn total(&self, window: u64) -> WindowCounts {
        let heard = self.heard.values().filter_map(|windows| windows.get(&window));
        let mut total = WindowCounts::new();
        for counts in self.own.get(&window).into_iter().chain(heard) {
            for (account, count) in counts {
                *total.entry(account.clone()).or_default() += count;
            }
        }
        total
    }
}
