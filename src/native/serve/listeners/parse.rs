//! Checks a client's request and turns it into a call. An invalid field is answered with a 4xx that
//! names it; no value is guessed.

use std::sync::Arc;

use hyper::{HeaderMap, StatusCode};
use serde_json::{Map, Value};

use super::{
    problem::Problem,
    request_headers::{account, have_tokens, header, idempotency_key, traceparent},
};
use crate::{
    ids::{RequestName, SharedName, hash_parts},
    native::{
        options::rows::{ServiceRow, ServiceType, TableSnapshot},
        request::call::{CallContent, ClientCall, CompletionCall, PlainCall},
    },
};

/// Largest request body, in bytes: bounds memory.
pub const BODY_LIMIT: usize = 1024 * 1024;
/// Most tokens that one response may have: bounds how long one response holds an endpoint.
const MAX_TOKENS: u64 = 8_192;
/// Most tokens of a response if the client gives no limit: about the average length of a response.
const DEFAULT_TOKENS: u64 = 256;
/// Bits of a derived seed: other programs read JSON numbers as doubles, which are exact to 53 bits.
const EXACT_BITS: u32 = 53;
/// Prefix of keys that daemons generate.
const GENERATED_KEY_PREFIX: &str = "auto-";

/// Fields that clients of model serving usually send and that are ignored.
const IGNORED_FIELDS: [&str; 12] = [
    "temperature",
    "top_p",
    "n",
    "user",
    "stop",
    "presence_penalty",
    "frequency_penalty",
    "stream_options",
    "logprobs",
    "metadata",
    "store",
    "service_tier",
];

/// Form of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseForm {
    /// Completion, streamed as server-sent events.
    Events {
        /// Whether the chat form is used.
        chat: bool,
    },
    /// Completion in one JSON document.
    Document {
        /// Whether the chat form is used.
        chat: bool,
    },
    /// Response of a plain endpoint, passed on unchanged.
    Plain,
}

/// A request that has passed its checks.
#[derive(Clone, Debug)]
pub struct CheckedRequest {
    /// Call to run.
    pub call: ClientCall,
    /// Key that the client gave.
    pub key: Option<SharedName>,
    /// Form of the response.
    pub form: ResponseForm,
    /// Number of tokens that a resuming client has received.
    pub have_tokens: usize,
}

impl CheckedRequest {
    /// Name of the request, from the client's key or, if it gave none, from `generated`.
    pub fn name(&self, generated: &str) -> RequestName {
        let key =
            self.key.clone().unwrap_or_else(|| format!("{GENERATED_KEY_PREFIX}{generated}").into());
        RequestName::new(self.call.account.clone(), key)
    }
}

/// Checks a completion request; `chat` is set for the chat form.
pub fn completion(
    headers: &HeaderMap,
    body: &[u8],
    chat: bool,
    table: &TableSnapshot,
) -> Result<CheckedRequest, Problem> {
    let account = account(headers, table)?;
    let value: Value = serde_json::from_slice(body)
        .map_err(|error| Problem::bad_request("(body)", format!("must be JSON: {error}")))?;
    let Some(object) = value.as_object() else {
        return Err(Problem::bad_request("(body)", "must be a JSON object"));
    };
    check_fields(object, chat)?;
    let service = model_service(object, table)?;
    let prompt = if chat { chat_prompt(object)? } else { text_prompt(object)? };
    let key = idempotency_key(headers)?;
    let max_tokens = max_tokens(object)?;
    let seed = match object.get("seed") {
        None | Some(Value::Null) => derived_seed(&account.name, key.as_deref()),
        Some(value) => {
            value.as_u64().ok_or_else(|| Problem::bad_request("seed", "must be a whole number"))?
        }
    };
    let stream = flag(object, "stream")?;
    let content = CompletionCall { prompt: prompt.into(), max_tokens, seed, chat };
    let call = ClientCall {
        account: account.name.clone(),
        service: service.name.clone(),
        repeatable: true,
        content: CallContent::Completion(content),
        traceparent: traceparent(headers)?,
    };
    let form = if stream { ResponseForm::Events { chat } } else { ResponseForm::Document { chat } };
    let have_tokens = have_tokens(headers)?;
    Ok(CheckedRequest { call, key, form, have_tokens })
}

