//! Calls to the platform's metadata store, as the gateway makes them.
//!
//! The store keeps JSON objects by kind and name. Each change raises one revision counter of
//! the whole store; an object carries the revision of its last change, and a write may be
//! made conditional on it. The native interface speaks another wire (`native::cloud_api`);
//! connections and errors are the same (`http::api_client`).

use std::{borrow::Cow, cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    errors::StepError,
    http::{
        api_client::{ApiClient, ApiResponse},
        client::OutgoingCall,
    },
    ids::SharedName,
    store_position::StoreEra,
};

/// Longest wait for a response that the store gives at once: a store fifty times as slow as usual
/// still responds within it.
const CALL_LIMIT: Duration = Duration::from_millis(1_200);
/// How much later than asked a waiting watch may respond; its connection then counts as silent. A
/// store fifty times as slow as usual responds within it.
const WATCH_MARGIN: Duration = Duration::from_millis(300);
/// Header of each response that names the store's era.
const ERA_HEADER: &str = "store-era";

/// One object with its revision.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: SharedName,
    /// Revision of its last change.
    pub revision: u64,
    /// Value, as JSON text.
    pub value: Box<str>,
}

/// All objects of a kind at one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct ObjectListing {
    /// Objects in the order of their names.
    pub objects: Vec<StoredObject>,
    /// Revision of the store; a watch goes on from here.
    pub revision: u64,
}

/// A change that a watch has seen.
#[derive(Clone, Debug)]
pub enum ObjectChange {
    /// The object was created or replaced.
    Written(StoredObject),
    /// The object is gone.
    Gone(SharedName),
}

/// What a watch has seen.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Changes, and the revision to go on from.
    Changes(Vec<ObjectChange>, u64),
    /// The history has been dropped: list again.
    HistoryGone,
}

/// Result of a conditional write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// Written; the object's new revision.
    Written(u64),
    /// The condition did not hold; nothing was done.
    Conflict,
}

#[derive(Deserialize)]
struct ObjectBody<'a> {
    metadata: Metadata,
    #[serde(borrow, default)]
    spec: Option<&'a RawValue>,
}

/// The store sends more (`made`, `finalizers`, `deleting`); the gateway needs none of it.
#[derive(Deserialize)]
struct Metadata {
    name: SharedName,
    #[serde(default)]
    revision: u64,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    #[serde(default)]
    more: bool,
    /// Revision of the store.
    at: u64,
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    #[serde(borrow)]
    events: Vec<&'a RawValue>,
    /// Revision to watch from next.
    at: u64,
}

#[derive(Deserialize)]
struct EventBody<'a> {
    #[serde(borrow)]
    object: ObjectBody<'a>,
    #[serde(default)]
    gone: bool,
}

#[derive(Serialize)]
struct NewObject<'a, T> {
    metadata: NewMetadata<'a>,
    spec: &'a T,
}

#[derive(Serialize)]
struct NewMetadata<'a> {
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    revision: Option<u64>,
}

impl ObjectBody<'_> {
    fn into_object(self) -> StoredObject {
        let value = self.spec.map_or("null", RawValue::get);
        let metadata = self.metadata;
        StoredObject { name: metadata.name, revision: metadata.revision, value: value.into() }
    }
}

