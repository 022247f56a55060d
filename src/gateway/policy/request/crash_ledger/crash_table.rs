//! Crash records by what may have caused the crashes: a bounded table that daemons merge with those of
//! others. `crash_ledger` and `part_ledger` decide what follows from the records.

use std::{collections::BTreeMap, ops::RangeBounds, time::Duration};

use rand::{Rng, seq::IteratorRandom};
use tokio::time::Instant;

use super::RunVerdict;
use crate::gateway::policy::request::crash_record::{CrashRecord, CrashedRun};

/// Records that have changed within this time are reported before all others: several gossip rounds
/// in a fleet of many groups.
const FRESH_FOR: Duration = Duration::from_secs(5);
/// After a change, gossip also calls daemons that it doesn't usually call for this long: five
/// gossip intervals.
pub const URGENT_FOR: Duration = Duration::from_millis(500);
/// Shortest retry-after of a refused client. Needed when a trial is due already: only one daemon
/// makes it, and the others go on refusing.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Endpoint number of restored runs, for which only the time of the crash is known.
const UNKNOWN_ENDPOINT: u64 = 0;

/// Bounds of a table.
#[derive(Clone, Copy, Debug)]
pub struct TableLimits {
    /// Most records that are kept.
    pub records: usize,
    /// Most records in one report to another daemon.
    pub reported: usize,
    /// The record of a suspect that is not quarantined is removed this long after its newest crash.
    pub suspect_retention: Duration,
}

#[derive(Clone, Debug, Default)]
struct TableEntry {
    record: CrashRecord,
    changed_at: Option<Instant>,
}

/// Result of a merge with another daemon's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MergeResult {
    /// Whether the own record has changed, or the other one contains crashes that were cleared here.
    pub is_changed: bool,
    /// Whether the suspect is quarantined because the other daemon says so.
    pub is_adopted: bool,
}

/// Crash records by suspect.
#[derive(Debug)]
pub struct CrashTable<K> {
    entries: BTreeMap<K, TableEntry>,
    /// When a record last changed in a way that other daemons may not know of.
    changed_at: Option<Instant>,
    limits: TableLimits,
}

impl<K: Copy + Ord> CrashTable<K> {
    /// Empty table.
    pub fn new(limits: TableLimits) -> Self {
        Self { entries: BTreeMap::new(), changed_at: None, limits }
    }

    /// Whether there is a record of a suspect in this range.
    pub fn has_any(&self, range: impl RangeBounds<K>) -> bool {
        self.entries.range(range).next().is_some()
    }

    /// The record of a suspect.
    pub fn get(&self, suspect: K) -> Option<&CrashRecord> {
        self.entries.get(&suspect).map(|entry| &entry.record)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = (K, &CrashRecord)> {
        self.entries.iter().map(|(suspect, entry)| (*suspect, &entry.record))
    }

    /// Records of quarantined suspects.
    pub fn quarantined(&self) -> impl Iterator<Item = (&K, &CrashRecord)> {
        let records = self.entries.iter().map(|(suspect, entry)| (suspect, &entry.record));
        records.filter(|(_, record)| record.is_quarantined)
    }

    /// Whether a run of the suspect may be made now. `makes_trial` returns whether this daemon is the one that
    /// makes the trial of the given number.
    pub fn verdict(
        &self,
        suspect: K,
        makes_trial: impl FnOnce(u32) -> bool,
        now: Instant,
    ) -> RunVerdict {
        let record = self.get(suspect).filter(|record| record.is_quarantined);
        let Some((record, trial_at)) = record.and_then(|one| Some((one, one.next_trial()?))) else {
            return RunVerdict::Allowed;
        };
        if now < trial_at || !makes_trial(record.trials) {
            let wait = trial_at.saturating_duration_since(now);
            return RunVerdict::Refused(wait.max(MIN_RETRY_AFTER));
        }
        RunVerdict::Trial
    }

    /// Records that a trial begins.
    pub fn begin_trial(&mut self, suspect: K, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&suspect) {
            entry.record.trials += 1;
            entry.record.trial_at = Some(now);
        }
        self.mark_changed(suspect, now);
    }

    /// Adds a crashed run. `cleared_at`: when the suspect was last found harmless, if it has no record yet.
    /// Returns whether it is a new crash.
    pub fn add(
        &mut self,
        suspect: K,
        run: CrashedRun,
        cleared_at: Option<Instant>,
        now: Instant,
    ) -> bool {
        self.forget_old(now);
        if !self.entry(suspect, cleared_at).record.add(run) {
            return false;
        }
        self.mark_changed(suspect, now);
        self.evict();
        true
    }

