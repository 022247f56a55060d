//! Stand-in of one endpoint: a model engine or a plain service. Counts how often each
//! request ran; for requests that may not be repeated, that count is the verdict.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::{sync::watch, time::Instant};

use super::{
    engine,
    engine_model::{EngineModel, EngineSpeed},
    reply,
};
use crate::{
    errors::StepError,
    http::{ResponseBody, server},
    kernel::LifePhase,
    native::{
        endpoint::{CacheEvent, LoadReport},
        headers,
    },
};

/// Fault switches of an endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EndpointFaults {
    /// Answers nothing and computes nothing until thawed.
    pub frozen: bool,
    /// Factor by which everything takes longer; 0 means 1.
    pub slow: f64,
    /// Refuses each request before starting it.
    pub refuse: bool,
    /// Fails each request after running it.
    pub fail: bool,
    /// Breaks each stream after this many tokens; 0 means never.
    pub cut_after: usize,
    /// Number of answers to come that are lost after the request ran.
    pub lose_answers: u32,
    /// How late reported load is, in milliseconds.
    pub load_lag_ms: u64,
    /// How late cache events are, in milliseconds.
    pub cache_lag_ms: u64,
    /// Drops every n-th cache event; 0 drops none.
    pub cache_gap: u64,
    /// Time a plain call takes, in milliseconds; 0 means 5.
    pub answer_ms: u64,
}

impl EndpointFaults {
    /// Factor by which everything takes longer.
    pub fn slowdown(&self) -> f64 {
        if self.slow > 0.0 { self.slow } else { 1.0 }
    }
}

/// What an endpoint has done since it started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct WorkCounts {
    /// Runs by request id.
    pub runs: HashMap<String, u32>,
    /// Prompt tokens computed.
    pub prefill_tokens: u64,
    /// Prompt tokens found in the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed by resumed streams.
    pub resumed_tokens: u64,
    /// Tokens generated.
    pub generated_tokens: u64,
    /// Requests begun.
    pub begun: u64,
}

/// State of one endpoint stand-in.
pub struct EndpointState {
    pub(super) model: EngineModel,
    pub(super) faults: EndpointFaults,
    pub(super) counts: WorkCounts,
    /// Streams that wait for a slot: priority, then arrival.
    pub(super) waiting: BTreeSet<(u8, u64)>,
    pub(super) arrivals: u64,
    loads: VecDeque<(Instant, LoadReport)>,
    cache_events: VecDeque<(Instant, CacheEvent)>,
    cache_sequence: u64,
    highest_epoch: u64,
}

impl EndpointState {
    pub(super) fn record_load(&mut self) {
        const KEPT: usize = 4_096;
        let running = self.model.running() as u32;
        let report = LoadReport { running, waiting: self.waiting.len() as u32 };
        self.loads.push_back((Instant::now(), report));
        if self.loads.len() > KEPT {
            self.loads.pop_front();
        }
    }

    pub(super) fn record_cache(&mut self, stored: Vec<u64>, forgotten: Vec<u64>) {
        const KEPT: usize = 1_024;
        self.cache_sequence += 1;
        let gap = self.faults.cache_gap;
        if gap > 0 && self.cache_sequence.is_multiple_of(gap) {
            return;
        }
        let event = CacheEvent { sequence: self.cache_sequence, stored, forgotten };
        self.cache_events.push_back((Instant::now(), event));
        if self.cache_events.len() > KEPT {
            self.cache_events.pop_front();
        }
    }

    fn reported_load(&self) -> LoadReport {
        let lag = Duration::from_millis(self.faults.load_lag_ms);
        let seen = self.loads.iter().rev().find(|(since, _)| since.elapsed() >= lag);
        seen.map(|(_, report)| *report).unwrap_or_default()
    }

    fn visible_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag = Duration::from_millis(self.faults.cache_lag_ms);
        let visible = self
            .cache_events
            .iter()
            .filter(|(since, event)| since.elapsed() >= lag && event.sequence > after);
        visible.map(|(_, event)| event.clone()).collect()
    }
}

/// One endpoint, shared by its connections.
#[derive(Clone)]
pub struct EndpointStandin {
    pub(super) state: Rc<RefCell<EndpointState>>,
    pub(super) thawed: watch::Sender<bool>,
    pub(super) address: SocketAddr,
    is_engine: bool,
}

