//! Detects requests, and parts of prompts, that crash the endpoints that run them, and stops running them.
//!
//! When a run breaks, the daemon tries to connect to its endpoint: an endpoint whose process has
//! ended refuses connections until it has restarted. Endpoints that are known to be leaving are not
//! checked: they end as planned, and the runs that they break off are no evidence against their
//! requests. A time-out or a silent connection is no evidence of a crash either.
//! `policy::request::crash_ledger` decides what follows from a crash.

use std::{rc::Rc, time::Duration};

use derive_more::Display;
use tokio::time::{Instant, sleep};

use super::{
    admission::Admitted,
    connection_pool::{SendFailure, connect_direct},
};
use crate::{
    boot_clock,
    gateway::{
        call::PartId,
        context::GatewayContext,
        endpoint::EndpointRecord,
        forwarding::tunnel_opener::open_tunnel,
        policy::{
            endpoint::endpoint_load::endpoint_number,
            request::{
                crash_checks::BrokenRun,
                crash_ledger::{CrashLedger, RunVerdict, part_ledger::PartEvidence},
                crash_record::{CrashRecord, CrashedRun},
                fingerprint::RequestFingerprint,
                retries::NoAttempt,
            },
        },
        state::QUARANTINED_PART,
    },
};

/// Delay between a broken run and the check of its endpoint. A process that ends closes its
/// connections and its listener within a few milliseconds; an endpoint takes longer than this to
/// restart.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the check's connection: several round trips, as for the connections of
/// requests.
const CHECK_LIMIT: Duration = Duration::from_millis(400);

/// Stands for the request's id in the log lines of tunnels that are opened for a check.
const CHECK_ID: &str = "crash check";

/// Result of the check of an endpoint.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
enum CheckOutcome {
    /// Its address refuses connections.
    #[display("ended")]
    Ended,
    /// Its address accepts connections.
    #[display("accepts connections")]
    Accepts,
    /// No connection in time, or another error: it is not known whether the endpoint has ended.
    #[display("not reached")]
    NotReached,
}

impl CheckOutcome {
    fn of<T>(connecting: Result<T, SendFailure>) -> Self {
        match connecting {
            Ok(_) => Self::Accepts,
            Err(failure) if failure.is_refused() => Self::Ended,
            // The cause of the failure makes no difference.
            Err(_) => Self::NotReached,
        }
    }
}

/// Decides whether the request may be run now. Returns whether it runs as the trial of a quarantined request
/// or part.
///
/// # Errors
///
/// Why it may not be run.
pub fn decide_run(context: &GatewayContext, admitted: &Admitted) -> Result<bool, NoAttempt> {
    let now = boot_clock::now();
    let (request, parts) = (request_verdict(context, admitted), part_verdict(context, admitted));
    let refusal = match (request, parts) {
        (RunVerdict::Refused(wait), _) => NoAttempt::Quarantined(wait),
        (_, RunVerdict::Refused(wait)) => NoAttempt::PartQuarantined(wait),
        (RunVerdict::Allowed, RunVerdict::Allowed) => return Ok(false),
        _ => {
            begin_trial(context, admitted, now);
            return Ok(true);
        }
    };
    context.metrics.count("quarantine_refusals", 1);
    Err(refusal)
}

/// Whether the request or a part of its prompt is quarantined.
pub fn is_quarantined(context: &GatewayContext, admitted: &Admitted) -> bool {
    request_verdict(context, admitted) != RunVerdict::Allowed
        || part_verdict(context, admitted) != RunVerdict::Allowed
}

fn request_verdict(context: &GatewayContext, admitted: &Admitted) -> RunVerdict {
    let ledger = context.crashes.borrow();
    if !may_be_recorded(&ledger, admitted) {
        return RunVerdict::Allowed;
    }
    let request = admitted.fingerprint();
    let makes_trial = |number| is_tester(context, request.head, number);
    ledger.verdict(request, makes_trial, boot_clock::now())
}

fn part_verdict(context: &GatewayContext, admitted: &Admitted) -> RunVerdict {
    let ledger = context.part_crashes.borrow();
    if ledger.table().is_empty() {
        return RunVerdict::Allowed;
    }
    let makes_trial = |part: PartId, number| is_tester(context, part.0, number);
    ledger.verdict(admitted.call.head.shared_parts(), makes_trial, boot_clock::now())
}

/// Whether this daemon is the one that makes the trial of this number.
fn is_tester(context: &GatewayContext, suspect: u64, number: u32) -> bool {
    context.peers.borrow().is_first_for(suspect.wrapping_add(u64::from(number)))
}

fn begin_trial(context: &GatewayContext, admitted: &Admitted, now: Instant) {
    let request = admitted.fingerprint();
    let mut requests = context.crashes.borrow_mut();
    if requests.table().get(request).is_some_and(|record| record.is_quarantined) {
        requests.begin_trial(request, now);
    }
    let parts = || admitted.call.head.shared_parts();
    context.part_crashes.borrow_mut().begin_trial(parts(), now);
    let parts: Vec<String> = parts().map(|part| part.to_string()).collect();
    spdlog::warn!("quarantined request tried", kv: {
        fingerprint: = request, shared_parts: = parts.join(",")
    });
    context.metrics.count("quarantine_trials", 1);
}

