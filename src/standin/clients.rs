//! Stand-in of the clients of the native interface: plays a request mix against the daemons
//! as the documented protocol says (docs/native/clients.md), compares every response with the one
//! expected, and reports.

mod mix;
mod report;
mod request;

use std::{cell::RefCell, net::SocketAddr, rc::Rc, time::Duration};

use http_body_util::BodyExt;
use hyper::{Method, StatusCode};
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom};
use serde_json::Value;
use tokio::time::{Instant, sleep, sleep_until, timeout};

pub use mix::{MixEntry, MixKind, RequestMix};
pub use report::{ClientReport, complete_report};
use report::{FailedOutcome, RunRecord};
use request::{ClientRequest, TryEnd};

use crate::{
    http::client::{HttpClient, OutgoingCall},
    native::endpoint::{STREAM_END, sse::EventDecoder},
};

/// Longest wait for the head of a response, and for each chunk of it: longer than the time limits
/// of the daemons.
const CHUNK_LIMIT: Duration = Duration::from_secs(60);
/// Most times a client sends the same request: outlasts the faults of the tests.
const TRIES: u32 = 40;
/// Pause before trying another daemon after a broken connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Multiple of the wait that was asked for, drawn anew for each retry, so that clients that were
/// refused together do not return together.
const RETRY_JITTER: std::ops::Range<f64> = 1.0..1.2;

/// Clients at work.
pub struct ClientPlayer {
    http: HttpClient,
    daemons: Vec<SocketAddr>,
    mix: RequestMix,
    record: RefCell<RunRecord>,
}

impl ClientPlayer {
    /// Clients that send `mix` against `daemons`.
    pub fn new(daemons: Vec<SocketAddr>, mix: RequestMix) -> Self {
        Self { http: HttpClient::new(), daemons, mix, record: RefCell::default() }
    }

    /// Sends requests for `length` at the mix's pace, waits for all of them, reports.
    pub async fn play(self, length: Duration, seed: u64) -> ClientReport {
        let mut rng = SmallRng::seed_from_u64(seed);
        let player = Rc::new(self);
        let started_at = Instant::now();
        let mut next_at = started_at;
        let mut tasks = tokio::task::JoinSet::new();
        let mut number = 0_u64;
        while next_at < started_at + length {
            sleep_until(next_at).await;
            number += 1;
            let request = player.make_request(seed, number, &mut rng);
            let client = player.clone();
            tasks.spawn_local(async move { client.run(request).await });
            let gap = -rng.random_range(f64::EPSILON..1.0_f64).ln() / player.mix.requests_per_s;
            next_at += Duration::from_secs_f64(gap);
        }
        while tasks.join_next().await.is_some() {}
        player.record.borrow().finish(number)
    }

    fn make_request(&self, seed: u64, number: u64, rng: &mut SmallRng) -> ClientRequest {
        // A mix without entries cannot be played.
        let entry = self
            .mix
            .entries
            .choose_weighted(rng, |entry| entry.weight)
            .expect("a mix has entries with weights")
            .clone();
        ClientRequest::new(entry, seed, number, rng)
    }

    async fn run(&self, mut request: ClientRequest) {
        let mut last = (FailedOutcome::Failed, String::from("no try"));
        for _ in 0..TRIES {
            match self.try_once(&mut request).await {
                TryEnd::Done => {
                    self.record.borrow_mut().report.answered += 1;
                    return;
                }
                TryEnd::RetryAfter(wait, outcome) => {
                    last = (outcome, "refused with a time to retry after".into());
                    self.record.borrow_mut().report.refusals += 1;
                    let jitter = request.rng.random_range(RETRY_JITTER);
                    sleep(wait.max(RECONNECT_PAUSE).mul_f64(jitter)).await;
                }
                TryEnd::Resume => {
                    last = (FailedOutcome::Failed, "connection broke".into());
                    self.record.borrow_mut().report.resumed += 1;
                    sleep(RECONNECT_PAUSE).await;
                }
                TryEnd::Final(outcome, detail) => {
                    last = (outcome, detail);
                    break;
                }
            }
        }
        let key = request.key.as_deref().unwrap_or("no key");
        let shown = format!("{} ({key})", request.entry.name);
        self.record.borrow_mut().record_failure(&shown, last.0, &last.1);
    }

