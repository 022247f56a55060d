//! Finds out whether an endpoint has ended when runs break there, or only a connection.
//!
//! An endpoint whose process has ended refuses connections at its address until it is back. Of an
//! endpoint that is known to be leaving nothing is checked: it ends as planned, and runs that
//! it cuts off say nothing of their requests.

use std::{cell::RefCell, collections::HashMap, io::ErrorKind, rc::Rc, time::Duration};

use tokio::{
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

use crate::{
    gateway::{
        context::GatewayContext, endpoint::EndpointRecord,
        policy::request::fingerprint::RequestFingerprint,
    },
    ids::SharedName,
};

/// Time from a broken run to the check.
/// Basis: chosen, not measured: a process that ends closes its connections and its listener
/// within a few milliseconds, and endpoints take longer to start again.
const CHECK_DELAY: Duration = Duration::from_millis(50);
/// Longest wait for the connection of the check.
/// Basis: as for connections of requests (`connection_pool`): several round trips.
const CHECK_LIMIT: Duration = Duration::from_millis(400);

/// A run that broke without a whole response.
#[derive(Clone, Copy, Debug)]
pub struct BrokenRun {
    /// The request.
    pub request: RequestFingerprint,
    /// When it was sent, or when the head of its response came.
    pub begun: Instant,
    /// When it broke.
    pub broken: Instant,
}

/// Runs that broke at endpoints that are being checked.
#[derive(Debug, Default)]
pub struct CrashChecks {
    pending: RefCell<HashMap<SharedName, Vec<BrokenRun>>>,
}

/// Checks the endpoint of a broken run, unless a check is under way that serves for this run too.
pub fn check_endpoint(context: &Rc<GatewayContext>, endpoint: &Rc<EndpointRecord>, run: BrokenRun) {
    context.metrics.count("runs_broken", 1);
    if !context.endpoints.borrow().is_ready(&endpoint.id) {
        return;
    }
    let mut pending = context.crash_checks.pending.borrow_mut();
    let runs = pending.entry(endpoint.id.clone()).or_default();
    runs.push(run);
    if runs.len() == 1 {
        tokio::task::spawn_local(check(context.clone(), endpoint.clone()));
    }
}

async fn check(context: Rc<GatewayContext>, endpoint: Rc<EndpointRecord>) {
    sleep(CHECK_DELAY).await;
    let connecting = timeout(CHECK_LIMIT, TcpStream::connect(endpoint.address)).await;
    let runs = context.crash_checks.pending.borrow_mut().remove(&endpoint.id).unwrap_or_default();
    let outcome = match connecting {
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => "ended",
        Ok(Ok(_)) => "runs on",
        Ok(Err(_)) | Err(_) => "not reached",
    };
    context.metrics.count_labelled("crash_checks", "outcome", outcome);
    spdlog::info!("endpoint checked", kv: {
        endpoint: = endpoint.id, address: = endpoint.address, outcome, broken_runs = runs.len()
    });
}
