//! Heads of requests and answers, as clients and endpoints of the platform write them.

use std::time::Duration;

use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Version,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};

use crate::{
    gateway::{
        call::{AttemptHead, Call, CallHead, HeadError, PromptPart, TokenCounts},
        request::response_meaning::{ResponseMeaning, ResponseSigns},
    },
    ids::SharedName,
};

const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
const TOKENS: HeaderName = HeaderName::from_static("x-token-counts");
const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
const TENANT: HeaderName = HeaderName::from_static("x-tenant");
const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
const KV_FROM: HeaderName = HeaderName::from_static("kv-from");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const KEY_SCHEME: &str = "Token ";

/// Headers that the gateway sets itself, whatever a client sent.
const OWN_HEADERS: [HeaderName; 8] = [
    TENANT,
    EXPECT_INSTANCE,
    PRIORITY,
    KV_FROM,
    HeaderName::from_static("x-kv-hold"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("kv-fetch"),
];
/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    HeaderName::from_static("proxy-connection"),
];

/// Reads the head of a client's request.
pub fn read_head(parts: Parts) -> Result<CallHead, HeadError> {
    check_framing(&parts)?;
    let headers = &parts.headers;
    let id = text(headers, &REQUEST_ID).filter(|id| !id.is_empty()).ok_or(HeadError::NoId)?;
    let id: SharedName = id.into();
    let host = read_host(&parts)?;
    let target = parts.uri.path_and_query().ok_or(HeadError::BadTarget)?;
    if !target.as_str().starts_with('/') {
        return Err(HeadError::BadTarget);
    }
    let deadline = number(headers, &DEADLINE, "X-Deadline-Ms")?;
    let tokens = match headers.get(&TOKENS) {
        None => None,
        Some(value) => Some(read_tokens(value).ok_or(HeadError::BadHeader("X-Token-Counts"))?),
    };
    let last_event = match headers.get(&LAST_EVENT) {
        None => None,
        Some(value) => value.to_str().ok().and_then(|text| text.trim().parse().ok()),
    };
    let prefix = headers.get(&PREFIX).and_then(|value| value.to_str().ok()).unwrap_or_default();
    Ok(CallHead {
        id,
        host,
        path_length: target.path().len(),
        target: target.as_str().into(),
        deadline: deadline.map(Duration::from_millis),
        key: read_key(headers),
        tokens,
        parts: read_prefix(prefix),
        expected_response: number(headers, &LENGTH_HINT, "X-Length-Hint").ok().flatten(),
        last_event,
        method: parts.method,
        headers: travelling(parts.headers),
    })
}

/// Whether a body comes in chunks.
pub fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
}

/// Marks an answer as the last one of its connection.
pub fn close_after(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

fn check_framing(parts: &Parts) -> Result<(), HeadError> {
    if parts.method == Method::CONNECT || parts.headers.contains_key(header::UPGRADE) {
        return Err(HeadError::BadMethod);
    }
    let lengths = parts.headers.get_all(header::CONTENT_LENGTH).iter().count();
    let codings = parts.headers.get_all(header::TRANSFER_ENCODING).iter().count();
    if lengths + codings > 1 {
        return Err(HeadError::AmbiguousLength);
    }
    if codings > 0 && parts.version == Version::HTTP_10 {
        return Err(HeadError::AmbiguousLength);
    }
    Ok(())
}

fn read_host(parts: &Parts) -> Result<SharedName, HeadError> {
    if parts.headers.get_all(header::HOST).iter().count() > 1 {
        return Err(HeadError::NoHost);
    }
    let named = text(&parts.headers, &header::HOST);
    let host = named.or(parts.uri.host()).filter(|host| !host.is_empty());
    let host = host.ok_or(HeadError::NoHost)?;
    // NOTE: routes name hosts without ports.
    let bare = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Ok(bare.into())
}

fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

fn number(
    headers: &HeaderMap,
    name: &HeaderName,
    shown: &'static str,
) -> Result<Option<u64>, HeadError> {
    const LARGEST: f64 = 1e12;
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match parsed {
        Some(number) if (0.0..LARGEST).contains(&number) => Ok(Some(number as u64)),
        _ => Err(HeadError::BadHeader(shown)),
    }
}

fn read_tokens(value: &HeaderValue) -> Option<TokenCounts> {
    const LARGEST: u64 = 1 << 40;
    let (prompt, response) = value.to_str().ok()?.split_once(',')?;
    let counts = TokenCounts {
        prompt: prompt.trim().parse().ok()?,
        response: response.trim().parse().ok()?,
    };
    (counts.prompt < LARGEST && counts.response < LARGEST).then_some(counts)
}

/// Reads the parts of a prompt; what cannot be read is left out, since parts only tell
/// where a prompt may be remembered.
fn read_prefix(value: &str) -> Vec<PromptPart> {
    let read = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    };
    value.split(',').map_while(read).collect()
}

