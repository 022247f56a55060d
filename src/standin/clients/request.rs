//! One request of a client: its calls, its expected response, and the outcome of each try.

use std::{net::SocketAddr, time::Duration};

use hyper::Method;
use rand::{RngExt, SeedableRng, rngs::SmallRng};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::{
    mix::{MixEntry, MixKind},
    report::FailedOutcome,
};
use crate::{
    http::client::OutgoingCall,
    native::headers,
    standin::{endpoint::plain_service_response, engine_model::expected_completion},
};

/// Outcome of one try.
pub(super) enum TryOutcome {
    /// The expected response arrived.
    Done,
    /// Refused, to be retried after this time; if no tries are left, the request counts as the
    /// given outcome.
    RetryAfter(Duration, FailedOutcome),
    /// The connection broke; the request is to be resumed at another daemon.
    Resume,
    /// Failed without another try, with a description.
    Final(FailedOutcome, String),
}

/// One request of a client.
pub(super) struct ClientRequest {
    pub(super) entry: MixEntry,
    pub(super) key: Option<String>,
    pub(super) prompt: String,
    pub(super) seed: u64,
    pub(super) body: String,
    pub(super) received: Vec<String>,
    pub(super) started_at: Instant,
    pub(super) last_token_at: Option<Instant>,
    pub(super) rng: SmallRng,
}

impl ClientRequest {
    /// Creates request number `number` of a run with `seed`, from an entry of the mix.
    pub(super) fn new(entry: MixEntry, seed: u64, number: u64, rng: &mut SmallRng) -> Self {
        let prompt = make_prompt(&entry, number, rng);
        let key = format!("{}-{seed}-{number}", entry.name.replace(' ', "-"));
        let body = make_body(&entry, &prompt, number);
        Self {
            key: (entry.kind != MixKind::Once).then_some(key),
            entry,
            prompt,
            seed: number,
            body,
            received: Vec::new(),
            started_at: Instant::now(),
            last_token_at: None,
            rng: SmallRng::seed_from_u64(rng.random()),
        }
    }

    /// HTTP call of the next try, which resumes after the tokens received so far.
    pub(super) fn next_call(&self, daemon: SocketAddr) -> OutgoingCall {
        let path = match self.entry.kind {
            MixKind::Completion => "/v1/completions".to_owned(),
            MixKind::Plain | MixKind::Once => {
                format!("/services/{}/{}", self.entry.service, self.entry.path)
            }
        };
        let mut call = OutgoingCall::get("send request", daemon, path)
            .with_json(Method::POST, self.body.clone())
            .with_header("authorization", format!("Bearer {}", self.entry.api_key));
        if let Some(key) = &self.key {
            call = call.with_header(headers::IDEMPOTENCY_KEY, key);
        }
        if !self.received.is_empty() {
            call = call.with_header(headers::LAST_EVENT_ID, self.received.len() - 1);
        }
        call
    }

    /// Compares the tokens of a completed stream with the expected ones.
    pub(super) fn check_tokens(&self) -> TryOutcome {
        let expected = expected_completion(&self.prompt, self.seed, self.entry.max_tokens);
        let received = self.received.concat();
        if received == expected {
            TryOutcome::Done
        } else {
            let counts = format!(
                "text differs from the expected one: {} of {} tokens received",
                self.received.len(),
                self.entry.max_tokens
            );
            TryOutcome::Final(FailedOutcome::Wrong, counts)
        }
    }

    /// Compares the body of a plain response with the expected one.
    pub(super) fn check_plain(&self, body: &[u8]) -> TryOutcome {
        let path = format!("/{}", self.entry.path);
        let expected = json!(plain_service_response(&path, self.body.as_bytes()));
        // A body that isn't JSON counts as null, which is never expected.
        let received: Value = serde_json::from_slice(body).unwrap_or_default();
        if received == expected {
            TryOutcome::Done
        } else {
            TryOutcome::Final(FailedOutcome::Wrong, received.to_string())
        }
    }
}

fn make_prompt(entry: &MixEntry, number: u64, rng: &mut SmallRng) -> String {
    let series = rng.random_range(0..entry.series.max(1));
    let shared = (0..entry.shared_words).map(|word| format!("s{series}x{word}"));
    let own = (0..entry.own_words).map(|word| format!("r{number}x{word}"));
    let words: Vec<String> = shared.chain(own).collect();
    words.join(" ")
}

fn make_body(entry: &MixEntry, prompt: &str, number: u64) -> String {
    match entry.kind {
        MixKind::Completion => json!({
            "model": entry.service,
            "prompt": prompt,
            "max_tokens": entry.max_tokens,
            "seed": number,
            "stream": true,
        })
        .to_string(),
        MixKind::Plain | MixKind::Once => {
            json!({ "account": entry.account, "number": number }).to_string()
        }
    }
}
