//! Gossip messages, written to and read from the schema.
//!
//! A message that is malformed or whose lists are too long is an error.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use capnp::{Error, struct_list};

use super::{
    codec_values::{check_length, read_address, read_text},
    counters_codec::{self, read_counters, write_counters},
    messages::{
        ConfigurationSummary, DaemonCounters, DaemonState, GossipMessage, LeaseSummary,
        PeerSummary, RelayedUsage, RequestedParts, SentText, TextRequest,
    },
};
use crate::{
    exchange_capnp::{
        daemon_state, endpoint_entry, gossip_message, lease_summary, peer_summary, relayed_usage,
    },
    gateway::endpoint::{EndpointList, EndpointRecord, EndpointState},
    ids::IncarnationId,
};

/// Writes a message.
pub fn write_message(mut target: gossip_message::Builder<'_>, source: &GossipMessage) {
    write_state(target.reborrow().init_state(), &source.state);
    let known = target.reborrow().init_known(source.known.len() as u32);
    write_summaries(known, &source.known);
    target.set_wants_group(source.wants.group);
    write_text_request(target.reborrow(), source.wants.configuration.as_ref());
    target.set_wants_endpoints(source.wants.endpoints);
    target.set_wants_usage(source.wants.usage);
    let usage = target.reborrow().init_usage(source.usage.len() as u32);
    write_relayed_usage(usage, &source.usage);
    if let Some(group) = &source.group {
        target.set_has_group(true);
        write_counters!(target.reborrow().init_group(), group);
    }
    write_configuration(target.reborrow(), &source.configuration);
    target.set_endpoint_revision(source.endpoint_revision);
    if let Some(list) = &source.endpoints {
        target.set_has_endpoints(true);
        let entries = target.reborrow().init_endpoints(list.endpoints.len() as u32);
        write_endpoints(entries, list);
    }
    if let Some(lease) = &source.lease {
        write_lease(target.init_lease(), lease);
    }
}

fn write_text_request(mut target: gossip_message::Builder<'_>, request: Option<&TextRequest>) {
    let Some(request) = request else { return };
    target.set_wants_configuration(true);
    target.set_accepts_compressed(request.accepts_compressed);
    let mut bases = target.init_text_bases(request.bases.len() as u32);
    for (index, revision) in request.bases.iter().enumerate() {
        bases.set(index as u32, *revision);
    }
}

fn write_state(mut target: daemon_state::Builder<'_>, source: &DaemonState) {
    target.set_incarnation(source.incarnation.0);
    target.set_name(&*source.name);
    target.set_zone(&*source.zone);
    target.set_address(source.address.to_string());
    target.set_sequence(source.sequence);
    target.set_leaving(source.leaving);
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
        entry.set_age_ms(u32::try_from(summary.age.as_millis()).unwrap_or(u32::MAX));
    }
}

fn write_relayed_usage(
    mut target: struct_list::Builder<'_, relayed_usage::Owned>,
    usage: &[RelayedUsage],
) {
    for (index, relayed) in usage.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_incarnation(relayed.incarnation.0);
        let names = counters_codec::window_names(&relayed.windows);
        counters_codec::write_names(entry.reborrow().init_accounts(names.len() as u32), &names);
        let windows = entry.init_windows(relayed.windows.len() as u32);
        counters_codec::write_windows(windows, &names, &relayed.windows);
    }
}

fn write_configuration(mut target: gossip_message::Builder<'_>, source: &ConfigurationSummary) {
    target.set_configuration(source.revision);
    match &source.text {
        None => {}
        Some(SentText::Plain(text)) => target.set_configuration_text(text),
        Some(SentText::Compressed { base, data }) => {
            target.set_compressed_text(data);
            target.set_text_base(*base);
        }
    }
    if let Some(age) = source.proof_age_ms {
        target.set_has_proof(true);
        target.set_proof_age_ms(age);
    }
}

fn write_endpoints(
    mut target: struct_list::Builder<'_, endpoint_entry::Owned>,
    list: &EndpointList,
) {
    for (index, record) in list.endpoints.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_id(&*record.id);
        entry.set_service(&*record.service);
        entry.set_address(record.address.to_string());
        entry.set_zone(&*record.zone);
        entry.set_slots(record.slots);
        entry.set_draining(record.state == EndpointState::Draining);
        entry.set_reclaimable(record.reclaimable);
    }
}

fn write_lease(mut target: lease_summary::Builder<'_>, source: &LeaseSummary) {
    target.set_fence(source.fence);
    target.set_holder(&*source.holder);
    target.set_renewals(source.renewals);
    target.set_age_ms(source.age_ms);
    target.set_daemons(u32::try_from(source.daemons).unwrap_or(u32::MAX));
}

