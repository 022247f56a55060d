//! Encodes and decodes bodies of calls to the store: objects, pages of lists, changes.

use std::borrow::Cow;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use super::{ObjectChange, StoredObject};
use crate::{
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

#[derive(Deserialize)]
struct ObjectBody<'a> {
    #[serde(borrow)]
    metadata: Metadata<'a>,
    #[serde(borrow, default)]
    spec: Option<&'a RawValue>,
    #[serde(borrow, default)]
    status: Option<&'a RawValue>,
}

/// The store sends further fields (`finalizers`, `deleting`), which the gateway does not need.
#[derive(Deserialize)]
struct Metadata<'a> {
    name: SharedName,
    #[serde(default)]
    revision: u64,
    #[serde(borrow, default)]
    made: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    more: bool,
    /// Revision of the store at the time of the page.
    at: u64,
}

/// An object of which only the name is needed.
#[derive(Deserialize)]
struct NamedItem<'a> {
    #[serde(borrow)]
    metadata: NameField<'a>,
}

#[derive(Deserialize)]
struct NameField<'a> {
    /// Bytes, since JSON may escape half of a surrogate pair, which is no text.
    #[serde(borrow)]
    name: Cow<'a, [u8]>,
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// Revision from which to watch next.
    at: u64,
}

#[derive(Deserialize)]
struct EventBody<'a> {
    #[serde(borrow)]
    object: ObjectBody<'a>,
    #[serde(default)]
    gone: bool,
}

/// Body of a write.
#[derive(Serialize)]
pub struct NewObject<'a, T> {
    metadata: NewMetadata<'a>,
    spec: &'a T,
}

#[derive(Serialize)]
struct NewMetadata<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
}

impl<'a, T> NewObject<'a, T> {
    /// Body that writes `value` to the object `name`; if `revision` is given, only an object of that
    /// revision is replaced.
    pub fn new(name: &'a str, revision: Option<u64>, value: &'a T) -> Self {
        Self { metadata: NewMetadata { name, revision }, spec: value }
    }
}

impl ObjectBody<'_> {
    fn into_object(self, era: StoreEra) -> StoredObject {
        let text = |part: Option<&RawValue>| part.map_or("null", RawValue::get).into();
        let Metadata { name, revision, made } = self.metadata;
        StoredObject {
            name,
            position: StorePosition::new(era, revision),
            made: text(made),
            value: text(self.spec),
            status: text(self.status),
        }
    }
}

/// Body of a write of an object's status.
#[derive(Serialize)]
pub struct NewStatus<'a, T> {
    metadata: NewMetadata<'a>,
    status: &'a T,
}

impl<'a, T> NewStatus<'a, T> {
    /// Body that replaces the status of the object `name` if it has this revision.
    pub fn new(name: &'a str, revision: u64, status: &'a T) -> Self {
        Self { metadata: NewMetadata { name, revision: Some(revision) }, status }
    }
}

/// Decodes one object, which the store sent in `era`.
pub fn decode_object(era: StoreEra, body: &[u8]) -> Result<StoredObject, serde_json::Error> {
    Ok(serde_json::from_slice::<ObjectBody<'_>>(body)?.into_object(era))
}

/// One page of a list.
#[derive(Clone, Debug)]
pub struct ObjectPage {
    /// Objects that could be decoded.
    pub objects: Vec<StoredObject>,
    /// Position of the store.
    pub position: StorePosition,
    /// Whether there are more pages.
    pub has_more: bool,
    /// Name of the last object that has one, also if the object could not be decoded. UTF-8, but for halves of
    /// surrogate pairs.
    pub last_name: Option<Box<[u8]>>,
}

/// Decodes one page of a list, which the store sent in `era`. Objects that can't be decoded are left out; the others
/// are returned.
///
/// # Errors
///
/// The page itself can't be decoded.
pub fn decode_page(era: StoreEra, body: &[u8]) -> Result<ObjectPage, serde_json::Error> {
    let text = readable_text(body);
    let page: ListBody<'_> = serde_json::from_str(&text)?;
    let last_name = page.items.iter().rev().find_map(|item| read_name(item));
    let objects = page.items.into_iter().filter_map(read_part::<ObjectBody<'_>>);
    Ok(ObjectPage {
        objects: objects.map(|object| object.into_object(era)).collect(),
        position: StorePosition::new(era, page.at),
        has_more: page.more,
        last_name,
    })
}

/// Name of an item; none if it has no name.
fn read_name(item: &RawValue) -> Option<Box<[u8]>> {
    let item: NamedItem<'_> = read_part(item)?;
    Some(item.metadata.name.into())
}

/// Decodes the response to a watch, which the store sent in `era`. Changes that can't be decoded are left
/// out.
///
/// # Errors
///
/// The response itself can't be decoded.
pub fn decode_watch(
    era: StoreEra,
    body: &[u8],
) -> Result<(Vec<ObjectChange>, StorePosition), serde_json::Error> {
    let text = readable_text(body);
    let response: WatchBody<'_> = serde_json::from_str(&text)?;
    let to_change = |event: EventBody<'_>| match event.gone {
        true => ObjectChange::Gone(event.object.metadata.name),
        false => ObjectChange::Written(event.object.into_object(era)),
    };
    let events = response.events.into_iter().filter_map(read_part::<EventBody<'_>>);
    Ok((events.map(to_change).collect(), StorePosition::new(era, response.at)))
}

/// The text of a body, with invalid UTF-8 replaced. Such bytes can only occur within the strings of an
/// object, so other objects are not affected.
fn readable_text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// Decodes a part of a body; none if that fails because it was written by another program.
fn read_part<'a, T: Deserialize<'a>>(part: &'a RawValue) -> Option<T> {
    serde_json::from_str(part.get()).ok()
}
