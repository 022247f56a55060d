//! Counts of good and bad responses by version, which daemons report to each other.

use std::{collections::BTreeMap, ops::AddAssign};

use super::rollout_order::OrderId;
use crate::ids::SharedName;

/// Answers of one version's endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionCounts {
    /// Answers in the usual time.
    pub good: u64,
    /// Failures and slow responses.
    pub bad: u64,
}

impl VersionCounts {
    /// All responses.
    pub fn total(&self) -> u64 {
        self.good.saturating_add(self.bad)
    }

    /// Fraction of bad responses; 0 without any responses.
    pub fn bad_fraction(&self) -> f64 {
        self.bad as f64 / self.total().max(1) as f64
    }

    /// Answers since an earlier count. A sum of several daemons falls when one of them ends.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            good: self.good.saturating_sub(earlier.good),
            bad: self.bad.saturating_sub(earlier.bad),
        }
    }
}

impl AddAssign for VersionCounts {
    fn add_assign(&mut self, other: Self) {
        self.good = self.good.saturating_add(other.good);
        self.bad = self.bad.saturating_add(other.bad);
    }
}

/// Answers to the requests of one route during a roll-out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Of the target version.
    pub target: VersionCounts,
    /// Of all other versions.
    pub former: VersionCounts,
}

impl RouteCounts {
    /// Answers since an earlier count.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            target: self.target.since(&earlier.target),
            former: self.former.since(&earlier.former),
        }
    }
}

impl AddAssign for RouteCounts {
    fn add_assign(&mut self, other: Self) {
        self.target += other.target;
        self.former += other.former;
    }
}

/// A route in one roll-out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RolloutRoute {
    /// The roll-out's order.
    pub order: OrderId,
    /// Name of the route.
    pub route: SharedName,
}

/// Counts of all roll-outs, by route.
pub type RolloutCounts = BTreeMap<RolloutRoute, RouteCounts>;

/// Adds counts to a sum.
pub fn add_counts(sum: &mut RolloutCounts, counts: &RolloutCounts) {
    for (route, counts) in counts {
        *sum.entry(route.clone()).or_default() += *counts;
    }
}
