//! Header names of the native interface, for clients and endpoints; those of the users'
//! platform are in `platform::ingress`.

/// Id of the request, the same for all attempts at it.
pub const REQUEST_ID: &str = "x-request-id";
/// Id of one attempt; an endpoint repeats it, and responses with another one are dropped.
pub const ATTEMPT_ID: &str = "x-attempt-id";
/// An endpoint sets it on a refusal that it made before starting the request.
pub const NOT_STARTED: &str = "x-not-started";
/// The client's name for a request, scoped to its client account.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Seconds after which a refused client may retry.
pub const RETRY_AFTER: &str = "retry-after";
/// Index of the last token that a resuming client has.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// W3C trace context, passed on to the endpoint.
pub const TRACEPARENT: &str = "traceparent";
