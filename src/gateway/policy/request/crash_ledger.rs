//! Decides which requests are refused because they crash the endpoints that run them.
//!
//! Inputs are this daemon's runs during which an endpoint ended, complete responses to requests
//! that have a record, and the records of other daemons, which arrive by gossip within about a
//! second. A request with enough evidence (`crash_record`) is quarantined: it is refused until a
//! trial, a complete response or an operator clears it. If several requests were running during the
//! same crashes, the one with the most evidence counts as the cause. Without records from other
//! daemons, a daemon decides by its own runs alone. `part_ledger` does the same for parts of
//! prompts that different requests have in common.

pub mod crash_table;
pub mod part_ledger;
mod served_parts;

use std::time::Duration;

use rand::Rng;
use tokio::time::Instant;

use self::crash_table::{CrashTable, TableLimits};
use super::{
    crash_record::{CrashRecord, CrashedRun, RUNS_TO_QUARANTINE},
    fingerprint::RequestFingerprint,
};

/// Most records that are kept, of about 600 bytes each. A crash adds one for each request that was
/// running at the endpoint.
pub const MAX_RECORDS: usize = 1_024;
/// Most records in one report to another daemon: less than 10 KB, 20 times a second, and only after
/// crashes.
pub const MAX_REPORTED: usize = 64;
/// A suspicion is kept this long after its newest crash: clients retry within their deadlines.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60);
/// Bounds of the table.
const LIMITS: TableLimits = TableLimits {
    records: MAX_RECORDS,
    reported: MAX_REPORTED,
    suspect_retention: SUSPECT_RETENTION,
};

/// Whether a request may be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunVerdict {
    /// It may be run.
    Allowed,
    /// It may be run as the only trial for now, to find out whether it still crashes endpoints.
    Trial,
    /// It may not be run; the next trial is due after this time.
    Refused(Duration),
}

impl RunVerdict {
    /// The verdict that follows from both.
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Refused(one), Self::Refused(two)) => Self::Refused(one.max(two)),
            (Self::Refused(wait), _) | (_, Self::Refused(wait)) => Self::Refused(wait),
            (Self::Trial, _) | (_, Self::Trial) => Self::Trial,
            (Self::Allowed, Self::Allowed) => Self::Allowed,
        }
    }
}

/// Records of all requests whose runs have crashed endpoints.
#[derive(Debug)]
pub struct CrashLedger {
    table: CrashTable<RequestFingerprint>,
}

impl Default for CrashLedger {
    fn default() -> Self {
        Self { table: CrashTable::new(LIMITS) }
    }
}

impl CrashLedger {
    /// The records.
    pub fn table(&self) -> &CrashTable<RequestFingerprint> {
        &self.table
    }

    /// Whether there is a record of a request with this head. Only then does its body have to be
    /// read.
    pub fn has_head(&self, head: u64) -> bool {
        let first = RequestFingerprint { head, content: 0 };
        let last = RequestFingerprint { head, content: u128::MAX };
        self.table.has_any(first..=last)
    }

    /// Whether a request may be run now. `makes_trial` returns whether this daemon is the one that makes
    /// the trial of the given number.
    pub fn verdict(
        &self,
        request: RequestFingerprint,
        makes_trial: impl FnOnce(u32) -> bool,
        now: Instant,
    ) -> RunVerdict {
        self.table.verdict(request, makes_trial, now)
    }

    /// Records that a trial of a request begins.
    pub fn begin_trial(&mut self, request: RequestFingerprint, now: Instant) {
        self.table.begin_trial(request, now);
    }

    /// Records that an endpoint ended during a run. Returns whether this puts the request into
    /// quarantine.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        run: CrashedRun,
        now: Instant,
    ) -> bool {
        self.table.add(request, run, None, now) && self.try_quarantine(request, now)
    }

    /// Clears a recorded request after a complete response, or on an operator's demand. Returns
    /// whether it was quarantined.
    pub fn clear(&mut self, request: RequestFingerprint, now: Instant) -> bool {
        self.table.clear(request, now, now)
    }

    /// Merges another daemon's record. Returns whether this puts the request into quarantine.
    pub fn receive(
        &mut self,
        request: RequestFingerprint,
        received: &CrashRecord,
        now: Instant,
    ) -> bool {
        let is_adopted = self.table.merge(request, received, None, now).is_adopted;
        is_adopted || self.try_quarantine(request, now)
    }

    /// Restores a quarantine from before all daemons ended, unless the request has a record
    /// already.
    pub fn restore(
        &mut self,
        request: RequestFingerprint,
        trials: u32,
        crashed: Instant,
        now: Instant,
    ) {
        self.table.restore(request, trials, crashed, now);
    }

    /// Quarantines a request if there is enough evidence that no other request explains.
    fn try_quarantine(&mut self, request: RequestFingerprint, now: Instant) -> bool {
        let Some(record) = self.table.get(request) else { return false };
        let evidence = record.evidence();
        if record.is_quarantined || evidence < RUNS_TO_QUARANTINE {
            return false;
        }
        let explaining = self.explaining_records(|other| other.evidence() >= evidence);
        if record.unexplained_evidence(&explaining) < RUNS_TO_QUARANTINE {
            return false;
        }
        self.table.quarantine(request, now);
        self.clear_explained(now);
        true
    }

    /// Clears quarantined requests whose crashes are all explained by requests with more evidence.
    fn clear_explained(&mut self, now: Instant) {
        let is_explained = |record: &CrashRecord| {
            let evidence = record.evidence();
            let explaining = self.explaining_records(|other| other.evidence() > evidence);
            evidence >= RUNS_TO_QUARANTINE && record.unexplained_evidence(&explaining) == 0
        };
        let explained = self.quarantined().filter(|(_, record)| is_explained(record));
        let explained: Vec<RequestFingerprint> = explained.map(|(request, _)| *request).collect();
        for request in explained {
            self.clear(request, now);
        }
    }

    /// Clears quarantined requests all of whose crashes are also crashes of a part that has more of them:
    /// they have the part, or ran beside requests that have it.
    pub fn clear_explained_by_part(&mut self, part: &CrashRecord, now: Instant) {
        let is_explained = |record: &CrashRecord| {
            record.runs.len() < part.runs.len()
                && record.runs.iter().all(|run| part.may_explain(run))
        };
        let explained = self.quarantined().filter(|(_, record)| is_explained(record));
        let explained: Vec<RequestFingerprint> = explained.map(|(request, _)| *request).collect();
        for request in explained {
            self.clear(request, now);
        }
    }

    /// Quarantined requests that may be the cause of other requests' crashes.
    fn explaining_records(&self, may_explain: impl Fn(&CrashRecord) -> bool) -> Vec<&CrashRecord> {
        let records = self.quarantined().map(|(_, record)| record);
        records.filter(|record| may_explain(record)).collect()
    }

    /// Records to report to another daemon.
    pub fn report(
        &self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<(RequestFingerprint, CrashRecord)> {
        self.table.report(now, rng)
    }

    /// Quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = (&RequestFingerprint, &CrashRecord)> {
        self.table.quarantined()
    }

    /// Whether a record has just changed, so that all other daemons should get it soon.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.table.is_urgent(now)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// Removes expired records.
    pub fn forget_old(&mut self, now: Instant) {
        self.table.forget_old(now);
    }
}