/// Reads a message.
///
/// # Errors
///
/// The message is malformed or one of its lists is too long.
pub fn read_message(source: gossip_message::Reader<'_>) -> Result<GossipMessage, Error> {
    let known = source.get_known()?;
    check_length(known.len())?;
    let known = known.iter().map(read_summary).collect::<Result<_, Error>>()?;
    let endpoint_revision = source.get_endpoint_revision();
    let endpoints = match source.get_has_endpoints() {
        true => Some(read_endpoints(source, endpoint_revision)?),
        false => None,
    };
    let group = match source.get_has_group() {
        true => Some(read_counters!(source.get_group()?)),
        false => None,
    };
    Ok(GossipMessage {
        state: read_state(source.get_state()?)?,
        known,
        configuration: read_configuration(source)?,
        endpoint_revision,
        endpoints,
        lease: read_lease(source.get_lease()?)?,
        wants: RequestedParts {
            group: source.get_wants_group(),
            configuration: read_text_request(source)?,
            endpoints: source.get_wants_endpoints(),
            usage: source.get_wants_usage(),
        },
        group,
        usage: read_relayed_usage(source)?,
    })
}

fn read_state(source: daemon_state::Reader<'_>) -> Result<DaemonState, Error> {
    Ok(DaemonState {
        incarnation: IncarnationId(source.get_incarnation()),
        name: read_text(source.get_name()?)?,
        zone: read_text(source.get_zone()?)?,
        address: read_address(source.get_address()?)?,
        sequence: source.get_sequence(),
        leaving: source.get_leaving(),
        counters: read_counters!(source),
    })
}

fn read_summary(source: peer_summary::Reader<'_>) -> Result<PeerSummary, Error> {
    Ok(PeerSummary {
        address: read_address(source.get_address()?)?,
        incarnation: IncarnationId(source.get_incarnation()),
        age: Duration::from_millis(u64::from(source.get_age_ms())),
    })
}

fn read_relayed_usage(source: gossip_message::Reader<'_>) -> Result<Vec<RelayedUsage>, Error> {
    let uses = source.get_usage()?;
    check_length(uses.len())?;
    let read = |entry: relayed_usage::Reader<'_>| -> Result<RelayedUsage, Error> {
        let names = counters_codec::read_names(entry.get_accounts()?)?;
        let windows = counters_codec::read_windows(&names, entry.get_windows()?)?;
        Ok(RelayedUsage { incarnation: IncarnationId(entry.get_incarnation()), windows })
    };
    uses.iter().map(read).collect()
}

fn read_text_request(source: gossip_message::Reader<'_>) -> Result<Option<TextRequest>, Error> {
    if !source.get_wants_configuration() {
        return Ok(None);
    }
    let bases = source.get_text_bases()?;
    check_length(bases.len())?;
    let accepts_compressed = source.get_accepts_compressed();
    Ok(Some(TextRequest { accepts_compressed, bases: bases.iter().collect() }))
}

fn read_sent_text(source: gossip_message::Reader<'_>) -> Result<Option<SentText>, Error> {
    let (text, data) = (source.get_configuration_text()?, source.get_compressed_text()?);
    if !data.is_empty() {
        let (base, data) = (source.get_text_base(), Bytes::copy_from_slice(data));
        return Ok(Some(SentText::Compressed { base, data }));
    }
    Ok((!text.is_empty()).then(|| SentText::Plain(Bytes::copy_from_slice(text))))
}

fn read_configuration(source: gossip_message::Reader<'_>) -> Result<ConfigurationSummary, Error> {
    Ok(ConfigurationSummary {
        revision: source.get_configuration(),
        text: read_sent_text(source)?,
        proof_age_ms: source.get_has_proof().then(|| source.get_proof_age_ms()),
    })
}

fn read_endpoints(
    source: gossip_message::Reader<'_>,
    revision: u64,
) -> Result<EndpointList, Error> {
    let entries = source.get_endpoints()?;
    check_length(entries.len())?;
    let endpoints = entries.iter().map(read_endpoint).collect::<Result<_, Error>>()?;
    Ok(EndpointList { revision, endpoints })
}

fn read_endpoint(source: endpoint_entry::Reader<'_>) -> Result<Rc<EndpointRecord>, Error> {
    let state = match source.get_draining() {
        true => EndpointState::Draining,
        false => EndpointState::Ready,
    };
    Ok(Rc::new(EndpointRecord {
        id: read_text(source.get_id()?)?,
        service: read_text(source.get_service()?)?,
        address: read_address(source.get_address()?)?,
        zone: read_text(source.get_zone()?)?,
        slots: source.get_slots(),
        state,
        reclaimable: source.get_reclaimable(),
    }))
}

/// Fences begin at 1; a fence of 0 means that no lease is known.
fn read_lease(source: lease_summary::Reader<'_>) -> Result<Option<LeaseSummary>, Error> {
    match source.get_fence() {
        0 => Ok(None),
        fence => Ok(Some(LeaseSummary {
            fence,
            holder: read_text(source.get_holder()?)?,
            renewals: source.get_renewals(),
            age_ms: source.get_age_ms(),
            daemons: source.get_daemons() as usize,
        })),
    }
}
