//! Token bucket of one account at one daemon, adjusted by the reports of its peers.

use std::{collections::BTreeMap, time::Duration};

use tokio::time::Instant;

use super::{
    AccountCounters, QuotaTolerance, offered_load::OfferedLoad, peer_spending::PeerSpending,
};
use crate::gateway::gossip::report_source::ReportSource;

/// Smallest burst, in seconds of the rate: one gossip interval, so that a quota without a burst
/// still admits single requests.
const MIN_BURST_S: f64 = 0.1;
/// Fraction of the quota's tolerance that is added to rate and burst, so that requests within a
/// quota are not refused when the spending of peers is overestimated. The rest covers
/// underestimates.
const USED_TOLERANCE_FRACTION: f64 = 0.5;
/// While peers' reports are younger than this, the bucket alone decides: its level hardly
/// oscillates, and requests are served in order of arrival. With older reports, the bucket alone
/// would oscillate between admitting everything and nothing.
const FRESH_REPORT_AGE: Duration = Duration::from_millis(900);
/// Fraction of the burst above which everything is admitted, and below which an account counts as
/// throttled: well above `TARGET_LEVEL`.
const UNTHROTTLED_LEVEL: f64 = 0.6;
/// Fraction of the burst at which the level is held while more is requested than the rate.
const TARGET_LEVEL: f64 = 0.2;
/// Time in which the level is corrected to `TARGET_LEVEL`, as a multiple of the age of reports: a
/// faster correction would overshoot before its effect is reported.
const CORRECTION_AGES: f64 = 1.5;
/// Shortest time for the correction, in seconds.
const MIN_CORRECTION_S: f64 = 1.0;
/// Reports older than this are removed: three times the 20 s after which a silent peer is removed.
pub const REPORT_RETENTION: Duration = Duration::from_secs(60);

/// Rate and burst of a bucket.
#[derive(Clone, Copy, Debug, Default)]
pub struct BucketLimits {
    /// Units per second.
    pub rate: f64,
    /// Units.
    pub burst: f64,
    /// Part of the quota's tolerance in units that `rate` and `burst` don't use. What peers admit
    /// before their reports arrive may take this much.
    pub reserve: f64,
}

impl BucketLimits {
    /// Limits for a whole quota, with `USED_TOLERANCE_FRACTION` of its tolerance added.
    pub fn new(rate: f64, burst: f64, tolerance: QuotaTolerance) -> Self {
        let reserve = tolerance.slack * (1.0 - USED_TOLERANCE_FRACTION);
        let rate = rate * (1.0 + tolerance.overage * USED_TOLERANCE_FRACTION);
        let burst = burst.max(rate * MIN_BURST_S) + tolerance.slack * USED_TOLERANCE_FRACTION;
        Self { rate, burst, reserve }
    }
}

/// Bucket of one account.
#[derive(Debug, Default)]
pub struct AccountBucket {
    /// Units left after those that this daemon admitted and that peers reported; negative if the
    /// account is overdrawn.
    level: f64,
    /// Limits at the last request.
    limits: BucketLimits,
    /// When the bucket was last filled; `None` before the first request.
    filled_at: Option<Instant>,
    own: AccountCounters,
    own_load: OfferedLoad,
    // Ordered, so that floating-point sums over it are always rounded the same way.
    peers: BTreeMap<ReportSource, PeerSpending>,
    /// Sum of the reports of the other daemons in this daemon's group.
    group_reported: AccountCounters,
}

impl AccountBucket {
    /// Whether there has been no request yet.
    pub fn is_new(&self) -> bool {
        self.filled_at.is_none()
    }

    /// Sets the level that a new bucket had when the daemon started; it has been filling since
    /// then.
    pub fn start(&mut self, level: f64, started_at: Instant) {
        self.level += level;
        self.filled_at = Some(started_at);
    }

    /// Adds the units accrued up to `now` under these limits.
    pub fn fill(&mut self, limits: BucketLimits, now: Instant) {
        self.limits = limits;
        let filled_at = self.filled_at.replace(now).unwrap_or(now);
        let elapsed_s = now.saturating_duration_since(filled_at).as_secs_f64();
        self.level = (self.level + elapsed_s * limits.rate).min(limits.burst);
    }

