//! Errors sent to clients: problem documents (RFC 9457) with a retry-after.

use hyper::{Response, StatusCode, header::HeaderValue};
use serde::Serialize;

use crate::{
    http::{ResponseBody, whole_body},
    native::{
        headers,
        request::outcome::{FinalResponse, NotRunProof, UnknownReason},
        serve::RETRY_AFTER,
    },
};

/// One problem document.
#[derive(Clone, Debug, Serialize)]
pub struct Problem {
    /// Type of the problem, as a relative reference.
    #[serde(rename = "type")]
    pub kind: &'static str,
    /// Short title.
    pub title: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Description of the problem.
    pub detail: Box<str>,
    /// Field that is invalid, if the problem is about a field.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub field: Option<Box<str>>,
    /// Whether the request ran: `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Seconds after which the client may retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<f64>,
}

impl Problem {
    /// Problem with `field`; the request was not run.
    pub fn new(status: StatusCode, field: &str, rule: impl Into<String>) -> Self {
        let detail = format!("{field}: {}", rule.into());
        Self {
            kind: "/problems/request",
            title: status.canonical_reason().unwrap_or("Error"),
            status: status.as_u16(),
            detail: detail.into(),
            field: Some(field.into()),
            outcome: "not-run",
            retry_after: None,
        }
    }

    /// Problem with `field`, with status 400.
    pub fn bad_request(field: &str, rule: impl Into<String>) -> Self {
        Self::new(StatusCode::BAD_REQUEST, field, rule)
    }

    /// Problem with `field`, with status 401.
    pub fn unauthorized(field: &str, rule: impl Into<String>) -> Self {
        Self::new(StatusCode::UNAUTHORIZED, field, rule)
    }

    /// The key was used for another request.
    pub fn key_reused() -> Self {
        let rule = "was used for a different request of this account";
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, headers::IDEMPOTENCY_KEY, rule)
    }

    /// The ticket belongs to another account.
    pub fn foreign_ticket() -> Self {
        let rule = "is a ticket of another client account";
        Self::new(StatusCode::UNPROCESSABLE_ENTITY, headers::IDEMPOTENCY_KEY, rule)
    }

    /// The request was refused before it ran.
    pub fn not_run(proof: &NotRunProof) -> Self {
        use crate::native::request::outcome::NotRunReason;
        let status = match proof.reason() {
            NotRunReason::AccountLimit => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        Self {
            kind: "/problems/not-run",
            title: "Not run",
            status: status.as_u16(),
            detail: proof.reason().to_string().into(),
            field: None,
            outcome: "not-run",
            retry_after: Some(proof.retry_after().as_secs_f64()),
        }
    }

    /// It is unknown whether the request ran.
    pub fn unknown(reason: UnknownReason, repeatable: bool) -> Self {
        Self {
            kind: "/problems/unknown",
            title: "Unknown",
            status: StatusCode::BAD_GATEWAY.as_u16(),
            detail: reason.to_string().into(),
            field: None,
            outcome: "unknown",
            retry_after: repeatable.then_some(RETRY_AFTER.as_secs_f64()),
        }
    }

    /// Problem document for a final response; `None` if the request succeeded.
    pub fn of(response: &FinalResponse, repeatable: bool) -> Option<Self> {
        match response {
            FinalResponse::Streamed | FinalResponse::Plain(_) => None,
            FinalResponse::NotRun(proof) => Some(Self::not_run(proof)),
            FinalResponse::Unknown(reason) => Some(Self::unknown(*reason, repeatable)),
        }
    }

    /// The problem as an HTTP response.
    pub fn into_response(self) -> Response<ResponseBody> {
        // This type always serializes.
        let body = serde_json::to_vec(&self).unwrap_or_default();
        let mut response = Response::new(whole_body(body));
        let status = StatusCode::from_u16(self.status);
        *response.status_mut() = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let kind = HeaderValue::from_static("application/problem+json");
        response.headers_mut().insert(hyper::header::CONTENT_TYPE, kind);
        if let Some(seconds) = self.retry_after {
            // The header takes whole seconds; the document has the exact time.
            let value = HeaderValue::from(seconds.ceil() as u64);
            response.headers_mut().insert(headers::RETRY_AFTER, value);
        }
        response
    }
}
