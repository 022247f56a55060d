//! Builds the request of one attempt at an endpoint, and decodes the response to it.

use std::{net::SocketAddr, time::Duration};

use hyper::{
    HeaderMap, Request, Response, StatusCode,
    header::{self, HeaderName, HeaderValue},
};

use super::{
    endpoint_signals::read_signals,
    headers::{
        BRITTLE, DEADLINE, DRAINING, EXPECT_INSTANCE, EXPECT_VERSION, INSTANCE, KEEP_ALIVE,
        LAST_EVENT, LIMIT, NOT_EXECUTED, PRIORITY, REQUEST_ID, SIGNATURE, TENANT,
        remove_hop_headers, text,
    },
};
use crate::{
    gateway::{
        call::{AttemptHead, Call, CallHead},
        request::response_meaning::{EndpointSignals, ResponseMeaning, ResponseMetadata},
    },
    http::response_framing::{FramingError, read_framing, unify_length},
};

/// Encoding of a body that is not encoded.
const IDENTITY: &[u8] = b"identity";

/// Builds the request of one attempt; method, path and body are those that the client sent.
pub fn endpoint_request<B>(call: &Call, attempt: &AttemptHead<'_>, body: B) -> Request<B> {
    let mut request = Request::new(body);
    *request.method_mut() = call.head.method.clone();
    // Cannot fail: the target is the text of a parsed path that begins with a slash.
    *request.uri_mut() = call.head.target.parse().unwrap_or_default();
    let headers = request.headers_mut();
    *headers = call.head.headers.clone();
    let mut set = |name: HeaderName, value: String| {
        // An account's name that contains control characters cannot be sent; the endpoint then handles
        // the request without that header.
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

/// Builds a health check of an endpoint.
pub fn health_check<B: Default>(endpoint: SocketAddr, path: &str) -> Request<B> {
    let mut request = Request::new(B::default());
    // A path that can't be parsed becomes `/`: any response of the endpoint will do.
    *request.uri_mut() = path.parse().unwrap_or_default();
    // Cannot fail: an address consists of visible ASCII characters.
    if let Ok(host) = HeaderValue::from_str(&endpoint.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    request
}

/// What a response is decoded for.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest<'a> {
    /// Id of the request.
    pub id: &'a str,
    /// Id of the endpoint to which it was sent.
    pub endpoint: &'a str,
    /// Whether the client asks for one version of the weights.
    pub asks_for_weights: bool,
}

impl<'a> SentRequest<'a> {
    /// The request of a client that was sent to `endpoint`.
    pub fn new(head: &'a CallHead, endpoint: &'a str) -> Self {
        let asks_for_weights = head.headers.contains_key(&EXPECT_VERSION);
        Self { id: &head.id, endpoint, asks_for_weights }
    }
}

/// Decodes the head of a response.
///
/// # Errors
///
/// The end of the body can't be read with certainty; then nothing else in the head is certain either.
pub fn read_response<B>(
    request: SentRequest<'_>,
    response: &Response<B>,
) -> Result<ResponseMetadata, FramingError> {
    let framing = read_framing(response)?;
    let headers = response.headers();
    let closes = text(headers, &header::CONNECTION).is_some_and(|value| {
        value.split(',').any(|part| part.trim().eq_ignore_ascii_case("close"))
    });
    let meaning = read_meaning(request, response);
    let signals = match meaning {
        ResponseMeaning::Ran | ResponseMeaning::NotRun | ResponseMeaning::OtherWeights => {
            read_signals(response.status(), headers)
        }
        // Sent by another endpoint, in response to another request, or by an endpoint in trouble.
        ResponseMeaning::OtherEndpoint
        | ResponseMeaning::Foreign
        | ResponseMeaning::Unacceptable => EndpointSignals::default(),
    };
    let keep = read_keep_alive(headers);
    Ok(ResponseMetadata { meaning, framing, signals, keep, closes })
}

fn read_meaning<B>(request: SentRequest<'_>, response: &Response<B>) -> ResponseMeaning {
    let headers = response.headers();
    match text(headers, &REQUEST_ID) {
        Some(other) if other != request.id => ResponseMeaning::Foreign,
        // An endpoint repeats the id in each successful response; failures may lack it.
        None if response.status().is_success() => ResponseMeaning::Foreign,
        _ if response.status() == StatusCode::MISDIRECTED_REQUEST => {
            read_misdirected(request, headers)
        }
        _ if headers.contains_key(&NOT_EXECUTED) => ResponseMeaning::NotRun,
        _ if response.status().is_success() && !is_acceptable(headers) => {
            ResponseMeaning::Unacceptable
        }
        _ => ResponseMeaning::Ran,
    }
}

/// Whether clients accept a success: it has the endpoint's signature, and its body is not encoded, since they ask for
/// bodies without encoding.
fn is_acceptable(headers: &HeaderMap) -> bool {
    let mut encodings = headers.get_all(header::CONTENT_ENCODING).iter();
    let is_plain = |value: &HeaderValue| value.as_bytes().trim_ascii() == IDENTITY;
    headers.contains_key(&SIGNATURE) && encodings.all(is_plain)
}

/// A 421 has two reasons: another endpoint is at the address, or the client asks for other weights. Without the
/// responder's id, a request that asks for weights tells nothing of the address.
fn read_misdirected(request: SentRequest<'_>, headers: &HeaderMap) -> ResponseMeaning {
    match text(headers, &INSTANCE) {
        Some(responder) if responder != request.endpoint => ResponseMeaning::OtherEndpoint,
        Some(_) => ResponseMeaning::OtherWeights,
        None if request.asks_for_weights => ResponseMeaning::OtherWeights,
        None => ResponseMeaning::OtherEndpoint,
    }
}

fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = text(headers, &KEEP_ALIVE)?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}

/// Splits an endpoint's response into the head to send to the client and the body. The endpoint's
/// draining, limit and brittle headers are removed, since the client might take them as being about this daemon.
pub fn client_response<B>(response: Response<B>) -> (Response<()>, B) {
    let (mut parts, body) = response.into_parts();
    unify_length(&mut parts.headers);
    remove_hop_headers(&mut parts.headers);
    parts.headers.remove(DRAINING);
    parts.headers.remove(LIMIT);
    parts.headers.remove(BRITTLE);
    let mut head = Response::new(());
    *head.status_mut() = parts.status;
    *head.headers_mut() = parts.headers;
    (head, body)
}