/// Serves one endpoint at `address` until `phase` stops it.
pub async fn run(
    address: SocketAddr,
    speed: Option<EngineSpeed>,
    phase: watch::Receiver<LifePhase>,
) -> Result<(), StepError> {
    let listener = server::bind(address).await?;
    let endpoint = EndpointStandin::new(address, speed);
    server::serve(listener, phase, move |request| {
        let endpoint = endpoint.clone();
        async move { endpoint.answer(request).await }
    })
    .await;
    Ok(())
}

impl EndpointStandin {
    fn new(address: SocketAddr, speed: Option<EngineSpeed>) -> Self {
        let state = EndpointState {
            model: EngineModel::new(speed.unwrap_or_default()),
            faults: EndpointFaults::default(),
            counts: WorkCounts::default(),
            waiting: BTreeSet::new(),
            arrivals: 0,
            loads: VecDeque::new(),
            cache_events: VecDeque::new(),
            cache_sequence: 0,
            highest_epoch: 0,
        };
        Self {
            state: Rc::new(RefCell::new(state)),
            thawed: watch::Sender::new(true),
            address,
            is_engine: speed.is_some(),
        }
    }

    /// Waits while the endpoint is frozen.
    pub(super) async fn thaw(&self) {
        let mut thawed = self.thawed.subscribe();
        // NOTE: the sender lives as long as `self`, so waiting cannot fail.
        let _ = thawed.wait_for(|thawed| *thawed).await;
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        if request.uri().path() == "/faults" {
            return self.set_faults(request).await;
        }
        if request.uri().path() == "/runs" {
            return reply::json(StatusCode::OK, &self.state.borrow().counts);
        }
        self.thaw().await;
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
            (&Method::POST, "/orders") => self.obey(request).await,
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
            let mut answer = reply::empty(StatusCode::SERVICE_UNAVAILABLE);
            let yes = hyper::header::HeaderValue::from_static("true");
            answer.headers_mut().insert(headers::NOT_STARTED, yes);
            answer
        })
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let current = self.state.borrow().faults.clone();
        match reply::change_faults(request, &current).await {
            Ok(faults) => {
                let answer = reply::json(StatusCode::OK, &faults);
                self.thawed.send_replace(!faults.frozen);
                self.state.borrow_mut().faults = faults;
                answer
            }
            Err(refusal) => refusal,
        }
    }

    /// Obeys a fenced order; refuses one whose epoch is older than the newest seen.
    async fn obey(&self, request: Request<Incoming>) -> Response<ResponseBody> {
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
        let (wait, fails) = self.begin_plain(&id);
        tokio::time::sleep(wait).await;
        self.thaw().await;
        if self.end_plain() {
            return reply::lost();
        }
        if fails {
            return reply::empty(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let mut answer = reply::json(StatusCode::OK, &plain_answer(&path, &body));
        if let Ok(value) = attempt.parse() {
            answer.headers_mut().insert(headers::ATTEMPT_ID, value);
        }
        answer
    }

    fn begin_plain(&self, id: &str) -> (Duration, bool) {
        const ANSWER_MS: u64 = 5;
        let mut state = self.state.borrow_mut();
        *state.counts.runs.entry(id.to_owned()).or_default() += 1;
        state.counts.begun += 1;
        state.model.start("");
        state.record_load();
        let base = if state.faults.answer_ms > 0 { state.faults.answer_ms } else { ANSWER_MS };
        let wait = Duration::from_millis(base).mul_f64(state.faults.slowdown());
        (wait, state.faults.fail)
    }

    fn end_plain(&self) -> bool {
        let mut state = self.state.borrow_mut();
        state.model.end();
        state.record_load();
        let lost = state.faults.lose_answers > 0;
        state.faults.lose_answers = state.faults.lose_answers.saturating_sub(1);
        lost
    }
}

/// Answer of a plain service to `body`, against which tests compare.
pub fn plain_answer(path: &str, body: &[u8]) -> BTreeMap<&'static str, String> {
    let digest = crate::ids::hash_parts(&[path.as_bytes(), body]);
    BTreeMap::from([("path", path.to_owned()), ("digest", format!("{digest:016x}"))])
}