fn check_fields(object: &Map<String, Value>, chat: bool) -> Result<(), Problem> {
    let text = if chat { "messages" } else { "prompt" };
    let known = ["model", text, "max_tokens", "max_completion_tokens", "stream", "seed"];
    for field in object.keys() {
        if !known.contains(&field.as_str()) && !IGNORED_FIELDS.contains(&field.as_str()) {
            return Err(Problem::bad_request(field, "is not a field of this request"));
        }
    }
    if object.get("n").is_some_and(|n| n.as_u64() != Some(1)) {
        return Err(Problem::bad_request("n", "must be 1"));
    }
    Ok(())
}

fn model_service(
    object: &Map<String, Value>,
    table: &TableSnapshot,
) -> Result<Arc<ServiceRow>, Problem> {
    let Some(name) = object.get("model").and_then(Value::as_str) else {
        return Err(Problem::bad_request("model", "must be the name of a service"));
    };
    let row = table.service(name).filter(|row| row.service_type == ServiceType::Model);
    row.ok_or_else(|| Problem::new(StatusCode::NOT_FOUND, "model", "names no model service"))
}

fn text_prompt(object: &Map<String, Value>) -> Result<String, Problem> {
    match object.get("prompt") {
        Some(Value::String(text)) if !text.is_empty() => Ok(text.clone()),
        _ => Err(Problem::bad_request("prompt", "must be a text that is not empty")),
    }
}

fn chat_prompt(object: &Map<String, Value>) -> Result<String, Problem> {
    let problem = |rule: &str| Problem::bad_request("messages", rule);
    let messages = object.get("messages").and_then(Value::as_array);
    let messages = messages.filter(|messages| !messages.is_empty());
    let messages = messages.ok_or_else(|| problem("must be a list that is not empty"))?;
    let mut prompt = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str);
        let content = message.get("content").and_then(Value::as_str);
        let (Some(role), Some(content)) = (role, content) else {
            return Err(problem("must hold objects with the texts `role` and `content`"));
        };
        prompt.push_str(role);
        prompt.push_str(": ");
        prompt.push_str(content);
        prompt.push('\n');
    }
    Ok(prompt)
}

fn max_tokens(object: &Map<String, Value>) -> Result<u32, Problem> {
    let field = if object.contains_key("max_completion_tokens") {
        "max_completion_tokens"
    } else {
        "max_tokens"
    };
    let tokens = match object.get(field) {
        None | Some(Value::Null) => Some(DEFAULT_TOKENS),
        Some(value) => value.as_u64().filter(|tokens| (1..=MAX_TOKENS).contains(tokens)),
    };
    let rule = || format!("must be a whole number from 1 to {MAX_TOKENS}");
    tokens.map(|tokens| tokens as u32).ok_or_else(|| Problem::bad_request(field, rule()))
}

fn flag(object: &Map<String, Value>, field: &str) -> Result<bool, Problem> {
    match object.get(field) {
        None | Some(Value::Null) => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(Problem::bad_request(field, "must be true or false")),
    }
}

/// Seed of a request without one: the same whenever the client repeats the request with its key.
fn derived_seed(account: &str, key: Option<&str>) -> u64 {
    key.map_or(0, |key| {
        hash_parts(&[b"seed", account.as_bytes(), key.as_bytes()]) >> (u64::BITS - EXACT_BITS)
    })
}

/// Checks a call of a plain service: `/services/{service}/{path}`.
pub fn plain(
    headers: &HeaderMap,
    service: &str,
    path: &str,
    body: Vec<u8>,
    table: &TableSnapshot,
) -> Result<CheckedRequest, Problem> {
    let account = account(headers, table)?;
    let row = table.service(service).filter(|row| row.service_type == ServiceType::Plain);
    let Some(row) = row else {
        return Err(Problem::new(StatusCode::NOT_FOUND, "(path)", "names no plain service"));
    };
    let content_type = header(headers, "content-type")?.unwrap_or("application/json");
    let body =
        String::from_utf8(body).map_err(|_| Problem::bad_request("(body)", "must be UTF-8"))?;
    let is_json = content_type.starts_with("application/json");
    if is_json && !body.is_empty() && serde_json::from_str::<Value>(&body).is_err() {
        return Err(Problem::bad_request("(body)", "must be JSON, as its content type says"));
    }
    let call = ClientCall {
        account: account.name.clone(),
        service: row.name.clone(),
        repeatable: row.repeatable,
        content: CallContent::Plain(PlainCall {
            path: format!("/{path}").into(),
            content_type: content_type.into(),
            body: body.into(),
        }),
        traceparent: traceparent(headers)?,
    };
    let key = idempotency_key(headers)?;
    Ok(CheckedRequest { call, key, form: ResponseForm::Plain, have_tokens: 0 })
}
