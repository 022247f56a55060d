//! Calls to the cloud's API, as the gateway's leader makes them: reports of usage and orders
//! of endpoints.
//!
//! Each call carries the leader's name and fence, so that the cloud can refuse a leader that
//! has been replaced. A call that times out may have been carried out; both calls may be
//! retried, since they state a total and not a change.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use hyper::{Method, StatusCode};
use serde::Serialize;

use crate::{
    errors::StepError,
    http::api_client::{ApiClient, ApiResponse},
    ids::SharedName,
};

/// Longest wait for a response: a call that begins as the holder stops acting is over before
/// another daemon may take the lease.
const CALL_LIMIT: Duration = Duration::from_millis(1_000);

/// In whose name, and under which fence, a call is made.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    /// Name of the daemon.
    pub name: SharedName,
    /// Rises whenever the holder changes.
    pub fence: u64,
}

/// What the cloud made of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloudOutcome {
    /// Done.
    Done,
    /// Refused: another holder has a higher fence.
    Fenced,
    /// Refused: there is no capacity in that zone now.
    CapacityRefused,
}

/// Number of endpoints of one service that are required in one zone, in total.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointOrder {
    /// Service.
    pub service: SharedName,
    /// Availability zone.
    pub zone: SharedName,
    /// Whether the cloud may take them back.
    pub reclaimable: bool,
    /// Endpoints required.
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
    /// Whether the cloud may reclaim them; left out for on-demand ones.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    use_spot: bool,
}

/// Client of the cloud's API.
#[derive(Clone, Debug)]
pub struct CloudClient {
    api: ApiClient,
}

impl CloudClient {
    /// Client of the API at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { api: ApiClient::new(address) }
    }

    /// Reports what each account has used in a window.
    pub async fn report(
        &self,
        holder: &LeaseHolder,
        window: u64,
        counts: &BTreeMap<SharedName, u64>,
    ) -> Result<CloudOutcome, StepError> {
        let body = ReportBody { window, counts };
        let response = self.post("report usage", "/reports", holder, &body).await?;
        read_outcome(&response, CloudOutcome::Fenced)
    }

    /// Orders a number of endpoints.
    ///
    /// A conflict may mean a low fence or that there is no capacity; it is read as the
    /// latter (docs/questions.md).
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
        let response = self.post("order endpoints", "/scale", holder, &body).await?;
        read_outcome(&response, CloudOutcome::CapacityRefused)
    }

    async fn post(
        &self,
        step: &'static str,
        path: &'static str,
        holder: &LeaseHolder,
        body: &impl Serialize,
    ) -> Result<ApiResponse, StepError> {
        let call = self
            .api
            .send(step, Method::POST, path, body)?
            .with_header("x-duty-holder", &holder.name)
            .with_header("x-fencing-token", holder.fence);
        self.api.fetch(call, CALL_LIMIT).await
    }
}

/// Outcome by status alone; `on_conflict` is what 409 means for this call.
fn read_outcome(
    response: &ApiResponse,
    on_conflict: CloudOutcome,
) -> Result<CloudOutcome, StepError> {
    if response.status() == StatusCode::CONFLICT {
        return Ok(on_conflict);
    }
    response.check_status()?;
    Ok(CloudOutcome::Done)
}
