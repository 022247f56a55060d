//! Blocking calls to the object API and to the operators' ports of daemons, over `ureq`: the tool
//! makes one call at a time and needs no async runtime. The daemons use `http::client`; both
//! return the same errors.

use std::{net::SocketAddr, time::Duration};

use serde::de::DeserializeOwned;
use serde_json::Value;
use ureq::http::StatusCode;

use crate::{
    errors::{FailureCause, StepError},
    native::cloud_api::{
        client::{kind_path, object_path},
        messages::{ObjectEntry, ObjectList, WriteReceipt},
    },
};

/// Longest wait for a response; an operator waits this long without any output.
const CALL_LIMIT: Duration = Duration::from_secs(5);

/// Client for the tool's calls.
#[derive(Clone, Debug)]
pub struct ControlClient {
    agent: ureq::Agent,
}

impl Default for ControlClient {
    fn default() -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_LIMIT))
            .build();
        Self { agent: config.into() }
    }
}

type CallResult = Result<ureq::http::Response<ureq::Body>, ureq::Error>;

fn decode<T: DeserializeOwned>(
    step: &'static str,
    peer: SocketAddr,
    result: CallResult,
) -> Result<T, StepError> {
    let error = |cause| StepError::new(step, peer.to_string(), cause);
    let mut response = result.map_err(|cause| error(to_cause(&cause)))?;
    let status = response.status();
    // Another write changed the version that this write was conditional on.
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(error(FailureCause::Conflict));
    }
    if !status.is_success() {
        return Err(error(FailureCause::Status(status.as_u16())));
    }
    let body = response.body_mut().read_to_vec();
    let body = body.map_err(|cause| error(FailureCause::Broken(cause.to_string())))?;
    serde_json::from_slice(&body).map_err(|cause| error(FailureCause::Malformed(cause.to_string())))
}

fn to_cause(error: &ureq::Error) -> FailureCause {
    match error {
        ureq::Error::Timeout(_) => FailureCause::timed_out(CALL_LIMIT),
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            FailureCause::Unreachable(error.to_string())
        }
        ureq::Error::Io(cause) if cause.kind() == std::io::ErrorKind::ConnectionRefused => {
            FailureCause::Unreachable(cause.to_string())
        }
        _ => FailureCause::Broken(error.to_string()),
    }
}

impl ControlClient {
    /// Reads JSON from a daemon's operators' port.
    pub fn get<T: DeserializeOwned>(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<T, StepError> {
        decode(step, peer, self.agent.get(format!("http://{peer}{path}")).call())
    }

    /// Sends a `POST` without a body to a daemon's operators' port.
    pub fn post(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<Value, StepError> {
        decode(step, peer, self.agent.post(format!("http://{peer}{path}")).send_empty())
    }

    /// Sends a `DELETE` to a daemon's operators' port.
    pub fn delete(
        &self,
        step: &'static str,
        peer: SocketAddr,
        path: &str,
    ) -> Result<Value, StepError> {
        decode(step, peer, self.agent.delete(format!("http://{peer}{path}")).call())
    }

    /// Reads one object.
    pub fn read(&self, api: SocketAddr, kind: &str, name: &str) -> Result<ObjectEntry, StepError> {
        self.get("read object", api, &object_path(kind, name).to_string())
    }

    /// Lists the objects of a kind.
    pub fn list(&self, api: SocketAddr, kind: &str) -> Result<ObjectList, StepError> {
        self.get("list objects", api, &kind_path(kind).to_string())
    }

    /// Writes (`Some`) or deletes (`None`) an object, on condition that its version is `version`; 0
    /// means that it does not exist. Fails with `FailureCause::Conflict` if the version differs.
    pub fn write(
        &self,
        api: SocketAddr,
        kind: &str,
        name: &str,
        value: Option<&Value>,
        version: u64,
    ) -> Result<WriteReceipt, StepError> {
        let url = format!("http://{api}{}", object_path(kind, name));
        let result = match value {
            None => self.agent.delete(url).header("if-match", version.to_string()).call(),
            Some(value) => {
                let request = self.agent.put(url).header("content-type", "application/json");
                let request = match version {
                    0 => request.header("if-none-match", "*"),
                    version => request.header("if-match", version.to_string()),
                };
                request.send(value.to_string())
            }
        };
        decode("write object", api, result)
    }
}
