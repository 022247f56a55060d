//! Client of a JSON API: counts calls, limits the time of each, and converts failures into
//! [`StepError`].
//!
//! A call that was given up does not arrive later: its connection is reset, so that the kernel does not go on
//! sending. After a call that timed out, further calls use new connections, because the other open
//! connections may have stopped responding too.
//!
//! The gateway (`platform::{store, cloud}`) and the native interface (`native::cloud_api`) both use
//! it for their platforms. The protocols differ, so paths, bodies and the meaning of a status are
//! defined there.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use hyper::{Method, StatusCode};
use serde::{Serialize, de::DeserializeOwned};

use super::client::{HttpClient, OutgoingCall, WholeResponse};
use crate::errors::{FailureCause, StepError};

/// Client of the API at one address; clones share connections and the count of calls.
#[derive(Clone, Debug)]
pub struct ApiClient {
    http: Rc<RefCell<HttpClient>>,
    address: Rc<str>,
    calls: Rc<Cell<u64>>,
}

impl ApiClient {
    /// Creates a client of the API at `address`.
    pub fn new(address: impl ToString) -> Self {
        let http = Rc::new(RefCell::new(HttpClient::without_late_calls()));
        Self { http, address: address.to_string().into(), calls: Rc::default() }
    }

    /// Creates a client of another address that shares connections and the count of calls.
    pub fn sibling(&self, address: impl ToString) -> Self {
        Self { address: address.to_string().into(), ..self.clone() }
    }

    /// Calls made since the start; a watch counts once, however long it waits.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Creates a `GET` of `path`; `step` names the call in errors.
    pub fn get(&self, step: &'static str, path: impl Into<String>) -> OutgoingCall {
        OutgoingCall::get(step, &self.address, path)
    }

    /// Creates a call with a JSON body. Fails only if `body` cannot be encoded as JSON.
    pub fn send(
        &self,
        step: &'static str,
        method: Method,
        path: impl Into<String>,
        body: &impl Serialize,
    ) -> Result<OutgoingCall, StepError> {
        let call = self.get(step, path);
        match serde_json::to_vec(body) {
            Ok(body) => Ok(call.with_json(method, body)),
            Err(error) => Err(call.error(FailureCause::Malformed(error.to_string()))),
        }
    }

    /// Sends `call` and reads the whole response, all within `limit`.
    pub async fn fetch(
        &self,
        call: OutgoingCall,
        limit: Duration,
    ) -> Result<ApiResponse, StepError> {
        self.calls.set(self.calls.get() + 1);
        // The clone lets calls in progress keep their connections after `discard_connections`.
        let http = self.http.borrow().clone();
        let fetched = http.fetch(&call, limit).await;
        if fetched.as_ref().is_err_and(StepError::is_time_out) {
            self.discard_connections();
        }
        Ok(ApiResponse { call, response: fetched? })
    }

    /// Makes further calls use new connections; those that are open may no longer respond.
    pub fn discard_connections(&self) {
        *self.http.borrow_mut() = HttpClient::without_late_calls();
    }
}

/// Response of an API, with its call.
#[derive(Clone, Debug)]
pub struct ApiResponse {
    call: OutgoingCall,
    response: WholeResponse,
}

impl ApiResponse {
    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        self.response.status
    }

    /// Value of a header; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers.get(name)?.to_str().ok()
    }

    /// Creates an error of this call.
    pub fn error(&self, cause: FailureCause) -> StepError {
        self.call.error(cause)
    }

    /// Fails if the status is not a success.
    pub fn check_status(&self) -> Result<(), StepError> {
        self.response.check_status(self.call.step, &self.call.peer)
    }

    /// Decodes the body with `decoder`; fails if the status is not a success.
    pub fn decode<T>(
        &self,
        decoder: impl FnOnce(&[u8]) -> Result<T, serde_json::Error>,
    ) -> Result<T, StepError> {
        self.response.decode(self.call.step, &self.call.peer, decoder)
    }

    /// Decodes the body from JSON; fails if the status is not a success.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, StepError> {
        self.response.json(self.call.step, &self.call.peer)
    }
}