/// Decodes one object.
pub fn decode_object(body: &[u8]) -> Result<StoredObject, serde_json::Error> {
    Ok(serde_json::from_slice::<ObjectBody<'_>>(body)?.into_object())
}

/// Decodes one page of a list: its objects, whether there are more, and the revision. An object that
/// can't be read is left out: the others hold.
///
/// # Errors
///
/// The page itself can't be read.
pub fn decode_page(body: &[u8]) -> Result<(ObjectListing, bool), serde_json::Error> {
    let text = readable_text(body);
    let page: ListBody<'_> = serde_json::from_str(&text)?;
    let objects = page.items.into_iter().filter_map(read_part::<ObjectBody<'_>>);
    let objects = objects.map(ObjectBody::into_object).collect();
    Ok((ObjectListing { objects, revision: page.at }, page.more))
}

/// Decodes the response to a watch; a change that can't be read is left out.
///
/// # Errors
///
/// The response itself can't be read.
pub fn decode_watch(body: &[u8]) -> Result<(Vec<ObjectChange>, u64), serde_json::Error> {
    let text = readable_text(body);
    let response: WatchBody<'_> = serde_json::from_str(&text)?;
    let to_change = |event: EventBody<'_>| match event.gone {
        true => ObjectChange::Gone(event.object.metadata.name),
        false => ObjectChange::Written(event.object.into_object()),
    };
    let events = response.events.into_iter().filter_map(read_part::<EventBody<'_>>);
    Ok((events.map(to_change).collect(), response.at))
}

/// The text of a body. Bytes that are no UTF-8 can only stand within an object's texts, and spoil
/// no other object.
fn readable_text(body: &[u8]) -> Cow<'_, str> {
    String::from_utf8_lossy(body)
}

/// A part of a body; none if another writer has made it and it can't be read.
fn read_part<'a, T: Deserialize<'a>>(part: &'a RawValue) -> Option<T> {
    serde_json::from_str(part.get()).ok()
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    api: ApiClient,
    /// Highest era that a response has named.
    era: Rc<Cell<StoreEra>>,
}

impl StoreClient {
    /// Client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { api: ApiClient::new(address), era: Rc::default() }
    }

    /// Opens new connections for further calls: those that are open may carry nothing any more.
    pub fn discard_connections(&self) {
        self.api.discard_connections();
    }

    /// Calls made since the start.
    pub fn calls(&self) -> u64 {
        self.api.calls()
    }

    /// Highest era of the store that a response has named.
    pub fn era(&self) -> StoreEra {
        self.era.get()
    }

    async fn fetch(&self, call: OutgoingCall, limit: Duration) -> Result<ApiResponse, StepError> {
        let response = self.api.fetch(call, limit).await?;
        let named = response.header(ERA_HEADER).and_then(|text| text.parse().ok());
        self.era.set(self.era.get().max(StoreEra(named.unwrap_or_default())));
        Ok(response)
    }

    /// Lists all objects of a kind, page by page, as of a moment after the call was made.
    pub async fn list(&self, kind: &str) -> Result<ObjectListing, StepError> {
        let mut listing = ObjectListing::default();
        loop {
            let last_name = listing.objects.last().map(|object| &object.name);
            let (page, more) = self.list_page(kind, last_name).await?;
            // A watch from the first page's revision sees all that changed since.
            if listing.revision == 0 {
                listing.revision = page.revision;
            }
            let is_last = page.objects.is_empty() || !more;
            listing.objects.extend(page.objects);
            if is_last {
                return Ok(listing);
            }
        }
    }

    async fn list_page(
        &self,
        kind: &str,
        last_name: Option<&SharedName>,
    ) -> Result<(ObjectListing, bool), StepError> {
        // Despite its name, `after-rev` takes the name of the last object of the page before.
        let path = match last_name {
            None => format!("/-/objects/{kind}"),
            Some(name) => format!("/-/objects/{kind}?after-rev={name}"),
        };
        let call = self.api.get("list objects", path);
        self.fetch(call, CALL_LIMIT).await?.decode(decode_page)
    }

    /// Waits at most `wait` for changes of a kind after `revision`.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchResult, StepError> {
        let path = format!("/-/objects/{kind}?watch={revision}&wait-ms={}", wait.as_millis());
        let call = self.api.get("watch objects", path);
        let response = self.fetch(call, wait + WATCH_MARGIN).await?;
        if response.status() == StatusCode::GONE {
            return Ok(WatchResult::HistoryGone);
        }
        let (changes, revision) = response.decode(decode_watch)?;
        Ok(WatchResult::Changes(changes, revision))
    }

    /// Reads one object; none if it does not exist.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StepError> {
        let call = self.api.get("read object", format!("/-/objects/{kind}/{name}"));
        let response = self.fetch(call, CALL_LIMIT).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.decode(decode_object).map(Some)
    }

    /// Writes one object if it is still at `revision` (0: if it does not exist).
    pub async fn write(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        value: &impl Serialize,
    ) -> Result<WriteResult, StepError> {
        let known = (revision > 0).then_some(revision);
        let (method, path) = match known {
            None => (Method::POST, format!("/-/objects/{kind}")),
            Some(_) => (Method::PUT, format!("/-/objects/{kind}/{name}")),
        };
        let object = NewObject { metadata: NewMetadata { name, revision: known }, spec: value };
        let call = self.api.send("write object", method, path, &object)?;
        let response = self.fetch(call, CALL_LIMIT).await?;
        if matches!(response.status(), StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            return Ok(WriteResult::Conflict);
        }
        let object = response.decode(decode_object)?;
        Ok(WriteResult::Written(object.revision))
    }
}
