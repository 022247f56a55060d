//! Limits that endpoints name: reported to other daemons and received from them as ages, since no clock of
//! another daemon is compared with the own one, and divided among those that are known.

use std::time::Duration;

use tokio::time::Instant;

use super::super::{
    messages::ReportedLimit,
    peer_table::{PeerTable, PlaceAmongFirst},
    report_source::ReportSource,
};
use crate::{
    gateway::{
        context::GatewayContext,
        policy::endpoint::{
            endpoint_table::{
                EndpointTable,
                limits::{LimitChange, LimitedEndpoint},
            },
            request_limit::{HolderShare, holder_count, holder_rate},
            signal_ledger::{EndpointLimit, LimitObservation, NumberedStart},
        },
    },
    ids::hash_parts,
    true_time,
};

/// Time between two divisions of the limits.
pub const DIVIDE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits for another daemon.
pub fn own_limits(context: &GatewayContext, now: Instant) -> Vec<ReportedLimit> {
    let limits = context.endpoints.borrow().limits(now, &mut rand::rng()).into_iter();
    let report = |EndpointLimit { start, observation }| ReportedLimit {
        start,
        limit: observation.limit,
        age: now.saturating_duration_since(observation.at),
    };
    limits.map(report).collect()
}

/// Applies the limits that another daemon reports.
pub fn apply_limits(context: &GatewayContext, reported: &[ReportedLimit], now: Instant) {
    let receive = |reported: &ReportedLimit| {
        // What was said before the start of the clock will be said again.
        let at = now.checked_sub(reported.age)?;
        let observation = LimitObservation { limit: reported.limit, at };
        let limit = EndpointLimit { start: reported.start, observation };
        context.endpoints.borrow_mut().receive_limit(limit, now)
    };
    let changes: Vec<LimitChange> = reported.iter().filter_map(receive).collect();
    if !changes.is_empty() {
        note_changes(context, &changes, "peer", now);
    }
}

/// Logs changes of limits, and divides these anew.
pub fn note_changes(context: &GatewayContext, changes: &[LimitChange], source: &str, now: Instant) {
    for LimitChange { endpoint, limit } in changes {
        match limit {
            Some(limit) => {
                spdlog::info!("endpoint limited", kv: {
                    endpoint: = endpoint, limit = *limit, source
                });
            }
            None => spdlog::info!("endpoint not limited", kv: { endpoint: = endpoint, source }),
        }
    }
    divide(context, now);
}

/// Divides the limits once more, if it is time: other daemons may have come or gone, and demand
/// may have moved.
pub fn divide_if_due(context: &GatewayContext, now: Instant) {
    let divided_at = context.limits_divided_at.get();
    if divided_at.is_none_or(|at| now.saturating_duration_since(at) >= DIVIDE_INTERVAL) {
        divide(context, now);
    }
}

fn divide(context: &GatewayContext, now: Instant) {
    context.limits_divided_at.set(Some(now));
    let mut endpoints = context.endpoints.borrow_mut();
    endpoints.observe_demand(now);
    let limited = endpoints.limited();
    context.metrics.gauge("endpoints_limited", limited.len() as f64);
    drop(endpoints);
    for endpoint in limited {
        let daemons = context.sharing(now).known;
        let share =
            own_share(&context.peers.borrow(), &context.endpoints.borrow(), &endpoint, daemons);
        context.endpoints.borrow_mut().set_limit_share(&endpoint.id, share, now);
    }
}

/// This daemon's share of an endpoint's limit, if it holds one, where so many daemons run.
pub fn own_share(
    peers: &PeerTable,
    endpoints: &EndpointTable,
    endpoint: &LimitedEndpoint,
    daemons: usize,
) -> Option<HolderShare> {
    let holders = holder_count(endpoint.limit, daemons);
    let NumberedStart { endpoint: number, born } = endpoint.start;
    let key = hash_parts(&[&number.to_le_bytes(), &born.to_le_bytes()]);
    let PlaceAmongFirst { rank, others } = peers.place_among_first(key, holders)?;
    let demand = |incarnation| {
        endpoints.reported_demand(ReportSource::Daemon(incarnation), &endpoint.service)
    };
    let others: Vec<Option<f64>> = others.into_iter().map(demand).collect();
    let own_demand = endpoints.own_demand(&endpoint.service);
    let rate = holder_rate(endpoint.limit, own_demand, &others, holders);
    Some(HolderShare::of_rank(rank, holders, rate))
}

/// Notes what an endpoint has said of its limit in a response to a request that was sent at `sent`.
pub fn note_response(context: &GatewayContext, endpoint: &str, limit: Option<f64>, sent: Instant) {
    let now = true_time::now();
    let at = if limit.is_some() { now } else { sent };
    let observation = LimitObservation { limit, at };
    let change = context.endpoints.borrow_mut().record_limit(endpoint, observation, now);
    if let Some(change) = change {
        note_changes(context, &[change], "response", now);
    }
}
