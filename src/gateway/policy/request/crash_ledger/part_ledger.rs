//! Decides which parts of prompts are refused because requests that have them crash the endpoints that run them.
//!
//! The requests themselves may differ in everything else. All parts of a prompt but the last are suspects when a run
//! breaks with its endpoint; a complete response clears all that it had. A part is the same in all
//! requests, whatever their account, route, service or size.
//!
//! Popular parts run at every endpoint and break with whatever crashes it, so a part has to explain the crashes:
//!
//! - Only crashes since the last complete response count, and only those that have been known for a
//!   moment, so that a complete response at any daemon can clear the part first.
//! - It must have been in a good fraction of all crashes since its first one, and some of its runs must have
//!   begun after others had crashed: when a zone is lost, all break together.
//! - A part that was served in the minute before needs more, over a longer time.
//! - Of several parts, the one with the most crashes counts as the cause, then the one that has not been served for the
//!   longest time. Crashes that a quarantined part explains, or a quarantined request with as many,
//!   don't count for others.
//!
//! Inputs are this daemon's broken runs and complete responses, and the records of other daemons, which arrive by
//! gossip within about a second. Without them a daemon decides by its own runs alone.

use std::{collections::HashMap, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::{
    RunVerdict,
    crash_table::{CrashTable, TableLimits, URGENT_FOR},
    served_parts::ServedParts,
};
use crate::gateway::{
    call::PartId,
    policy::request::crash_record::{CrashRecord, CrashedRun, sequence_length},
};

/// A suspicion is kept this long after its newest crash: a rare part may come again after minutes.
const SUSPECT_RETENTION: Duration = Duration::from_secs(10 * 60);
/// Bounds of the table.
const LIMITS: TableLimits =
    TableLimits { records: 512, reported: 32, suspect_retention: SUSPECT_RETENTION };
/// Time for which a crash must have been known: reports of complete responses at any daemon arrive within it.
const SETTLING_TIME: Duration = Duration::from_millis(700);
/// A part that was served within this time before its first crash is probably sound.
const SERVED_RECENTLY: Duration = Duration::from_secs(60);
/// Crashes that are enough if the part was in many of all.
const ENOUGH_CRASHES: usize = 5;
/// Runs in a row that tell such a part from one that was running everywhere when many endpoints ended at
/// once.
const MIN_RUNS_IN_ROW: usize = 2;
/// Shortest time from the first to the last of these crashes: longer than a series of endpoints that are lost at once
/// takes.
const MIN_CRASH_SPAN: Duration = Duration::from_millis(250);
/// Runs in a row that are enough however many other endpoints crash.
const ENOUGH_RUNS_IN_ROW: usize = 8;
/// Runs in a row of a part that was served recently.
const SERVED_RUNS_IN_ROW: usize = 6;
/// Time from the first to the last crash of a part that was served recently: endpoints that were all lost for
/// another reason are back within it, and serve the part.
const SERVED_CRASH_SPAN: Duration = Duration::from_secs(5);
/// Fraction of all crashes that counts as many.
const MANY: f64 = 0.4;

/// Evidence that a part causes crashes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PartEvidence {
    /// Crashes since it was last served that nothing else explains.
    pub crashes: usize,
    /// Those of them whose runs began one after the other.
    pub runs_in_row: usize,
    /// Fraction of all such crashes since its first one.
    pub fraction: f64,
    /// Whether it was served shortly before its first crash.
    pub was_served: bool,
    /// Time from its first crash to its last one.
    pub span: Duration,
}

impl PartEvidence {
    /// Whether the part is to be refused.
    pub fn is_enough(self) -> bool {
        let is_in_many = self.fraction >= MANY;
        if self.was_served {
            let is_lasting = self.span >= SERVED_CRASH_SPAN;
            return is_in_many && is_lasting && self.runs_in_row >= SERVED_RUNS_IN_ROW;
        }
        let is_cause = self.crashes >= ENOUGH_CRASHES
            && self.runs_in_row >= MIN_RUNS_IN_ROW
            && self.span >= MIN_CRASH_SPAN;
        is_in_many && is_cause || self.runs_in_row >= ENOUGH_RUNS_IN_ROW
    }
}

/// Records of all parts whose requests have crashed endpoints.
#[derive(Debug)]
pub struct PartLedger {
    table: CrashTable<PartId>,
    served: ServedParts,
    /// When a quarantine last began or ended.
    decided_at: Option<Instant>,
}

impl Default for PartLedger {
    fn default() -> Self {
        Self { table: CrashTable::new(LIMITS), served: ServedParts::default(), decided_at: None }
    }
}

impl PartLedger {
    /// The records.
    pub fn table(&self) -> &CrashTable<PartId> {
        &self.table
    }

