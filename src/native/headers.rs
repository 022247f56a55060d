//! HTTP header names that the native interface exchanges with clients and endpoints; those of the
//! users' platform are in `platform::ingress`.

/// Id of the request, the same for all attempts.
pub const REQUEST_ID: &str = "x-request-id";
/// Id of one attempt; endpoints return it, and responses with a different id are dropped.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// Set by an endpoint that refuses a request before starting it.
pub const NOT_STARTED: &str = "x-not-started";
/// The client's name for a request, scoped to its client account.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Seconds after which a refused client may retry.
pub const RETRY_AFTER: &str = "retry-after";
/// Index of the last token that a client received before it resumes a stream.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// W3C trace context, passed on to the endpoint.
pub const TRACEPARENT: &str = "traceparent";
