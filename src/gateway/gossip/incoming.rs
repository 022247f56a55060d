//! Applies messages of other daemons to the state of this one.
//!
//! Counters are accepted from daemons of this daemon's group for themselves, and from the
//! representative of another group for that group; everything else is accepted from any daemon.
//! Configurations, endpoint lists and leases are applied only if they are newer than what this
//! daemon holds. The response to a call can prove that keys are fresh, because it was sent after
//! the call was made. A message in a call of another daemon may have been delayed for any time and
//! proves nothing.

use std::{fmt::Display, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use tokio::time::Instant;

use super::{
    codec::endpoint_list,
    crash_reports::{apply_part_reports, apply_reports},
    endpoint_signals::{
        brittle::apply_brittle, divide_all, limits::apply_limits, warnings::apply_warnings,
    },
    messages::{
        CompressedText, ConfigurationSummary, DaemonCounters, DaemonState, GossipMessage,
        LeaseSummary, SentEndpoints, SentText,
    },
    outgoing::{PEER_SUMMARIES, held_versions},
    peer_record::PeerReport,
    report_source::ReportSource,
    rollouts::apply_rollouts,
};
use crate::gateway::{
    configuration_state::ConfigurationSource,
    context::GatewayContext,
    endpoint::{EndpointList, EndpointRecord},
    policy::{
        daemon::held_texts::HeldVersions, endpoint::endpoint_load::ReportedLoads,
        leader::leader_lease::LeaseRenewal,
    },
};
use crate::{boot_clock, store_position::StorePosition};

/// A daemon whose state has a lower sequence number than this has just started, so that all of its
/// quota units were spent recently. With 20 outgoing and as many incoming calls per second, it
/// reaches this number after about 5 s.
const JUST_STARTED_STATES: u64 = 200;

/// Applies a message. `called_at` is when this daemon made the call to which the message is the
/// response; `None` if the message is from a call of the other daemon.
pub fn apply_message(context: &GatewayContext, message: GossipMessage, called_at: Option<Instant>) {
    if message.state.incarnation == context.incarnation {
        return;
    }
    let now = boot_clock::now();
    apply_relayed_usage(context, &message);
    apply_reports(context, &message.crashes, now);
    apply_part_reports(context, &message.part_crashes, now);
    apply_warnings(context, &message.warnings, now);
    apply_limits(context, &message.limits, now);
    apply_brittle(context, &message.brittle, now);
    // Before the endpoints: a list may name those of a version that is being rolled out.
    apply_rollouts(context, message.rollouts, now);
    let GossipMessage { state, configuration, endpoint_position, endpoints, lease, .. } = message;
    let address = state.address;
    let is_newer = {
        let mut peers = context.peers.borrow_mut();
        for summary in message.known.iter().take(PEER_SUMMARIES) {
            peers.receive_summary(summary, now);
        }
        peers.receive_report(address, PeerReport::of(&state), now)
    };
    apply_counters(context, state, message.group, is_newer, now);
    let reported =
        HeldVersions { configuration: configuration.version, endpoints: endpoint_position };
    apply_configuration(context, address, &configuration, called_at);
    context.observe_endpoint_era(endpoint_position.era(), now);
    if let Some(sent) = endpoints {
        apply_endpoints(context, address, endpoint_position, sent);
    }
    let held = held_versions(context);
    context.catch_up.borrow_mut().receive(address, reported, held, now);
    if let Some(lease) = lease {
        apply_lease(context, &lease, now);
    }
}

/// Applies the counters of a daemon of this daemon's group, or the sums over the group that the
/// sender represents.
fn apply_counters(
    context: &GatewayContext,
    state: DaemonState,
    group: Option<DaemonCounters>,
    is_newer: bool,
    now: Instant,
) {
    let just_started = state.sequence < JUST_STARTED_STATES;
    let (in_own_group, represented_group) = {
        let peers = context.peers.borrow();
        let neighbours = peers.neighbours();
        (neighbours.in_own_group(&state.address), neighbours.represented_group(&state.address))
    };
    if is_newer && in_own_group {
        let source = ReportSource::Daemon(state.incarnation);
        receive_counters(context, source, state.counters, just_started, now);
    }
    if let (Some(group), Some(number)) = (group, represented_group) {
        let source = ReportSource::Group { number, representative: state.incarnation };
        receive_counters(context, source, group, just_started, now);
    }
}

/// Applies the usage of other daemons of this daemon's group that one of them passes on. Some of
/// those daemons may have reported their usage, and ended, before this daemon started.
fn apply_relayed_usage(context: &GatewayContext, message: &GossipMessage) {
    let in_own_group = context.peers.borrow().neighbours().in_own_group(&message.state.address);
    if !in_own_group {
        return;
    }
    let mut usage = context.usage.borrow_mut();
    for relayed in message.usage.iter().filter(|one| one.incarnation != context.incarnation) {
        for (window, counts) in &relayed.windows {
            usage.receive_relayed(relayed.incarnation, *window, counts);
        }
    }
}

fn receive_counters(
    context: &GatewayContext,
    source: ReportSource,
    counters: DaemonCounters,
    just_started: bool,
    now: Instant,
) {
    context.quotas.borrow_mut().receive(source, &counters.accounts, just_started, now);
    let mut usage = context.usage.borrow_mut();
    for (window, counts) in counters.windows {
        usage.receive(source, window, counts);
    }
    let loads = ReportedLoads { at: now, loads: counters.loads, services: counters.services };
    context.endpoints.borrow_mut().apply_report(source, loads);
    context.rollouts.borrow_mut().receive_counts(source, counters.rollouts, now);
}

fn apply_configuration(
    context: &GatewayContext,
    sender: SocketAddr,
    summary: &ConfigurationSummary,
    called_at: Option<Instant>,
) {
    let proof_age = summary.proof_age_ms.map(|age| Duration::from_millis(u64::from(age)));
    let proof = called_at.zip(proof_age).and_then(|(at, age)| at.checked_sub(age));
    if let Some(text) = read_text(context, sender, summary) {
        let source = ConfigurationSource::Peer(sender);
        context.apply_configuration(source, summary.position, text);
    }
    context.configuration.borrow_mut().confirm_version(summary.version, proof);
}

/// The uncompressed text of a configuration. `None` if it was not sent, can't be read, or is not
/// newer than the configuration that this daemon holds; the base of such a text may no longer be
/// kept.
fn read_text(
    context: &GatewayContext,
    sender: SocketAddr,
    summary: &ConfigurationSummary,
) -> Option<Bytes> {
    let sent = match summary.text.as_ref()? {
        _ if summary.version <= context.configuration.borrow().version() => return None,
        SentText::Plain(text) => return Some(text.clone()),
        SentText::Compressed(text) => text,
    };
    match context.configuration_texts.borrow_mut().read(sent) {
        Ok(text) => Some(text),
        Err(error) => {
            log_unreadable("configuration", &error, sent, sender);
            None
        }
    }
}

fn log_unreadable(what: &str, error: &impl Display, text: &CompressedText, sender: SocketAddr) {
    spdlog::warn!("text not read: {}", error, kv: { what, base = text.base.0, peer: = sender });
}

fn apply_endpoints(
    context: &GatewayContext,
    sender: SocketAddr,
    position: StorePosition,
    sent: SentEndpoints,
) {
    if position <= context.endpoint_list.borrow().position {
        return;
    }
    let list = match sent {
        SentEndpoints::Listed(list) => Some(list),
        SentEndpoints::Compressed(text) => read_endpoints(context, sender, position, &text),
    };
    let Some(mut list) = list else { return };
    let invalid = list.remove_invalid();
    if !invalid.is_empty() {
        log_invalid(context, &invalid, sender);
    }
    if context.apply_endpoints(list) {
        divide_all(context, boot_clock::now());
        spdlog::info!("endpoints", kv: {
            era: = position.era(), revision = position.revision(), source = "peer"
        });
    }
}

/// Entries that are not used, as `store_watch::foreign_entries` does for those read from the store.
fn log_invalid(context: &GatewayContext, invalid: &[Rc<EndpointRecord>], sender: SocketAddr) {
    context.metrics.count("foreign_entries_seen", invalid.len() as u64);
    let first = &invalid[0].id;
    spdlog::warn!("endpoint entries not used", kv: {
        peer: = sender, first:, count = invalid.len(), reason = "id or number of slots"
    });
}

fn read_endpoints(
    context: &GatewayContext,
    sender: SocketAddr,
    position: StorePosition,
    text: &CompressedText,
) -> Option<EndpointList> {
    let read = context.endpoint_texts.borrow_mut().read(text);
    let list = read.map_err(capnp::Error::from);
    match list.and_then(|list| endpoint_list::read_list(position, &list)) {
        Ok(list) => Some(list),
        Err(error) => {
            log_unreadable("endpoints", &error, text, sender);
            None
        }
    }
}

/// A renewal is at least as old as reported. If the message was late, the renewal looks younger
/// than it is, and a successor only waits longer for the lease.
fn apply_lease(context: &GatewayContext, lease: &LeaseSummary, now: Instant) {
    let is_newer = {
        let known = context.lease.borrow();
        !known.own && (lease.fence, lease.renewals) > (known.fence, known.renewals)
    };
    if lease.daemons > 0 && (is_newer || context.fleet_size.get().is_none()) {
        context.fleet_size.set(Some(lease.daemons));
    }
    context.lease.borrow_mut().advance_next_window(lease.next_window);
    let age = Duration::from_millis(u64::from(lease.age_ms));
    // A renewal from before the start of the clock says nothing about the present holder.
    if let Some(renewed_at) = now.checked_sub(age) {
        let LeaseSummary { fence, renewals, .. } = *lease;
        let holder = lease.holder.clone();
        let renewal = LeaseRenewal { fence, renewals, holder, renewed_at };
        context.lease.borrow_mut().observe(renewal);
    }
}
