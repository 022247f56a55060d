//! Counters that one peer or one other gossip group has reported for an account, and an estimate of
//! what it has admitted since that report.

use std::time::Duration;

use tokio::time::Instant;

use super::AccountCounters;

/// A peer is assumed to continue at its last rate for this long, or for the greatest age of reports
/// if that is longer: reports in a large fleet are up to a second old.
const MIN_EXTRAPOLATION: Duration = Duration::from_millis(1_000);
/// A peer's offered load counts for this long after its last report: longer than two gossip rounds
/// in a fleet of 87 daemons (1.8 s).
const OFFERED_LOAD_RETENTION: Duration = Duration::from_secs(3);
/// Time over which a peer's rates are averaged, in seconds: a single large request would otherwise
/// count as a rate of many times the quota until the next reports.
const AVERAGE_TIME_S: f64 = 2.0;
/// Shortest interval over which a rate is computed, in seconds: one gossip interval.
const MIN_REPORT_INTERVAL_S: f64 = 0.1;

/// Counters of an account in a peer's last report, and the rates derived from its reports.
#[derive(Clone, Copy, Debug)]
pub struct PeerSpending {
    counters: AccountCounters,
    reported_at: Instant,
    /// Units admitted per second.
    admitted_rate: f64,
    /// Units requested per second.
    requested_rate: f64,
}

/// Difference between a report and the previous one.
#[derive(Clone, Copy, Debug)]
pub struct SpendingChange {
    /// Change of the admitted units; negative if units of requests that never ran were returned.
    pub admitted: f64,
    /// Increase of the counters, 0 where they fell; for sums, which must never fall.
    pub rise: AccountCounters,
}

impl PeerSpending {
    /// State after a peer's first report: its rates are not known yet.
    pub fn new(counters: AccountCounters, reported_at: Instant) -> Self {
        Self { counters, reported_at, admitted_rate: 0.0, requested_rate: 0.0 }
    }

    /// When the last report arrived.
    pub fn reported_at(&self) -> Instant {
        self.reported_at
    }

    /// Estimate of the units that the peer has admitted since its last report, where reports may be
    /// `report_age` old.
    pub fn extrapolated(&self, report_age: Duration, now: Instant) -> f64 {
        let limit = report_age.max(MIN_EXTRAPOLATION);
        let elapsed = now.saturating_duration_since(self.reported_at).min(limit);
        self.admitted_rate * elapsed.as_secs_f64()
    }

    /// Units requested at the peer per second; 0 once its report is too old to count.
    pub fn offered_load(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.reported_at);
        if elapsed < OFFERED_LOAD_RETENTION { self.requested_rate } else { 0.0 }
    }

    /// Difference between newer `counters` and those of the last report.
    pub fn change(&self, counters: AccountCounters) -> SpendingChange {
        SpendingChange {
            admitted: counters.spent as f64 - self.counters.spent as f64,
            rise: AccountCounters {
                spent: counters.spent.saturating_sub(self.counters.spent),
                requested: counters.requested.saturating_sub(self.counters.requested),
            },
        }
    }

    /// State after a newer report. Its rates are averaged with the previous ones if `has_rates`.
    pub fn updated(&self, counters: AccountCounters, has_rates: bool, now: Instant) -> Self {
        let change = self.change(counters);
        let elapsed_s = now
            .saturating_duration_since(self.reported_at)
            .as_secs_f64()
            .max(MIN_REPORT_INTERVAL_S);
        let newest_weight = 1.0 - (-elapsed_s / AVERAGE_TIME_S).exp();
        let weight = if has_rates { newest_weight } else { 1.0 };
        let average = |before: f64, newest: f64| before + (newest - before) * weight;
        Self {
            counters,
            reported_at: now,
            admitted_rate: average(self.admitted_rate, (change.admitted / elapsed_s).max(0.0)),
            requested_rate: average(self.requested_rate, change.rise.requested as f64 / elapsed_s),
        }
    }
}
