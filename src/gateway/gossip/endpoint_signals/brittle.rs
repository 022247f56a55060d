//! Sends which services are brittle to other daemons, applies what they report, and divides the slots of
//! brittle endpoints among the known daemons. Times are sent as ages, so that clocks of different
//! daemons are never compared.

use std::time::Duration;

use tokio::time::Instant;

use super::super::messages::ReportedBrittle;
use crate::{
    boot_clock,
    gateway::{
        context::GatewayContext,
        policy::endpoint::endpoint_table::{brittle::BrittleEndpoint, slot_ring::SlotRing},
    },
    ids::SharedName,
};

/// How often the slots are divided.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(500);
/// Time after its start, or after a suspension, in which a daemon uses no share of its own: it knows few
/// others and takes their shares for its own, and they don't know it yet.
const SHARE_DELAY: Duration = Duration::from_secs(1);

/// Brittle services to report to another daemon.
pub fn own_brittle(context: &GatewayContext, now: Instant) -> Vec<ReportedBrittle> {
    let brittle = context.endpoints.borrow().brittle_services(now).into_iter();
    let report =
        |(service, at)| ReportedBrittle { service, age: now.saturating_duration_since(at) };
    brittle.map(report).collect()
}

/// Applies the brittle services that another daemon reports.
pub fn apply_brittle(context: &GatewayContext, reported: &[ReportedBrittle], now: Instant) {
    for ReportedBrittle { service, age } in reported {
        // A response from before the start of the clock is too old to count.
        let Some(at) = now.checked_sub(*age) else { continue };
        let became_brittle = context.endpoints.borrow_mut().receive_brittle(service, at, now);
        if became_brittle {
            handle_brittle(context, service, "peer", now);
        }
    }
}

/// Applies what an endpoint's response says of its being brittle.
pub fn apply_response_brittle(context: &GatewayContext, endpoint: &str, is_brittle: bool) {
    let now = boot_clock::now();
    let service = context.endpoints.borrow_mut().record_brittle(endpoint, is_brittle, now);
    if let Some(service) = service {
        handle_brittle(context, &service, "response", now);
    }
}

fn handle_brittle(context: &GatewayContext, service: &SharedName, source: &str, now: Instant) {
    spdlog::info!("service brittle", kv: { service:, source });
    context.metrics.count("services_found_brittle", 1);
    divide_slots(context, now);
}

/// Divides the slots again if `DIVIDE_INTERVAL` has passed: daemons or endpoints may have started or
/// ended.
pub fn divide_slots_if_due(context: &GatewayContext, now: Instant) {
    let divided_at = context.slots_divided_at.get();
    if divided_at.is_none_or(|at| now.saturating_duration_since(at) >= DIVIDE_INTERVAL) {
        divide_slots(context, now);
    }
}

/// Divides the slots of brittle endpoints among the known daemons.
pub fn divide_slots(context: &GatewayContext, now: Instant) {
    context.slots_divided_at.set(Some(now));
    let lent = context.endpoints.borrow_mut().expire_loans(now);
    context.metrics.gauge("slots_lent_now", lent as f64);
    let brittle = context.endpoints.borrow().brittle_endpoints(now);
    let ring = match brittle.is_empty() {
        true => SlotRing::default(),
        false => SlotRing::new(context.peers.borrow().ring_members(), context.sharing(now).known),
    };
    let knows_shares = context.peer_contact.borrow().running_for(now) >= SHARE_DELAY;
    let share = |endpoint: &BrittleEndpoint| match knows_shares {
        true => ring.share(context.settings.peer_address, endpoint.number, endpoint.slots),
        false => 0,
    };
    let shares: Vec<(SharedName, u32)> =
        brittle.iter().map(|endpoint| (endpoint.id.clone(), share(endpoint))).collect();
    context.endpoints.borrow_mut().set_slot_shares(&shares, now);
    *context.slot_ring.borrow_mut() = ring;
}
