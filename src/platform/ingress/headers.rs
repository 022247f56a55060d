//! Names of the platform's headers, and the headers that the gateway does not forward.

use hyper::{
    HeaderMap,
    header::{self, HeaderName},
};

/// Id of one attempt of a client; the gateway's own attempts all carry it, and endpoints repeat it in
/// their responses.
pub const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Time left until the deadline, in milliseconds.
pub const DEADLINE: HeaderName = HeaderName::from_static("x-deadline-ms");
/// Number of tokens of the prompt and largest number of tokens of the output, as `PROMPT,OUTPUT`.
pub const TOKENS: HeaderName = HeaderName::from_static("x-token-counts");
/// Parts of the prompt that may be cached, as `ID:TOKENS,...` with the id in hexadecimal.
pub const PREFIX: HeaderName = HeaderName::from_static("x-prompt-prefix");
/// The client's estimate of the number of output tokens.
pub const LENGTH_HINT: HeaderName = HeaderName::from_static("x-length-hint");
/// Last event that the client has already received.
pub const LAST_EVENT: HeaderName = HeaderName::from_static("last-event-id");
/// Id of the attempt that brought the first event of a stream that the client takes up again.
pub const RESUMES: HeaderName = HeaderName::from_static("resumes");
/// Client account.
pub const TENANT: HeaderName = HeaderName::from_static("x-tenant");
/// Id of the intended endpoint; any other endpoint at the address responds with 421.
pub const EXPECT_INSTANCE: HeaderName = HeaderName::from_static("x-expect-instance");
/// Id of the endpoint that responds; in its health checks, and where it turns a request away.
pub const INSTANCE: HeaderName = HeaderName::from_static("x-instance-id");
/// Version of the weights that the client asks for; an endpoint with another one responds with 421.
pub const EXPECT_VERSION: HeaderName = HeaderName::from_static("x-expect-version");
/// Priority in the endpoint's queue; 0 is the most urgent.
pub const PRIORITY: HeaderName = HeaderName::from_static("x-request-priority");
/// Set by an endpoint on a response to a request that it has not run and will never run.
pub const NOT_EXECUTED: HeaderName = HeaderName::from_static("x-not-executed");
/// Signature of an endpoint on its response; clients accept no success without it.
pub const SIGNATURE: HeaderName = HeaderName::from_static("x-response-seal");
/// `timeout=SECONDS`: how long the endpoint keeps an idle connection.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
/// `1` on all responses of an endpoint that drains.
pub const DRAINING: HeaderName = HeaderName::from_static("server-leaving");
/// Requests a second that an endpoint accepts from all daemons together, as a decimal number.
pub const LIMIT: HeaderName = HeaderName::from_static("server-limit");

/// On all responses of a brittle endpoint: the number of requests a second that it may refuse for want of
/// room without falling over.
pub const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");

/// Headers that only a gateway may set; they are removed from clients' requests.
const GATEWAY_HEADERS: [HeaderName; 8] = [
    TENANT,
    EXPECT_INSTANCE,
    PRIORITY,
    HeaderName::from_static("kv-from"),
    HeaderName::from_static("x-kv-hold"),
    HeaderName::from_static("x-kv-backup"),
    HeaderName::from_static("x-pin-ms"),
    HeaderName::from_static("kv-fetch"),
];
/// Headers that apply to a single connection only.
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

/// Trimmed text of a header; none if the header is absent or not ASCII.
pub fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok().map(str::trim)
}

/// A client's headers without those of its connection, its API key, and those that the gateway sets for
/// each attempt.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_headers(&mut headers);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers.remove(DEADLINE);
    for name in &GATEWAY_HEADERS {
        headers.remove(name);
    }
    headers
}

/// Removes the headers that apply to a single connection, including those that `Connection` lists.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        // Never remove the headers that identify a message, even if `Connection` lists them.
        .filter(|name| ![REQUEST_ID, SIGNATURE, header::HOST].contains(name))
        .collect();
    for name in HOP_HEADERS.iter().chain(&named) {
        headers.remove(name);
    }
}
