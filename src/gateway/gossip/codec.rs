//! Converts gossip messages to and from their Cap'n Proto form (schema/exchange.capnp).
//!
//! Malformed messages and messages with overlong lists are rejected.

mod brittle;
mod counters;
mod crashes;
pub mod endpoint_list;
mod forwarder;
mod limits;
mod requested_parts;
mod rollouts;
mod values;
mod warnings;

use bytes::Bytes;
use capnp::{Error, struct_list};

use self::{
    brittle::{read_brittle, write_brittle},
    counters::{read_counters, write_counters},
    crashes::{read_crashes, write_crashes},
    forwarder::{read_forwarder, write_forwarder},
    limits::{read_lent, read_limits, write_lent, write_limits},
    requested_parts::{read_wants, write_wants},
    rollouts::{read_rollouts, write_rollouts},
    values::{check_length, from_ms, read_address, read_position, read_text, to_ms},
    warnings::{read_warnings, write_warnings},
};
use super::messages::{
    CompressedText, ConfigurationSummary, DaemonCounters, DaemonState, GossipMessage, LeaseSummary,
    PeerSummary, RelayedUsage, SentEndpoints, SentText,
};
use crate::{
    exchange_capnp::{
        compressed_text, daemon_state, gossip_message, lease_summary, peer_summary, relayed_usage,
    },
    gateway::policy::daemon::held_texts::TextId,
    ids::IncarnationId,
    store_position::StorePosition,
};

/// Encodes a message.
pub fn write_message(mut target: gossip_message::Builder<'_>, source: &GossipMessage) {
    write_state(target.reborrow().init_state(), &source.state);
    let known = target.reborrow().init_known(source.known.len() as u32);
    write_summaries(known, &source.known);
    target.set_starting(source.is_starting);
    write_wants(target.reborrow(), &source.wants);
    let usage = target.reborrow().init_usage(source.usage.len() as u32);
    write_relayed_usage(usage, &source.usage);
    let crashes = target.reborrow().init_crashes(source.crashes.len() as u32);
    write_crashes(crashes, &source.crashes);
    let part_crashes = target.reborrow().init_part_crashes(source.part_crashes.len() as u32);
    write_crashes(part_crashes, &source.part_crashes);
    let warnings = target.reborrow().init_warnings(source.warnings.len() as u32);
    write_warnings(warnings, &source.warnings);
    let limits = target.reborrow().init_limits(source.limits.len() as u32);
    write_limits(limits, &source.limits);
    let lent = target.reborrow().init_lent(source.lent.len() as u32);
    write_lent(lent, &source.lent);
    let rollouts = target.reborrow().init_rollouts(source.rollouts.len() as u32);
    write_rollouts(rollouts, &source.rollouts);
    let brittle = target.reborrow().init_brittle(source.brittle.len() as u32);
    write_brittle(brittle, &source.brittle);
    if let Some(group) = &source.group {
        target.set_has_group(true);
        write_counters!(target.reborrow().init_group(), group);
    }
    write_configuration(target.reborrow(), &source.configuration);
    target.set_endpoint_revision(source.endpoint_position.revision());
    target.set_endpoint_era(source.endpoint_position.era().0);
    if let Some(endpoints) = &source.endpoints {
        write_endpoints(target.reborrow(), endpoints);
    }
    if let Some(lease) = &source.lease {
        write_lease(target.init_lease(), lease);
    }
}

fn write_endpoints(mut target: gossip_message::Builder<'_>, source: &SentEndpoints) {
    match source {
        SentEndpoints::Listed(list) => {
            target.set_has_endpoints(true);
            let entries = target.init_endpoints(list.endpoints.len() as u32);
            endpoint_list::write_entries(entries, list);
        }
        SentEndpoints::Compressed(text) => {
            write_compressed(target.init_compressed_endpoints(), text);
        }
    }
}

fn write_compressed(mut target: compressed_text::Builder<'_>, text: &CompressedText) {
    target.set_base(text.base.0);
    target.set_data(&text.data);
}

fn write_state(mut target: daemon_state::Builder<'_>, source: &DaemonState) {
    target.set_incarnation(source.incarnation.0);
    target.set_name(&*source.name);
    target.set_zone(&*source.zone);
    target.set_address(source.address.to_string());
    target.set_sequence(source.sequence);
    target.set_leaving(source.leaving);
    if let Some(forwarder) = &source.forwarder {
        write_forwarder(&mut target, forwarder);
    }
    write_counters!(target, &source.counters);
}

fn write_summaries(
    mut target: struct_list::Builder<'_, peer_summary::Owned>,
    summaries: &[PeerSummary],
) {
    for (index, summary) in summaries.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_address(summary.address.to_string());
        entry.set_incarnation(summary.incarnation.0);
        entry.set_age_ms(to_ms(summary.age));
    }
}

fn write_relayed_usage(
    mut target: struct_list::Builder<'_, relayed_usage::Owned>,
    usage: &[RelayedUsage],
) {
    for (index, relayed) in usage.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_incarnation(relayed.incarnation.0);
        let names = counters::window_names(&relayed.windows);
        counters::write_names(entry.reborrow().init_accounts(names.len() as u32), &names);
        let windows = entry.init_windows(relayed.windows.len() as u32);
        counters::write_windows(windows, &names, &relayed.windows);
    }
}

fn write_configuration(mut target: gossip_message::Builder<'_>, source: &ConfigurationSummary) {
    target.set_configuration(source.position.revision());
    target.set_configuration_era(source.position.era().0);
    target.set_configuration_version(source.version);
    match &source.text {
        None => {}
        Some(SentText::Plain(text)) => target.set_configuration_text(text),
        Some(SentText::Compressed(text)) => {
            write_compressed(target.reborrow().init_compressed_configuration(), text);
        }
    }
    if let Some(age) = source.proof_age_ms {
        target.set_has_proof(true);
        target.set_proof_age_ms(age);
    }
}

