//! HTTP client built on a common library (`ureq`), and the streams that it receives.

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
};

use serde_json::{Value, json};

use super::WAIT_LIMIT;

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_LIMIT * 3))
        .build();
    config.into()
}

pub fn get_text(address: SocketAddr, path: &str) -> Option<String> {
    let mut answer = agent().get(format!("http://{address}{path}")).call().ok()?;
    answer.body_mut().read_to_string().ok()
}

pub fn try_get(address: SocketAddr, path: &str) -> Option<Value> {
    serde_json::from_str(&get_text(address, path)?).ok()
}

/// A response as an ordinary HTTP client sees it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub retry_after: Option<String>,
    pub body: Value,
    pub text: String,
}

/// Sends a POST request with headers; `None` if no complete response arrived.
pub fn try_post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Answer> {
    let mut request = agent().post(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut answer = request.send(body).ok()?;
    let retry_after = answer.headers().get("retry-after");
    let retry_after = retry_after.and_then(|value| value.to_str().ok()).map(String::from);
    let text = answer.body_mut().read_to_string().ok()?;
    let body = serde_json::from_str(&text).unwrap_or_default();
    Some(Answer { status: answer.status().as_u16(), retry_after, body, text })
}

pub fn post(address: SocketAddr, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    try_post(address, path, headers, body).expect("no response")
}

/// A stream as the client received it: the tokens so far, and whether the end marker arrived.
#[derive(Debug, Default)]
pub struct Stream {
    pub tokens: Vec<String>,
    pub complete: bool,
    pub status: u16,
}

/// Opens a stream, after the `received` tokens that the client already has, and reads it until
/// it ends or the connection breaks. Calls `on_token` with the number of tokens after each one.
pub fn stream(
    address: SocketAddr,
    key: &str,
    body: &Value,
    received: usize,
    mut on_token: impl FnMut(usize),
) -> Stream {
    let mut request = agent()
        .post(format!("http://{address}/v1/completions"))
        .header("authorization", "Bearer key-reader")
        .header("content-type", "application/json")
        .header("idempotency-key", key);
    if received > 0 {
        request = request.header("last-event-id", (received - 1).to_string());
    }
    let mut stream = Stream::default();
    let Ok(mut answer) = request.send(body.to_string()) else { return stream };
    stream.status = answer.status().as_u16();
    let reader = BufReader::new(answer.body_mut().as_reader());
    for line in reader.lines() {
        let Ok(line) = line else { return stream };
        let Some(data) = line.strip_prefix("data: ") else { continue };
        if data == "[DONE]" {
            stream.complete = true;
            return stream;
        }
        let value: Value = serde_json::from_str(data).unwrap_or_default();
        let choice = &value["choices"][0];
        if choice["finish_reason"].is_null() && choice["text"].is_string() {
            stream.tokens.push(choice["text"].as_str().unwrap_or_default().to_owned());
            on_token(received + stream.tokens.len());
        }
    }
    stream
}

/// Body of a request for a streamed completion.
pub fn completion(prompt: &str, tokens: usize) -> Value {
    json!({ "model": "model", "prompt": prompt, "max_tokens": tokens, "seed": 7, "stream": true })
}

/// Text that the response to `completion` must have, byte for byte.
pub fn expected(prompt: &str, tokens: usize) -> String {
    willowarch::standin::engine_model::expected_completion(prompt, 7, tokens)
}
