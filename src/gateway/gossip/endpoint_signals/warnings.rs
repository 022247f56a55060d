//! Sends warnings of endpoints to other daemons, and applies theirs. Times are sent as ages, so
//! that clocks of different daemons are never compared.

use tokio::time::Instant;

use super::super::messages::ReportedWarning;
use crate::{
    gateway::{
        context::GatewayContext,
        policy::endpoint::signal_ledger::{EndpointWarning, NumberedStart, WarningKind},
    },
    ids::hash_parts,
};

/// Warnings to send to another daemon.
pub fn own_warnings(context: &GatewayContext, now: Instant) -> Vec<ReportedWarning> {
    let warnings = context.endpoints.borrow().warnings(now).into_iter();
    let report = |EndpointWarning { start, kind, at }| {
        let age = now.saturating_duration_since(at);
        ReportedWarning { start, kind, age }
    };
    warnings.map(report).collect()
}

/// Begins the trials of endpoints that have failed requests, where this daemon is the first one by
/// rendezvous hashing.
pub fn begin_trials(context: &GatewayContext, now: Instant) {
    let peers = context.peers.borrow();
    let is_first = |start: NumberedStart, trial: u32| {
        let NumberedStart { endpoint, born } = start;
        let key = hash_parts(&[&endpoint.to_le_bytes(), &born.to_le_bytes(), &trial.to_le_bytes()]);
        peers.is_first_for(key)
    };
    context.endpoints.borrow_mut().begin_trials(is_first, now);
}

/// Applies the warnings that another daemon reports.
pub fn apply_warnings(context: &GatewayContext, reported: &[ReportedWarning], now: Instant) {
    let mut endpoints = context.endpoints.borrow_mut();
    for ReportedWarning { start, kind, age } in reported.iter().copied() {
        // A warning from before the start of the clock is over or will be repeated.
        let Some(at) = now.checked_sub(age) else { continue };
        let warning = EndpointWarning { start, kind, at };
        let warned = endpoints.receive_warning(warning, now, &mut rand::rng());
        let Some(endpoint) = warned else { continue };
        if kind == WarningKind::Draining {
            context.metrics.count("endpoints_draining", 1);
            spdlog::info!("endpoint drains", kv: { endpoint: = endpoint, source = "peer" });
        }
    }
}
