//! Moves a stream off an endpoint that is being reclaimed.

use std::time::Duration;

use hyper::Method;

use super::RequestDriver;
use crate::{
    http::client::OutgoingCall,
    native::{
        decide::reclaim::ReclaimWay,
        endpoint::CacheImportRequest,
        serve::services::router::messages::{EndpointSlot, PickReply},
    },
};

/// Longest wait for the move of a KV cache: longer than the notice times in
/// docs/measurements/reclaim.md.
const MOVE_TIMEOUT: Duration = Duration::from_secs(20);

impl RequestDriver {
    /// Leaves an endpoint that is being reclaimed. For a move, the old endpoint's cache is imported
    /// into the endpoint at which the stream will probably continue.
    pub(super) async fn leave(&mut self, way: ReclaimWay, slot: EndpointSlot) {
        self.moves += 1;
        self.attempts -= 1;
        let from = slot.pick.address.clone();
        drop(slot);
        if way != ReclaimWay::Move {
            return;
        }
        let PickReply::Slot(next) = self.pick().await else { return };
        let Some(completion) = self.call.completion() else { return };
        let text = format!("{} {}", completion.prompt, self.lead.tokens().concat());
        let order = CacheImportRequest { from: from.to_string(), text };
        // This type always serializes.
        let body = serde_json::to_vec(&order).unwrap_or_default();
        let call = OutgoingCall::get("move KV cache", &next.pick.address, "/kv/import")
            .with_json(Method::POST, body);
        let moved = self.context.http.fetch(&call, MOVE_TIMEOUT).await;
        let moved = moved.is_ok_and(|response| response.status.is_success());
        let outcome = if moved { "moved" } else { "failed" };
        self.context.metrics.count_labelled("cache_moves", "outcome", outcome);
    }
}