    /// Whether a request with these parts may be run now: refused if one of them is, and a trial if one of them is
    /// to be tried. `makes_trial` returns whether this daemon makes the trial of a part with the given number.
    pub fn verdict(
        &self,
        parts: impl Iterator<Item = PartId>,
        makes_trial: impl Fn(PartId, u32) -> bool,
        now: Instant,
    ) -> RunVerdict {
        let verdict_of = |part| self.table.verdict(part, |number| makes_trial(part, number), now);
        parts.map(verdict_of).fold(RunVerdict::Allowed, RunVerdict::stricter)
    }

    /// Records that a trial of all quarantined ones of these parts begins.
    pub fn begin_trial(&mut self, parts: impl Iterator<Item = PartId>, now: Instant) {
        for part in parts {
            if self.table.get(part).is_some_and(|record| record.is_quarantined) {
                self.table.begin_trial(part, now);
            }
        }
    }

    /// Records that an endpoint ended during a run of a request with this part.
    pub fn record_crash(&mut self, part: PartId, run: CrashedRun, now: Instant) {
        self.table.add(part, run, self.served.last(part), now);
    }

    /// Clears the part after a complete response. Returns whether it was quarantined.
    pub fn record_served(&mut self, part: PartId, now: Instant) -> bool {
        self.served.record(part, now);
        self.clear(part, now)
    }

    /// Clears a part that has a record. Returns whether it was quarantined.
    pub fn clear(&mut self, part: PartId, now: Instant) -> bool {
        let before = self.quarantined_record(part);
        let was_quarantined = self.table.clear(part, now, now);
        if was_quarantined {
            self.decided_at = Some(now);
            self.clear_companions(part, before, now);
        }
        was_quarantined
    }

    /// Merges another daemon's record. Returns whether this puts the part into quarantine.
    pub fn receive(&mut self, part: PartId, received: &CrashRecord, now: Instant) -> bool {
        let before = self.quarantined_record(part);
        let is_adopted = self.table.merge(part, received, self.served.last(part), now).is_adopted;
        if is_adopted {
            self.decided_at = Some(now);
        }
        self.clear_companions(part, before, now);
        is_adopted
    }

    fn quarantined_record(&self, part: PartId) -> Option<CrashRecord> {
        self.table.get(part).filter(|record| record.is_quarantined).cloned()
    }

    /// After the end of a quarantine, clears the other parts up to its last crash: nothing would explain their
    /// crashes any more. `before`: its record while it was quarantined.
    fn clear_companions(&mut self, part: PartId, before: Option<CrashRecord>, now: Instant) {
        let is_quarantined = self.table.get(part).is_some_and(|record| record.is_quarantined);
        let Some(record) = before.filter(|_| !is_quarantined) else { return };
        let Some(last) = record.last_crash() else { return };
        let is_companion = |other: &CrashRecord| {
            !other.is_quarantined && other.runs.iter().any(|run| record.has_crash(run))
        };
        let others = self.table.records().filter(|(_, other)| is_companion(other));
        let companions: Vec<PartId> = others.map(|(other, _)| other).collect();
        for companion in companions {
            self.table.clear(companion, last, now);
        }
    }

    /// Restores a quarantine from before all daemons ended, unless the part has a record already.
    pub fn restore(&mut self, part: PartId, trials: u32, crashed: Instant, now: Instant) {
        self.table.restore(part, trials, crashed, now);
    }

    /// Records to report to another daemon.
    pub fn report(&self, now: Instant, rng: &mut impl Rng) -> Vec<(PartId, CrashRecord)> {
        self.table.report(now, rng)
    }

    /// Whether a quarantine has just begun or ended, so that all other daemons should know soon.
    pub fn is_urgent(&self, now: Instant) -> bool {
        self.decided_at.is_some_and(|at| now.saturating_duration_since(at) < URGENT_FOR)
    }

    /// Removes expired records.
    pub fn forget_old(&mut self, now: Instant) {
        self.table.forget_old(now);
    }

    /// Quarantines the parts with enough evidence, and clears those that they explain. Returns the former.
    /// `requests`: records of quarantined requests. To be called several times a second.
    pub fn evaluate(
        &mut self,
        requests: &[&CrashRecord],
        now: Instant,
    ) -> Vec<(PartId, PartEvidence)> {
        let mut found = Vec::new();
        if !self.table.is_fresh(now) {
            return found;
        }
        while let Some((part, evidence)) = self.strongest(requests, now) {
            self.table.quarantine(part, now);
            self.clear_explained_by(part, now);
            self.decided_at = Some(now);
            found.push((part, evidence));
        }
        found
    }