    /// Counts requested units, whether they are admitted or not.
    pub fn count_requested(&mut self, units: u64, now: Instant) {
        self.own.requested = self.own.requested.saturating_add(units);
        self.own_load.add(units, now);
    }

    /// Takes admitted units out of the bucket.
    pub fn spend(&mut self, units: u64) {
        self.level -= units as f64;
        self.own.spent = self.own.spent.saturating_add(units);
    }

    /// Returns units that were admitted for a request that never ran.
    pub fn give_back(&mut self, units: u64) {
        let units = units.min(self.own.spent);
        self.level += units as f64;
        self.own.spent -= units;
    }

    /// Units left, minus the estimate of what peers have admitted since their last reports, which
    /// may be `report_age` old.
    pub fn estimated_level(&self, report_age: Duration, now: Instant) -> f64 {
        let extrapolated = self.peers.values().map(|peer| peer.extrapolated(report_age, now));
        self.level - extrapolated.sum::<f64>()
    }

    /// Fraction of the requested units to admit at the estimated `level`. It is the same at all
    /// daemons and doesn't depend on the size of a request.
    pub fn admitted_fraction(&self, level: f64, report_age: Duration, now: Instant) -> f64 {
        let BucketLimits { rate, burst, reserve } = self.limits;
        if report_age < FRESH_REPORT_AGE || level >= burst * UNTHROTTLED_LEVEL {
            return 1.0;
        }
        if self.peers.is_empty() {
            // Without peers the level is exact.
            return 1.0;
        }
        let peer_load: f64 = self.peers.values().map(|peer| peer.offered_load(now)).sum();
        let offered_load = self.own_load.rate(now) + peer_load;
        if (offered_load - rate) * report_age.as_secs_f64() <= reserve {
            // All of it may be admitted before the reports arrive.
            return 1.0;
        }
        let correction_s = (report_age.as_secs_f64() * CORRECTION_AGES).max(MIN_CORRECTION_S);
        let correction = (level - burst * TARGET_LEVEL) / correction_s;
        ((rate + correction) / offered_load.max(1.0)).clamp(0.0, 1.0)
    }

    /// Whether little of the burst is left, by the same estimate by which requests are admitted.
    pub fn is_throttled(&self, report_age: Duration, now: Instant) -> bool {
        let Some(filled_at) = self.filled_at else { return false };
        let elapsed_s = now.saturating_duration_since(filled_at).as_secs_f64();
        let refilled = elapsed_s * self.limits.rate;
        self.estimated_level(report_age, now) + refilled < self.limits.burst * UNTHROTTLED_LEVEL
    }

    /// Applies the counters reported by a peer or group. `spent_since` is the earliest time at
    /// which the units of a source's first report may have been spent; without it they are not
    /// subtracted, since they may have been refilled long ago.
    pub fn receive(
        &mut self,
        from: ReportSource,
        counters: AccountCounters,
        spent_since: Option<Instant>,
        now: Instant,
    ) {
        let known = self.peers.get(&from).copied();
        if known.is_none() {
            self.drop_old_reports(now);
        }
        let first = |since| PeerSpending::new(AccountCounters::default(), since);
        let Some(before) = known.or(spent_since.map(first)) else {
            self.peers.insert(from, PeerSpending::new(counters, now));
            return;
        };
        let change = before.change(counters);
        self.level -= change.admitted;
        if from.is_in_own_group() {
            self.group_reported += change.rise;
        }
        self.peers.insert(from, before.updated(counters, known.is_some(), now));
    }

    fn drop_old_reports(&mut self, now: Instant) {
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.reported_at()) < REPORT_RETENTION);
    }

    /// Counters of this daemon since it started.
    pub fn own_counters(&self) -> AccountCounters {
        self.own
    }

    /// Counters of this daemon's group, as far as reported.
    pub fn group_counters(&self) -> AccountCounters {
        let mut counters = self.own;
        counters += self.group_reported;
        counters
    }
}
