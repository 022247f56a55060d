//! Builds the messages in which this daemon reports its own state and, on request, sums over its
//! group.

use std::collections::BTreeMap;

use tokio::time::Instant;

use super::{
    crash_reports::{own_part_reports, own_reports},
    endpoint_signals::{
        brittle::own_brittle,
        limits::{lend_tokens, own_limits},
        warnings::own_warnings,
    },
    messages::{
        ConfigurationSummary, DaemonCounters, DaemonState, GossipMessage, LeaseSummary,
        RelayedUsage, RequestedParts, SentEndpoints, SentText, TextRequest,
    },
    rollouts::own_rollouts,
};
use crate::boot_clock;
use crate::gateway::{
    context::GatewayContext,
    policy::{
        daemon::{forwarder_choice::ForwarderReport, held_texts::HeldVersions},
        endpoint::endpoint_load::endpoint_number,
        leader::usage_counts::WindowCounts,
    },
};

/// Maximum number of summaries of other daemons in one message.
pub const PEER_SUMMARIES: usize = 8;
/// Number of newest usage windows that are reported: one more than the windows that are still to be
/// sent to the cloud. Older ones have been sent.
const REPORTED_WINDOWS: usize = 4;

/// Versions of the configuration and the endpoint list that this daemon holds.
pub fn held_versions(context: &GatewayContext) -> HeldVersions {
    HeldVersions {
        configuration: context.configuration.borrow().version(),
        endpoints: context.endpoint_list.borrow().position,
    }
}

/// Builds this daemon's message, with the parts that the other side has requested.
pub fn own_message(context: &GatewayContext, wants: RequestedParts) -> GossipMessage {
    let now = boot_clock::now();
    let is_starting = !context.is_up_to_date_with_peers(now);
    let configuration = context.configuration.borrow();
    let list = context.endpoint_list.borrow();
    GossipMessage {
        state: own_state(context),
        is_starting,
        known: context.peers.borrow().summaries(PEER_SUMMARIES, now, &mut rand::rng()),
        configuration: ConfigurationSummary {
            version: configuration.version(),
            position: configuration.position,
            text: wants.configuration.and_then(|request| sent_text(context, &request, now)),
            proof_age_ms: configuration.proof.map(|at| age_ms(at, now)),
        },
        endpoint_position: list.position,
        endpoints: wants.endpoints.and_then(|request| sent_endpoints(context, &request, now)),
        lease: lease_summary(context, now),
        wants: RequestedParts::default(),
        group: wants.group.then(|| group_sums(context)),
        usage: if wants.usage { relayed_usage(context) } else { Vec::new() },
        crashes: own_reports(context, now),
        part_crashes: own_part_reports(context, now),
        warnings: own_warnings(context, now),
        limits: own_limits(context, now),
        lent: if wants.tokens { lend_tokens(context, now) } else { Vec::new() },
        rollouts: own_rollouts(context, now),
        brittle: own_brittle(context, now),
    }
}

fn sent_text(context: &GatewayContext, request: &TextRequest, now: Instant) -> Option<SentText> {
    context.configuration_texts.borrow_mut().try_send(request, now)
}

/// The list of endpoints, in a form that the requesting daemon can read.
fn sent_endpoints(
    context: &GatewayContext,
    request: &TextRequest,
    now: Instant,
) -> Option<SentEndpoints> {
    match context.endpoint_texts.borrow_mut().try_send(request, now)? {
        SentText::Compressed(text) => Some(SentEndpoints::Compressed(text)),
        SentText::Plain(_) => Some(SentEndpoints::Listed(context.endpoint_list.borrow().clone())),
    }
}

fn lease_summary(context: &GatewayContext, now: Instant) -> Option<LeaseSummary> {
    let lease = context.lease.borrow();
    let (holder, renewed_at) = lease.holder.clone().zip(lease.renewed_at)?;
    Some(LeaseSummary {
        fence: lease.fence,
        holder,
        renewals: lease.renewals,
        age_ms: age_ms(renewed_at, now),
        daemons: context.fleet_size.get().unwrap_or(0),
        next_window: lease.next_window,
    })
}

fn age_ms(at: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}

fn own_state(context: &GatewayContext) -> DaemonState {
    let settings = &context.settings;
    DaemonState {
        incarnation: context.incarnation,
        name: settings.name.clone(),
        zone: settings.zone.clone(),
        address: settings.peer_address,
        sequence: context.next_sequence(),
        leaving: context.is_leaving(),
        forwarder: Some(ForwarderReport {
            address: settings.tunnel_address,
            is_partitioned: context.is_partitioned(),
            contact_age: context.endpoint_access.borrow().contact_age(boot_clock::now()),
        }),
        counters: own_counters(context),
    }
}

fn own_counters(context: &GatewayContext) -> DaemonCounters {
    let quotas = context.quotas.borrow();
    let accounts = quotas.counters().map(|(account, counters)| (account.clone(), counters));
    let endpoints = context.endpoints.borrow();
    let loads = endpoints.own_loads().map(|(id, load)| (endpoint_number(id), load));
    DaemonCounters {
        accounts: accounts.collect(),
        windows: newest_windows(context.usage.borrow().own().clone()),
        services: endpoints.own_services().clone(),
        loads: loads.collect(),
        rollouts: context.rollouts.borrow().own_counts().clone(),
    }
}

/// Sums over this daemon's group, including itself.
fn group_sums(context: &GatewayContext) -> DaemonCounters {
    let endpoints = context.endpoints.borrow();
    DaemonCounters {
        accounts: context.quotas.borrow().group_counters().collect(),
        windows: newest_windows(context.usage.borrow().group_totals()),
        services: endpoints.group_services(),
        loads: endpoints.group_loads(boot_clock::now()),
        rollouts: context.rollouts.borrow().group_counts(),
    }
}

fn relayed_usage(context: &GatewayContext) -> Vec<RelayedUsage> {
    let usage = context.usage.borrow();
    let reported = usage.reported_in_group().map(|(incarnation, windows)| RelayedUsage {
        incarnation,
        windows: newest_windows(windows.clone()),
    });
    reported.collect()
}

fn newest_windows(mut windows: BTreeMap<u64, WindowCounts>) -> BTreeMap<u64, WindowCounts> {
    while windows.len() > REPORTED_WINDOWS {
        windows.pop_first();
    }
    windows
}
