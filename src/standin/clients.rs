//! Stand-in for the clients of the native interface: sends a mix of requests to the daemons
//! following the client protocol (docs/native/clients.md), compares each response with the
//! expected one, and reports the results.

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
use request::{ClientRequest, TryOutcome};

use crate::{
    http::client::{HttpClient, OutgoingCall},
    native::endpoint::{STREAM_END, sse::EventDecoder},
};

/// Time limit for the head of a response and for each chunk of its body: longer than the time
/// limits of the daemons.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of tries per request: enough to outlast the faults that the tests inject.
const MAX_TRIES: u32 = 40;
/// Pause before trying another daemon after a broken connection.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);
/// Random factor applied to the requested wait before each retry, so that clients refused at the
/// same time don't retry at the same time.
const RETRY_JITTER: std::ops::Range<f64> = 1.0..1.2;

/// Load generator that plays the clients of a request mix.
pub struct ClientPlayer {
    http: HttpClient,
    daemons: Vec<SocketAddr>,
    mix: RequestMix,
    record: RefCell<RunRecord>,
}

impl ClientPlayer {
    /// Creates clients that send the requests of `mix` to `daemons`.
    pub fn new(daemons: Vec<SocketAddr>, mix: RequestMix) -> Self {
        Self { http: HttpClient::new(), daemons, mix, record: RefCell::default() }
    }

    /// Sends requests for `length` at the rate of the mix, waits until all have ended, and reports.
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
        let entry = self
            .mix
            .entries
            .choose_weighted(rng, |entry| entry.weight)
            .expect("the request mix has an entry with a weight above 0")
            .clone();
        ClientRequest::new(entry, seed, number, rng)
    }

    async fn run(&self, mut request: ClientRequest) {
        let mut last = (FailedOutcome::Failed, String::from("not tried"));
        for _ in 0..MAX_TRIES {
            match self.try_once(&mut request).await {
                TryOutcome::Done => {
                    self.record.borrow_mut().report.answered += 1;
                    return;
                }
                TryOutcome::RetryAfter(wait, outcome) => {
                    last = (outcome, "refused with retry_after".into());
                    self.record.borrow_mut().report.refusals += 1;
                    let jitter = request.rng.random_range(RETRY_JITTER);
                    sleep(wait.max(RECONNECT_PAUSE).mul_f64(jitter)).await;
                }
                TryOutcome::Resume => {
                    last = (FailedOutcome::Failed, "connection lost".into());
                    self.record.borrow_mut().report.resumed += 1;
                    sleep(RECONNECT_PAUSE).await;
                }
                TryOutcome::Final(outcome, detail) => {
                    last = (outcome, detail);
                    break;
                }
            }
        }
        let key = request.key.as_deref().unwrap_or("no key");
        let shown = format!("{} ({key})", request.entry.name);
        self.record.borrow_mut().record_failure(&shown, last.0, &last.1);
    }

    async fn try_once(&self, request: &mut ClientRequest) -> TryOutcome {
        // Any daemon may get the connection, as behind a load balancer.
        let daemon = *self.daemons.choose(&mut request.rng).expect("at least one daemon is given");
        if request.entry.kind == MixKind::Once && request.key.is_none() {
            match self.fetch_ticket(request, daemon).await {
                Some(ticket) => request.key = Some(ticket),
                None => return TryOutcome::RetryAfter(RECONNECT_PAUSE, FailedOutcome::NotRun),
            }
        }
        let call = request.next_call(daemon);
        let response = match self.http.open(&call, READ_TIMEOUT).await {
            Ok(response) => response,
            // After any connection error, the protocol has the client resume at another daemon.
            Err(_) => return TryOutcome::Resume,
        };
        let status = response.status();
        if !status.is_success() {
            return self.read_problem(request, status, response).await;
        }
        match request.entry.kind {
            MixKind::Completion => self.read_stream(request, response.into_body()).await,
            MixKind::Plain | MixKind::Once => {
                let Ok(body) = response.into_body().collect().await else {
                    return TryOutcome::Resume;
                };
                self.record_first_response(request);
                request.check_plain(&body.to_bytes())
            }
        }
    }

    /// Requests a ticket; `None` after any failure, which the caller retries.
    async fn fetch_ticket(&self, request: &ClientRequest, daemon: SocketAddr) -> Option<String> {
        let call = OutgoingCall::get("request ticket", daemon, "/v1/tickets")
            .with_json(Method::POST, "")
            .with_header("authorization", format!("Bearer {}", request.entry.api_key));
        let response = self.http.fetch(&call, READ_TIMEOUT).await.ok()?;
        let value: Value = serde_json::from_slice(&response.body).ok()?;
        Some(value["tickets"][0].as_str()?.to_owned())
    }

    async fn read_problem(
        &self,
        request: &mut ClientRequest,
        status: StatusCode,
        response: hyper::Response<hyper::body::Incoming>,
    ) -> TryOutcome {
        let Ok(body) = response.into_body().collect().await else { return TryOutcome::Resume };
        // A body that isn't JSON has no outcome and counts as failed.
        let problem: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        let outcome = problem["outcome"].as_str().unwrap_or("failed").to_owned();
        let wait = problem["retry_after"].as_f64().map(Duration::from_secs_f64);
        let detail = format!("{status}: {problem}");
        match (outcome.as_str(), wait) {
            ("not-run", Some(wait)) => {
                if request.entry.kind == MixKind::Once {
                    // A ticket whose request did not run can't be used again.
                    request.key = None;
                }
                TryOutcome::RetryAfter(wait, FailedOutcome::NotRun)
            }
            ("unknown", Some(wait)) => TryOutcome::RetryAfter(wait, FailedOutcome::Unknown),
            ("unknown", None) => TryOutcome::Final(FailedOutcome::Unknown, detail),
            _ => TryOutcome::Final(FailedOutcome::Failed, detail),
        }
    }

    async fn read_stream(
        &self,
        request: &mut ClientRequest,
        mut body: hyper::body::Incoming,
    ) -> TryOutcome {
        let mut decoder = EventDecoder::default();
        loop {
            let frame = match timeout(READ_TIMEOUT, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                _ => return TryOutcome::Resume,
            };
            let Ok(bytes) = frame.into_data() else { continue };
            let Ok(events) = decoder.feed(&bytes) else {
                return TryOutcome::Final(
                    FailedOutcome::Wrong,
                    "malformed server-sent events".into(),
                );
            };
            for event in events {
                if event == STREAM_END {
                    return request.check_tokens();
                }
                // An event that isn't JSON counts as an empty token, and the comparison then fails.
                let value: Value = serde_json::from_str(&event).unwrap_or_default();
                if value.get("error").is_some() {
                    return TryOutcome::RetryAfter(RECONNECT_PAUSE, FailedOutcome::Unknown);
                }
                if value["choices"][0]["finish_reason"].is_null() {
                    self.record_token(request);
                    let text = value["choices"][0]["text"].as_str().unwrap_or("");
                    request.received.push(text.to_owned());
                }
            }
        }
    }

    fn record_first_response(&self, request: &ClientRequest) {
        self.record.borrow_mut().record_first_response(request.started_at.elapsed());
    }

    fn record_token(&self, request: &mut ClientRequest) {
        match request.last_token_at {
            None => self.record_first_response(request),
            Some(before) => self.record.borrow_mut().record_token_gap(before.elapsed()),
        }
        request.last_token_at = Some(Instant::now());
    }
}
