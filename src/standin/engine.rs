//! Streams of the engine stand-in: each waits for a slot, computes the prompt, then sends one
//! token per decoding step as a server-sent event. Also the transfer of KV cache between engines.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, channel::Channel, channel::Sender};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};

use super::{endpoint_state::EndpointStandin, engine_model::completion_token, reply};
use crate::{
    http::{
        BodyError, ResponseBody,
        client::{HttpClient, OutgoingCall},
    },
    native::{
        decide::prefix::count_tokens,
        endpoint::{CacheImportRequest, EngineRequest, EngineToken, STREAM_END},
        headers,
    },
};

/// Time to transfer one block of KV cache, in milliseconds: 0.125 ms per token.
const TRANSFER_BLOCK_MS: u64 = 2;
/// Interval at which a waiting stream checks for a free slot: short compared with a decoding step
/// (12 ms).
const SLOT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time limit for another engine to export its cache.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of chunks buffered for a slow reader before the engine waits for it.
const STREAM_CAPACITY: usize = 16;
/// Longest time by which a thawed stream may be behind its schedule, a few decoding steps; without
/// this bound it would send all tokens that it missed at once.
const MAX_CATCH_UP: Duration = Duration::from_millis(50);

/// The stream was broken off by the fault switch `cut_after`.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("stream broken off by a fault switch")]
pub struct CutError;

/// Slot of a running stream; freed when dropped, also after the reader has disconnected.
struct StreamSlot {
    endpoint: EndpointStandin,
}

impl Drop for StreamSlot {
    fn drop(&mut self) {
        let mut state = self.endpoint.state.borrow_mut();
        state.model.end();
        state.record_load();
    }
}

/// Place of a stream in the queue for a slot; left when dropped.
struct QueuePlace {
    endpoint: EndpointStandin,
    place: (u8, u64),
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        self.endpoint.state.borrow_mut().waiting.remove(&self.place);
    }
}

/// Handles `POST /v1/completions`.
pub async fn complete(
    endpoint: &EndpointStandin,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let id = reply::header(&request, headers::REQUEST_ID).unwrap_or("none").to_owned();
    let attempt = reply::header(&request, headers::ATTEMPT_ID).unwrap_or("none").to_owned();
    let Some(order) = reply::read_json::<EngineRequest>(request).await else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    {
        let mut state = endpoint.state.borrow_mut();
        *state.counts.runs.entry(id).or_default() += 1;
        state.counts.begun += 1;
    }
    let (sender, body) = Channel::<Bytes, CutError>::new(STREAM_CAPACITY);
    let endpoint = endpoint.clone();
    tokio::task::spawn_local(async move { run_stream(endpoint, order, sender).await });
    let mut response = Response::new(body.map_err(BodyError::from).boxed_unsync());
    let kind = hyper::header::HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
    if let Ok(value) = attempt.parse() {
        response.headers_mut().insert(headers::ATTEMPT_ID, value);
    }
    response
}

impl QueuePlace {
    fn new(endpoint: &EndpointStandin, priority: u8) -> Self {
        let mut state = endpoint.state.borrow_mut();
        state.arrivals += 1;
        let place = (priority, state.arrivals);
        state.waiting.insert(place);
        Self { endpoint: endpoint.clone(), place }
    }

    fn can_start(&self) -> bool {
        let state = self.endpoint.state.borrow();
        state.model.has_slot() && state.waiting.first() == Some(&self.place)
    }
}

/// Waits for a slot; streams with a lower priority number go first.
async fn wait_for_slot(endpoint: &EndpointStandin, priority: u8) {
    let place = QueuePlace::new(endpoint, priority);
    while !place.can_start() {
        sleep(SLOT_POLL_INTERVAL).await;
    }
}

fn start_stream(endpoint: &EndpointStandin, order: &EngineRequest) -> (StreamSlot, Duration) {
    let text = format!("{} {}", order.prompt, order.resume_tokens.concat());
    let mut state = endpoint.state.borrow_mut();
    let (cost, stored, forgotten) = state.model.start(&text);
    state.counts.prefill_tokens += cost.computed_tokens as u64;
    state.counts.cached_tokens += cost.cached_tokens as u64;
    if !order.resume_tokens.is_empty() {
        state.counts.resumed_tokens += cost.computed_tokens as u64;
    }
    state.record_cache(stored, forgotten);
    state.record_load();
    let wait = Duration::from_secs_f64(cost.millis / 1e3).mul_f64(state.faults.slowdown());
    (StreamSlot { endpoint: endpoint.clone() }, wait)
}

async fn run_stream(
    endpoint: EndpointStandin,
    order: EngineRequest,
    mut sender: Sender<Bytes, CutError>,
) {
    wait_for_slot(&endpoint, order.priority).await;
    let (_slot, prefill) = start_stream(&endpoint, &order);
    let mut next_at = Instant::now() + prefill;
    let first = order.resume_tokens.len();
    for index in first..order.max_tokens {
        next_at += step_time(&endpoint);
        sleep_until(next_at).await;
        endpoint.wait_until_thawed().await;
        next_at = next_at.max(Instant::now() - MAX_CATCH_UP);
        let cut_after = endpoint.state.borrow().faults.cut_after;
        if cut_after > 0 && index - first >= cut_after {
            sender.abort(CutError);
            return;
        }
        let text = completion_token(&order.prompt, order.seed, index);
        let token = json!(EngineToken { index, text });
        let event = format!("data: {token}\n\n");
        endpoint.state.borrow_mut().counts.generated_tokens += 1;
        if sender.send_data(Bytes::from(event)).await.is_err() {
            return;
        }
    }
    // Fails only if the reader has disconnected, which then doesn't need the end marker.
    let _ = sender.send_data(Bytes::from(format!("data: {STREAM_END}\n\n"))).await;
}

fn step_time(endpoint: &EndpointStandin) -> Duration {
    let state = endpoint.state.borrow();
    Duration::from_secs_f64(state.model.step_ms() / 1e3).mul_f64(state.faults.slowdown())
}

/// Handles `POST /kv/import`: fetches cache blocks from another engine.
pub async fn import_cache(
    endpoint: &EndpointStandin,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let Some(order) = reply::read_json::<CacheImportRequest>(request).await else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    let tokens = count_tokens(&order.text);
    let path = format!("/kv/export?tokens={tokens}");
    let call = OutgoingCall::get("export KV cache", &order.from, path);
    match HttpClient::new().fetch(&call, EXPORT_TIMEOUT).await {
        Ok(response) if response.status.is_success() => {
            let mut state = endpoint.state.borrow_mut();
            let (_, stored, forgotten) = state.model.start(&order.text);
            state.model.end();
            state.record_cache(stored, forgotten);
            reply::json(StatusCode::OK, &json!({ "tokens": tokens }))
        }
        _ => reply::empty(StatusCode::BAD_GATEWAY),
    }
}

/// Handles `GET /kv/export`: waits for as long as the transfer of the blocks takes.
pub async fn export_cache(
    endpoint: &EndpointStandin,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let tokens = reply::query(request).get("tokens").copied().unwrap_or(0);
    let blocks = tokens / crate::native::decide::prefix::BLOCK_TOKENS as u64;
    sleep(Duration::from_millis(blocks * TRANSFER_BLOCK_MS)).await;
    endpoint.wait_until_thawed().await;
    reply::json(StatusCode::OK, &json!({ "address": endpoint.address.to_string() }))
}
