//! Converts between typed messages and Cap'n Proto. All input from peers is validated here: names,
//! lengths of lists, sizes of digests.

use std::sync::Arc;

use capnp::Error;

use super::LocalIdentity;
use crate::{
    ids::{IncarnationId, RequestName, SharedName},
    native::{
        cluster::{
            items::{ItemKey, ItemKind, SpreadItem},
            members::MemberRecord,
        },
        options::check::is_name,
        request::{
            copy::{RequestCopy, RequestHolder},
            tickets::ConsentVerdict,
        },
    },
    peer_capnp::{self, ConsentVerdict as WireVerdict, hello},
};

/// Most items, versions, copies or tokens accepted in one message: bounds the memory that a faulty
/// peer can make this process use.
const LIST_LIMIT: u32 = 65_536;

fn failed(what: &str) -> Error {
    Error::failed(format!("malformed {what}"))
}

/// Reads a name and checks that it is allowed.
pub fn read_name(text: capnp::text::Reader<'_>) -> Result<SharedName, Error> {
    let text = text.to_str().map_err(|_| failed("name"))?;
    if is_name(text) { Ok(text.into()) } else { Err(failed("name")) }
}

fn read_kind(kind: peer_capnp::ItemKind) -> ItemKind {
    match kind {
        peer_capnp::ItemKind::Row => ItemKind::Row,
        peer_capnp::ItemKind::Vm => ItemKind::Vm,
        peer_capnp::ItemKind::Notice => ItemKind::Notice,
        peer_capnp::ItemKind::Member => ItemKind::Member,
    }
}

fn write_kind(kind: ItemKind) -> peer_capnp::ItemKind {
    match kind {
        ItemKind::Row => peer_capnp::ItemKind::Row,
        ItemKind::Vm => peer_capnp::ItemKind::Vm,
        ItemKind::Notice => peer_capnp::ItemKind::Notice,
        ItemKind::Member => peer_capnp::ItemKind::Member,
    }
}

/// Reads a list of items.
pub fn read_items(
    list: capnp::struct_list::Reader<'_, peer_capnp::item::Owned>,
) -> Result<Vec<SpreadItem>, Error> {
    if list.len() > LIST_LIMIT {
        return Err(failed("item list"));
    }
    let read = |item: peer_capnp::item::Reader<'_>| {
        let key = ItemKey { kind: read_kind(item.get_kind()?), name: read_name(item.get_name()?)? };
        let value = if item.get_deleted() { None } else { Some(item.get_value()?.into()) };
        Ok(SpreadItem { key, version: item.get_version(), value })
    };
    list.iter().map(read).collect()
}

/// Writes a list of items.
pub fn write_items(
    mut list: capnp::struct_list::Builder<'_, peer_capnp::item::Owned>,
    items: &[SpreadItem],
) {
    for (index, item) in items.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_kind(write_kind(item.key.kind));
        builder.set_name(&*item.key.name);
        builder.set_version(item.version);
        builder.set_deleted(item.value.is_none());
        if let Some(value) = &item.value {
            builder.set_value(value);
        }
    }
}

/// Reads a list of item versions.
pub fn read_versions(
    list: capnp::struct_list::Reader<'_, peer_capnp::item_version::Owned>,
) -> Result<Vec<(ItemKey, u64)>, Error> {
    if list.len() > LIST_LIMIT {
        return Err(failed("version list"));
    }
    let read = |entry: peer_capnp::item_version::Reader<'_>| {
        let name = read_name(entry.get_name()?)?;
        let key = ItemKey { kind: read_kind(entry.get_kind()?), name };
        Ok((key, entry.get_version()))
    };
    list.iter().map(read).collect()
}

/// Writes a list of item versions.
pub fn write_versions(
    mut list: capnp::struct_list::Builder<'_, peer_capnp::item_version::Owned>,
    versions: &[(ItemKey, u64)],
) {
    for (index, (key, version)) in versions.iter().enumerate() {
        let mut builder = list.reborrow().get(index as u32);
        builder.set_kind(write_kind(key.kind));
        builder.set_name(&*key.name);
        builder.set_version(*version);
    }
}

/// Reads a request's name.
pub fn read_request_name(name: peer_capnp::request_name::Reader<'_>) -> Result<RequestName, Error> {
    Ok(RequestName::new(read_name(name.get_account()?)?, read_name(name.get_key()?)?))
}

/// Writes a request's name.
pub fn write_request_name(mut builder: peer_capnp::request_name::Builder<'_>, name: &RequestName) {
    builder.set_account(&*name.account);
    builder.set_key(&*name.key);
}

