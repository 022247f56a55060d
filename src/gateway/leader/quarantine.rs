//! Stores quarantined requests and parts of prompts (those that crash endpoints) in the lease record and restores
//! them from it, for daemons that start after all others have ended.

use std::time::Duration;

use super::lease_record::{QuarantinedPart, QuarantinedRequest};
use crate::boot_clock;
use crate::gateway::{context::GatewayContext, policy::request::crash_ledger::MAX_REPORTED};

/// The quarantined requests that this daemon knows of: the [`MAX_REPORTED`] that crashed last, as many as
/// fit into a report.
pub fn stored_requests(context: &GatewayContext) -> Vec<QuarantinedRequest> {
    let now = boot_clock::now();
    let ledger = context.crashes.borrow();
    let known = ledger.quarantined().filter_map(|(request, record)| {
        let age = now.saturating_duration_since(record.last_crash()?);
        Some(QuarantinedRequest {
            fingerprint: request.to_string(),
            trials: record.trials,
            crash_age_ms: age.as_millis() as u64,
        })
    });
    let mut stored: Vec<QuarantinedRequest> = known.collect();
    stored.sort_by_key(|request| request.crash_age_ms);
    stored.truncate(MAX_REPORTED);
    stored
}

/// The quarantined parts of prompts that this daemon knows of: those that crashed last, as for requests.
pub fn stored_parts(context: &GatewayContext) -> Vec<QuarantinedPart> {
    let now = boot_clock::now();
    let ledger = context.part_crashes.borrow();
    let known = ledger.table().quarantined().filter_map(|(part, record)| {
        let age = now.saturating_duration_since(record.last_crash()?);
        Some(QuarantinedPart {
            part: part.to_string(),
            trials: record.trials,
            crash_age_ms: age.as_millis() as u64,
        })
    });
    let mut stored: Vec<QuarantinedPart> = known.collect();
    stored.sort_by_key(|part| part.crash_age_ms);
    stored.truncate(MAX_REPORTED);
    stored
}

/// Quarantines the requests of a lease record that this daemon does not know yet. If the record is
/// old, their crashes look more recent than they are, and their trials come later.
pub fn restore_requests(context: &GatewayContext, stored: &[QuarantinedRequest]) {
    let now = boot_clock::now();
    for QuarantinedRequest { fingerprint, trials, crash_age_ms } in stored {
        let Ok(request) = fingerprint.parse() else {
            spdlog::warn!("fingerprint in the lease record not parsed", kv: { fingerprint: });
            continue;
        };
        let crashed = now.checked_sub(Duration::from_millis(*crash_age_ms)).unwrap_or(now);
        context.crashes.borrow_mut().restore(request, *trials, crashed, now);
    }
}

/// Quarantines the parts of a lease record that this daemon does not know yet, as for requests.
pub fn restore_parts(context: &GatewayContext, stored: &[QuarantinedPart]) {
    let now = boot_clock::now();
    for QuarantinedPart { part, trials, crash_age_ms } in stored {
        let Ok(id) = part.parse() else {
            spdlog::warn!("part of prompts in the lease record not parsed", kv: { part: });
            continue;
        };
        let crashed = now.checked_sub(Duration::from_millis(*crash_age_ms)).unwrap_or(now);
        context.part_crashes.borrow_mut().restore(id, *trials, crashed, now);
    }
}
