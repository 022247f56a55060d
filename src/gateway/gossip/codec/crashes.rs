//! Encodes and decodes reports of requests and parts of prompts that crash endpoints.

use capnp::{Error, struct_list};

use super::values::{check_length, from_ms, to_ms};
use crate::{
    exchange_capnp::{crash_report, crashed_run},
    gateway::{
        call::PartId,
        gossip::messages::{CrashReport, ReportedRun},
        policy::request::fingerprint::RequestFingerprint,
    },
};

/// What a report is about, in its encoded form.
pub trait ReportedSuspect: Sized {
    /// Writes what identifies it.
    fn write(&self, target: crash_report::Builder<'_>);
    /// Reads what identifies it.
    fn read(source: crash_report::Reader<'_>) -> Self;
}

impl ReportedSuspect for RequestFingerprint {
    fn write(&self, mut target: crash_report::Builder<'_>) {
        target.set_head(self.head);
        target.set_content_low(self.content as u64);
        target.set_content_high((self.content >> u64::BITS) as u64);
    }

    fn read(source: crash_report::Reader<'_>) -> Self {
        let high = u128::from(source.get_content_high()) << u64::BITS;
        Self { head: source.get_head(), content: high | u128::from(source.get_content_low()) }
    }
}

impl ReportedSuspect for PartId {
    fn write(&self, mut target: crash_report::Builder<'_>) {
        target.set_head(self.0);
    }

    fn read(source: crash_report::Reader<'_>) -> Self {
        Self(source.get_head())
    }
}

/// Encodes reports into a list of the same length.
pub fn write_crashes<K: ReportedSuspect>(
    mut target: struct_list::Builder<'_, crash_report::Owned>,
    crashes: &[CrashReport<K>],
) {
    for (index, report) in crashes.iter().enumerate() {
        write_crash(target.reborrow().get(index as u32), report);
    }
}

fn write_crash<K: ReportedSuspect>(mut target: crash_report::Builder<'_>, report: &CrashReport<K>) {
    report.suspect.write(target.reborrow());
    target.set_quarantined(report.is_quarantined);
    target.set_trials(report.trials);
    if let Some(age) = report.trial_age {
        target.set_has_trial(true);
        target.set_trial_age_ms(to_ms(age));
    }
    if let Some(age) = report.cleared_age {
        target.set_was_cleared(true);
        target.set_cleared_age_ms(to_ms(age));
    }
    let mut runs = target.init_runs(report.runs.len() as u32);
    for (index, run) in report.runs.iter().enumerate() {
        let mut entry = runs.reborrow().get(index as u32);
        entry.set_endpoint(run.endpoint);
        entry.set_begun_age_ms(to_ms(run.begun_age));
        entry.set_crashed_age_ms(to_ms(run.crashed_age));
    }
}

/// Decodes a list of reports.
///
/// # Errors
///
/// Fails if a list is malformed or too long.
pub fn read_crashes<K: ReportedSuspect>(
    source: struct_list::Reader<'_, crash_report::Owned>,
) -> Result<Vec<CrashReport<K>>, Error> {
    check_length(source.len())?;
    source.iter().map(read_crash).collect()
}

fn read_crash<K: ReportedSuspect>(
    source: crash_report::Reader<'_>,
) -> Result<CrashReport<K>, Error> {
    let runs = source.get_runs()?;
    check_length(runs.len())?;
    Ok(CrashReport {
        suspect: K::read(source),
        runs: runs.iter().map(read_run).collect(),
        is_quarantined: source.get_quarantined(),
        trials: source.get_trials(),
        trial_age: source.get_has_trial().then(|| from_ms(source.get_trial_age_ms())),
        cleared_age: source.get_was_cleared().then(|| from_ms(source.get_cleared_age_ms())),
    })
}

fn read_run(source: crashed_run::Reader<'_>) -> ReportedRun {
    ReportedRun {
        endpoint: source.get_endpoint(),
        begun_age: from_ms(source.get_begun_age_ms()),
        crashed_age: from_ms(source.get_crashed_age_ms()),
    }
}
