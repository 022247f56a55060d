//! The crashes recorded for one suspect, a request or a part of prompts.
//!
//! A crash breaks all other runs at the endpoint too, and a popular request is running everywhere
//! when a zone or a fleet fails. So only consecutive runs count as evidence: each has to begin
//! after the previous one crashed, and any number of runs that break together count once. A
//! complete response from any endpoint clears the request. Other daemons report the times of their
//! runs as ages; a message's transit time makes these look younger, by less than `SAME_CRASH`.

use std::time::Duration;

use tokio::time::Instant;

/// Consecutive runs that have to crash their endpoints before a request is quarantined. With two,
/// harmless requests would be quarantined whenever two endpoints end in a row.
pub const RUNS_TO_QUARANTINE: usize = 3;
/// Reports of crashes of one endpoint that are closer together than this count as reports of the
/// same crash, seen by several daemons or by requests that arrived after it. Longer than a message
/// between daemons takes, shorter than the seconds that an endpoint takes to start.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// A run that begins less than this before a crash counts as begun after it: a retry begins right
/// after the crash that causes it, and the two runs' times may be shifted against each other when
/// they are reported in different messages.
const SEQUENCE_SLACK: Duration = Duration::from_millis(20);
/// Number of newest runs that are kept for a suspect: enough to contain the consecutive ones even when many runs
/// break at a time, and those of the last seconds of a part that crashes dozens of endpoints a second.
const MAX_RUNS: usize = 64;
/// Number of newest runs in a report: more than are added between two reports.
pub const REPORTED_RUNS: usize = 16;
/// The record of a quarantined request is removed this long after its newest crash, that is after
/// the second of the longest waits between trials.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(60 * 60);
/// Time from the newest crash of a quarantined request to its first trial. A trial may crash an
/// endpoint and everything that runs there, so trials are rare; a fix is seldom rolled out faster.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(30);
/// Factor by which the wait grows with each trial: three trials within ten and a half minutes.
const TRIAL_BACKOFF: u32 = 4;
/// Longest wait between two trials.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(30 * 60);

/// A run that was in progress when its endpoint crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Number of the endpoint (`endpoint_load::endpoint_number`).
    pub endpoint: u64,
    /// When it began, or when it was sent if that is not known.
    pub begun: Instant,
    /// When it broke.
    pub crashed: Instant,
}

impl CrashedRun {
    /// Whether both runs broke in the same crash of the same endpoint.
    pub fn is_same_crash(&self, other: &Self) -> bool {
        let apart = self.crashed.max(other.crashed) - self.crashed.min(other.crashed);
        self.endpoint == other.endpoint && apart < SAME_CRASH
    }
}

/// Crashes and trials of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// Crashed runs since the request was last cleared, in the order of their crashes.
    pub runs: Vec<CrashedRun>,
    /// When a complete response or an operator last cleared the request.
    pub cleared_at: Option<Instant>,
    /// Whether the request is refused, except for trials.
    pub is_quarantined: bool,
    /// Number of trials since it was quarantined.
    pub trials: u32,
    /// When the newest trial began.
    pub trial_at: Option<Instant>,
}

impl CrashRecord {
    /// Adds a run. Returns whether it is a new crash, neither cleared nor already recorded.
    pub fn add(&mut self, run: CrashedRun) -> bool {
        if self.cleared_at.is_some_and(|at| run.crashed <= at) {
            return false;
        }
        if let Some(known) = self.runs.iter_mut().find(|known| known.is_same_crash(&run)) {
            known.begun = known.begun.min(run.begun);
            return false;
        }
        let place = self.runs.partition_point(|known| known.crashed <= run.crashed);
        self.runs.insert(place, run);
        if self.runs.len() > MAX_RUNS {
            self.runs.remove(0);
        }
        true
    }

    /// Removes the crashes up to `at`, and ends the quarantine if none are left.
    pub fn clear(&mut self, at: Instant) {
        self.cleared_at = self.cleared_at.max(Some(at));
        self.runs.retain(|run| run.crashed > at);
        if self.runs.is_empty() {
            self.is_quarantined = false;
            self.trials = 0;
            self.trial_at = None;
        }
    }