    /// Quarantines a suspect.
    pub fn quarantine(&mut self, suspect: K, now: Instant) {
        if let Some(entry) = self.entries.get_mut(&suspect) {
            entry.record.is_quarantined = true;
        }
        self.mark_changed(suspect, now);
    }

    /// Clears a suspect that has a record of its crashes up to `at`. Returns whether it was quarantined.
    pub fn clear(&mut self, suspect: K, at: Instant, now: Instant) -> bool {
        let Some(entry) = self.entries.get_mut(&suspect) else { return false };
        let was_quarantined = entry.record.is_quarantined;
        // Popular suspects are cleared many times a second; only the first time is reported.
        let was_suspected = !entry.record.runs.is_empty();
        entry.record.clear(at);
        if was_suspected {
            self.mark_changed(suspect, now);
        }
        was_quarantined
    }

    /// Merges another daemon's record. `cleared_at` as in `add`.
    pub fn merge(
        &mut self,
        suspect: K,
        received: &CrashRecord,
        cleared_at: Option<Instant>,
        now: Instant,
    ) -> MergeResult {
        if received.is_expired(self.limits.suspect_retention, now) {
            return MergeResult { is_changed: false, is_adopted: false };
        }
        let record = &mut self.entry(suspect, cleared_at).record;
        let before = record.clone();
        record.merge(received);
        let is_changed = *record != before || record.has_cleared_runs_of(received);
        let is_adopted = record.is_quarantined && !before.is_quarantined;
        if is_changed {
            self.mark_changed(suspect, now);
            self.evict();
        }
        MergeResult { is_changed, is_adopted }
    }

    /// Restores a quarantine from before all daemons ended, unless the suspect has a record already.
    pub fn restore(&mut self, suspect: K, trials: u32, crashed: Instant, now: Instant) {
        if self.entries.contains_key(&suspect) {
            return;
        }
        let run = CrashedRun { endpoint: UNKNOWN_ENDPOINT, begun: crashed, crashed };
        let record =
            CrashRecord { runs: vec![run], is_quarantined: true, trials, ..CrashRecord::default() };
        if !record.is_expired(self.limits.suspect_retention, now) {
            self.entries.insert(suspect, TableEntry { record, changed_at: Some(now) });
            self.evict();
        }
    }

    fn entry(&mut self, suspect: K, cleared_at: Option<Instant>) -> &mut TableEntry {
        let new_entry = || TableEntry {
            record: CrashRecord { cleared_at, ..CrashRecord::default() },
            changed_at: None,
        };
        self.entries.entry(suspect).or_insert_with(new_entry)
    }

    /// Records that the record of a suspect has changed in a way that other daemons may not know of.
    fn mark_changed(&mut self, suspect: K, now: Instant) {
        self.changed_at = Some(now);
        if let Some(entry) = self.entries.get_mut(&suspect) {
            entry.changed_at = Some(now);
        }
    }

    /// Whether a record has just changed, so that all other daemons should get it soon.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.saturating_duration_since(at) < URGENT_FOR)
    }

    /// Whether a record has changed in the last seconds.
    pub fn is_fresh(&self, now: Instant) -> bool {
        self.changed_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
    }

    /// Records to report to another daemon: those that have changed recently, then a random
    /// selection of the quarantined ones.
    pub fn report(&self, now: Instant, rng: &mut impl Rng) -> Vec<(K, CrashRecord)> {
        let is_fresh = |entry: &TableEntry| {
            entry.changed_at.is_some_and(|at| now.saturating_duration_since(at) < FRESH_FOR)
        };
        let all = self.entries.iter();
        let (mut reported, others): (Vec<_>, Vec<_>) = all.partition(|(_, entry)| is_fresh(entry));
        reported.sort_by_cached_key(|(_, entry)| std::cmp::Reverse(entry.record.rank()));
        reported.truncate(self.limits.reported);
        let quarantined = others.into_iter().filter(|(_, entry)| entry.record.is_quarantined);
        reported.extend(quarantined.sample(rng, self.limits.reported - reported.len()));
        let copied = reported.into_iter();
        copied.map(|(suspect, entry)| (*suspect, entry.record.clone())).collect()
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
        let retention = self.limits.suspect_retention;
        self.entries.retain(|_, entry| !entry.record.is_expired(retention, now));
    }

    /// Drops the least important record if there are too many.
    fn evict(&mut self) {
        if self.entries.len() <= self.limits.records {
            return;
        }
        let least = self.entries.iter().min_by_key(|(_, entry)| entry.record.rank());
        if let Some(suspect) = least.map(|(suspect, _)| *suspect) {
            self.entries.remove(&suspect);
        }
    }
}