/// Reads JSON; empty data is `None`.
pub fn read_json<T: serde::de::DeserializeOwned>(
    data: capnp::data::Reader<'_>,
    what: &str,
) -> Result<Option<T>, Error> {
    if data.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(data).map(Some).map_err(|_| failed(what))
}

/// Encodes a value as JSON.
pub fn to_json(value: &impl serde::Serialize) -> Vec<u8> {
    // Cannot fail: the types sent have only text, numbers and lists. Readers take empty data as
    // no value.
    serde_json::to_vec(value).unwrap_or_default()
}

/// Reads a digest; copies that only append tokens have none.
fn read_digest(data: capnp::data::Reader<'_>) -> Result<Option<[u8; 32]>, Error> {
    if data.is_empty() {
        return Ok(None);
    }
    data.try_into().map(Some).map_err(|_| failed("digest"))
}

/// Reads a request copy.
pub fn read_copy(copy: peer_capnp::request_copy::Reader<'_>) -> Result<RequestCopy, Error> {
    let tokens = copy.get_tokens()?;
    if tokens.len() > LIST_LIMIT {
        return Err(failed("token list"));
    }
    let read_token = |token: Result<capnp::text::Reader<'_>, Error>| {
        Ok::<Arc<str>, Error>(token?.to_str().map_err(|_| failed("token"))?.into())
    };
    let holder_address = copy.get_holder_address()?.to_str().map_err(|_| failed("address"))?;
    Ok(RequestCopy {
        name: read_request_name(copy.get_name()?)?,
        takeovers: copy.get_term(),
        holder: RequestHolder {
            incarnation: IncarnationId(copy.get_holder()),
            address: holder_address.into(),
        },
        digest: read_digest(copy.get_digest()?)?,
        call: None,
        first_token: copy.get_first_token() as usize,
        tokens: tokens.iter().map(read_token).collect::<Result<_, _>>()?,
        response: read_json(copy.get_final()?, "final answer")?,
    })
}

/// Writes a request copy.
pub fn write_copy(mut builder: peer_capnp::request_copy::Builder<'_>, copy: &RequestCopy) {
    write_request_name(builder.reborrow().init_name(), &copy.name);
    builder.set_term(copy.takeovers);
    builder.set_holder(copy.holder.incarnation.0);
    builder.set_first_token(copy.first_token as u32);
    // A peer that gets appended tokens already has the request's address and digest.
    if copy.first_token == 0 {
        builder.set_holder_address(&*copy.holder.address);
        if let Some(digest) = &copy.digest {
            builder.set_digest(digest);
        }
    }
    if let Some(response) = &copy.response {
        builder.set_final(&to_json(response));
    }
    let mut tokens = builder.init_tokens(copy.tokens.len() as u32);
    for (index, token) in copy.tokens.iter().enumerate() {
        tokens.set(index as u32, &**token);
    }
}

/// Writes the hello of `identity`.
pub fn write_hello(mut builder: hello::Builder<'_>, identity: &LocalIdentity) {
    builder.set_deployment(&*identity.deployment);
    builder.set_version(identity.version);
    builder.set_incarnation(identity.incarnation.0);
    builder.set_address(&*identity.address);
    builder.set_zone(&*identity.zone);
}

/// Reads the sender's address and zone from its hello.
pub fn read_record(hello: hello::Reader<'_>) -> Result<MemberRecord, Error> {
    Ok(MemberRecord {
        address: read_name(hello.get_address()?)?,
        zone: read_name(hello.get_zone()?)?,
        leaving: false,
    })
}

/// Reads a verdict on consent.
pub fn read_verdict(verdict: WireVerdict) -> ConsentVerdict {
    match verdict {
        WireVerdict::Granted => ConsentVerdict::Granted,
        WireVerdict::Sealed => ConsentVerdict::Sealed,
        WireVerdict::AlreadyGranted => ConsentVerdict::AlreadyGranted,
    }
}

/// Writes a verdict on consent.
pub fn write_verdict(verdict: ConsentVerdict) -> WireVerdict {
    match verdict {
        ConsentVerdict::Granted => WireVerdict::Granted,
        ConsentVerdict::Sealed => WireVerdict::Sealed,
        ConsentVerdict::AlreadyGranted => WireVerdict::AlreadyGranted,
    }
}

/// Reads demand values, which must be finite and not negative.
pub fn read_values(values: capnp::primitive_list::Reader<'_, f32>) -> Result<Vec<f32>, Error> {
    let sound = |value: &f32| value.is_finite() && *value >= 0.0;
    let values: Vec<f32> = values.iter().collect();
    if values.iter().all(sound) { Ok(values) } else { Err(Error::failed("malformed value".into())) }
}
