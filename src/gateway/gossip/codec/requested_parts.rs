//! Encodes and decodes which parts a response should hold.

use capnp::{Error, primitive_list};

use super::values::check_length;
use crate::{
    exchange_capnp::gossip_message,
    gateway::{
        gossip::messages::{RequestedParts, TextRequest},
        policy::daemon::held_texts::TextId,
    },
};

/// Encodes the parts that the response should hold.
pub fn write_wants(mut target: gossip_message::Builder<'_>, wants: &RequestedParts) {
    target.set_wants_group(wants.group);
    target.set_wants_usage(wants.usage);
    target.set_wants_tokens(wants.tokens);
    let requests = wants.configuration.iter().chain(&wants.endpoints);
    target.set_accepts_compressed(requests.clone().any(|request| request.accepts_compressed));
    if let Some(request) = &wants.configuration {
        target.set_wants_configuration(true);
        let bases = target.reborrow().init_configuration_bases(request.bases.len() as u32);
        write_text_ids(bases, &request.bases);
    }
    if let Some(request) = &wants.endpoints {
        target.set_wants_endpoints(true);
        let bases = target.reborrow().init_endpoint_bases(request.bases.len() as u32);
        write_text_ids(bases, &request.bases);
    }
}

fn write_text_ids(mut target: primitive_list::Builder<'_, u64>, ids: &[TextId]) {
    for (index, id) in ids.iter().enumerate() {
        target.set(index as u32, id.0);
    }
}

/// Decodes the parts that the response should hold.
///
/// # Errors
///
/// Fails if a list is too long.
pub fn read_wants(source: gossip_message::Reader<'_>) -> Result<RequestedParts, Error> {
    let accepts_compressed = source.get_accepts_compressed();
    let request = |bases: primitive_list::Reader<'_, u64>| -> Result<TextRequest, Error> {
        check_length(bases.len())?;
        Ok(TextRequest { accepts_compressed, bases: bases.iter().map(TextId).collect() })
    };
    let configuration = match source.get_wants_configuration() {
        true => Some(request(source.get_configuration_bases()?)?),
        false => None,
    };
    let endpoints = match source.get_wants_endpoints() {
        true => Some(request(source.get_endpoint_bases()?)?),
        false => None,
    };
    Ok(RequestedParts {
        group: source.get_wants_group(),
        configuration,
        endpoints,
        usage: source.get_wants_usage(),
        tokens: source.get_wants_tokens(),
    })
}
