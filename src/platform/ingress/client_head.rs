//! Decodes the head of a client's request.
//!
//! A head is rejected if its length or target is ambiguous, or if a header that affects how the request
//! is handled cannot be parsed. Malformed headers that are only hints are ignored.

use std::time::Duration;

use hyper::{
    HeaderMap, Method, Version,
    header::{self, HeaderName, HeaderValue},
    http::request::Parts,
};

use super::headers::{
    DEADLINE, LAST_EVENT, LENGTH_HINT, PREFIX, REQUEST_ID, RESUMES, TOKENS, end_to_end, text,
};
use crate::{
    gateway::call::{CallHead, HeadError, PromptPart, TokenCounts},
    ids::SharedName,
};

/// Scheme of the API key in `Authorization`.
const KEY_SCHEME: &str = "Token ";
/// Numbers in headers must be below this: 30 years in milliseconds, and exact in an `f64`.
const NUMBER_LIMIT: f64 = 1e12;
/// Token counts must be below this: prompts are far shorter, and sums of many cannot overflow.
const TOKEN_LIMIT: u64 = 1 << 40;

/// Decodes the head of a client's request.
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
    let deadline = read_number(headers, &DEADLINE, "X-Deadline-Ms")?;
    Ok(CallHead {
        id,
        host,
        path_length: target.path().len(),
        target: target.as_str().into(),
        deadline: deadline.map(Duration::from_millis),
        key: read_key(headers),
        tokens: read_tokens(headers)?,
        parts: read_prefix(headers),
        expected_response: read_length_hint(headers),
        last_event: read_last_event(headers),
        resumes: read_resumes(headers),
        method: parts.method,
        headers: end_to_end(parts.headers),
    })
}

/// Whether the body has a transfer encoding, such as chunked.
pub fn is_chunked(headers: &HeaderMap) -> bool {
    headers.contains_key(header::TRANSFER_ENCODING)
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
    // Routes name hosts without ports.
    let bare = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Ok(bare.into())
}

/// Parses a number and discards its fraction; errors name the header by `display_name`.
fn read_number(
    headers: &HeaderMap,
    name: &HeaderName,
    display_name: &'static str,
) -> Result<Option<u64>, HeadError> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let parsed = value.to_str().ok().and_then(|text| text.trim().parse::<f64>().ok());
    match parsed {
        Some(number) if (0.0..NUMBER_LIMIT).contains(&number) => Ok(Some(number as u64)),
        _ => Err(HeadError::BadHeader(display_name)),
    }
}

fn read_tokens(headers: &HeaderMap) -> Result<Option<TokenCounts>, HeadError> {
    let Some(value) = headers.get(&TOKENS) else { return Ok(None) };
    let counts = parse_tokens(value).ok_or(HeadError::BadHeader("X-Token-Counts"))?;
    Ok(Some(counts))
}

fn parse_tokens(value: &HeaderValue) -> Option<TokenCounts> {
    let (prompt, response) = value.to_str().ok()?.split_once(',')?;
    let counts = TokenCounts {
        prompt: prompt.trim().parse().ok()?,
        response: response.trim().parse().ok()?,
    };
    (counts.prompt < TOKEN_LIMIT && counts.response < TOKEN_LIMIT).then_some(counts)
}

/// Parses the parts of a prompt up to the first malformed one. They only indicate where a prompt may be
/// cached: without them the request is served at a higher cost.
fn read_prefix(headers: &HeaderMap) -> Vec<PromptPart> {
    let read = |part: &str| {
        let (id, tokens) = part.trim().split_once(':')?;
        let tokens = tokens.parse().ok().filter(|tokens| *tokens < TOKEN_LIMIT)?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens })
    };
    let value = headers.get(&PREFIX).and_then(|value| value.to_str().ok());
    value.map_or_else(Vec::new, |value| value.split(',').map_while(read).collect())
}

/// Parses the client's estimate of the output's length. A malformed one is ignored: it only improves
/// the estimate of the memory that the request will need.
fn read_length_hint(headers: &HeaderMap) -> Option<u64> {
    read_number(headers, &LENGTH_HINT, "X-Length-Hint").unwrap_or(None)
}

/// Parses the last event that the client has received. By the standard of server-sent events, the value
/// is any id that a server has sent. The gateway sends numbers only, so anything else came from another
/// server and the stream begins at its first event.
fn read_last_event(headers: &HeaderMap) -> Option<u64> {
    text(headers, &LAST_EVENT)?.parse().ok()
}

/// Parses the id of the attempt that began a stream. An empty one, or several, name no attempt.
fn read_resumes(headers: &HeaderMap) -> Option<SharedName> {
    let is_single = headers.get_all(&RESUMES).iter().count() == 1;
    let id = text(headers, &RESUMES).filter(|id| is_single && !id.is_empty());
    id.map(SharedName::from)
}

fn read_key(headers: &HeaderMap) -> Option<SharedName> {
    let value = text(headers, &header::AUTHORIZATION)?;
    let (scheme, key) = value.split_at_checked(KEY_SCHEME.len())?;
    scheme.eq_ignore_ascii_case(KEY_SCHEME).then(|| key.trim().into())
}
