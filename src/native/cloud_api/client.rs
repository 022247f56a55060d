//! Client of the platform's services for the native interface. The gateway's platform has a
//! different protocol (`platform::{store, cloud}`); both use `http::api_client`.
//!
//! Calls are counted because the call rate that the object API allows grows more slowly than the
//! fleet.

use std::time::Duration;

use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::{
    ERA_HEADER,
    messages::{
        NoticeList, ObjectEntry, ObjectList, PriceEntry, VmEntry, VmList, VmStartRequest,
        WriteReceipt,
    },
};
use crate::{
    errors::{FailureCause, StepError},
    http::{api_client::ApiClient, client::OutgoingCall, url_path::UrlPath},
    store_position::StoreEra,
};

/// Longest wait for a call that the platform answers without waiting for anything.
const CALL_LIMIT: Duration = Duration::from_secs(2);
/// How long a watch waits for a change before it is renewed; so each watch
/// makes 0.1 calls a second.
pub const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Path of the objects of a kind.
pub fn kind_path(kind: &str) -> UrlPath {
    UrlPath::new("/objects").segment(kind)
}

/// Path of an object.
pub fn object_path(kind: &str, name: &str) -> UrlPath {
    kind_path(kind).segment(name)
}

/// Condition for a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The object does not exist yet.
    Absent,
    /// The object is at this version.
    Version(u64),
}

/// Client of the object API, cloud API and VM list.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    object_api: ApiClient,
    cloud_api: ApiClient,
}

impl PlatformClient {
    /// Creates a client of the services at these addresses.
    pub fn new(object_api: impl ToString, cloud_api: impl ToString) -> Self {
        let object_api = ApiClient::new(object_api);
        let cloud_api = object_api.sibling(cloud_api);
        Self { object_api, cloud_api }
    }

    /// Calls to both services since the start; a watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        // The count is shared with `cloud_api`.
        self.object_api.calls()
    }

    /// Reads one object; the value is `None` if the object does not exist.
    pub async fn read_object(&self, kind: &str, name: &str) -> Result<ObjectEntry, StepError> {
        let call = self.object_api.get("read object", object_path(kind, name));
        fetch(&self.object_api, call, CALL_LIMIT).await
    }

    /// Lists all objects of a kind.
    pub async fn list_objects(&self, kind: &str) -> Result<ObjectList, StepError> {
        let call = self.object_api.get("list objects", kind_path(kind));
        let (list, era) = fetch_with_era(&self.object_api, call, CALL_LIMIT).await?;
        Ok(ObjectList { era, ..list })
    }

    /// Waits for changes of a kind after `revision`.
    pub async fn watch_objects(&self, kind: &str, revision: u64) -> Result<ObjectList, StepError> {
        let path = UrlPath::new("/watch")
            .segment(kind)
            .query("after", revision)
            .query("wait_ms", WATCH_WAIT.as_millis());
        let call = self.object_api.get("watch objects", path);
        let (list, era) = fetch_with_era(&self.object_api, call, WATCH_WAIT + CALL_LIMIT).await?;
        Ok(ObjectList { era, ..list })
    }

    /// Writes one object if `condition` holds; otherwise fails with `FailureCause::Conflict`.
    pub async fn write_object(
        &self,
        kind: &str,
        name: &str,
        value: &Value,
        condition: WriteCondition,
    ) -> Result<WriteReceipt, StepError> {
        let path = object_path(kind, name);
        let call = self.object_api.send("write object", Method::PUT, path, value)?;
        let call = match condition {
            WriteCondition::Absent => call.with_header("if-none-match", "*"),
            WriteCondition::Version(version) => call.with_header("if-match", version),
        };
        fetch(&self.object_api, call, CALL_LIMIT).await
    }

    /// Reads the VM list, which lags behind the actual state.
    pub async fn list_vms(&self) -> Result<VmList, StepError> {
        let call = self.cloud_api.get("list VMs", "/vms");
        let (list, era) = fetch_with_era(&self.cloud_api, call, CALL_LIMIT).await?;
        Ok(VmList { era, ..list })
    }

    /// Waits for reclaim notices after `sequence`.
    pub async fn watch_notices(&self, sequence: u64) -> Result<NoticeList, StepError> {
        let path = UrlPath::new("/notices")
            .query("after", sequence)
            .query("wait_ms", WATCH_WAIT.as_millis());
        let call = self.cloud_api.get("watch notices", path);
        let (list, era) = fetch_with_era(&self.cloud_api, call, WATCH_WAIT + CALL_LIMIT).await?;
        Ok(NoticeList { era, ..list })
    }

    /// Starts a VM; a second call with the same name starts no second VM.
    pub async fn start_vm(&self, order: &VmStartRequest) -> Result<VmEntry, StepError> {
        let call = self.cloud_api.send("start VM", Method::POST, "/vms", order)?;
        fetch(&self.cloud_api, call, CALL_LIMIT).await
    }

    /// Releases the VM with this identity.
    pub async fn release_vm(&self, id: &str) -> Result<Value, StepError> {
        let mut call = self.cloud_api.get("release VM", UrlPath::new("/vms").segment(id));
        call.method = Method::DELETE;
        fetch(&self.cloud_api, call, CALL_LIMIT).await
    }

    /// Reads the prices of all zones and classes.
    pub async fn list_prices(&self) -> Result<Vec<PriceEntry>, StepError> {
        fetch(&self.cloud_api, self.cloud_api.get("list prices", "/prices"), CALL_LIMIT).await
    }
}

/// Returns the response body and the era from its header; era 0 if the header is missing or not a
/// number.
async fn fetch_with_era<T: DeserializeOwned>(
    api: &ApiClient,
    call: OutgoingCall,
    limit: Duration,
) -> Result<(T, StoreEra), StepError> {
    let response = api.fetch(call, limit).await?;
    let era = response.header(ERA_HEADER).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((response.json()?, StoreEra(era)))
}

async fn fetch<T: DeserializeOwned>(
    api: &ApiClient,
    call: OutgoingCall,
    limit: Duration,
) -> Result<T, StepError> {
    let response = api.fetch(call, limit).await?;
    if response.status() == StatusCode::PRECONDITION_FAILED {
        return Err(response.error(FailureCause::Conflict));
    }
    response.json()
}
