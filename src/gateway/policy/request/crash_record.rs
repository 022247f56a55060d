//! What is known of one request whose runs have crashed endpoints, and whether it is to blame.
//!
//! A crash takes down all that runs beside the request that causes it, and a popular request runs
//! everywhere when a zone or a fleet goes. Runs count as evidence one after another only: each
//! has to begin after the former one has crashed, so that any number of runs that break together
//! count once. A whole response from any endpoint ends all suspicion. Times of other daemons'
//! runs come as ages; what a message took to arrive makes them look younger, by less than
//! `SAME_CRASH`.

use std::time::Duration;

use tokio::time::Instant;

/// Runs one after another that have crashed their endpoints, after which a request is quarantined.
/// With two, requests that crash nothing would be quarantined where two endpoints end in a row.
pub const RUNS_TO_QUARANTINE: usize = 3;
/// Crashes of one endpoint that lie closer together than this are the same one, seen by several
/// daemons, or by requests that arrived after it: above the time of a message between daemons,
/// below the seconds that an endpoint takes to start.
const SAME_CRASH: Duration = Duration::from_secs(1);
/// A run that begins so little before a crash counts as begun after it: a retry begins just after
/// the crash that causes it, and reports of the two runs in different messages shift their times.
const SEQUENCE_SLACK: Duration = Duration::from_millis(20);
/// Runs that are remembered of a request, the newest: with many runs at a time, those that count
/// one after another are among them.
const MAX_RUNS: usize = 12;
/// A request that is not quarantined is forgotten this long after its newest crash: clients that
/// come again do so within their deadlines.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);
/// A quarantined request is forgotten this long after its newest crash: after the second of the
/// longest waits between trials.
const QUARANTINE_RETENTION: Duration = Duration::from_secs(60 * 60);
/// Time from a crash of a quarantined request to its first trial: a trial may cost an endpoint and
/// all that runs there, so it is not made often; repaired software is seldom rolled out faster.
const FIRST_TRIAL_AFTER: Duration = Duration::from_secs(30);
/// Each further trial comes this many times later: three trials within ten minutes and a half.
const TRIAL_BACKOFF: u32 = 4;
/// Longest time between two trials.
const MAX_TRIAL_WAIT: Duration = Duration::from_secs(30 * 60);

/// A run under which its endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Number of the endpoint (`endpoint_load::endpoint_number`).
    pub endpoint: u64,
    /// When it began, or was sent where that is not known.
    pub begun: Instant,
    /// When it broke.
    pub crashed: Instant,
}

impl CrashedRun {
    /// Whether both ended with the same crash of the same endpoint.
    fn is_same_crash(&self, other: &Self) -> bool {
        let apart = self.crashed.max(other.crashed) - self.crashed.min(other.crashed);
        self.endpoint == other.endpoint && apart < SAME_CRASH
    }
}

/// What is known of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CrashRecord {
    /// Runs since the newest whole response, in the order of their crashes.
    pub runs: Vec<CrashedRun>,
    /// When a whole response, or an operator, last ended all suspicion.
    pub cleared_at: Option<Instant>,
    /// Whether it is refused.
    pub is_quarantined: bool,
    /// Trials since it was quarantined.
    pub trials: u32,
    /// When the newest of them began.
    pub trial_at: Option<Instant>,
}

impl CrashRecord {
    /// Adds a run; returns whether it was not known.
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

    /// Ends all suspicion that is older than `at`.
    pub fn clear(&mut self, at: Instant) {
        self.cleared_at = self.cleared_at.max(Some(at));
        self.runs.retain(|run| run.crashed > at);
        if self.runs.is_empty() {
            self.is_quarantined = false;
            self.trials = 0;
            self.trial_at = None;
        }
    }

    /// Takes over what another daemon knows.
    ///
    /// Its times look younger by what its message took, and are returned to it in the same way: a
    /// time that is hardly newer is the same one, which would otherwise grow with each message.
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

    /// Whether another daemon still holds runs against the request that are cleared here.
    pub fn has_cleared_runs_of(&self, received: &Self) -> bool {
        let is_cleared = |run: &CrashedRun| self.cleared_at.is_some_and(|at| run.crashed <= at);
        received.runs.iter().any(is_cleared)
    }

    /// When its newest run crashed.
    pub fn last_crash(&self) -> Option<Instant> {
        self.runs.last().map(|run| run.crashed)
    }

    /// Runs that crashed one after another.
    pub fn evidence(&self) -> usize {
        count_in_sequence(self.runs.iter())
    }

    /// The same without the runs that crashed together with one of `others`.
    pub fn unexplained_evidence(&self, others: &[&Self]) -> usize {
        let is_explained = |run: &CrashedRun| {
            let mut runs = others.iter().flat_map(|other| &other.runs);
            runs.any(|other| other.is_same_crash(run))
        };
        count_in_sequence(self.runs.iter().filter(|run| !is_explained(run)))
    }

    /// Importance: quarantined ones first, then by evidence, then the newest.
    pub fn rank(&self) -> (bool, usize, Option<Instant>) {
        (self.is_quarantined, self.evidence(), self.last_crash().max(self.cleared_at))
    }

    /// Whether it is too old to matter.
    pub fn is_expired(&self, now: Instant) -> bool {
        let retention = if self.is_quarantined { QUARANTINE_RETENTION } else { SUSPECT_RETENTION };
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

/// Most runs of which each begins when the one before has crashed; `runs` are in the order of
/// their crashes.
fn count_in_sequence<'a>(runs: impl Iterator<Item = &'a CrashedRun>) -> usize {
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
