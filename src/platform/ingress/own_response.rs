//! Heads of the gateway's own responses.

use std::time::Duration;

use hyper::{
    HeaderMap, Response, StatusCode,
    header::{self, HeaderValue},
};

use super::headers::REQUEST_ID;

/// Path of the load balancer's readiness checks.
const READINESS_PATH: &str = "/-/readiness";

/// Builds the head of a response from the gateway itself to the request `id`.
pub fn own_response(
    id: Option<&str>,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> Response<()> {
    let mut head = Response::new(());
    *head.status_mut() = status;
    let headers = head.headers_mut();
    // Cannot fail: the id was received in a header.
    if let Some(id) = id.and_then(|id| HeaderValue::from_str(id).ok()) {
        headers.insert(REQUEST_ID, id);
    }
    if let Some(wait) = retry_after {
        // In seconds, with a fraction.
        let seconds = format!("{:.3}", wait.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    head
}

/// Marks a response as the last one of its connection.
pub fn close_after(headers: &mut HeaderMap) {
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
}

/// Removes the length of a body that may get another one.
pub fn remove_length(headers: &mut HeaderMap) {
    headers.remove(header::CONTENT_LENGTH);
}

/// Whether `path` is that of readiness checks.
pub fn is_readiness(path: &str) -> bool {
    path == READINESS_PATH
}