    /// Merges another daemon's record of the same request.
    ///
    /// Received times look younger by the message's transit time, and the other daemon gets them
    /// back with the same error. A clearance that is only slightly newer than the own one therefore
    /// counts as the same clearance; otherwise its time would advance with each message.
    pub fn merge(&mut self, received: &Self) {
        if let Some(at) = received.cleared_at.filter(|at| self.is_new_clearance(*at)) {
            self.clear(at);
        }
        for run in &received.runs {
            self.add(*run);
        }
        if self.runs.is_empty() {
            return;
        }
        self.is_quarantined |= received.is_quarantined && received.last_crash() > self.cleared_at;
        if received.trials > self.trials {
            self.trials = received.trials;
            self.trial_at = received.trial_at;
        }
    }

    fn is_new_clearance(&self, at: Instant) -> bool {
        let is_later = self.cleared_at.is_none_or(|own| at > own + SAME_CRASH);
        let ends_suspicion = self.runs.iter().any(|run| run.crashed <= at);
        is_later || (ends_suspicion && self.cleared_at < Some(at))
    }

    /// Whether another daemon's record still contains runs that have been cleared here.
    pub fn has_cleared_runs_of(&self, received: &Self) -> bool {
        let is_cleared = |run: &CrashedRun| self.cleared_at.is_some_and(|at| run.crashed <= at);
        received.runs.iter().any(is_cleared)
    }

    /// When its newest run crashed.
    pub fn last_crash(&self) -> Option<Instant> {
        self.runs.last().map(|run| run.crashed)
    }

    /// Number of consecutive crashed runs.
    pub fn evidence(&self) -> usize {
        sequence_length(self.runs.iter())
    }

    /// Like `evidence`, without the runs that broke in the same crash as a run of `others`.
    pub fn unexplained_evidence(&self, others: &[&Self]) -> usize {
        let is_explained = |run: &CrashedRun| others.iter().any(|other| other.has_crash(run));
        sequence_length(self.runs.iter().filter(|run| !is_explained(run)))
    }

    /// Sort key for importance: whether it is quarantined, then the evidence, then the newest
    /// event.
    pub fn rank(&self) -> (bool, usize, Option<Instant>) {
        (self.is_quarantined, self.evidence(), self.last_crash().max(self.cleared_at))
    }

    /// Whether one of its runs broke in the same crash as this one.
    pub fn has_crash(&self, run: &CrashedRun) -> bool {
        self.runs.iter().any(|own| own.is_same_crash(run))
    }

    /// Whether it may have been the cause of this run's crash: that is one of its own, or may have been before
    /// older ones were dropped.
    pub fn may_explain(&self, run: &CrashedRun) -> bool {
        let is_older = |oldest: &CrashedRun| run.crashed < oldest.crashed;
        let dropped = self.runs.len() >= MAX_RUNS && self.runs.first().is_some_and(is_older);
        dropped || self.has_crash(run)
    }

    /// Whether the record may be removed; one without a quarantine is kept for `suspect_retention`.
    pub fn is_expired(&self, suspect_retention: Duration, now: Instant) -> bool {
        let retention = if self.is_quarantined { QUARANTINE_RETENTION } else { suspect_retention };
        let newest = self.last_crash().max(self.cleared_at);
        newest.is_none_or(|at| now.saturating_duration_since(at) >= retention)
    }

    /// When the next trial may be made.
    pub fn next_trial(&self) -> Option<Instant> {
        let wait = TRIAL_BACKOFF
            .checked_pow(self.trials)
            .map_or(MAX_TRIAL_WAIT, |times| FIRST_TRIAL_AFTER.saturating_mul(times));
        let since = self.last_crash().max(self.trial_at)?;
        Some(since + wait.min(MAX_TRIAL_WAIT))
    }
}

/// Length of the longest chain of runs in which each begins after the previous one has crashed.
/// `runs` are in the order of their crashes.
pub fn sequence_length<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
    let mut count = 0;
    let mut last_crash = None;
    for run in runs {
        if last_crash.is_none_or(|at| run.begun + SEQUENCE_SLACK >= at) {
            count += 1;
            last_crash = Some(run.crashed);
        }
    }
    count
}