/// Quarantines parts of prompts that have enough evidence by now.
pub fn find_crashing_parts(context: &GatewayContext, now: Instant) {
    let mut parts = context.part_crashes.borrow_mut();
    if parts.table().is_empty() {
        return;
    }
    let mut requests = context.crashes.borrow_mut();
    let quarantined: Vec<&CrashRecord> = requests.quarantined().map(|(_, record)| record).collect();
    for (part, evidence) in parts.evaluate(&quarantined, now) {
        let PartEvidence { crashes, runs_in_row, fraction, was_served, span: _ } = evidence;
        spdlog::warn!("prompt part quarantined", kv: {
            part: = part, reason = "crashes", crashes, runs_in_row, fraction, was_served
        });
        context.metrics.count("parts_quarantined", 1);
    }
    for (_, record) in parts.table().quarantined() {
        requests.clear_explained_by_part(record, now);
    }
}

/// Clears a request that got a complete response from an endpoint, and the parts of its prompt.
pub fn request_served(context: &GatewayContext, admitted: &Admitted) {
    let now = boot_clock::now();
    let mut parts = context.part_crashes.borrow_mut();
    for part in admitted.call.head.shared_parts() {
        if parts.record_served(part, now) {
            let name = format!("{QUARANTINED_PART}{part}");
            spdlog::info!("quarantine ended", kv: { fingerprint: = name, reason = "served" });
        }
    }
    let mut ledger = context.crashes.borrow_mut();
    if !may_be_recorded(&ledger, admitted) {
        return;
    }
    let request = admitted.fingerprint();
    if ledger.clear(request, now) {
        spdlog::info!("quarantine ended", kv: { fingerprint: = request, reason = "served" });
    }
}

/// Whether the ledger may contain the request. Usually the ledger is empty and nothing is hashed;
/// otherwise it contains few heads, and few bodies have to be read.
fn may_be_recorded(ledger: &CrashLedger, admitted: &Admitted) -> bool {
    !ledger.is_empty() && ledger.has_head(admitted.fingerprint_head())
}

/// Records a broken run, and starts a check of its endpoint unless one is in progress already,
/// which then covers this run too.
pub fn run_broke(context: &Rc<GatewayContext>, endpoint: &Rc<EndpointRecord>, run: BrokenRun) {
    context.metrics.count("runs_broken", 1);
    if !context.endpoints.borrow().is_ready(&endpoint.id) {
        return;
    }
    if context.crash_checks.add(&endpoint.id, run) {
        tokio::task::spawn_local(check_endpoint(context.clone(), endpoint.clone()));
    }
}

async fn check_endpoint(context: Rc<GatewayContext>, endpoint: Rc<EndpointRecord>) {
    sleep(CHECK_DELAY).await;
    let outcome = find_outcome(&context, &endpoint).await;
    let runs = context.crash_checks.take(&endpoint.id);
    context.metrics.count_labelled("crash_checks", "outcome", &outcome.to_string());
    // Endpoints that only lose connections may do so many times a second, so that is only counted.
    if outcome == CheckOutcome::Ended {
        spdlog::info!("endpoint ended", kv: {
            endpoint: = endpoint.id, address: = endpoint.address, broken_runs = runs.len()
        });
        record_crash(&context, &endpoint.id, &runs);
    }
}

/// Finds out whether the endpoint accepts connections. A daemon whose own links have failed may be refused
/// by endpoints that work, so another daemon has to confirm a refusal, if one can.
async fn find_outcome(context: &GatewayContext, endpoint: &EndpointRecord) -> CheckOutcome {
    let until = boot_clock::now() + CHECK_LIMIT;
    let uses_tunnels = context.uses_tunnels(boot_clock::now());
    let own = match uses_tunnels {
        true => CheckOutcome::NotReached,
        false => CheckOutcome::of(connect_direct(endpoint.address, until).await),
    };
    if own == CheckOutcome::Ended || uses_tunnels {
        match open_tunnel(context, endpoint, CHECK_ID, until).await {
            Err(SendFailure::NoPath) => own,
            through_forwarder => CheckOutcome::of(through_forwarder),
        }
    } else {
        own
    }
}

fn record_crash(context: &GatewayContext, endpoint: &str, runs: &[BrokenRun]) {
    let now = boot_clock::now();
    let endpoint = endpoint_number(endpoint);
    let mut ledger = context.crashes.borrow_mut();
    let mut parts = context.part_crashes.borrow_mut();
    for BrokenRun { request, shared_parts, begun, broken } in runs {
        let run = CrashedRun { endpoint, begun: *begun, crashed: *broken };
        if ledger.record_crash(*request, run, now) {
            log_quarantine(context, *request, "endpoints crashed during runs of this daemon");
        }
        for part in shared_parts.iter() {
            parts.record_crash(*part, run, now);
        }
    }
}

/// Logs and counts that a request is refused from now on; `reason` says which daemon detected it.
pub fn log_quarantine(context: &GatewayContext, request: RequestFingerprint, reason: &str) {
    spdlog::warn!("request quarantined", kv: { fingerprint: = request, reason });
    context.metrics.count("requests_quarantined", 1);
}

/// Logs and counts that another daemon has quarantined a part of prompts.
pub fn log_part_quarantine(context: &GatewayContext, part: PartId) {
    spdlog::warn!("prompt part quarantined", kv: { part: = part, reason = "reported" });
    context.metrics.count("parts_quarantined", 1);
}
