//! Polls endpoints for their load and their cache events.

use std::time::Duration;

use super::messages::RouterMessage;
use crate::{
    http::client::{HttpClient, OutgoingCall},
    ids::SharedName,
    kernel::ServiceAddress,
    native::{
        decide::routing::{CacheChange, EndpointInfo},
        endpoint::{CacheEvent, LoadReport},
    },
};

/// Longest wait for an endpoint's response: a quarter of the time between polls.
const POLL_TIMEOUT: Duration = Duration::from_millis(500);

/// Polls an endpoint for its load and, if `after` is given, for the cache events after that number.
pub async fn poll_endpoint(
    http: HttpClient,
    router: ServiceAddress<RouterMessage>,
    service: SharedName,
    info: EndpointInfo,
    after: Option<u64>,
) {
    let call = OutgoingCall::get("read load", &info.address, "/load");
    let report = http.fetch(&call, POLL_TIMEOUT).await;
    let report =
        report.and_then(|response| response.json::<LoadReport>("read load", &info.address));
    // For an endpoint that does not report, the router keeps the last load, corrected by this
    // daemon's own dispatches. Attempts show whether the endpoint works.
    let Ok(report) = report else { return };
    let load = report.running + report.waiting;
    let message = RouterMessage::Load { service: service.clone(), id: info.id.clone(), load };
    // Lost if the router is overloaded; the next poll reports the load again.
    let _ = router.send(message);
    let Some(after) = after else { return };
    let call = OutgoingCall::get(
        "read cache events",
        &info.address,
        format!("/cache_events?after={after}"),
    );
    let Ok(response) = http.fetch(&call, POLL_TIMEOUT).await else { return };
    let Ok(events) = response.json::<Vec<CacheEvent>>("read cache events", &info.address) else {
        return;
    };
    let changes: Vec<CacheChange> = events.into_iter().map(CacheEvent::into_change).collect();
    if !changes.is_empty() {
        // Lost if the router is overloaded; the next poll fetches the same events again.
        let _ = router.send(RouterMessage::Cache { service, id: info.id, changes });
    }
}
