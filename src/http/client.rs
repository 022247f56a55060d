//! HTTP client with pooled connections, a time limit on every wait, and no retries.
//!
//! The native interface uses it for its endpoints and the platform, the gateway for the platform
//! only (its calls to endpoints need control over single connections, see `gateway::request`). The
//! [`FailureCause`] of a failed call shows whether the other side may have acted on it.

use std::{error::Error, io, iter, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use crate::{
    errors::{FailureCause, StepError},
    http::{
        connector::{TcpConnector, UNACKNOWLEDGED_LIMIT, UnacknowledgedBytes},
        deadline_body::DeadlineBody,
        response_framing::read_framing,
    },
    timeouts::{Elapsed, wait_at_most},
};

/// Longest time an unused connection stays open: longer than any watch, so that successive watches
/// use the same connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest response that `fetch` reads, in bytes; longer ones fail as broken. Bounds the memory
/// that a faulty peer can make this process use.
const RESPONSE_LIMIT: usize = 8 * 1024 * 1024;

/// A response with its complete body.
#[derive(Clone, Debug)]
pub struct WholeResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl WholeResponse {
    /// Fails if the status is not a success; `step` and `peer` are for the error.
    pub fn check_status(&self, step: &'static str, peer: &str) -> Result<(), StepError> {
        if self.status.is_success() {
            return Ok(());
        }
        Err(StepError::new(step, peer, FailureCause::Status(self.status.as_u16())))
    }

    /// Decodes the body with `decoder`; fails if the status is not a success.
    pub fn decode<T>(
        &self,
        step: &'static str,
        peer: &str,
        decoder: impl FnOnce(&[u8]) -> Result<T, serde_json::Error>,
    ) -> Result<T, StepError> {
        self.check_status(step, peer)?;
        decoder(&self.body)
            .map_err(|error| StepError::new(step, peer, FailureCause::Malformed(error.to_string())))
    }

    /// Decodes the body from JSON; fails if the status is not a success.
    pub fn json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: &str,
    ) -> Result<T, StepError> {
        self.decode(step, peer, |body| serde_json::from_slice(body))
    }
}

/// One request to send.
#[derive(Clone, Debug)]
pub struct OutgoingCall {
    /// Name of the call, for errors.
    pub step: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Address and port of the other side.
    pub peer: String,
    /// Path with query.
    pub path: String,
    /// Headers in addition to those that `hyper` sets.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
    /// Time of `boot_clock` after which the call, if it has a body, is not written.
    pub write_by: Option<Instant>,
}

impl OutgoingCall {
    /// Creates a `GET` of `path` at `peer`.
    pub fn get(step: &'static str, peer: impl ToString, path: impl Into<String>) -> Self {
        Self {
            step,
            method: Method::GET,
            peer: peer.to_string(),
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            write_by: None,
        }
    }

    /// Sets the method and a JSON body.
    pub fn with_json(mut self, method: Method, body: impl Into<Bytes>) -> Self {
        self.method = method;
        self.body = body.into();
        self.headers.push(("content-type", "application/json".into()));
        self
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the time of `boot_clock` after which the call, which must have a body, is not written.
    pub fn with_write_by(mut self, time: Instant) -> Self {
        self.write_by = Some(time);
        self
    }

    /// Creates an error of this call.
    pub fn error(&self, cause: FailureCause) -> StepError {
        StepError::new(self.step, self.peer.as_str(), cause)
    }

    fn build(&self) -> Result<Request<DeadlineBody>, StepError> {
        let malformed = |error: String| self.error(FailureCause::Malformed(error));
        let uri: Uri = format!("http://{}{}", self.peer, self.path)
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| malformed(error.to_string()))?;
        let mut builder = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        let body = DeadlineBody::new(self.body.clone(), self.write_by);
        builder.body(body).map_err(|error| malformed(error.to_string()))
    }
}

/// Pooling HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<TcpConnector, DeadlineBody>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with the limits above that never retries a request.
    pub fn new() -> Self {
        Self::with_connector(TcpConnector::new(UnacknowledgedBytes::Delivered))
    }

    /// Creates a client whose calls don't arrive after they were given up: its connections are reset.
    pub fn without_late_calls() -> Self {
        Self::with_connector(TcpConnector::new(UnacknowledgedBytes::Discarded))
    }

    fn with_connector(connector: TcpConnector) -> Self {
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends `call` and waits at most `limit` for the head of the response.
    ///
    /// # Errors
    ///
    /// `Malformed` if the end of the response's body can't be read with certainty.
    pub async fn open(
        &self,
        call: &OutgoingCall,
        limit: Duration,
    ) -> Result<Response<Incoming>, StepError> {
        let request = call.build()?;
        let result = wait_at_most(limit, self.client.request(request)).await;
        match result {
            Err(Elapsed) => Err(call.error(FailureCause::timed_out(limit))),
            Ok(Err(error)) if error.is_connect() => {
                Err(call.error(FailureCause::Unreachable(error.to_string())))
            }
            Ok(Err(error)) if is_unacknowledged(&error) => {
                Err(call.error(FailureCause::timed_out(UNACKNOWLEDGED_LIMIT)))
            }
            Ok(Err(error)) => Err(call.error(FailureCause::Broken(error.to_string()))),
            Ok(Ok(response)) => match read_framing(&response) {
                Ok(_) => Ok(response),
                Err(error) => Err(call.error(FailureCause::Malformed(error.to_string()))),
            },
        }
    }

    /// Sends `call` and reads the whole response, all within `limit`.
    pub async fn fetch(
        &self,
        call: &OutgoingCall,
        limit: Duration,
    ) -> Result<WholeResponse, StepError> {
        let whole = async {
            let response = self.open(call, limit).await?;
            let (head, body) = response.into_parts();
            let collected = Limited::new(body, RESPONSE_LIMIT).collect().await;
            let collected =
                collected.map_err(|error| call.error(FailureCause::Broken(error.to_string())))?;
            let body = collected.to_bytes();
            Ok(WholeResponse { status: head.status, headers: head.headers, body })
        };
        let result = wait_at_most(limit, whole).await;
        result.unwrap_or_else(|Elapsed| Err(call.error(FailureCause::timed_out(limit))))
    }
}

/// Whether the kernel has given the connection up, because the peer didn't acknowledge what was sent.
fn is_unacknowledged(error: &(dyn Error + 'static)) -> bool {
    let mut causes = iter::successors(Some(error), |cause| (*cause).source());
    causes.any(|cause| {
        let failure = cause.downcast_ref::<io::Error>();
        failure.is_some_and(|failure| failure.kind() == io::ErrorKind::TimedOut)
    })
}
