//! The last failure or refusal of an endpoint at any daemon, and the trials by which one daemon at a time finds out
//! whether the endpoint works again.

use std::time::Duration;

use tokio::time::Instant;

use super::AVOIDED_FOR;

/// Time from a failure or refusal to the first trial, and between two trials.
const TRIAL_INTERVAL: Duration = Duration::from_millis(1_500);

/// The last failure or refusal of one endpoint at any daemon, as far as known.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportedFailure {
    last_at: Option<Instant>,
    /// Number of the last trial for which it was decided which daemon makes it.
    trial: u32,
    /// Whether this daemon is to make a trial now.
    pub(super) is_trial_due: bool,
}

impl ReportedFailure {
    /// Records a failure or refusal.
    pub(super) fn record(&mut self, at: Instant) {
        let last_at = self.last_at.max(Some(at));
        *self = Self { last_at, ..Self::default() };
    }

    /// Whether it counts: it is recent, and the endpoint, which last ran a request of this daemon at
    /// `ran_at`, has run none since.
    pub(super) fn is_recent(&self, ran_at: Option<Instant>, now: Instant) -> bool {
        let Some(last_at) = self.last_at else { return false };
        let has_run_since = ran_at.is_some_and(|ran| ran > last_at);
        !has_run_since && now.saturating_duration_since(last_at) < AVOIDED_FOR
    }

    /// Number of the trial that is due, once for each.
    pub(super) fn next_trial(&mut self, ran_at: Option<Instant>, now: Instant) -> Option<u32> {
        let since = now.saturating_duration_since(self.last_at?);
        if !self.is_recent(ran_at, now) {
            return None;
        }
        let trial = since.div_duration_f64(TRIAL_INTERVAL) as u32;
        let is_new = trial > self.trial;
        self.trial = trial;
        is_new.then_some(trial)
    }
}
