//! Sends the request limits of endpoints to other daemons, applies those that they report, and
//! divides each limit among the known daemons. Times are sent as ages, so that clocks of different
//! daemons are never compared.

use std::{collections::BTreeSet, net::SocketAddr, time::Duration};

use tokio::time::Instant;

use super::super::{
    messages::{ReportedLimit, SentTokens},
    peer_table::{PeerTable, rendezvous::RendezvousRank},
    report_source::ReportSource,
};
use crate::{
    boot_clock,
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
};

/// How often the limits are divided.
pub const DIVIDE_INTERVAL: Duration = Duration::from_millis(500);

/// Limits to send to another daemon.
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
        // A limit from before the start of the clock will be repeated.
        let at = now.checked_sub(reported.age)?;
        let observation = LimitObservation { limit: reported.limit, at };
        let limit = EndpointLimit { start: reported.start, observation };
        context.endpoints.borrow_mut().receive_limit(limit, now)
    };
    let changes: Vec<LimitChange> = reported.iter().filter_map(receive).collect();
    if !changes.is_empty() {
        handle_changes(context, &changes, "peer", now);
    }
}

/// Logs changes of limits, and divides the limits again.
pub fn handle_changes(
    context: &GatewayContext,
    changes: &[LimitChange],
    source: &str,
    now: Instant,
) {
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

/// Divides the limits again if `DIVIDE_INTERVAL` has passed: daemons may have started or ended, and
/// the demand may have changed.
pub fn divide_if_due(context: &GatewayContext, now: Instant) {
    let divided_at = context.limits_divided_at.get();
    if divided_at.is_none_or(|at| now.saturating_duration_since(at) >= DIVIDE_INTERVAL) {
        divide(context, now);
    }
}

/// Takes the tokens that this daemon doesn't need out of its shares, to lend them.
pub fn lend_tokens(context: &GatewayContext, now: Instant) -> Vec<SentTokens> {
    let lent = context.endpoints.borrow_mut().lend_tokens(now).into_iter();
    lent.map(|(start, tokens)| SentTokens { start, tokens }).collect()
}

/// Applies the response of the daemon at `lender` to a call that asked it for tokens.
pub fn apply_lent(context: &GatewayContext, lender: SocketAddr, lent: &[SentTokens], now: Instant) {
    context.token_borrower.borrow_mut().receive_response(lender, !lent.is_empty(), now);
    let mut endpoints = context.endpoints.borrow_mut();
    for SentTokens { start, tokens } in lent {
        endpoints.receive_lent(*start, *tokens, now);
    }
}

/// Daemons to ask for tokens in this gossip interval.
pub fn lenders_to_ask(context: &GatewayContext, now: Instant) -> BTreeSet<SocketAddr> {
    let mut borrower = context.token_borrower.borrow_mut();
    if !borrower.is_short(now) {
        return BTreeSet::new();
    }
    let daemons = context.sharing(now).known;
    let holders = other_holders(&context.peers.borrow(), &context.endpoints.borrow(), daemons);
    borrower.next_asked(&holders, now)
}

/// The other daemons that hold shares of limits in a fleet of `daemons`.
pub fn other_holders(
    peers: &PeerTable,
    endpoints: &EndpointTable,
    daemons: usize,
) -> BTreeSet<SocketAddr> {
    let limited = endpoints.limited();
    let holders = limited.iter().flat_map(|endpoint| {
        peers.rendezvous_first(rendezvous_key(endpoint), holder_count(endpoint.limit, daemons))
    });
    holders.collect()
}

fn rendezvous_key(endpoint: &LimitedEndpoint) -> u64 {
    let NumberedStart { endpoint: number, born } = endpoint.start;
    hash_parts(&[&number.to_le_bytes(), &born.to_le_bytes()])
}

/// Divides the limits among the known daemons.
pub fn divide(context: &GatewayContext, now: Instant) {
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

/// This daemon's share of an endpoint's limit in a fleet of `daemons`; `None` if it holds no share.
pub fn own_share(
    peers: &PeerTable,
    endpoints: &EndpointTable,
    endpoint: &LimitedEndpoint,
    daemons: usize,
) -> Option<HolderShare> {
    let holders = holder_count(endpoint.limit, daemons);
    let key = rendezvous_key(endpoint);
    let RendezvousRank { rank, others } = peers.rendezvous_rank(key, holders)?;
    let demand = |incarnation| {
        endpoints.reported_demand(ReportSource::Daemon(incarnation), &endpoint.service)
    };
    let others: Vec<Option<f64>> = others.into_iter().map(demand).collect();
    let own_demand = endpoints.own_demand(&endpoint.service);
    let rate = holder_rate(endpoint.limit, own_demand, &others, holders);
    Some(HolderShare::of_rank(rank, holders, rate))
}

/// Applies the limit that an endpoint has named, or not, in its response to a request sent at
/// `sent`.
pub fn apply_response_limit(
    context: &GatewayContext,
    endpoint: &str,
    limit: Option<f64>,
    sent: Instant,
) {
    let now = boot_clock::now();
    let at = if limit.is_some() { now } else { sent };
    let observation = LimitObservation { limit, at };
    let change = context.endpoints.borrow_mut().record_limit(endpoint, observation, now);
    if let Some(change) = change {
        handle_changes(context, &[change], "response", now);
    }
}