    async fn try_once(&self, request: &mut ClientRequest) -> TryEnd {
        // A balancer gives each connection to any daemon.
        let daemon = *self.daemons.choose(&mut request.rng).expect("there are daemons");
        if request.entry.kind == MixKind::Once && request.key.is_none() {
            match self.fetch_ticket(request, daemon).await {
                Some(ticket) => request.key = Some(ticket),
                None => return TryEnd::RetryAfter(RECONNECT_PAUSE, FailedOutcome::NotRun),
            }
        }
        let call = request.outgoing(daemon);
        let response = match self.http.open(&call, CHUNK_LIMIT).await {
            Ok(response) => response,
            // Whatever broke: the request is resumed elsewhere, as the protocol says.
            Err(_) => return TryEnd::Resume,
        };
        let status = response.status();
        if !status.is_success() {
            return self.read_problem(request, status, response).await;
        }
        match request.entry.kind {
            MixKind::Completion => self.read_stream(request, response.into_body()).await,
            MixKind::Plain | MixKind::Once => {
                let Ok(body) = response.into_body().collect().await else { return TryEnd::Resume };
                self.note_first(request);
                request.check_plain(&body.to_bytes())
            }
        }
    }

    /// Requests a ticket; none, for whatever reason, means trying again.
    async fn fetch_ticket(&self, request: &ClientRequest, daemon: SocketAddr) -> Option<String> {
        let call = OutgoingCall::get("take ticket", daemon, "/v1/tickets")
            .with_json(Method::POST, "")
            .with_header("authorization", format!("Bearer {}", request.entry.api_key));
        let response = self.http.fetch(&call, CHUNK_LIMIT).await.ok()?;
        let value: Value = serde_json::from_slice(&response.body).ok()?;
        Some(value["tickets"][0].as_str()?.to_owned())
    }

    async fn read_problem(
        &self,
        request: &mut ClientRequest,
        status: StatusCode,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> TryEnd {
        let Ok(body) = response.into_body().collect().await else { return TryEnd::Resume };
        // What is no JSON has no outcome, and counts as failed.
        let problem: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let outcome = problem["outcome"].as_str().unwrap_or("failed").to_owned();
        let wait = problem["retry_after"].as_f64().map(Duration::from_secs_f64);
        let detail = format!("{status}: {problem}");
        match (outcome.as_str(), wait) {
            ("not-run", Some(wait)) => {
                if request.entry.kind == MixKind::Once {
                    // A ticket that was not run is spent; the request needs a new one.
                    request.key = None;
                }
                TryEnd::RetryAfter(wait, FailedOutcome::NotRun)
            }
            ("unknown", Some(wait)) => TryEnd::RetryAfter(wait, FailedOutcome::Unknown),
            ("unknown", None) => TryEnd::Final(FailedOutcome::Unknown, detail),
            _ => TryEnd::Final(FailedOutcome::Failed, detail),
        }
    }

    async fn read_stream(
        &self,
        request: &mut ClientRequest,
        mut body: hyper::body::Incoming,
    ) -> TryEnd {
        let mut decoder = EventDecoder::default();
        loop {
            let frame = match timeout(CHUNK_LIMIT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                _ => return TryEnd::Resume,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            let Ok(events) = decoder.feed(&bytes) else {
                return TryEnd::Final(FailedOutcome::Wrong, "malformed events".into());
            };
            for event in events {
                if event == STREAM_END {
                    return request.check_tokens();
                }
                // What is no JSON counts as an empty token, which the comparison finds.
                let value: Value = serde_json::from_str(&event).unwrap_or_default();
                if value.get("error").is_some() {
                    return TryEnd::RetryAfter(RECONNECT_PAUSE, FailedOutcome::Unknown);
                }
                if value["choices"][0]["finish_reason"].is_null() {
                    self.note_token(request);
                    let text = value["choices"][0]["text"].as_str().unwrap_or("");
                    request.received.push(text.to_owned());
                }
            }
        }
    }

    fn note_first(&self, request: &ClientRequest) {
        self.record.borrow_mut().record_first(request.started_at.elapsed());
    }

    fn note_token(&self, request: &mut ClientRequest) {
        match request.last_token_at {
            None => self.note_first(request),
            Some(before) => self.record.borrow_mut().record_gap(before.elapsed()),
        }
        request.last_token_at = Some(Instant::now());
    }
}