fn write_lease(mut target: lease_summary::Builder<'_>, source: &LeaseSummary) {
    target.set_fence(source.fence);
    target.set_holder(&*source.holder);
    target.set_renewals(source.renewals);
    target.set_age_ms(source.age_ms);
    target.set_daemons(u32::try_from(source.daemons).unwrap_or(u32::MAX));
    target.set_next_window(source.next_window);
}

/// Decodes a message.
///
/// # Errors
///
/// Fails if the message is malformed or one of its lists is too long.
pub fn read_message(source: gossip_message::Reader<'_>) -> Result<GossipMessage, Error> {
    let known = source.get_known()?;
    check_length(known.len())?;
    let known = known.iter().map(read_summary).collect::<Result<_, Error>>()?;
    let group = match source.get_has_group() {
        true => Some(read_counters!(source.get_group()?)),
        false => None,
    };
    Ok(GossipMessage {
        state: read_state(source.get_state()?)?,
        is_starting: source.get_starting(),
        known,
        configuration: read_configuration(source)?,
        endpoint_position: read_endpoint_position(source),
        endpoints: read_endpoints(source)?,
        lease: read_lease(source.get_lease()?)?,
        wants: read_wants(source)?,
        group,
        usage: read_relayed_usage(source)?,
        crashes: read_crashes(source.get_crashes()?)?,
        part_crashes: read_crashes(source.get_part_crashes()?)?,
        warnings: read_warnings(source.get_warnings()?)?,
        limits: read_limits(source.get_limits()?)?,
        lent: read_lent(source.get_lent()?)?,
        rollouts: read_rollouts(source.get_rollouts()?)?,
        brittle: read_brittle(source.get_brittle()?)?,
    })
}

fn read_state(source: daemon_state::Reader<'_>) -> Result<DaemonState, Error> {
    let address = read_address(source.get_address()?)?;
    Ok(DaemonState {
        incarnation: IncarnationId(source.get_incarnation()),
        name: read_text(source.get_name()?)?,
        zone: read_text(source.get_zone()?)?,
        address,
        sequence: source.get_sequence(),
        leaving: source.get_leaving(),
        forwarder: read_forwarder(source, address),
        counters: read_counters!(source),
    })
}

fn read_summary(source: peer_summary::Reader<'_>) -> Result<PeerSummary, Error> {
    Ok(PeerSummary {
        address: read_address(source.get_address()?)?,
        incarnation: IncarnationId(source.get_incarnation()),
        age: from_ms(source.get_age_ms()),
    })
}

fn read_relayed_usage(source: gossip_message::Reader<'_>) -> Result<Vec<RelayedUsage>, Error> {
    let usage = source.get_usage()?;
    check_length(usage.len())?;
    let read = |entry: relayed_usage::Reader<'_>| -> Result<RelayedUsage, Error> {
        let names = counters::read_names(entry.get_accounts()?)?;
        let windows = counters::read_windows(&names, entry.get_windows()?)?;
        Ok(RelayedUsage { incarnation: IncarnationId(entry.get_incarnation()), windows })
    };
    usage.iter().map(read).collect()
}

fn read_compressed(source: compressed_text::Reader<'_>) -> Result<CompressedText, Error> {
    let data = Bytes::copy_from_slice(source.get_data()?);
    Ok(CompressedText { base: TextId(source.get_base()), data })
}

fn read_sent_text(source: gossip_message::Reader<'_>) -> Result<Option<SentText>, Error> {
    if source.has_compressed_configuration() {
        let text = read_compressed(source.get_compressed_configuration()?)?;
        return Ok(Some(SentText::Compressed(text)));
    }
    let text = source.get_configuration_text()?;
    Ok((!text.is_empty()).then(|| SentText::Plain(Bytes::copy_from_slice(text))))
}

fn read_endpoint_position(source: gossip_message::Reader<'_>) -> StorePosition {
    read_position(source.get_endpoint_era(), source.get_endpoint_revision())
}

fn read_endpoints(source: gossip_message::Reader<'_>) -> Result<Option<SentEndpoints>, Error> {
    if source.has_compressed_endpoints() {
        let text = read_compressed(source.get_compressed_endpoints()?)?;
        return Ok(Some(SentEndpoints::Compressed(text)));
    }
    if !source.get_has_endpoints() {
        return Ok(None);
    }
    let position = read_endpoint_position(source);
    let list = endpoint_list::read_entries(position, source.get_endpoints()?)?;
    Ok(Some(SentEndpoints::Listed(list)))
}

fn read_configuration(source: gossip_message::Reader<'_>) -> Result<ConfigurationSummary, Error> {
    Ok(ConfigurationSummary {
        version: source.get_configuration_version(),
        position: read_position(source.get_configuration_era(), source.get_configuration()),
        text: read_sent_text(source)?,
        proof_age_ms: source.get_has_proof().then(|| source.get_proof_age_ms()),
    })
}

/// Fencing tokens begin at 1; 0 means that no lease is known.
fn read_lease(source: lease_summary::Reader<'_>) -> Result<Option<LeaseSummary>, Error> {
    match source.get_fence() {
        0 => Ok(None),
        fence => Ok(Some(LeaseSummary {
            fence,
            holder: read_text(source.get_holder()?)?,
            renewals: source.get_renewals(),
            age_ms: source.get_age_ms(),
            daemons: source.get_daemons() as usize,
            next_window: source.get_next_window(),
        })),
    }
}
