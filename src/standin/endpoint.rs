//! Stand-in for one endpoint of the native interface: a model engine or a plain service. It
//! implements the protocol of `native::endpoint`. The gateway's tests have their own stand-in
//! (`tests/gateway/endpoint_standin.rs`) for the endpoints of the users' platform, which use a
//! different protocol.
//!
//! It counts how often each request ran, which shows whether a request that must not be retried
//! was retried. `POST /faults` switches faults on and off, `GET /runs` returns the counts.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::{Value, json};
use tokio::sync::watch;

pub use super::endpoint_state::{EndpointFaults, WorkCounts};
use super::{endpoint_state::EndpointStandin, engine, engine_model::EngineSpeed, reply};
use crate::{
    errors::StepError,
    http::{ResponseBody, server},
    kernel::LifePhase,
    native::headers,
};

/// Default duration of a plain call, in milliseconds.
const PLAIN_MS: u64 = 5;

/// Serves one endpoint at `address` until `phase` stops it: an engine if `speed` is given, else a
/// plain service.
pub async fn run(
    address: SocketAddr,
    speed: Option<EngineSpeed>,
    phase: watch::Receiver<LifePhase>,
) -> Result<(), StepError> {
    let listener = server::bind(address).await?;
    let endpoint = EndpointStandin::new(address, speed);
    server::serve(listener, phase, move |request| {
        let endpoint = endpoint.clone();
        async move { endpoint.handle(request).await }
    })
    .await;
    Ok(())
}

impl EndpointStandin {
    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() == "/faults" {
            return self.set_faults(request).await;
        }
        if request.uri().path() == "/runs" {
            return reply::json(StatusCode::OK, &self.state.borrow().counts);
        }
        self.wait_until_thawed().await;
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/load") => {
                reply::json(StatusCode::OK, &self.state.borrow().reported_load())
            }
            (&Method::GET, "/cache_events") => {
                let after = reply::query(&request).get("after").copied().unwrap_or(0);
                reply::json(StatusCode::OK, &self.state.borrow().visible_events(after))
            }
            (&Method::POST, "/kv/import") => engine::import_cache(self, request).await,
            (&Method::GET, "/kv/export") => engine::export_cache(self, &request).await,
            (&Method::POST, "/orders") => self.accept_order(request).await,
            (&Method::POST, "/v1/completions") if self.is_engine => {
                if let Some(refusal) = self.refusal() {
                    return refusal;
                }
                engine::complete(self, request).await
            }
            (&Method::POST, _) if !self.is_engine => self.plain_call(request).await,
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn refusal(&self) -> Option<Response<ResponseBody>> {
        let refuses = self.state.borrow().faults.refuse;
        refuses.then(|| {
            let mut response = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
            let not_started = hyper::header::HeaderValue::from_static("true");
            response.headers_mut().insert(headers::NOT_STARTED, not_started);
            response
        })
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let current = self.state.borrow().faults.clone();
        match reply::change_faults(request, &current).await {
            Ok(faults) => {
                let response = reply::json(StatusCode::OK, &faults);
                self.thawed.send_replace(!faults.frozen);
                self.state.borrow_mut().faults = faults;
                response
            }
            Err(refusal) => refusal,
        }
    }

    /// Accepts a fenced order unless its epoch is older than the newest one seen.
    async fn accept_order(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let Some(order) = reply::read_json::<Value>(request).await else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let epoch = order["epoch"].as_u64().unwrap_or(0);
        let mut state = self.state.borrow_mut();
        if epoch < state.highest_epoch {
            return reply::empty(StatusCode::PRECONDITION_FAILED);
        }
        state.highest_epoch = epoch;
        reply::json(StatusCode::OK, &json!({ "epoch": epoch }))
    }

    async fn plain_call(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if let Some(refusal) = self.refusal() {
            return refusal;
        }
        let id = reply::header(&request, headers::REQUEST_ID).unwrap_or("none").to_owned();
        let attempt = reply::header(&request, headers::ATTEMPT_ID).unwrap_or("none").to_owned();
        let path = request.uri().path().to_owned();
        let Some(body) = reply::read_body(request).await else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        let (duration, fails) = self.begin_plain(&id);
        tokio::time::sleep(duration).await;
        self.wait_until_thawed().await;
        if self.end_plain() {
            return reply::lost_response();
        }
        if fails {
            return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let mut response = reply::json(StatusCode::OK, &plain_service_response(&path, &body));
        if let Ok(value) = attempt.parse() {
            response.headers_mut().insert(headers::ATTEMPT_ID, value);
        }
        response
    }

    /// Counts the call; returns how long it takes and whether it fails.
    fn begin_plain(&self, id: &str) -> (Duration, bool) {
        let mut state = self.state.borrow_mut();
        *state.counts.runs.entry(id.to_owned()).or_default() += 1;
        state.counts.begun += 1;
        state.model.start("");
        state.record_load();
        let base = if state.faults.answer_ms > 0 { state.faults.answer_ms } else { PLAIN_MS };
        let duration = Duration::from_millis(base).mul_f64(state.faults.slowdown());
        (duration, state.faults.fail)
    }

    /// Ends the call; returns whether its response is to be lost.
    fn end_plain(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.model.end();
        state.record_load();
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        lost
    }
}

/// Response of a plain service to a call of `path` with `body`; tests compare against it.
pub fn plain_service_response(path: &str, body: &[u8]) -> BTreeMap<&'static str, String> {
    let digest = crate::ids::hash_parts(&[path.as_bytes(), body]);
    BTreeMap::from([("path", path.to_owned()), ("digest", format!("{digest:016x}"))])
}