    /// The part that is to be quarantined first, if any.
    fn strongest(&self, requests: &[&CrashRecord], now: Instant) -> Option<(PartId, PartEvidence)> {
        // Most records are those of parts that are served all the time.
        let may_be_enough = |record: &CrashRecord| {
            !record.is_quarantined && most_evidence(record).is_some_and(PartEvidence::is_enough)
        };
        let mut suspects = self.table.records().filter(|(_, one)| may_be_enough(one)).peekable();
        suspects.peek()?;
        let all = self.unexplained_crashes(now);
        let evidence = suspects.filter_map(|(part, record)| {
            let evidence = evidence_of(record, &all, requests)?;
            evidence.is_enough().then_some((part, record.cleared_at, evidence))
        });
        let strongest = evidence.max_by_key(|(_, cleared_at, evidence)| {
            (evidence.crashes, std::cmp::Reverse(*cleared_at))
        });
        strongest.map(|(part, _, evidence)| (part, evidence))
    }

    /// All crashes that have been known for long enough and that no quarantined part explains.
    fn unexplained_crashes(&self, now: Instant) -> CrashSet {
        let quarantined: Vec<&CrashRecord> = self.table.quarantined().map(|(_, one)| one).collect();
        let counts = |run: &&CrashedRun| {
            let is_settled = now.saturating_duration_since(run.crashed) >= SETTLING_TIME;
            is_settled && !quarantined.iter().any(|part| part.may_explain(run))
        };
        let mut crashes = CrashSet::default();
        let runs = self.table.records().flat_map(|(_, record)| &record.runs);
        runs.filter(counts).for_each(|run| crashes.insert(run));
        crashes
    }

    /// Clears other quarantined parts all of whose crashes are also crashes of this one, which has more.
    fn clear_explained_by(&mut self, cause: PartId, now: Instant) {
        let Some(record) = self.table.get(cause) else { return };
        let is_explained = |other: &CrashRecord| {
            other.runs.len() < record.runs.len()
                && other.runs.iter().all(|run| record.may_explain(run))
        };
        let others = self.table.quarantined().filter(|(part, _)| **part != cause);
        let explained: Vec<PartId> =
            others.filter(|(_, other)| is_explained(other)).map(|(part, _)| *part).collect();
        for part in explained {
            self.clear(part, now);
        }
    }
}

/// Different crashes, by endpoint.
#[derive(Debug, Default)]
struct CrashSet {
    by_endpoint: HashMap<u64, Vec<CrashedRun>>,
}

impl CrashSet {
    fn insert(&mut self, run: &CrashedRun) {
        let crashes = self.by_endpoint.entry(run.endpoint).or_default();
        if !crashes.iter().any(|known| known.is_same_crash(run)) {
            crashes.push(*run);
        }
    }

    fn contains(&self, run: &CrashedRun) -> bool {
        let mut crashes = self.by_endpoint.get(&run.endpoint).into_iter().flatten();
        crashes.any(|known| known.is_same_crash(run))
    }

    /// Number of crashes since that of `first`, including it.
    fn count_since(&self, first: &CrashedRun) -> usize {
        let since =
            |crash: &&CrashedRun| crash.crashed >= first.crashed || crash.is_same_crash(first);
        self.by_endpoint.values().flatten().filter(since).count()
    }
}

/// Evidence against a part; none without crashes that count. `all`: all crashes that no quarantined part explains.
fn evidence_of(
    record: &CrashRecord,
    all: &CrashSet,
    requests: &[&CrashRecord],
) -> Option<PartEvidence> {
    let with_as_many = |request: &&&CrashRecord| request.runs.len() >= record.runs.len();
    let explaining: Vec<&&CrashRecord> = requests.iter().filter(with_as_many).collect();
    let counts = |run: &&CrashedRun| {
        all.contains(run) && !explaining.iter().any(|request| request.has_crash(run))
    };
    let runs: Vec<&CrashedRun> = record.runs.iter().filter(counts).collect();
    let fraction = runs.len() as f64 / all.count_since(runs.first()?).max(1) as f64;
    evidence_by(record, &runs, fraction)
}

/// Upper bound of the evidence against a part: as if nothing else explained its crashes and there were no others.
fn most_evidence(record: &CrashRecord) -> Option<PartEvidence> {
    let runs: Vec<&CrashedRun> = record.runs.iter().collect();
    let last = record.last_crash()?;
    let served_recently = |at: Instant| last.saturating_duration_since(at) < SERVED_RECENTLY;
    let was_served = record.cleared_at.is_some_and(served_recently);
    Some(PartEvidence { was_served, ..evidence_by(record, &runs, 1.0)? })
}

fn evidence_by(record: &CrashRecord, runs: &[&CrashedRun], fraction: f64) -> Option<PartEvidence> {
    let (first, last) = (runs.first()?.crashed, runs.last()?.crashed);
    let served_recently = |at: Instant| first.saturating_duration_since(at) < SERVED_RECENTLY;
    Some(PartEvidence {
        crashes: runs.len(),
        runs_in_row: sequence_length(runs.iter().copied()),
        fraction,
        was_served: record.cleared_at.is_some_and(served_recently),
        span: last - first,
    })
}
