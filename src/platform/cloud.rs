//! Calls to the cloud's API: reports of usage and orders of endpoints.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::{
    errors::{FailureCause, StepError},
    http::client::{HttpClient, OutgoingCall},
    ids::SharedName,
};

/// Longest wait for an answer.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// In whose name, and under which fence, a call is made.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Name of the daemon.
    pub name: SharedName,
    /// Rises whenever the holder changes.
    pub fence: u64,
}

/// How the cloud took a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudOutcome {
    /// Done.
    Done,
    /// The fence was too low.
    Fenced,
    /// There are no endpoints to be had there now.
    NoneToBeHad,
}

/// Number of endpoints that are wanted in one zone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointOrder {
    /// Service.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Whether the cloud may take them back.
    pub reclaimable: bool,
    /// How many.
    pub count: u32,
}

#[derive(Serialize)]
struct ReportBody<'a> {
    window: u64,
    counts: &'a BTreeMap<SharedName, u64>,
}

#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
struct ScaleBody<'a> {
    service: &'a str,
    zone: &'a str,
    desired: u32,
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    use_spot: bool,
}

/// Client of the cloud's API.
#[derive(Clone, Debug)]
pub struct CloudClient {
    http: HttpClient,
    address: SocketAddr,
}

impl CloudClient {
    /// Client of the API at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { http: HttpClient::new(), address }
    }

    /// Reports what each account has used in a window.
    pub async fn report(
        &self,
        holder: &LeaseHolder,
        window: u64,
        counts: &BTreeMap<SharedName, u64>,
    ) -> Result<CloudOutcome, StepError> {
        let body = ReportBody { window, counts };
        let status = self.post("report usage", "/reports", holder, &body).await?;
        self.read_status("report usage", status, CloudOutcome::Fenced)
    }

    /// Orders a number of endpoints. A conflict may mean a low fence or that there are none to
    /// be had; it is read as the latter (docs/questions.md).
    pub async fn order(
        &self,
        holder: &LeaseHolder,
        order: &EndpointOrder,
    ) -> Result<CloudOutcome, StepError> {
        let body = ScaleBody {
            service: &order.service,
            zone: &order.zone,
            desired: order.count,
            use_spot: order.reclaimable,
        };
        let status = self.post("order replicas", "/scale", holder, &body).await?;
        self.read_status("order replicas", status, CloudOutcome::NoneToBeHad)
    }

    async fn post(
        &self,
        step: &'static str,
        path: &'static str,
        holder: &LeaseHolder,
        body: &impl Serialize,
    ) -> Result<StatusCode, StepError> {
        let body = serde_json::to_vec(body).map_err(|error| {
            StepError::new(
                step,
                self.address.to_string(),
                FailureCause::Malformed(error.to_string()),
            )
        })?;
        let call = OutgoingCall::get(step, self.address, path)
            .with_json(Method::POST, body)
            .with_header("x-duty-holder", &holder.name)
            .with_header("x-fencing-token", holder.fence);
        Ok(self.http.fetch(&call, CALL_LIMIT).await?.status)
    }

    fn read_status(
        &self,
        step: &'static str,
        status: StatusCode,
        conflict: CloudOutcome,
    ) -> Result<CloudOutcome, StepError> {
        match status {
            StatusCode::CONFLICT => Ok(conflict),
            status if status.is_success() => Ok(CloudOutcome::Done),
            status => {
                let cause = FailureCause::Status(status.as_u16());
                Err(StepError::new(step, self.address.to_string(), cause))
            }
        }
    }
}
