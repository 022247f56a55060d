//! Detects requests that crash the endpoints that run them, and stops running them.
//!
//! When a run breaks, the daemon tries to connect to its endpoint: an endpoint whose process has
//! ended refuses connections until it has restarted. Endpoints that are known to be leaving are not
//! checked: they end as planned, and the runs that they break off are no evidence against their
//! requests. A time-out or a silent connection is no evidence of a crash either.
//! `policy::request::crash_ledger` decides what follows from a crash.

use std::{rc::Rc, time::Duration};

use derive_more::Display;
use tokio::time::sleep;

use super::{
    admission::Admitted,
    connection_pool::{SendFailure, connect_direct},
};
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        endpoint::EndpointRecord,
        forwarding::tunnel_opener::open_tunnel,
        policy::{
            endpoint::endpoint_load::endpoint_number,
            request::{
                crash_checks::BrokenRun,
                crash_ledger::{CrashLedger, RunVerdict},
                crash_record::CrashedRun,
                fingerprint::RequestFingerprint,
            },
        },
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

/// Decides whether the request may be run now.
pub fn decide_run(context: &GatewayContext, admitted: &Admitted) -> RunVerdict {
    let mut ledger = context.crashes.borrow_mut();
    if !may_be_recorded(&ledger, admitted) {
        return RunVerdict::Allowed;
    }
    let request = admitted.fingerprint();
    let makes_trial = |number: u32| {
        context.peers.borrow().is_first_for(request.head.wrapping_add(u64::from(number)))
    };
    let verdict = ledger.decide_run(request, makes_trial, boot_clock::now());
    match verdict {
        RunVerdict::Allowed => {}
        RunVerdict::Trial => {
            spdlog::warn!("quarantined request tried", kv: { fingerprint: = request });
            context.metrics.count("quarantine_trials", 1);
        }
        RunVerdict::Refused(_) => context.metrics.count("quarantine_refusals", 1),
    }
    verdict
}

/// Clears a request that got a complete response from an endpoint.
pub fn request_served(context: &GatewayContext, admitted: &Admitted) {
    let mut ledger = context.crashes.borrow_mut();
    if !may_be_recorded(&ledger, admitted) {
        return;
    }
    let request = admitted.fingerprint();
    if ledger.clear(request, boot_clock::now()) {
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
    for BrokenRun { request, begun, broken } in runs.iter().copied() {
        let run = CrashedRun { endpoint, begun, crashed: broken };
        if ledger.record_crash(request, run, now) {
            log_quarantine(context, request, "endpoints crashed during runs of this daemon");
        }
    }
}

/// Logs and counts that a request is refused from now on; `reason` says which daemon detected it.
pub fn log_quarantine(context: &GatewayContext, request: RequestFingerprint, reason: &str) {
    spdlog::warn!("request quarantined", kv: { fingerprint: = request, reason });
    context.metrics.count("requests_quarantined", 1);
}
