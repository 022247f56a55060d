//! Requests that crash endpoints, as the leader keeps them in the lease record: daemons that start
//! after all others have ended know them from there.

use std::time::Duration;

use super::lease_record::QuarantinedRequest;
use crate::boot_clock;
use crate::gateway::{context::GatewayContext, policy::request::crash_ledger::MAX_REPORTED};

/// The requests that this daemon knows to be quarantined, as many as fit into a report, the
/// newest ones.
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

/// Quarantines the requests of a record that this daemon knows nothing of. The record may have
/// been written some time ago: they then look younger, and their trials come later.
pub fn restore_requests(context: &GatewayContext, stored: &[QuarantinedRequest]) {
    let now = boot_clock::now();
    for QuarantinedRequest { fingerprint, trials, crash_age_ms } in stored {
        let Ok(request) = fingerprint.parse() else {
            spdlog::warn!("stored fingerprint not read", kv: { fingerprint: });
            continue;
        };
        let crashed = now.checked_sub(Duration::from_millis(*crash_age_ms)).unwrap_or(now);
        context.crashes.borrow_mut().restore(request, *trials, crashed, now);
    }
}
