//! HTTP client of every process here: pooled connections, every wait bounded, no retries.
//!
//! Both paths use it: the native interface for its endpoints and the platform, the gateway
//! for the platform only (its endpoints need control over single connections, see
//! `gateway::request`). A call that fails says how: see [`FailureCause`] for what each cause
//! tells about whether the other side may have acted.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;

use crate::{
    clock::{WaitOver, wait_at_most},
    errors::{FailureCause, StepError},
};

/// Longest wait for a TCP connection: as long as the shortest limit of a whole call.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest time an unused connection stays open: longer than any watch, so that one connection
/// carries watch after watch.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest response read whole, in bytes; longer ones fail as broken. Bounds what a faulty peer can
/// make this process hold.
const RESPONSE_LIMIT: usize = 8 * 1024 * 1024;

/// A response read to its end.
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
    /// Fails for a status that means failure; `step` and `peer` are for the error.
    pub fn check_status(&self, step: &'static str, peer: &str) -> Result<(), StepError> {
        if self.status.is_success() {
            return Ok(());
        }
        Err(StepError::new(step, peer, FailureCause::Status(self.status.as_u16())))
    }

    /// Body as read by `decoder`; a status that means failure is an error.
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

    /// Body decoded from JSON; a status that means failure is an error.
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
    /// What is being done, for errors.
    pub step: &'static str,
    /// HTTP method.
    pub method: Method,
    /// Address and port of the other side.
    pub peer: String,
    /// Path with query.
    pub path: String,
    /// Headers beside the usual ones.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl OutgoingCall {
    /// `GET` of `path` at `peer`.
    pub fn get(step: &'static str, peer: impl ToString, path: impl Into<String>) -> Self {
        Self {
            step,
            method: Method::GET,
            peer: peer.to_string(),
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// The same call with another method and a JSON body.
    pub fn with_json(mut self, method: Method, body: impl Into<Bytes>) -> Self {
        self.method = method;
        self.body = body.into();
        self.headers.push(("content-type", "application/json".into()));
        self
    }

    /// The same call with one more header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Error of this call.
    pub fn error(&self, cause: FailureCause) -> StepError {
        StepError::new(self.step, self.peer.as_str(), cause)
    }

    fn build(&self) -> Result<Request<Full<Bytes>>, StepError> {
        let malformed = |error: String| self.error(FailureCause::Malformed(error));
        let uri: Uri = format!("http://{}{}", self.peer, self.path)
            .parse()
            .map_err(|error: hyper::http::uri::InvalidUri| malformed(error.to_string()))?;
        let mut builder = Request::builder().method(self.method.clone()).uri(uri);
        for (name, value) in &self.headers {
            builder = builder.header(*name, value);
        }
        builder.body(Full::new(self.body.clone())).map_err(|error| malformed(error.to_string()))
    }
}

/// Pooling HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Client with the bounds above; it never retries a request by itself.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends `call` and waits at most `limit` for the head of the response.
    pub async fn open(
        &self,
        call: &OutgoingCall,
        limit: Duration,
    ) -> Result<Response<Incoming>, StepError> {
        let request = call.build()?;
        let result = wait_at_most(limit, self.client.request(request)).await;
        match result {
            Err(WaitOver) => Err(call.error(FailureCause::timed_out(limit))),
            Ok(Err(error)) if error.is_connect() => {
                Err(call.error(FailureCause::Unreachable(error.to_string())))
            }
            Ok(Err(error)) => Err(call.error(FailureCause::Broken(error.to_string()))),
            Ok(Ok(response)) => Ok(response),
        }
    }

    /// Sends `call` and reads the response whole, all within `limit`.
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
        result.unwrap_or_else(|WaitOver| Err(call.error(FailureCause::timed_out(limit))))
    }
}
