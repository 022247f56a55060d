//! Decides which requests are refused because they crash the endpoints that run them.
//!
//! Inputs are this daemon's runs during which an endpoint ended, complete responses to requests
//! that have a record, and the records of other daemons, which arrive by gossip within about a
//! second. A request with enough evidence (`crash_record`) is quarantined: it is refused until a
//! trial, a complete response or an operator clears it. If several requests were running during the
//! same crashes, the one with the most evidence counts as the cause. Without records from other
//! daemons, a daemon decides by its own runs alone.

use std::{collections::BTreeMap, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

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
/// Records that have changed within this time are reported before all others: several gossip rounds
/// in a fleet of many groups.
const FRESH_FOR: Duration = Duration::from_secs(5);
/// After a change, gossip also calls daemons that it doesn't usually call for this long: five
/// gossip intervals.
const URGENT_FOR: Duration = Duration::from_millis(500);
/// Shortest retry-after of a refused client. Needed when a trial is due already: only one daemon
/// makes it, and the others go on refusing.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Endpoint number of restored runs, for which only the time of the crash is known.
const UNKNOWN_ENDPOINT: u64 = 0;

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

#[derive(Clone, Debug, Default)]
struct LedgerEntry {
    record: CrashRecord,
    changed_at: Option<Instant>,
}

/// Records of all requests whose runs have crashed endpoints.
#[derive(Debug, Default)]
pub struct CrashLedger {
    entries: BTreeMap<RequestFingerprint, LedgerEntry>,
    /// When a record last changed in a way that other daemons may not know of.
    changed_at: Option<Instant>,
}

impl CrashLedger {
    /// Whether there is a record of a request with this head. Only then does its body have to be
    /// read.
    pub fn has_head(&self, head: u64) -> bool {
        let all = RequestFingerprint { head, content: 0 }..=RequestFingerprint {
            head,
            content: u128::MAX,
        };
        self.entries.range(all).next().is_some()
    }

    /// Decides whether a request may be run now, and records the trial if it is one. `makes_trial`
    /// returns whether this daemon is the one that makes the trial of the given number.
    pub fn decide_run(
        &mut self,
        request: RequestFingerprint,
        makes_trial: impl FnOnce(u32) -> bool,
        now: Instant,
    ) -> RunVerdict {
        let Some(entry) = self.entries.get_mut(&request) else { return RunVerdict::Allowed };
        let record = &mut entry.record;
        let Some(trial_at) = record.next_trial().filter(|_| record.is_quarantined) else {
            return RunVerdict::Allowed;
        };
        if now < trial_at || !makes_trial(record.trials) {
            let wait = trial_at.saturating_duration_since(now);
            return RunVerdict::Refused(wait.max(MIN_RETRY_AFTER));
        }
        record.trials += 1;
        record.trial_at = Some(now);
        self.mark_changed(request, now);
        RunVerdict::Trial
    }

    /// Records that an endpoint ended during a run. Returns whether this puts the request into
    /// quarantine.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        run: CrashedRun,
        now: Instant,
    ) -> bool {
        self.forget_old(now);
        if !self.entries.entry(request).or_default().record.add(run) {
            return false;
        }
        self.mark_changed(request, now);
        self.evict();
        self.try_quarantine(request, now)
    }

    /// Clears a recorded request after a complete response, or on an operator's demand. Returns
    /// whether it was quarantined.
    pub fn clear(&mut self, request: RequestFingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&request) else { return false };
        let was_quarantined = entry.record.is_quarantined;
        // Popular requests are cleared many times a second; only the first time is reported.
        let was_suspected = !entry.record.runs.is_empty();
        entry.record.clear(now);
        if was_suspected {
            self.mark_changed(request, now);
        }
        was_quarantined
    }

    /// Merges another daemon's record. Returns whether this puts the request into quarantine.
    pub fn receive(
        &mut self,
        request: RequestFingerprint,
        received: &CrashRecord,
        now: Instant,
    ) -> bool {
        if received.is_expired(now) {
            return false;
        }
        let entry = self.entries.entry(request).or_default();
        let before = entry.record.clone();
        entry.record.merge(received);
        let is_changed = entry.record != before || entry.record.has_cleared_runs_of(received);
        let is_adopted = entry.record.is_quarantined && !before.is_quarantined;
        if is_changed {
            self.mark_changed(request, now);
            self.evict();
        }
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
        if self.entries.contains_key(&request) {
            return;
        }
        let run = CrashedRun { endpoint: UNKNOWN_ENDPOINT, begun: crashed, crashed };
        let record =
            CrashRecord { runs: vec![run], is_quarantined: true, trials, ..CrashRecord::default() };
        if !record.is_expired(now) {
            self.entries.insert(request, LedgerEntry { record, changed_at: Some(now) });
            self.evict();
        }
    }

    /// Quarantines a request if there is enough evidence that no other request explains.
    fn try_quarantine(&mut self, request: RequestFingerprint, now: Instant) -> bool {
        let Some(entry) = self.entries.get(&request) else { return false };
        let record = &entry.record;
        let evidence = record.evidence();
        if record.is_quarantined || evidence < RUNS_TO_QUARANTINE {
            return false;
        }
        let explaining = self.explaining_records(|other| other.evidence() >= evidence);
        if record.unexplained_evidence(&explaining) < RUNS_TO_QUARANTINE {
            return false;
        }
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.record.is_quarantined = true;
        }
        self.mark_changed(request, now);
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

    /// Quarantined requests that may be the cause of other requests' crashes.
    fn explaining_records(&self, may_explain: impl Fn(&CrashRecord) -> bool) -> Vec<&CrashRecord> {
        let records = self.quarantined().map(|(_, record)| record);
        records.filter(|record| may_explain(record)).collect()
    }

    fn mark_changed(&mut self, request: RequestFingerprint, now: Instant) {
        self.changed_at = Some(now);
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.changed_at = Some(now);
        }
    }

    /// Whether a record has just changed, so that all other daemons should get it soon.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.saturating_duration_since(at) < URGENT_FOR)
    }

    /// Records to report to another daemon: those that have changed recently, then a random
    /// selection of the quarantined ones up to `MAX_REPORTED`.
    pub fn report(
        &self,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<(RequestFingerprint, CrashRecord)> {
        let is_fresh = |entry: &LedgerEntry| {
            entry.changed_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
        };
        let all = self.entries.iter();
        let (mut reported, others): (Vec<_>, Vec<_>) = all.partition(|(_, entry)| is_fresh(entry));
        reported.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.record.rank()));
        reported.truncate(MAX_REPORTED);
        let quarantined = others.into_iter().filter(|(_, entry)| entry.record.is_quarantined);
        reported.extend(quarantined.sample(rng, MAX_REPORTED - reported.len()));
        let copied = reported.into_iter();
        copied.map(|(request, entry)| (*request, entry.record.clone())).collect()
    }

    /// Quarantined requests.
    pub fn quarantined(&self) -> impl Iterator<Item = (&RequestFingerprint, &CrashRecord)> {
        let records = self.entries.iter().map(|(request, entry)| (request, &entry.record));
        records.filter(|(_, record)| record.is_quarantined)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Removes expired records.
    pub fn forget_old(&mut self, now: Instant) {
        self.entries.retain(|_, entry| !entry.record.is_expired(now));
    }

    /// Drops the least important record if there are too many.
    fn evict(&mut self) {
        if self.entries.len() <= MAX_RECORDS {
            return;
        }
        let least = self.entries.iter().min_by_key(|(_, entry)| entry.record.rank());
        if let Some(request) = least.map(|(request, _)| *request) {
            self.entries.remove(&request);
        }
    }
}
