//! Calls to the platform's metadata store.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{
    errors::{FailureCause, StepError},
    http::client::{HttpClient, OutgoingCall, WholeResponse},
    ids::SharedName,
};

/// Longest wait for an answer that is given at once. The store may be fifty times as slow
/// as usual and still answer.
const CALL_LIMIT: Duration = Duration::from_millis(1_200);
/// How much later than asked a waiting watch may answer.
const WATCH_MARGIN: Duration = Duration::from_millis(700);

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
    /// The object was made or replaced.
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

#[derive(Deserialize, Serialize)]
struct Metadata {
    name: SharedName,
    #[serde(default)]
    revision: u64,
    #[serde(default)]
    made: u64,
    #[serde(default)]
    finalizers: Vec<String>,
    #[serde(default)]
    deleting: bool,
}

#[derive(Deserialize)]
struct ListBody<'a> {
    #[serde(borrow)]
    items: Vec<ObjectBody<'a>>,
    #[serde(default)]
    more: bool,
    at: u64,
}

#[derive(Deserialize)]
struct WatchBody<'a> {
    #[serde(borrow)]
    events: Vec<EventBody<'a>>,
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
struct NewObject<'a> {
    metadata: NewMetadata<'a>,
    spec: &'a RawValue,
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

/// Decodes one page of a list: its objects, whether there are more, and the revision.
pub fn decode_page(body: &[u8]) -> Result<(ObjectListing, bool), serde_json::Error> {
    let page: ListBody<'_> = serde_json::from_slice(body)?;
    let objects = page.items.into_iter().map(ObjectBody::into_object).collect();
    Ok((ObjectListing { objects, revision: page.at }, page.more))
}

/// Decodes the answer to a watch.
pub fn decode_watch(body: &[u8]) -> Result<(Vec<ObjectChange>, u64), serde_json::Error> {
    let answer: WatchBody<'_> = serde_json::from_slice(body)?;
    let to_change = |event: EventBody<'_>| match event.gone {
        true => ObjectChange::Gone(event.object.metadata.name),
        false => ObjectChange::Written(event.object.into_object()),
    };
    Ok((answer.events.into_iter().map(to_change).collect(), answer.at))
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    http: HttpClient,
    address: SocketAddr,
    calls: Rc<Cell<u64>>,
}

impl StoreClient {
    /// Client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: HttpClient::new(), address, calls: Rc::default() }
    }

    /// Calls made since the start.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    async fn fetch(&self, call: OutgoingCall, limit: Duration) -> Result<WholeResponse, StepError> {
        self.calls.set(self.calls.get() + 1);
        self.http.fetch(&call, limit).await
    }

    /// Lists all objects of a kind, as of a moment after the call was made.
    pub async fn list(&self, kind: &str) -> Result<ObjectListing, StepError> {
        const STEP: &str = "list objects";
        let mut listing = ObjectListing::default();
        loop {
            let after = listing.objects.last().map(|object| format!("?after-rev={}", object.name));
            let path = format!("/-/objects/{kind}{}", after.unwrap_or_default());
            let answer =
                self.fetch(OutgoingCall::get(STEP, self.address, path), CALL_LIMIT).await?;
            let (page, more) = decode(STEP, self.address, &answer, decode_page)?;
            // NOTE: a watch from the first page's revision sees all that changed since.
            if listing.revision == 0 {
                listing.revision = page.revision;
            }
            let last = page.objects.is_empty() || !more;
            listing.objects.extend(page.objects);
            if last {
                return Ok(listing);
            }
        }
    }

    /// Waits at most `wait` for changes of a kind after `revision`.
    pub async fn watch(
        &self,
        kind: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<WatchResult, StepError> {
        const STEP: &str = "watch objects";
        let path = format!("/-/objects/{kind}?watch={revision}&wait-ms={}", wait.as_millis());
        let call = OutgoingCall::get(STEP, self.address, path);
        let answer = self.fetch(call, wait + WATCH_MARGIN).await?;
        if answer.status == StatusCode::GONE {
            return Ok(WatchResult::HistoryGone);
        }
        let (changes, revision) = decode(STEP, self.address, &answer, decode_watch)?;
        Ok(WatchResult::Changes(changes, revision))
    }

    /// Reads one object; none if it does not exist.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StepError> {
        const STEP: &str = "read object";
        let path = format!("/-/objects/{kind}/{name}");
        let answer = self.fetch(OutgoingCall::get(STEP, self.address, path), CALL_LIMIT).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        decode(STEP, self.address, &answer, decode_object).map(Some)
    }

    /// Writes one object if it is still at `revision` (0: if it does not exist).
    pub async fn write(
        &self,
        kind: &str,
        name: &str,
        revision: u64,
        value: &impl Serialize,
    ) -> Result<WriteResult, StepError> {
        const STEP: &str = "write object";
        let peer = self.address.to_string();
        let malformed = |error: serde_json::Error| {
            StepError::new(STEP, peer.as_str(), FailureCause::Malformed(error.to_string()))
        };
        let spec = serde_json::value::to_raw_value(value).map_err(malformed)?;
        let known = (revision > 0).then_some(revision);
        let object = NewObject { metadata: NewMetadata { name, revision: known }, spec: &spec };
        let body = serde_json::to_vec(&object).map_err(malformed)?;
        let (method, path) = match known {
            None => (Method::POST, format!("/-/objects/{kind}")),
            Some(_) => (Method::PUT, format!("/-/objects/{kind}/{name}")),
        };
        let call = OutgoingCall::get(STEP, self.address, path).with_json(method, body);
        let answer = self.fetch(call, CALL_LIMIT).await?;
        if matches!(answer.status, StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            return Ok(WriteResult::Conflict);
        }
        let object = decode(STEP, self.address, &answer, decode_object)?;
        Ok(WriteResult::Written(object.revision))
    }
}

fn decode<T>(
    step: &'static str,
    peer: SocketAddr,
    answer: &WholeResponse,
    decoder: impl FnOnce(&[u8]) -> Result<T, serde_json::Error>,
) -> Result<T, StepError> {
    let error = |cause| StepError::new(step, peer.to_string(), cause);
    if !answer.status.is_success() {
        return Err(error(FailureCause::Status(answer.status.as_u16())));
    }
    decoder(&answer.body).map_err(|cause| error(FailureCause::Malformed(cause.to_string())))
}
