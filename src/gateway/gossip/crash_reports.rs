//! Sends records of requests and parts of prompts that crash endpoints to other daemons, and applies theirs. Times are
//! sent as ages, so that clocks of different daemons are never compared.

use std::time::Duration;

use tokio::time::Instant;

use super::messages::{CrashReport, ReportedRun};
use crate::gateway::{
    call::PartId,
    context::GatewayContext,
    policy::request::{
        crash_record::{CrashRecord, CrashedRun, REPORTED_RUNS},
        fingerprint::RequestFingerprint,
    },
    request::crash_watch::{log_part_quarantine, log_quarantine},
};

/// Reports of requests to send to another daemon.
pub fn own_reports(context: &GatewayContext, now: Instant) -> Vec<CrashReport<RequestFingerprint>> {
    let ledger = context.crashes.borrow();
    if ledger.is_empty() {
        return Vec::new();
    }
    let records = ledger.report(now, &mut rand::rng()).into_iter();
    records.map(|(request, record)| report_of(request, &record, now)).collect()
}

/// Reports of parts of prompts to send to another daemon.
pub fn own_part_reports(context: &GatewayContext, now: Instant) -> Vec<CrashReport<PartId>> {
    let ledger = context.part_crashes.borrow();
    if ledger.table().is_empty() {
        return Vec::new();
    }
    let records = ledger.report(now, &mut rand::rng()).into_iter();
    records.map(|(part, record)| report_of(part, &record, now)).collect()
}

/// Applies the reports of another daemon about requests.
pub fn apply_reports(
    context: &GatewayContext,
    reports: &[CrashReport<RequestFingerprint>],
    now: Instant,
) {
    let mut ledger = context.crashes.borrow_mut();
    for report in reports {
        if ledger.receive(report.suspect, &record_of(report, now), now) {
            log_quarantine(context, report.suspect, "reported");
        }
    }
}

/// Applies the reports of another daemon about parts of prompts.
pub fn apply_part_reports(context: &GatewayContext, reports: &[CrashReport<PartId>], now: Instant) {
    let mut ledger = context.part_crashes.borrow_mut();
    for report in reports {
        if ledger.receive(report.suspect, &record_of(report, now), now) {
            log_part_quarantine(context, report.suspect);
        }
    }
}

fn report_of<K>(suspect: K, record: &CrashRecord, now: Instant) -> CrashReport<K> {
    let age = |at: Instant| now.saturating_duration_since(at);
    let newest = record.runs.len().saturating_sub(REPORTED_RUNS);
    let runs = record.runs[newest..].iter().map(|run| ReportedRun {
        endpoint: run.endpoint,
        begun_age: age(run.begun),
        crashed_age: age(run.crashed),
    });
    CrashReport {
        suspect,
        runs: runs.collect(),
        is_quarantined: record.is_quarantined,
        trials: record.trials,
        trial_age: record.trial_at.map(age),
        cleared_age: record.cleared_at.map(age),
    }
}

/// Leaves out times before the start of the clock: nothing that old counts any more.
fn record_of<K>(report: &CrashReport<K>, now: Instant) -> CrashRecord {
    let time = |age: Duration| now.checked_sub(age);
    let runs = report.runs.iter().filter_map(|run| {
        let (begun, crashed) = (time(run.begun_age)?, time(run.crashed_age)?);
        Some(CrashedRun { endpoint: run.endpoint, begun, crashed })
    });
    let mut record = CrashRecord::default();
    for run in runs {
        record.add(run);
    }
    record.is_quarantined = report.is_quarantined;
    record.trials = report.trials;
    record.trial_at = report.trial_age.and_then(time);
    record.cleared_at = report.cleared_age.and_then(time);
    record
}