fn read_key(headers: &HeaderMap) -> Option<SharedName> {
    let value = text(headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.split_at_checked(KEY_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| key.trim().into())
}

/// Headers without those that concern one connection, the key, and those that the
/// gateway sets itself.
fn travelling(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_headers(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(DEADLINE);
    for name in &OWN_HEADERS {
        headers.remove(name);
    }
    headers
}

fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != REQUEST_ID && *name != header::HOST)
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}

/// Builds the request of one attempt; method, path and body stay as the client sent them.
pub fn endpoint_request<B>(call: &Call, attempt: &AttemptHead<'_>, body: B) -> Request<B> {
    let mut request = Request::new(body);
    *request.method_mut() = call.head.method.clone();
    // NOTE: the target was parsed as one when it came in.
    *request.uri_mut() = call.head.target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    *headers = call.head.headers.clone();
    let mut set = |name: HeaderName, value: String| {
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(name, value);
        }
    };
    set(EXPECT_INSTANCE, attempt.endpoint.to_owned());
    if let Some(account) = attempt.account {
        set(TENANT, account.to_owned());
    }
    if let Some(left) = attempt.left {
        set(DEADLINE, left.as_millis().to_string());
    }
    if let Some(priority) = attempt.priority {
        set(PRIORITY, priority.to_string());
    }
    if let Some(last) = attempt.last_event {
        set(LAST_EVENT, last.to_string());
    }
    request
}

/// Reads what an answer to the request `id` says.
pub fn read_response<B>(id: &str, answer: &Response<B>) -> ResponseSigns {
    let headers = answer.headers();
    let meaning = match text(headers, &REQUEST_ID) {
        Some(other) if other != id => ResponseMeaning::Foreign,
        None if answer.status().is_success() => ResponseMeaning::Foreign,
        _ if answer.status() == StatusCode::MISDIRECTED_REQUEST => ResponseMeaning::OtherEndpoint,
        _ if headers.contains_key(&NOT_EXECUTED) => ResponseMeaning::NotRun,
        _ => ResponseMeaning::Ran,
    };
    let closes = text(headers, &header::CONNECTION).is_some_and(|value| {
        value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close"))
    });
    ResponseSigns { meaning, keep: read_keep(headers), closes }
}

fn read_keep(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, &KEEP_ALIVE)?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Head of an endpoint's answer as it goes back to the client.
pub fn client_response<B>(answer: Response<B>) -> (Response<()>, B) {
    let (mut parts, body) = answer.into_parts();
    remove_hop_headers(&mut parts.headers);
    let mut head = Response::new(());
    *head.status_mut() = parts.status;
    *head.headers_mut() = parts.headers;
    (head, body)
}

/// Head of an answer of the gateway's own to the request `id`.
pub fn own_response(
    id: Option<&str>,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    let headers = head.headers_mut();
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(REQUEST_ID, id);
    }
    if let Some(wait) = retry_after {
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    head
}

/// Whether `path` asks for readiness.
pub fn is_readiness(path: &str) -> bool {
    path == "/-/readiness"
}
