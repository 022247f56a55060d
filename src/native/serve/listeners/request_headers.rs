//! Checks the headers of a client's request. The refusal of an invalid header gives its name.

use std::sync::Arc;

use hyper::HeaderMap;

use super::problem::Problem;
use crate::{
    ids::SharedName,
    native::{
        headers,
        options::{
            check::is_name,
            rows::{AccountRow, TableSnapshot},
        },
    },
};

/// Lengths of the parts of a W3C trace context.
const TRACE_PARTS: [usize; 4] = [2, 32, 16, 2];

/// Text of a header, if it is present.
pub fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, Problem> {
    match headers.get(name) {
        None => Ok(None),
        Some(value) => match value.to_str() {
            Ok(text) => Ok(Some(text)),
            // The error has no further details.
            Err(_) => Err(Problem::bad_request(name, "must be printable ASCII")),
        },
    }
}

/// Client account that the request's bearer key belongs to.
pub fn account(headers: &HeaderMap, table: &TableSnapshot) -> Result<Arc<AccountRow>, Problem> {
    let value = header(headers, "authorization")?;
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    let Some(key) = key else {
        return Err(Problem::unauthorized("authorization", "must be `Bearer` with a key"));
    };
    let row = table.account_by_key(key.trim());
    row.ok_or_else(|| Problem::unauthorized("authorization", "names no client account"))
}

/// Idempotency key of the client, if it gave one.
pub fn idempotency_key(headers: &HeaderMap) -> Result<Option<SharedName>, Problem> {
    let name = headers::IDEMPOTENCY_KEY;
    let Some(text) = header(headers, name)? else { return Ok(None) };
    // The draft standard of this header defines the key as a structured string, in quotes.
    let key = text.trim().trim_matches('"');
    if is_name(key) {
        Ok(Some(key.into()))
    } else {
        Err(Problem::bad_request(name, "must be 1 to 128 printable characters without `/`"))
    }
}

/// Number of tokens that a resuming client has received.
pub fn have_tokens(headers: &HeaderMap) -> Result<usize, Problem> {
    let name = headers::LAST_EVENT_ID;
    let Some(text) = header(headers, name)? else { return Ok(0) };
    let index: usize = text
        .trim()
        .parse()
        .map_err(|_| Problem::bad_request(name, "must be the id of an event"))?;
    Ok(index.saturating_add(1))
}

/// Trace context to pass on, if there is one.
pub fn traceparent(headers: &HeaderMap) -> Result<Option<SharedName>, Problem> {
    let name = headers::TRACEPARENT;
    let Some(text) = header(headers, name)? else { return Ok(None) };
    let parts: Vec<&str> = text.split('-').collect();
    let lengths: Vec<usize> = parts.iter().map(|part| part.len()).collect();
    let hex = parts.iter().all(|part| part.bytes().all(|byte| byte.is_ascii_hexdigit()));
    if hex && lengths == TRACE_PARTS {
        Ok(Some(text.into()))
    } else {
        Err(Problem::bad_request(name, "must be a W3C trace context"))
    }
}
