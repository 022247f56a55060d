//! Client of one JSON API: counts its calls, bounds each, and turns what went wrong into a
//! [`StepError`] in one place.
//!
//! After a call that was not answered in time, further calls go over new connections: the others
//! that are open may have gone silent with the one that it used.
//!
//! Both paths use it for the platform: the gateway through `platform::{store, cloud}`, the
//! native interface through `native::cloud_api`. Their wires differ, so paths, bodies and
//! the meaning of a status stay with them.

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
    /// Client of the API at `address`.
    pub fn new(address: impl ToString) -> Self {
        Self { http: Rc::default(), address: address.to_string().into(), calls: Rc::default() }
    }

    /// Client of a further address that shares connections and the count of calls.
    pub fn sibling(&self, address: impl ToString) -> Self {
        Self { address: address.to_string().into(), ..self.clone() }
    }

    /// Calls made since the start; a waiting watch counts once.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// `GET` of `path`; `step` names the call in errors.
    pub fn get(&self, step: &'static str, path: impl Into<String>) -> OutgoingCall {
        OutgoingCall::get(step, &self.address, path)
    }

    /// Call with a JSON body. Fails only for a value that has no JSON form.
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

    /// Sends `call` and reads the response whole, all within `limit`.
    pub async fn fetch(
        &self,
        call: OutgoingCall,
        limit: Duration,
    ) -> Result<ApiResponse, StepError> {
        self.calls.set(self.calls.get() + 1);
        // Calls in progress keep their connections, whatever becomes of the others.
        let http = self.http.borrow().clone();
        let fetched = http.fetch(&call, limit).await;
        if fetched.as_ref().is_err_and(StepError::is_time_out) {
            self.discard_connections();
        }
        Ok(ApiResponse { call, response: fetched? })
    }

    /// Opens new connections for further calls: those that are open may carry nothing any more.
    pub fn discard_connections(&self) {
        *self.http.borrow_mut() = HttpClient::new();
    }
}

/// Response of an API, with the call that it belongs to.
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

    /// Text of a header; none if it is missing or no text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.headers.get(name)?.to_str().ok()
    }

    /// Error of this call.
    pub fn error(&self, cause: FailureCause) -> StepError {
        self.call.error(cause)
    }

    /// Fails for a status that means failure.
    pub fn check_status(&self) -> Result<(), StepError> {
        self.response.check_status(self.call.step, &self.call.peer)
    }

    /// Body as read by `decoder`; a status that means failure is an error.
    pub fn decode<T>(
        &self,
        decoder: impl FnOnce(&[u8]) -> Result<T, serde_json::Error>,
    ) -> Result<T, StepError> {
        self.response.decode(self.call.step, &self.call.peer, decoder)
    }

    /// Body decoded from JSON; a status that means failure is an error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, StepError> {
        self.response.json(self.call.step, &self.call.peer)
    }
}
