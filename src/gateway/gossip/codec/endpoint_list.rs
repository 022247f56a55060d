//! Encodes and decodes the list of endpoints: entry by entry within a message, or as a separate
//! text that can be compressed against a former version.

use std::rc::Rc;

use bytes::Bytes;
use capnp::{Error, message, serialize, struct_list};

use super::values::{check_length, read_address, read_text};
use crate::{
    exchange_capnp::{endpoint_entry, endpoint_list_text},
    gateway::endpoint::{EndpointList, EndpointRecord, EndpointState},
    store_position::StorePosition,
};

/// Encodes a list as a text. Equal lists have equal texts.
pub fn write_text(list: &EndpointList) -> Bytes {
    let mut message = message::Builder::new_default();
    let root = message.init_root::<endpoint_list_text::Builder<'_>>();
    write_entries(root.init_entries(list.endpoints.len() as u32), list);
    serialize::write_message_to_words(&message).into()
}

/// Decodes the list, which was read at this store position, from its text.
///
/// # Errors
///
/// Fails if the text is malformed or the list is too long.
pub fn read_list(position: StorePosition, mut text: &[u8]) -> Result<EndpointList, Error> {
    let message = serialize::read_message(&mut text, message::ReaderOptions::new())?;
    let root = message.get_root::<endpoint_list_text::Reader<'_>>()?;
    read_entries(position, root.get_entries()?)
}

pub(super) fn write_entries(
    mut target: struct_list::Builder<'_, endpoint_entry::Owned>,
    list: &EndpointList,
) {
    for (index, record) in list.endpoints.iter().enumerate() {
        let mut entry = target.reborrow().get(index as u32);
        entry.set_id(&*record.id);
        entry.set_service(&*record.service);
        entry.set_address(record.address.to_string());
        entry.set_zone(&*record.zone);
        entry.set_version(&*record.version);
        entry.set_slots(record.slots);
        entry.set_draining(record.state == EndpointState::Draining);
        entry.set_reclaimable(record.reclaimable);
        entry.set_born(record.born);
    }
}

pub(super) fn read_entries(
    position: StorePosition,
    entries: struct_list::Reader<'_, endpoint_entry::Owned>,
) -> Result<EndpointList, Error> {
    check_length(entries.len())?;
    let endpoints = entries.iter().map(read_endpoint).collect::<Result<_, Error>>()?;
    Ok(EndpointList { position, endpoints })
}

fn read_endpoint(source: endpoint_entry::Reader<'_>) -> Result<Rc<EndpointRecord>, Error> {
    let state = match source.get_draining() {
        true => EndpointState::Draining,
        false => EndpointState::Ready,
    };
    Ok(Rc::new(EndpointRecord {
        id: read_text(source.get_id()?)?,
        born: source.get_born(),
        service: read_text(source.get_service()?)?,
        address: read_address(source.get_address()?)?,
        zone: read_text(source.get_zone()?)?,
        version: read_text(source.get_version()?)?,
        slots: source.get_slots(),
        state,
        reclaimable: source.get_reclaimable(),
    }))
}
