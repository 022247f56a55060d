//! Client of the platform's metadata store.
//!
//! The store keeps JSON objects by kind and name. Each change raises one revision counter of the whole
//! store; an object carries the revision of its last change, and a write can be made conditional on it.
//! A store that was restored from a copy reuses revisions; a header of each response names its era.
//! Everything read here carries revision and era as a `StorePosition`. A response of an earlier era than
//! the newest known one is outdated and treated as an error.
//!
//! The native interface uses another protocol (`native::cloud_api`) over the same connections and with
//! the same errors (`http::api_client`).

mod listing;
pub mod object_codec;
mod writes;

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use hyper::StatusCode;

use self::object_codec::{decode_object, decode_watch};
use crate::{
    errors::{FailureCause, StepError},
    http::{
        api_client::{ApiClient, ApiResponse},
        client::OutgoingCall,
        url_path::UrlPath,
    },
    ids::SharedName,
    store_position::{StoreEra, StorePosition},
};

/// Timeout of calls to which the store responds at once: a store that is fifty times slower than usual
/// still responds within it.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// Time beyond its requested wait after which a watch times out, since its connection may be dead. A
/// store that is fifty times slower than usual responds within it.
const WATCH_MARGIN: Duration = Duration::from_millis(300);
/// Path of all objects.
const OBJECTS_PATH: &str = "/-/objects";
/// Response header with the store's era.
const ERA_HEADER: &str = "store-era";

/// An object of the store and its position.
#[derive(Clone, Debug)]
pub struct StoredObject {
    /// Name within its kind.
    pub name: SharedName,
    /// Position of the store at the object's last change.
    pub position: StorePosition,
    /// When it was created, as JSON text.
    pub made: Box<str>,
    /// Value, as JSON text.
    pub value: Box<str>,
    /// Status, as JSON text.
    pub status: Box<str>,
}

/// A change that a watch has returned.
#[derive(Clone, Debug)]
pub enum ObjectChange {
    /// The object was created or replaced.
    Written(StoredObject),
    /// The object was deleted.
    Gone(SharedName),
}

/// Result of a watch.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Changes, and the position for the next watch.
    Changes(Vec<ObjectChange>, StorePosition),
    /// The store no longer has the changes since that position, or the position is of another era: list
    /// again.
    HistoryGone,
}

/// Condition under which a write is carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist. It was found missing in this era of the store.
    Absent(StoreEra),
    /// The object has not changed since this position.
    At(StorePosition),
}

impl WriteCondition {
    /// Era of the store to which the condition applies.
    pub fn era(self) -> StoreEra {
        match self {
            Self::Absent(era) => era,
            Self::At(position) => position.era(),
        }
    }

    /// The revision to send; none if the object is to be created.
    fn revision(self) -> Option<u64> {
        match self {
            Self::Absent(_) => None,
            Self::At(position) => Some(position.revision()),
        }
    }
}

/// Result of a conditional write.
#[derive(Clone, Debug)]
pub enum WriteResult {
    /// Written; the position of the change.
    Written(StorePosition),
    /// The condition was not met; nothing was written.
    Conflict,
    /// Written, but in a later era than that of the condition: it may have replaced an unknown object
    /// with the same revision.
    WrittenInLaterEra,
}

/// Path of the objects of a kind.
fn kind_path(kind: &str) -> UrlPath {
    UrlPath::new(OBJECTS_PATH).segment(kind)
}

/// Path of an object.
fn object_path(kind: &str, name: &str) -> UrlPath {
    kind_path(kind).segment(name)
}

fn read_era(text: &str) -> Option<StoreEra> {
    text.parse().ok().map(StoreEra)
}

/// A response and the era in which the store sent it.
struct StoreResponse {
    response: ApiResponse,
    era: StoreEra,
}

impl StoreResponse {
    fn status(&self) -> StatusCode {
        self.response.status()
    }

    fn decode<T>(
        &self,
        decoder: impl FnOnce(StoreEra, &[u8]) -> Result<T, serde_json::Error>,
    ) -> Result<T, StepError> {
        self.response.decode(|body| decoder(self.era, body))
    }
}

/// Client of the metadata store.
#[derive(Clone, Debug)]
pub struct StoreClient {
    api: ApiClient,
    /// Newest era that a response has named.
    era: Rc<Cell<StoreEra>>,
}

impl StoreClient {
    /// Creates a client of the store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { api: ApiClient::new(address), era: Rc::default() }
    }

    /// Makes further calls use new connections, since the open ones may be dead.
    pub fn discard_connections(&self) {
        self.api.discard_connections();
    }

    /// Number of calls made since the start.
    pub fn calls(&self) -> u64 {
        self.api.calls()
    }

    /// Newest era of the store that a response has named.
    pub fn era(&self) -> StoreEra {
        self.era.get()
    }

    async fn fetch(&self, call: OutgoingCall, limit: Duration) -> Result<StoreResponse, StepError> {
        let response = self.api.fetch(call, limit).await?;
        let known = self.era.get();
        let era = match response.header(ERA_HEADER) {
            None => known,
            Some(text) => read_era(text).ok_or_else(|| {
                response.error(FailureCause::Malformed(format!("{ERA_HEADER}: {text}")))
            })?,
        };
        if era < known {
            return Err(response.error(FailureCause::FormerEra));
        }
        self.era.set(era);
        Ok(StoreResponse { response, era })
    }

    /// Waits up to `wait` for changes of objects of a kind after `position`.
    pub async fn watch(
        &self,
        kind: &str,
        position: StorePosition,
        wait: Duration,
    ) -> Result<WatchResult, StepError> {
        let path =
            kind_path(kind).query("watch", position.revision()).query("wait-ms", wait.as_millis());
        let call = self.api.get("watch objects", path);
        let response = self.fetch(call, wait + WATCH_MARGIN).await?;
        if response.status() == StatusCode::GONE || response.era != position.era() {
            return Ok(WatchResult::HistoryGone);
        }
        let (changes, position) = response.decode(decode_watch)?;
        Ok(WatchResult::Changes(changes, position))
    }

    /// Reads an object; none if it does not exist.
    pub async fn read(&self, kind: &str, name: &str) -> Result<Option<StoredObject>, StepError> {
        let call = self.api.get("read object", object_path(kind, name));
        let response = self.fetch(call, CALL_TIMEOUT).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        response.decode(decode_object).map(Some)
    }
}
